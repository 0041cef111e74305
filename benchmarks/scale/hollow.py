"""Hollow gatekeepers and workers: many in one process, started by `benchmarks.scale.runs`.

    python -m benchmarks.scale.hollow < orders

A hollow gatekeeper is the real `RegistryPoller`, `RegistryClient` and `RequestRouter` on real connections, so
that sessions, pulls, adds and proofs are those of a real one; its ledger keeps versions and proofs and throws
records away, and its limiter makes up what it passed. It takes no clients. A hollow worker only beats.
Orders and answers are a line of JSON each; times are those of the machine's steady clock, alike in all
processes.
"""

import json
import random
import sys
import time
from typing import Any

import gevent
from gevent import socket
from gevent.fileobject import FileObject

from ashlift.config.routing_table import RoutingTable
from ashlift.config.settings import Bindings, Settings
from ashlift.errors import Failure
from ashlift.gatekeeper.net.replies import Reply
from ashlift.proxy import registry_client as pulling
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.configuration_state import CORE_MACHINES, VERSION, ConfigurationState
from ashlift.proxy.configuration_updates import RegistryPoller
from ashlift.proxy.pull_messages import SourceUpdate
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.source_state import ClusterChange
from ashlift.rpc import fragmentation
from ashlift.traffic.rate_limiter import RateLimiter, UsageByTenant
from benchmarks.scale.sample_objects import worker_address, worker_id
from benchmarks.scale.sizes import ClusterSize
from benchmarks.scale.tenant_distribution import draw_tenant_rank, tenant_name

Json = dict[str, Any]
ANSWER_S = 1.0  # a worker waits so long for its beat's answer
WARMUP_S = 3.0
MISSED_S = 0.2  # and then so long until it tries again, elsewhere
EMPTY = RoutingTable.from_entries({})
_open = fragmentation.unpack_update
_packs: dict[bytes, Json] = {}  # the newest pack, opened once for all of this process


def _opened(message: Json) -> Json:
    data = message["pack"]
    if data not in _packs:
        _packs.clear()
        _packs[data] = _open(message)
    return _packs[data]


class HollowConfiguration(ConfigurationState):
    """Keeps the version and the core machines alone. `reached`: when each version came, by index."""

    def __init__(self) -> None:
        super().__init__()
        self.reached: dict[int, float] = {}

    def apply(self, update: SourceUpdate) -> bool:
        if update.version <= self.version:
            return False
        self.version = update.version
        self.reached[self.version] = time.monotonic()
        prefix = len(CORE_MACHINES)
        machines = {
            key[prefix:]: value for key, value in update.entries.items() if key.startswith(CORE_MACHINES)
        }
        self.core_machines = machines if update.full else {**self.core_machines, **machines}
        if self.routing_table is None and VERSION in update.entries:
            self.routing_table = EMPTY
        return False


class HollowLedger(ClusterView):
    """Versions and proofs alone. `seen`: entries told; `reached`: index -> when it came."""

    def __init__(self) -> None:
        super().__init__()
        self.seen = 0
        self.configuration = hollow = HollowConfiguration()
        self.reached = hollow.reached

    def _apply_source(self, name: str, update: SourceUpdate, now: float, change: ClusterChange) -> None:
        self.seen += len(update.entries) + len(update.removed)
        super()._apply_source(name, update._replace(entries={}, removed=()), now, ClusterChange())


class HollowLimiter(RateLimiter):
    """Says that it passed `rate` requests a second of tenants drawn by chance."""

    rate, tenants = 0.0, 1

    def __init__(self, chance: random.Random, bounds: Any) -> None:
        super().__init__(chance, bounds)
        self._chance, self._since, self._left = chance, time.monotonic(), 0.0

    def take_new_counts(self) -> UsageByTenant:
        now = time.monotonic()
        self._left += self.rate * min(2.0, now - self._since)
        self._since = now
        counts: UsageByTenant = {}
        while self._left >= 1:
            self._left -= 1
            name = tenant_name(draw_tenant_rank(self.tenants, self._chance))
            counts[name] = counts.get(name, (0, 0))[0] + 1, 0
        return counts


