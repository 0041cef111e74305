"""What clients, workers and operators have seen, and what befell the machines: all that the checkers judge.

Times are the world's, s. A request is one try of a client, with its own id.
"""

import bisect
import json
import math
from collections.abc import Mapping
from typing import Any

from attrs import define, field

from ashlift.config.routing_table import RoutingTable
from ashlift.simulation import linearizability

HOST = "app.example"


@define(eq=False, slots=True)
class Arrival:
    """A request at a worker; `ran`: False, it was turned away; `code`: what it was turned away with."""

    at: float
    worker: str
    service: str
    tenant: str
    gate: str
    ran: bool
    code: int = 0
    status: int = 0  # the worker's answer; 0: none, or not recorded
    seal: str = ""  # of its answer, with a digest of the body


@define(eq=False, slots=True)
class Request:
    id: int
    path: str
    repeatable: bool
    key: str
    zone: str
    region: str
    sent: float
    gate: str = ""
    life: int = 0
    taken: float = math.inf  # when the gatekeeper had read it
    status: int = 0  # 0: no answer
    cause: str = ""  # of the gatekeeper's own answer
    ended: float = math.inf
    broken: bool = False  # the gatekeeper closed the connection without a whole answer
    seal: str | None = None  # as the client got it; None: not recorded
    full: int = 0  # how often there was no connection to be had for a try of it
    arrivals: list[Arrival] = field(factory=list)

    def told(self) -> str:
        key = self.key or "no key"
        return f"request {self.id} {self.path} ({key}) sent {self.sent:.3f} to {self.gate or '-'}"


@define(frozen=True)
class Stray:
    """What came to a worker and no client had sent so."""

    at: float
    worker: str
    what: str


@define(eq=False, slots=True)
class WorkerLife:
    id: str
    service: str
    zone: str
    region: str
    address: str
    born: float
    ended: float = math.inf
    cold: list[tuple[float, float]] = field(factory=list)  # from, until
    left: float = math.inf  # when `draining` or its end was acknowledged
    left_at: str = ""  # by this machine
    deleted: float = math.inf  # when its DELETE was acknowledged

    def is_cold(self, at: float) -> bool:
        return any(since <= at < until for since, until in self.cold)


def objects(found: list[dict[str, Any]]) -> linearizability.Items:
    """A configuration's objects as values that can be compared."""
    named = {f"{one['ObjectType']}/{one['Metadata'].get('Name', '')}": one for one in found}
    return linearizability.items_of({key: json.dumps(one, sort_keys=True) for key, one in named.items()})


@define(eq=False, slots=True)
class Change:
    """A configuration that an operator sent; `entries`: the map that it stands for, `table` made of it."""

    version: int
    base: int
    who: str
    sent: float
    body: dict[str, Any]
    entries: Mapping[str, Any]
    table: RoutingTable
    valid: bool = True
    acked: float = math.inf
    refused: int = 0
    ended: float = math.inf
    patch: dict[str, Any] | None = None  # what is sent in place of the whole

    def asked(self) -> linearizability.ConfigurationWrite:
        """As the checker of linearizability takes it."""
        if self.patch is None:
            return linearizability.ConfigurationWrite(self.base, self.version, objects(self.body["Objects"]))
        gone = [f"{kind}/{name}" for kind, names in self.patch["Withdraw"].items() for name in names]
        upsert = objects(self.patch["Upsert"]["Objects"])
        return linearizability.ConfigurationWrite(self.base, self.version, upsert, frozenset(gone))

    def order(self) -> dict[str, Any]:
        """As it is sent."""
        kind, body = ("put", self.body) if self.patch is None else ("patch", self.patch)
        return {"kind": kind, "if_match": f"{self.base:08x}", "body": body}

    def told(self) -> str:
        return f"version {self.version} of {self.who} on {self.base}"


@define(eq=False, slots=True)
class Resend:
    """One more call of a change that was taken; `status` 0: no answer."""

    change: Change
    at: str
    sent: float
    ended: float
    status: int


@define(eq=False, slots=True)
class Reading:
    """A GET /config that was answered; `entries`: the map that stands for it, None where it is not seen."""

    begun: float
    ended: float
    version: int
    body: Mapping[str, Any]
    entries: Mapping[str, Any] | None

    def seen(self) -> tuple[int, linearizability.Items]:
        return self.version, objects(self.body.get("Objects", []))

    def zones(self) -> frozenset[str] | None:
        """The zones evacuated then; None: not seen."""
        if self.entries is None:
            return None
        found = (key.partition("/") for key in self.entries)
        return frozenset(name for kind, _, name in found if kind == "Evacuations")


@define(eq=False, slots=True)
class Order:
    """An evacuation (`on`) or its end."""

    zone: str
    on: bool
    sent: float
    acked: float = math.inf


@define(eq=False, slots=True)
class Copy:
    """One call of an `Order`, as one core machine got it; its effect comes by `until` or never."""

    zone: str
    on: bool
    sent: float
    until: float
    who: str = ""
    ended: float = math.inf  # acknowledged


class Spans:
    """Times of trouble, from and until; open ones last."""

    def __init__(self) -> None:
        self._from: list[float] = []
        self._until: list[float] = []  # the latest of all up to here

    def add(self, since: float, until: float) -> None:
        """`since` never goes back."""
        self._from.append(since)
        self._until.append(max(until, self._until[-1] if self._until else until))

    def meets(self, since: float, until: float) -> bool:
        """Whether any of them lies in this span, in part."""
        at = bisect.bisect_right(self._from, until)
        return at > 0 and self._until[at - 1] >= since


class History:
    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.workers: dict[str, WorkerLife] = {}
        self.strays: list[Stray] = []
        self.changes: list[Change] = []
        self.readings: list[Reading] = []
        self.resends: list[Resend] = []
        self.orders: list[Order] = []
        self.copies: list[Copy] = []
        self.errands: dict[str, Any] = {}  # edits of single routes by id (`ashlift.simulation.clerks`)
        self.troubles: dict[str, list[list[float]]] = {}  # machine -> [from, until]
        self.planned: dict[str, list[float]] = {}  # machine -> when a trouble began that was a SIGTERM
        self.unsettled: list[list[float]] = []  # of the core
        self.closing = math.inf  # when the closing fault came
        self.end = 0.0

    def request(self, path: str, repeatable: bool, key: str, zone: str, region: str, sent: float) -> Request:
        made = Request(len(self.requests) + 1, path, repeatable, key, zone, region, sent)
        self.requests.append(made)
        return made

    def trouble(self, machine: str, now: float, planned: bool = False) -> None:
        """Something begins to befall the machine; `planned`: a SIGTERM."""
        self.troubles.setdefault(machine, []).append([now, math.inf])
        if planned:
            self.planned.setdefault(machine, []).append(now)

    def over(self, machine: str, now: float) -> None:
        """All that befell the machine is over."""
        for span in self.troubles.get(machine, ()):
            span[1] = min(span[1], now)
