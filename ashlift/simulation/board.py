"""The registry's process on simulated time: the real registry, with the loops and answers of its process."""

from collections.abc import Callable
from typing import Any

from ashlift.config.operator_config import export_configuration
from ashlift.errors import Failure, FailureReason
from ashlift.registry import codec
from ashlift.registry.api.evacuation import MAX_REQUEST_AGE_SECONDS
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.operator_request import NOT_EXECUTED_REASONS, OperatorRequest
from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    LONG_POLL_SECONDS,
    MIN_LONG_POLL_SECONDS,
    next_backoff,
    pull_deadline,
)
from ashlift.registry.registry import Registry
from ashlift.registry.replication_loops import (
    OWN_STORE_WATCH_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    TICK_INTERVAL_SECONDS,
)
from ashlift.registry.store_client import (
    COMMAND_TIMEOUT_SECONDS,
    PENDING_EDITS_TIMEOUT_SECONDS,
    WATCH_GRACE_SECONDS,
)
from ashlift.registry.store_position import POSITION_REQUEST, StorePosition, stores_to_try
from ashlift.route_reconciliation.edit_codec import encode_edit
from ashlift.route_reconciliation.edit_sets import decode_edits, join_edits
from ashlift.route_reconciliation.edits import RouteChanged, RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock, HybridTimestamp
from ashlift.route_reconciliation.proposals import decode_request, latest_timestamp, prepare_pending
from ashlift.route_reconciliation.stored_records import outcome_of
from ashlift.simulation import store
from ashlift.simulation.event_loop import EventLoop, Future
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.process import Condition, Machine, Process, Task

KIND = "registry"
CONTROL = 8200