class HollowPulling(pulling.RegistryClient):
    """Counts calls, and how long they took."""

    calls = missed = 0
    waited = longest = 0.0

    def handle_response(self, pull: pulling.PullRequest, now: float, answer: Json | Failure) -> bool:
        self.calls += 1
        self.missed += isinstance(answer, Failure)
        self.waited += now - pull.sent_at
        self.longest = max(self.longest, now - pull.sent_at)
        return super().handle_response(pull, now, answer)


class Gatekeeper:
    def __init__(self, number: int, orders: Json) -> None:
        zones: dict[str, str] = orders["zones"]
        zone = sorted(zones)[number % len(zones)]
        made = Settings(
            node_name=f"hollow-{number}",
            ip=f"10.200.{number >> 8}.{number & 255}",
            zones=zones,
            zone=zone,
            region=zones[zone],
            internal_ports=(orders["low"], orders["low"] + 15),
            seeds=tuple((ip, 8200) for ip in orders["seeds"]),
            bindings=Bindings(front=(f"10.200.{number >> 8}.{number & 255}", 8206)),
        )
        chance = random.Random(number)
        self.gate = RequestRouter(made, chance, time.monotonic())
        self.ledger = self.gate.cluster = HollowLedger()
        self.limiter = self.gate.rate_limiter = HollowLimiter(chance, made.bounds)
        self.began = self.ready_at = 0.0
        self.news = RegistryPoller(made, self.gate, f"{number:08x}", chance, self._changed)
        self.pulling = self.news._registry_client = HollowPulling(made, self.gate, f"{number:08x}", chance)

    def _changed(self) -> None:
        if not self.ready_at and self.gate.is_ready(time.monotonic()):
            self.ready_at = time.monotonic()


class Worker:
    """What one hollow worker says of itself."""

    def __init__(self, number: int, size: ClusterSize, zones: list[str]) -> None:
        self.number, self.size, self.life, self.seq = number, size, 0, 0
        self.zone = zones[number % len(zones)]
        self.acked = 0.0  # when its first beat was answered
        self.warm_at = 0.0  # those of the beginning have long run

    @property
    def id(self) -> str:
        return worker_id(self.number, self.life)

    def again(self) -> None:
        """It has crashed and starts anew, cold, under another id."""
        self.life, self.seq, self.acked = self.life + 1, 0, 0.0
        self.warm_at = time.monotonic() + WARMUP_S

    def beat(self) -> bytes:
        self.seq += 1
        body = json.dumps(
            {
                "Address": worker_address(self.number),
                "NodeInfo": {
                    "Service": f"s{self.number % self.size.services:04d}",
                    "Zone": self.zone,
                    "Capacity": 6,
                    "ConfigVersion": "00000001",
                },
                "Status": {
                    "State": "ready",
                    "CallSeq": self.seq,
                    "WarmupLeft": f"{round(1000 * max(0.0, self.warm_at - time.monotonic()))}ms",
                },
            }
        ).encode()
        head = f"PUT /instances/{self.id} HTTP/1.1\r\nHost: core\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


class Line:
    """One connection for the beats of several workers, one after the other."""

    def __init__(self, workers: list[Worker], boards: list[str], heartbeat: float) -> None:
        self.workers, self.boards, self.heartbeat = workers, boards, heartbeat
        self.calls = self.missed = self.bytes_out = self.bytes_in = 0
        self._sock: socket.socket | None = None
        self._at = 0

    def run(self) -> None:
        step = self.heartbeat / len(self.workers)
        due = time.monotonic() + step * random.random()
        while True:
            for worker in self.workers:
                gevent.sleep(max(0.0, due - time.monotonic()))
                due = max(due + step, time.monotonic() - self.heartbeat)
                while not self._beat(worker):
                    self.missed += 1
                    gevent.sleep(MISSED_S)

    def _beat(self, worker: Worker) -> bool:
        try:
            with gevent.Timeout(ANSWER_S, OSError("late")):
                if self._sock is None:
                    host = self.boards[self._at % len(self.boards)]
                    self._sock = socket.create_connection((host, 8200), timeout=ANSWER_S)
                    self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                sent, reply = worker.beat(), Reply()
                self._sock.sendall(sent)
                while not reply.done:
                    data = self._sock.recv(65536)
                    if not data:
                        raise OSError("closed")
                    self.bytes_in += len(data)
                    reply.feed(data)
        except OSError:
            if self._sock is not None:
                self._sock.close()
            self._sock, self._at = None, self._at + 1
            return False
        self.calls += 1
        self.bytes_out += len(sent)
        if reply.status == 200 and not worker.acked:
            worker.acked = time.monotonic()
        return reply.status == 200


