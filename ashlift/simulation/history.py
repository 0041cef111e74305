"""The history of a run: observations of clients, workers and operators, and the faults of machines.

Times are in seconds since the start of the run. The world and its actors append; checkers only read.
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
    status: int = 0  # of the worker's response; 0: none, or not recorded
    seal: str = ""  # the response's X-Server-Seal and a digest of its body


@define(eq=False, slots=True)
class Request:
    """One attempt of a client, with a unique id."""

    id: int
    path: str
    idempotent: bool
    key: str
    zone: str
    region: str
    sent: float
    proxy: str = ""
    proxy_incarnation: int = 0
    received: float = math.inf  # when the proxy had read the request completely
    status: int = 0  # 0: no response
    cause: str = ""  # why the proxy rejected the request itself
    ended: float = math.inf
    connection_broken: bool = False  # the proxy closed the connection without a complete response
    seal: str | None = None  # as received by the client; None: not recorded
    pool_exhausted_count: int = 0  # attempts that failed because the connection limit was reached
    arrivals: list[Arrival] = field(factory=list)

    def describe(self) -> str:
        """Return the request as violations name it."""
        key = self.key or "no key"
        return f"request {self.id} {self.path} ({key}) sent {self.sent:.3f} to {self.proxy or '-'}"


@define(frozen=True)
class UnexpectedArrival:
    """A request at a worker that no client has sent in this form."""

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
    draining_acknowledged: float = math.inf  # when a heartbeat with the state `draining` was acknowledged
    draining_registry: str = ""  # the machine of the registry that acknowledged it
    deregistered: float = math.inf  # when its DELETE was acknowledged
    deregistration_registry: str = ""  # the machine of the registry that acknowledged it

    def is_warming_up(self, at: float) -> bool:
        """Whether the worker was in slow start at that time."""
        return any(start <= at < end for start, end in self.warmups)


def comparable_objects(objects: list[dict[str, Any]]) -> linearizability.Items:
    """Return a configuration's objects in a comparable form."""
    by_key = {f"{item['ObjectType']}/{item['Metadata'].get('Name', '')}": item for item in objects}
    return linearizability.items_of({key: json.dumps(item, sort_keys=True) for key, item in by_key.items()})


@define(eq=False, slots=True)
class ConfigurationChange:
    """A configuration sent by an operator: its stored `entries`, and the routing `table` built from them."""

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
        """Return the change for the linearizability checker."""
        if self.patch is None:
            upserts = comparable_objects(self.body["Objects"])
            return linearizability.ConfigurationWrite(self.base, self.version, upserts)
        withdrawn = [f"{kind}/{name}" for kind, names in self.patch["Withdraw"].items() for name in names]
        upserts = comparable_objects(self.patch["Upsert"]["Objects"])
        return linearizability.ConfigurationWrite(self.base, self.version, upserts, frozenset(withdrawn))

    def as_command(self) -> dict[str, Any]:
        """Return the operator command that requests the change."""
        kind, body = ("put", self.body) if self.patch is None else ("patch", self.patch)
        return {"kind": kind, "if_match": f"{self.base:08x}", "body": body}

    def describe(self) -> str:
        """Return the change as violations name it."""
        return f"version {self.version} of {self.operator} on {self.base}"


@define(eq=False, slots=True)
class Resend:
    """A repeated request of an accepted change; `status` 0: no response."""

    change: ConfigurationChange
    registry: str
    sent: float
    ended: float
    status: int


@define(eq=False, slots=True)
class ConfigurationRead:
    """A successful GET /config; `entries`: the stored form, None if it was not recorded."""

    started: float
    ended: float
    version: int
    body: Mapping[str, Any]
    entries: Mapping[str, Any] | None

    def observed(self) -> tuple[int, linearizability.Items]:
        """Return the version and objects for the linearizability checker."""
        return self.version, comparable_objects(self.body.get("Objects", []))

    def evacuated_zones(self) -> frozenset[str] | None:
        """Return the evacuated zones, None if they were not recorded."""
        if self.entries is None:
            return None
        parts = (key.partition("/") for key in self.entries)
        return frozenset(name for kind, _, name in parts if kind == "Evacuations")


@define(eq=False, slots=True)
class EvacuationChange:
    """An operator's command to evacuate a zone or, if `evacuated` is False, to end the evacuation."""

    zone: str
    evacuated: bool
    sent: float
    acknowledged: float = math.inf


@define(eq=False, slots=True)
class EvacuationCall:
    """One call for an `EvacuationChange` to one core machine.

    It takes effect by `effect_deadline` or never; `ended`: when it was acknowledged.
    """

    zone: str
    evacuated: bool
    sent: float
    effect_deadline: float
    operator: str = ""
    ended: float = math.inf


@define(eq=False, slots=True)
class FaultInterval:
    """When a machine had a fault or the core was unstable; an open interval ends at infinity."""

    started: float
    ended: float = math.inf

    def overlaps(self, start: float, end: float) -> bool:
        """Whether the interval overlaps this span."""
        return self.started <= end and self.ended >= start


class History:
    """All observations and faults of one run."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.workers: dict[str, WorkerRecord] = {}
        self.proxy_regions: dict[str, str] = {}  # by the proxy's machine
        self.unexpected_arrivals: list[UnexpectedArrival] = []
        self.changes: list[ConfigurationChange] = []
        self.configuration_reads: list[ConfigurationRead] = []
        self.resends: list[Resend] = []
        self.evacuations: list[EvacuationChange] = []
        self.evacuation_calls: list[EvacuationCall] = []
        self.route_edits: dict[str, Any] = {}  # by id, of `ashlift.simulation.route_edits`
        self.faults: dict[str, list[FaultInterval]] = {}  # by machine
        self.terminations: dict[str, list[float]] = {}  # by machine: when it was sent a SIGTERM
        self.core_unstable: list[FaultInterval] = []
        self.final_fault_at = math.inf
        self.end = 0.0

    def add_request(
        self, path: str, idempotent: bool, key: str, zone: str, region: str, sent: float
    ) -> Request:
        """Record a request that a client sends, with the next id."""
        request = Request(len(self.requests) + 1, path, idempotent, key, zone, region, sent)
        self.requests.append(request)
        return request

    def begin_fault(self, machine: str, now: float, termination: bool = False) -> None:
        """Record the start of a fault of the machine; `termination`: a SIGTERM."""
        self.faults.setdefault(machine, []).append(FaultInterval(now))
        if termination:
            self.terminations.setdefault(machine, []).append(now)

    def end_faults(self, machine: str, now: float) -> None:
        """Record the end of all faults of the machine."""
        for interval in self.faults.get(machine, ()):
            interval.ended = min(interval.ended, now)
