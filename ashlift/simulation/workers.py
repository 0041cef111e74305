"""Workers as the pages tell of them: slots, a short queue, cold starts, beats, leaving, crashing."""

import math
from collections import deque
from typing import Any

from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.simulation import board
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import Arrival, History, WorkerRecord
from ashlift.simulation.keeper import Try, reply
from ashlift.simulation.network import as_simulated
from ashlift.simulation.process import Machine, Network, Process, Task

KIND = "worker"
QUEUE = 2  # x capacity
ACK_S = 1.0
TRIES = 12  # beats that say `draining` are sent so often, then it ends all the same


class Worker(Process):
    """One life; its machine's name is its id. `address` may pass to another after its end."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        machine: Machine,
        yard: "Yard",
        service: str,
        capacity: int,
        latency: float,
        cold_s: float,
    ) -> None:
        super().__init__(loop, net, machine, KIND)
        self.yard, self.service, self.capacity, self.latency = yard, service, capacity, latency
        self.id, self.state, self.seq = machine.name, "ready", 0
        self.warm_at = loop.now + cold_s
        self.running: dict[Try, None] = {}
        self.queue: deque[tuple[Try, float]] = deque()
        self.lost = 0.0  # share of answers that are lost
        self.failing = 0.0  # share of 500
        self.breaking = 0.0  # share of requests that it runs, and then breaks their connection
        self.forgets = math.inf  # s of rest after which it has silently dropped a connection
        address = yard.address()
        self.record = WorkerRecord(self.id, service, machine.zone, machine.region, address, loop.now)
        if cold_s:
            self.record.warmups.append((loop.now, self.warm_at))
        self.address = address
        yard.history.workers[self.id] = self.record

    def on_start(self) -> None:
        self.spawn(self._beats())

    def chill(self, seconds: float) -> None:
        """It is cold again."""
        self.warm_at = self.loop.now + seconds
        self.record.warmups.append((self.loop.now, self.warm_at))

    def on_killed(self, silently: bool) -> None:
        self.record.ended = self.loop.now
        held = [*self.running, *(one for one, _ in self.queue)]
        self.running, self.queue = {}, deque()
        for one in held if not silently else ():
            self.yard.answer(self, one, AttemptOutcome(AttemptResult.CONNECTION_LOST))
        self.yard.free(self)

    # ---- requests
    def offer(self, one: Try, left: float) -> None:
        if len(self.running) < self.capacity:
            self._run(one, left)
        elif len(self.queue) < QUEUE * self.capacity:
            self.queue.append((one, self.loop.now + left))
        else:
            self.yard.arrived(self, one, False, 503)
            self.yard.answer(self, one, AttemptOutcome(AttemptResult.NOT_RUN, reply(503)))

    def _run(self, one: Try, left: float) -> None:
        chance = self.loop.rng
        self.yard.arrived(self, one, True)
        self.running[one] = None
        work = self.latency * chance.lognormvariate(-0.045, 0.3) * (2 if self.loop.now < self.warm_at else 1)
        if work > left:
            return self.call_later(left, self._done, one, 504)
        status = 500 if self.failing and chance.random() < self.failing else 200
        self.call_later(work, self._done, one, 0 if self.lost and chance.random() < self.lost else status)

    def _done(self, one: Try, status: int) -> None:
        if self.running.pop(one, one) is one:
            return
        if status == 200 and self.breaking and self.loop.rng.random() < self.breaking:
            self.yard.answer(self, one, AttemptOutcome(AttemptResult.CONNECTION_LOST))
        elif status:
            self.yard.answer(self, one, AttemptOutcome(AttemptResult.RESPONSE, reply(status), 0.0))
        self._next()

    def dropped(self, one: Try) -> None:
        """Its connection has closed."""
        if one in self.running:
            del self.running[one]
            self._next()

    def _next(self) -> None:
        while self.queue and len(self.running) < self.capacity:
            one, until = self.queue.popleft()
            if one.gone:
                continue
            if until <= self.loop.now:
                self.yard.arrived(self, one, False, 503)
                self.yard.answer(self, one, AttemptOutcome(AttemptResult.NOT_RUN, reply(503)))
            else:
                self._run(one, until - self.loop.now)

    # ---- what it tells the registry
    def drain(self) -> None:
        self.state = "draining"
        self.spawn(self._leave())

    def _say(self, method: str, at: str) -> Task:
        body: Any = self.id
        if method == "beat":
            self.seq += 1
            warm = max(0.0, self.warm_at - self.loop.now)
            body = (
                self.id,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.machine.zone,
                    "capacity": self.capacity,
                    "state": self.state,
                    "seq": self.seq,
                    "warm": warm,
                    "version": "v1",
                },
            )
        return (yield self.call(at, board.KIND, method, body, ACK_S))

    def _beat(self, target: str | None) -> Task:
        """Until one is acknowledged or all have failed; the target of later beats."""
        places = [target] if target else []
        places += self.loop.rng.sample(self.yard.boards, len(self.yard.boards))
        for at in places:
            state = self.state
            answer = yield from self._say("beat", at)
            if isinstance(answer, tuple) and answer[0] == 200:
                if state == "draining" and self.record.draining_acknowledged == math.inf:
                    self.record.draining_acknowledged, self.record.draining_registry = self.loop.now, at
                return answer[1].rpartition(":")[0]
        return None

    def _beats(self) -> Task:
        target: str | None = None
        yield self.loop.rng.uniform(0.0, 0.3)
        while self.state == "ready":
            target = yield from self._beat(target)
            yield self.yard.heartbeat * self.loop.rng.uniform(0.9, 1.1) if target else 0.3

    def _leave(self) -> Task:
        target, tries = None, 0
        while self.record.draining_acknowledged == math.inf and tries < TRIES:
            target = yield from self._beat(target)
            tries += 1
            yield 0.0 if target else 0.3
        until = self.loop.now + self.yard.drain_s + 0.3
        while self.loop.now < until:
            yield min(self.yard.heartbeat, max(0.01, until - self.loop.now))
            target = yield from self._beat(target)
        for at in [*([target] if target else []), *self.yard.boards]:
            answer = yield from self._say("delete", at)
            if isinstance(answer, tuple) and answer[0] == 200:
                self.record.deregistered = self.loop.now
                break
        self.kill()


class Yard:
    """All workers, by id and by address, and the way of tries to them."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        history: History,
        boards: list[str],
        heartbeat: float,
        drain_s: float,
    ) -> None:
        self.loop, self.net, self.history = loop, net, history
        self.boards, self.heartbeat, self.drain_s = boards, heartbeat, drain_s
        self.workers: dict[str, Worker] = {}
        self.at: dict[str, Worker] = {}  # by address
        self._numbers: dict[str, int] = {}
        self._addresses = 0
        self._wanted: str | None = None

    def add(
        self,
        service: str,
        zone: str,
        region: str,
        capacity: int,
        latency: float,
        cold_s: float,
        address: str | None = None,
    ) -> Worker:
        number = self._numbers[service] = self._numbers.get(service, 0) + 1
        machine = Machine(f"{service}-{number}", zone, region, 0.0, "workers")
        self.net.machines[machine.name] = machine
        self._wanted = address
        worker = Worker(self.loop, self.net, machine, self, service, capacity, latency, cold_s)
        self.workers[worker.id] = self.at[worker.address] = worker
        worker.start()
        return worker

    def address(self) -> str:
        if self._wanted is not None:
            return self._wanted
        self._addresses += 1
        return f"10.128.0.{self._addresses}:8080"

    def free(self, worker: Worker) -> None:
        if self.at.get(worker.address) is worker:
            del self.at[worker.address]

    def arrived(self, worker: Worker, one: Try, ran: bool, code: int = 0) -> None:
        tenant = one.case.live.tenant if one.case.live else None
        name = tenant.name if tenant else ""
        keeper = one.case.keeper.name
        found = Arrival(self.loop.now, worker.id, worker.service, name, keeper, ran, code)
        one.case.request.arrivals.append(found)

    def answer(self, worker: Worker, one: Try, outcome: AttemptOutcome) -> None:
        """Bytes from a worker to the gatekeeper that asked."""
        keeper, net = one.case.keeper, as_simulated(self.net)
        status = outcome.response.status if outcome.response else 0
        net.observer.replied(worker, keeper, one.case.request.id, status)
        if one.gone or not net.is_connected(keeper.machine.link_name, worker.machine.link_name):
            return
        begun = one.begun
        trip = net.delay(worker.machine, keeper.machine)

        def come() -> None:
            outcome.elapsed = keeper.loop.now - begun
            one.end(outcome, outcome.result is not AttemptResult.CONNECTION_LOST)

        keeper.call_later(trip, come)

    def carry(self, one: Try, kept: bool, dial: float) -> None:
        """Take a try to whoever is at the address that the gatekeeper knows."""
        keeper, known, net = one.case.keeper, one.view.record, as_simulated(self.net)
        one.begun = self.loop.now
        net.observer.attempted(keeper, known.id, one.case.request.id, kept)
        host, port = known.address
        target = self.workers.get(known.id) if kept else self.at.get(f"{host}:{port}")
        place = target or self.workers.get(known.id)
        if place is None or not net.is_connected(keeper.machine.link_name, place.machine.link_name):
            one.sent = kept
            if not kept:
                keeper.call_later(dial, one.end, AttemptOutcome(AttemptResult.CONNECT_FAILED))
            return
        there = net.delay(keeper.machine, place.machine)
        if kept and target is not None and self.loop.now - target.record.ended > there:
            return self.carry(one, False, 0.25)  # it is seen that the connection is closed
        if kept:
            one.sent = True
            if target is not None and one.rested > target.forgets:
                return keeper.call_later(2 * there, keeper.forgotten, one)
            return self.loop.call_later(there, self._arrive, one, target, known.id)
        back = net.delay(place.machine, keeper.machine)

        def dialled() -> None:
            if target is None or not target.up:
                return one.end(AttemptOutcome(AttemptResult.CONNECT_FAILED))
            if one.gone:
                return
            one.sent = True
            self.loop.call_later(
                net.delay(keeper.machine, place.machine), self._arrive, one, target, known.id
            )

        keeper.call_later(there + back, dialled)

    def _arrive(self, one: Try, target: Worker | None, wanted: str) -> None:
        net = as_simulated(self.net)
        if target is None or not target.up:
            place = self.workers.get(wanted)
            trip = net.delay(place.machine, one.case.keeper.machine) if place else 0.001
            return one.case.keeper.call_later(trip, one.end, AttemptOutcome(AttemptResult.CONNECTION_LOST))
        if one.gone:
            return
        if not net.is_connected(one.case.keeper.machine.link_name, target.machine.link_name):
            return  # on its way when the cut came
        if target.id != wanted:
            self.arrived(target, one, False, 421)
            return self.answer(target, one, AttemptOutcome(AttemptResult.NOT_RUN, reply(421)))
        target.offer(one, max(0.001, one.left))

    def hung_up(self, one: Try) -> None:
        worker = self.workers.get(one.view.record.id)
        if worker is not None:
            worker.dropped(one)