class Host:
    """All hollow ones of this process, and the orders that they get."""

    def __init__(self) -> None:
        self.gatekeepers: list[Gatekeeper] = []
        self.lines: list[Line] = []
        self._churn: gevent.Greenlet[..., None] | None = None

    def order(self, orders: Json) -> Json:
        return {
            "gatekeepers": self._gatekeepers,
            "workers": self._workers,
            "rate": self._rate,
            "figures": self._figures,
            "reached": self._reached,
            "churn": self._churned,
        }[orders["do"]](orders)

    def _gatekeepers(self, orders: Json) -> Json:
        HollowLimiter.tenants = orders["tenants"]
        self.gatekeepers = [Gatekeeper(number, orders) for number in range(*orders["numbers"])]
        gevent.spawn(self._start, orders["a_second"])
        return {"started": time.monotonic()}

    def _start(self, a_second: float) -> None:
        for one in self.gatekeepers:
            one.began = time.monotonic()
            gevent.spawn(one.news.run)
            if a_second:
                gevent.sleep(1 / a_second)

    def _workers(self, orders: Json) -> Json:
        size, zones, boards = (
            ClusterSize.from_json(orders["size"]),
            sorted(orders["zones"]),
            list(orders["boards"]),
        )
        workers = [Worker(number, size, zones) for number in range(*orders["numbers"])]
        for at in range(orders["lines"]):
            mine, turned = (
                workers[at :: orders["lines"]],
                boards[at % len(boards) :] + boards[: at % len(boards)],
            )
            if mine:
                self.lines.append(Line(mine, turned, orders["heartbeat"]))
        for line in self.lines:
            gevent.spawn(line.run)
        return {"started": time.monotonic()}

    def _rate(self, orders: Json) -> Json:
        HollowLimiter.rate = orders["rate"]
        for one in self.gatekeepers:
            one.pulling.longest = 0.0
        return {}

    def _churned(self, orders: Json) -> Json:
        """So many workers a second crash and start again, from now on."""
        if self._churn is not None:
            self._churn.kill()
        workers = [worker for line in self.lines for worker in line.workers]

        def run() -> None:
            while True:
                gevent.sleep(1 / orders["rate"])
                random.choice(workers).again()

        self._churn = gevent.spawn(run) if orders["rate"] else None
        return {}

    def _figures(self, _: Json) -> Json:
        now = time.monotonic()
        workers = [worker for line in self.lines for worker in line.workers]
        return {
            "now": now,
            "pulls": sum(one.pulling.calls for one in self.gatekeepers),
            "missed": sum(one.pulling.missed for one in self.gatekeepers),
            "waited": sum(one.pulling.waited for one in self.gatekeepers),
            "longest": max((one.pulling.longest for one in self.gatekeepers), default=0.0),
            "seen": sum(one.ledger.seen for one in self.gatekeepers),
            "ready": sum(one.gate.is_ready(now) for one in self.gatekeepers),
            "took": [one.ready_at - one.began for one in self.gatekeepers if one.ready_at],
            "age": max((one.ledger.configuration.age(now) for one in self.gatekeepers), default=0.0),
            "beats": sum(line.calls for line in self.lines),
            "beats_missed": sum(line.missed for line in self.lines),
            "beats_out": sum(line.bytes_out for line in self.lines),
            "beats_in": sum(line.bytes_in for line in self.lines),
            "acked": sum(worker.acked > 0 for worker in workers),
            "acked_at": max((worker.acked for worker in workers), default=0.0),
        }

    def _reached(self, orders: Json) -> Json:
        """When each gatekeeper had an index, or a later one; -1: it has not."""
        wanted = orders["index"]
        found = [
            [at for index, at in one.ledger.reached.items() if index >= wanted] for one in self.gatekeepers
        ]
        return {"at": [min(one, default=-1.0) for one in found]}


def main() -> None:
    fragmentation.unpack_update = _opened
    host = Host()
    for line in FileObject(sys.stdin.fileno(), "rb"):
        print(json.dumps(host.order(json.loads(line))), flush=True)


__all__ = ["Gatekeeper", "Host", "HollowLedger", "HollowLimiter", "Worker"]

if __name__ == "__main__":
    main()