class Board(Process):
    net: SimulatedNetwork

    def __init__(
        self,
        loop: EventLoop,
        net: SimulatedNetwork,
        machine: Machine,
        seeds: Callable[[], list[str]],
        zones: dict[str, str],
        heartbeat: float,
    ) -> None:
        super().__init__(loop, net, machine, KIND)
        self.seeds, self.zones, self.heartbeat = seeds, zones, heartbeat
        self.handlers = {
            "pull": self._pull,
            "swap": self._swapped,
            "beat": self._beat,
            "delete": self._delete,
            "lookup": self._lookup,
            "order": self._order,
            "config": self._config,
            "edit": self._edit,
            "word": self._word,
        }

    def on_start(self) -> None:
        machine = self.machine
        incarnation = f"{self.loop.rng.getrandbits(32):08x}"
        me = RegistryIdentity(
            machine.name, incarnation, machine.name, machine.zone, machine.region, CONTROL, self.heartbeat
        )
        self.registry = Registry(me, self.seeds(), self.zones, self.clock())
        self._bell, self._told = Condition(self), 0
        self._swaps: set[str] = set()
        self._turn = 0
        self._stamps = HybridLogicalClock(machine.name, self.wall(), self.clock())
        self._hangs = False
        self._position = StorePosition()
        self.spawn(self._watch())
        self.spawn(self._tick())

    def ring(self) -> None:
        if self._told != self.registry.change_count:
            self._told = self.registry.change_count
            self._bell.notify_all()

    # ---- RPC calls (ashlift.registry.rpc_service)
    def _pull(self, body: Any) -> Task:
        began, registry = self.clock(), self.registry
        request = codec.decode_pull_request(body)
        if isinstance(request, Failure):
            return request
        registry.sessions.begin_pull(request, began)
        self.ring()
        have = request.versions
        until = pull_deadline(began, request.wait_seconds, MIN_LONG_POLL_SECONDS)
        while not registry.has_updates_for(have) and self.clock() < until:
            yield self._bell.wait(until - self.clock())
        if have and registry.has_updates_for(have) and not request.fragment:
            yield BATCHING_DELAY_SECONDS
        registry.sessions.end_pull(request.node)
        response = registry.pull_response(request, began, self.clock())
        return codec.encode_pull_response(response, self.clock())

    def _swapped(self, body: Any) -> Task:
        began, registry = self.clock(), self.registry
        request = codec.decode_swap_request(body)
        if isinstance(request, Failure):
            return request
        registry.receive_swap_request(request, began)
        while not registry.has_updates_for_peer(request) and self.clock() < began + LONG_POLL_SECONDS:
            yield self._bell.wait(began + LONG_POLL_SECONDS - self.clock())
        return codec.encode_swap_response(registry.swap_response(request), self.clock())

    # ---- loops (ashlift.registry.replication_loops)
    def _tick(self) -> Task:
        while True:
            self.registry.tick(self.clock())
            self.ring()
            wanted = self.registry.peer_ips(self.clock())
            for ip in sorted(wanted - self._swaps):
                self._swaps.add(ip)
                self.spawn(self._swap(ip))
            for ip in self._swaps - wanted:
                self.net.close_connection(self, ip, KIND)
            self._swaps &= wanted
            yield TICK_INTERVAL_SECONDS

    def _swap(self, ip: str) -> Task:
        greet, pause, registry = True, INITIAL_BACKOFF_SECONDS, self.registry
        while ip in self._swaps:
            sent = self.clock()
            body = codec.encode_swap_request(registry.peers.swap_request(ip, greet))
            answer = yield self.call(ip, KIND, "swap", body, LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS)
            if ip not in self._swaps:
                return
            if not isinstance(answer, Failure):
                answer = codec.decode_swap_response(answer, self.clock())
            if isinstance(answer, Failure):
                if answer.reason == FailureReason.OUTCOME_UNKNOWN:
                    self.net.close_connection(self, ip, KIND)
                greet = True
                yield pause
                pause = next_backoff(pause)
                continue
            greet, pause = False, INITIAL_BACKOFF_SECONDS
            registry.receive_swap_response(ip, answer, sent)
            self.ring()
            yield BATCHING_DELAY_SECONDS

    def _watch(self) -> Task:
        own, config = True, self.registry.operator_config
        while True:
            sent = self.clock()
            wait, ip = (OWN_STORE_WATCH_SECONDS, self.name) if own else (LONG_POLL_SECONDS, self._other())
            body = codec.encode_watch_request(config.version, wait, config.wanted_fragment())
            answer: Any = Failure(FailureReason.UNREACHABLE, "there is no other store")
            if ip is not None:
                answer = yield self.call(ip, store.KIND, "watch", body, wait + WATCH_GRACE_SECONDS)
            now, fresh = self.clock(), False
            if own:
                self._hangs = isinstance(answer, Failure) and answer.reason == FailureReason.OUTCOME_UNKNOWN
            self._position.observe(answer)
            if not isinstance(answer, Failure):
                fresh = config.receive_watch_response(answer, sent)
                self.ring()
            own = fresh or not own
            if not fresh:
                yield max(0.0, sent + INITIAL_BACKOFF_SECONDS - now)

    def _other(self) -> str | None:
        others = [ip for ip in self._stores() if ip != self.name]
        self._turn += 1
        return others[self._turn % len(others)] if others else None

    def _stores(self) -> list[str]:
        me, known = self.registry.identity, self.registry.core_members()
        return [
            ip for ip in self.registry.registries_by_distance(me.zone, me.region, self.clock()) if ip in known
        ]

    def _submitted(self, body: dict[str, Any], since: float | None = None) -> Task:
        now, index = self.clock(), self._position.index
        until = (now if since is None else since) + COMMAND_TIMEOUT_SECONDS

        def call() -> dict[str, Any]:
            return self._position.fenced(body, index, until - self.clock())

        found = yield from self._stored("submit", call, until)
        return found

    def _stored(self, method: str, body: Callable[[], dict[str, Any]], until: float) -> Task:
        """As `ashlift.registry.store_client.StoreClient` asks one store after the other."""
        stores = stores_to_try(self.name, self._stores(), self._hangs)
        asking, answers, turn = (
            OperatorRequest(stores, self.clock(), until),
            list[tuple[str, Any]](),
            [Future()],
        )

        def ask(ip: str) -> Task:
            answer = yield self.call(ip, store.KIND, method, body(), until - self.clock())
            if isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED:
                position = yield self.call(ip, store.KIND, "watch", POSITION_REQUEST, until - self.clock())
                self._position.observe(position)
                answer = yield self.call(ip, store.KIND, method, body(), until - self.clock())
            answers.append((ip, answer))
            turn[0].set(None)

        while wait := asking.wait_seconds(self.clock()):
            ip = asking.next_store(self.clock())
            if ip is not None:
                self.spawn(ask(ip))
                continue
            if not answers:
                turn[0] = Future()
                self.call_later(wait, turn[0].set, None)
                yield turn[0]
            while answers:
                asking.record_response(*answers.pop(0), self.clock())
        return asking.outcome

    # ---- outside calls (ashlift.registry.api): a status and a value
    def _beat(self, body: tuple[str, dict[str, Any]]) -> Any:
        key, fields = body
        now = self.clock()
        said = codec.decode_worker(fields, now)
        taken = self.registry.instances.record_heartbeat(key, said, now)
        self.ring()
        if not taken or self.registry.is_isolated(now):
            return 503, None
        return 200, self.registry.heartbeat_target(said.zone, now)

    def _delete(self, body: str) -> Any:
        self.registry.instances.deregister(body, self.clock())
        self.ring()
        return 200, None

    def _lookup(self, body: tuple[str, str]) -> Any:
        found = self.registry.lookup(*body, self.clock())
        return (503, None) if isinstance(found, Failure) else (200, found)

    def _order(self, body: dict[str, Any]) -> Task:
        since = self.earliest_send_time if body["kind"] in ("evacuate", "restore") else None
        if since is not None and self.clock() - since > MAX_REQUEST_AGE_SECONDS:
            return 307, None
        answer = yield from self._submitted(body, since)
        if since is not None and isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED:
            return 307, None
        return (
            (503, answer.reason) if isinstance(answer, Failure) else (answer["status"], answer.get("reason"))
        )

    def _config(self, _: Any) -> Task:
        answer = yield from self._stored("read", dict, self.clock() + COMMAND_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            return 503, answer.reason
        map = answer["objects"]
        return (200, (export_configuration(map), map)) if map.get("Version") else (404, ({}, map))

    # ---- calls on single routes (ashlift.registry.api.routes, .proposals)
    def wall(self) -> float:
        return self.loop.now + self.machine.wall_clock_skew

    def _waiting(self, add: list[dict[str, Any]]) -> Task:
        ips = dict.fromkeys([self.name, *self._stores()])
        asked = {
            ip: self.call(ip, store.KIND, "drafts", {"add": add}, PENDING_EDITS_TIMEOUT_SECONDS) for ip in ips
        }
        book: dict[str, RouteEdit] = {}
        held = []
        for ip, future in asked.items():
            answer = yield future
            if not isinstance(answer, Failure):
                held.append(ip)
                book = join_edits(book, decode_edits(answer["edits"]))
        return book, held

    def _stamp(self, name: str, book: dict[str, RouteEdit]) -> HybridTimestamp:
        seen = latest_timestamp(self.registry.operator_config.values, book, name)
        self._stamps.observe(seen, self.wall(), self.clock())
        return self._stamps.next_timestamp(seen, self.wall(), self.clock())

    def _edit(self, body: dict[str, Any]) -> Task:
        name, map = body["name"], self.registry.operator_config.values
        edit = decode_request(map, name, body, self._stamp(name, {}), self.name)
        assert isinstance(edit, RouteEdit)
        order = {"kind": "edit", "if_match": None, "body": {"edit": encode_edit(edit)}}
        answer = yield from self._submitted(order)
        if not isinstance(answer, Failure):
            return answer["status"], answer
        book, _ = yield from self._waiting([])
        waits = prepare_pending(map, book, edit, answer.reason not in NOT_EXECUTED_REASONS)
        if isinstance(waits, RouteChanged):
            return 409, waits.encode()
        _, held = yield from self._waiting([encode_edit(waits)])
        return (202, {"outcome": "waits", "auto": waits.automatic, "held": held}) if held else (503, {})

    def _word(self, body: dict[str, Any]) -> Task:
        done = outcome_of(self.registry.operator_config.values, body["id"])
        if done:
            return 200, done
        book, _ = yield from self._waiting([])
        if body["id"] not in book:
            return 404, {}
        edit = book[body["id"]]
        said = {"edit": encode_edit(edit), "who": body["who"], "over": body["over"]}
        said["stamp"] = [*self._stamp(edit.route, book)]
        version = self.registry.operator_config.values.get("Version")
        order = {"kind": body["word"], "if_match": version, "body": said}
        answer = yield from self._submitted(order)
        return (503, {}) if isinstance(answer, Failure) else (answer["status"], answer)
