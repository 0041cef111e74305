"""What clients, workers and operators observed, and which machines had faults: all that the checkers judge.

Times are seconds on the clock of the world. The world and its actors append; checkers only read.
"""

import json
import math
from collections.abc import Mapping
from typing import Any, Final

from attrs import define, field

from ashlift.config.routing_table import RoutingTable
from ashlift.simulation import linearizability

HOST: Final = "app.example"


@define(eq=False, slots=True)
class Arrival:
    """A request at a worker. `ran` is False if the worker rejected it with `rejection_status`."""

    at: float
    worker: str
    service: str
    tenant: str
    proxy: str
    ran: bool
    rejection_status: int = 0
    status: int = 0  # the worker's answer; 0: none, or not recorded
    seal: str = ""  # of its answer, with a digest of the body


@define(eq=False, slots=True)
class Request:
    """One attempt of a client, with an id of its own."""

    id: int
    path: str
    idempotent: bool
    key: str
    zone: str
    region: str
    sent: float
    proxy: str = ""
    proxy_incarnation: int = 0
    received: float = math.inf  # when the proxy had read it
    status: int = 0  # 0: no answer
    cause: str = ""  # of an answer that the proxy gave itself
    ended: float = math.inf
    connection_broken: bool = False  # the proxy closed the connection without a complete answer
    seal: str | None = None  # as the client got it; None: not recorded
    pool_exhausted_count: int = 0  # how often an attempt at a worker found no connection to use
    arrivals: list[Arrival] = field(factory=list)

    def describe(self) -> str:
        """The request in a violation's text."""
        key = self.key or "no key"
        return f"request {self.id} {self.path} ({key}) sent {self.sent:.3f} to {self.proxy or '-'}"


@define(frozen=True)
class UnexpectedArrival:
    """What reached a worker although no client had sent it so."""

    at: float
    worker: str
    description: str


@define(eq=False, slots=True)
class WorkerRecord:
    """One incarnation of a worker."""

    id: str
    service: str
    zone: str
    region: str
    address: str
    started: float
    ended: float = math.inf
    warmups: list[tuple[float, float]] = field(factory=list)  # from, until
    draining_acknowledged: float = math.inf  # of the heartbeat that says `draining`, or of its end
    draining_registry: str = ""  # the machine that acknowledged it
    deregistered: float = math.inf  # when its DELETE was acknowledged

    def is_warming_up(self, at: float) -> bool:
        """Whether slow start applied to it at that moment."""
        return any(start <= at < end for start, end in self.warmups)


def comparable_objects(objects: list[dict[str, Any]]) -> linearizability.Items:
    """A configuration's objects as values that can be compared."""
    by_key = {f"{item['ObjectType']}/{item['Metadata'].get('Name', '')}": item for item in objects}
    return linearizability.items_of({key: json.dumps(item, sort_keys=True) for key, item in by_key.items()})


@define(eq=False, slots=True)
class ConfigurationChange:
    """A configuration that an operator sent: `entries` as it is stored, and the `table` built of them."""

    version: int
    base: int
    operator: str
    sent: float
    body: dict[str, Any]
    entries: Mapping[str, Any]
    table: RoutingTable
    valid: bool = True
    acknowledged: float = math.inf
    rejected_status: int = 0
    ended: float = math.inf
    patch: dict[str, Any] | None = None  # sent in place of the whole body

    def as_write(self) -> linearizability.ConfigurationWrite:
        """The change as the linearizability checker takes it."""
        if self.patch is None:
            upserts = comparable_objects(self.body["Objects"])
            return linearizability.ConfigurationWrite(self.base, self.version, upserts)
        withdrawn = [f"{kind}/{name}" for kind, names in self.patch["Withdraw"].items() for name in names]
        upserts = comparable_objects(self.patch["Upsert"]["Objects"])
        return linearizability.ConfigurationWrite(self.base, self.version, upserts, frozenset(withdrawn))

    def as_command(self) -> dict[str, Any]:
        """The body of the call that asks for it."""
        kind, body = ("put", self.body) if self.patch is None else ("patch", self.patch)
        return {"kind": kind, "if_match": f"{self.base:08x}", "body": body}

    def describe(self) -> str:
        """The change in a violation's text."""
        return f"version {self.version} of {self.operator} on {self.base}"


@define(eq=False, slots=True)
class Resend:
    """One more call of a change that was accepted; `status` 0: no answer."""

    change: ConfigurationChange
    registry: str
    sent: float
    ended: float
    status: int


@define(eq=False, slots=True)
class Reading:
    """A GET /config that was answered; `entries` as it is stored, None where that is not recorded."""

    started: float
    ended: float
    version: int
    body: Mapping[str, Any]
    entries: Mapping[str, Any] | None

    def observed(self) -> tuple[int, linearizability.Items]:
        """What was read, as the linearizability checker takes it."""
        return self.version, comparable_objects(self.body.get("Objects", []))

    def evacuated_zones(self) -> frozenset[str] | None:
        """The zones evacuated then; None: not recorded."""
        if self.entries is None:
            return None
        parts = (key.partition("/") for key in self.entries)
        return frozenset(name for kind, _, name in parts if kind == "Evacuations")


@define(eq=False, slots=True)
class EvacuationChange:
    """An operator evacuates a zone, or (`evacuated` False) ends its evacuation."""

    zone: str
    evacuated: bool
    sent: float
    acknowledged: float = math.inf


@define(eq=False, slots=True)
class EvacuationCall:
    """One call of an `EvacuationChange` to one core machine.

    It takes effect by `effect_deadline` or never; `ended` is when it was acknowledged.
    """

    zone: str
    evacuated: bool
    sent: float
    effect_deadline: float
    operator: str = ""
    ended: float = math.inf


@define(eq=False, slots=True)
class FaultInterval:
    """When a machine had a fault, or the core was unsettled; an open interval ends at infinity."""

    started: float
    ended: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the interval has a moment in common with this span."""
        return self.started <= end and self.ended >= start


class History:
    """Everything that was observed in one run."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.workers: dict[str, WorkerRecord] = {}
        self.proxy_regions: dict[str, str] = {}  # by the proxy's machine
        self.unexpected_arrivals: list[UnexpectedArrival] = []
        self.changes: list[ConfigurationChange] = []
        self.readings: list[Reading] = []
        self.resends: list[Resend] = []
        self.evacuations: list[EvacuationChange] = []
        self.evacuation_calls: list[EvacuationCall] = []
        self.route_edits: dict[str, Any] = {}  # by id, of `ashlift.simulation.route_edits`
        self.faults: dict[str, list[FaultInterval]] = {}  # by machine
        self.terminations: dict[str, list[float]] = {}  # machine -> when faults started that were a SIGTERM
        self.core_unstable: list[FaultInterval] = []
        self.final_fault_at = math.inf
        self.end = 0.0

    def add_request(
        self, path: str, idempotent: bool, key: str, zone: str, region: str, sent: float
    ) -> Request:
        """Record that a client sends a request, under the next id."""
        request = Request(len(self.requests) + 1, path, idempotent, key, zone, region, sent)
        self.requests.append(request)
        return request

    def begin_fault(self, machine: str, now: float, termination: bool = False) -> None:
        """Record that a fault of the machine starts; `termination`: a SIGTERM."""
        self.faults.setdefault(machine, []).append(FaultInterval(now))
        if termination:
            self.terminations.setdefault(machine, []).append(now)

    def end_faults(self, machine: str, now: float) -> None:
        """Record that all faults of the machine are over."""
        for interval in self.faults.get(machine, ()):
            interval.ended = min(interval.ended, now)
