"""Messages of the RPC `pull`: the proxy's report and the registry's response. No I/O.

The wire's keys are defined only here. The key of a record is one letter (`RecordKind`), a slash and a name.
The classes are named tuples, which are the fastest to define at start-up.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

from ashlift.rpc.sources import OPERATOR_SOURCE

PULL_METHOD: Final = "pull"
KIND_LENGTH: Final = 2  # the letter and the slash before a record's name
AGE_DECIMALS: Final = 2
UNKNOWN_UPTIME: Final = float("inf")  # seconds; of a registry that does not report its uptime
Json = dict[str, Any]


class RecordKind(StrEnum):
    """The kind of a source's record: the first letter of its key."""

    WORKER = "w"
    PROXY = "g"
    IN_FLIGHT = "o"  # requests in flight at a worker
    FAILURES = "f"  # of a worker: recent failures, recent requests, number of proxies that saw failures
    USAGE = "c"  # of a tenant: all requests and rejected requests, cumulative
    SILENCE = "s"  # of a proxy that has a session and has not called for a while: True
    LEASE_TABLE = "q"  # of a tenant's quota: term, and leased share in thousandths by proxy
    DEPARTURE = "d"  # of a worker that drains or has deregistered: sequence number, address, age in seconds


class UsageReport(NamedTuple):
    """Requests by tenant since the last report. `number` increases, so that no report is added twice.

    `transit_seconds`: how long the report may be on its way, as the call before was.
    """

    number: int
    counts: Mapping[str, tuple[int, int]]
    transit_seconds: float = 0.0


class PullReport(NamedTuple):
    """A proxy's report and its request for updates. Times are in seconds.

    `versions`: the version held of each source. `wait`: how long the registry may hold the call until there
    are changes. `requested_fragment`: of a large update, `[id, offset]`. `urgent`: the proxy needs a
    confirmed configuration immediately. `leases`: the share of each tenant's quota that it asks for, the one
    that it holds, in thousandths, and the term and revision of the table by which it does.
    """

    node: str
    incarnation: str
    zone: str
    region: str
    client_address: str
    ready: bool
    versions: Mapping[str, int]
    wait: float
    in_flight: Mapping[str, int]
    failures: Mapping[str, list[int]]
    requested_fragment: list[Any] | None
    urgent: bool
    usage: UsageReport
    leases: Mapping[str, tuple[int, int, tuple[int, int]]] = {}

    def to_wire(self) -> Json:
        """The body of the call."""
        body = {
            "node": self.node,
            "incarnation": self.incarnation,
            "zone": self.zone,
            "region": self.region,
            "front": self.client_address,
            "ready": self.ready,
            "have": self.versions,
            "wait": self.wait,
            "outs": self.in_flight,
            "faults": self.failures,
            "packs": True,
            "part": self.requested_fragment,
            "eager": self.urgent,
            "adds": {
                "number": self.usage.number,
                "counts": self.usage.counts,
                "age": round(self.usage.transit_seconds, AGE_DECIMALS),
            },
        }
        if self.leases:
            body["leases"] = {
                tenant: [wanted, held, [*position]]
                for tenant, (wanted, held, position) in self.leases.items()
            }
        return body


class SourceUpdate(NamedTuple):
    """Changes of one source, or its complete state if `full` is set.

    `registry_uptime`: of the source's registry, in seconds; infinite if not reported. `recent_usage`: a
    number of seconds, and the accepted requests by tenant in them; none if not reported.
    """

    version: int
    full: bool
    entries: Mapping[str, Any]
    removed: Sequence[str]
    registry_uptime: float = UNKNOWN_UPTIME
    recent_usage: tuple[float, Mapping[str, int]] = (0.0, {})

    @classmethod
    def from_wire(cls, body: Mapping[str, Any]) -> "SourceUpdate":
        """Decode one value of `sources` in the response."""
        return cls(
            body["version"],
            body["full"],
            body["set"],
            body["gone"],
            body.get("run", UNKNOWN_UPTIME),
            body.get("recent", (0.0, {})),
        )


class PullResponse(NamedTuple):
    """A registry's response. Times are in seconds.

    `operator_update`: of the operator's configuration, or None. `sources`: updates by source. `alive`: the
    sources of live registries, its own first. `configuration_age`: time since its configuration was confirmed
    to be the newest, None if it is unconfirmed. `hold_seconds`: how long it held the call before responding.
    `registries_uptime`: the shortest uptime of the registries that it can reach. `registries`: IPs, nearest
    first. `newer_version_pending`: a newer configuration is about to follow. `usage_age`: time since the
    usage totals were complete, None if not reported.
    """

    operator_update: SourceUpdate | None
    sources: Mapping[str, SourceUpdate]
    alive: Sequence[str]
    configuration_age: float | None
    hold_seconds: float
    registries_uptime: float
    registries: Sequence[str]
    newer_version_pending: bool
    usage_age: float | None = None

    @classmethod
    def from_wire(cls, body: Mapping[str, Any]) -> "PullResponse":
        """Decode a response whose operator update, if any, is complete. Raises KeyError if malformed."""
        updates = {name: SourceUpdate.from_wire(update) for name, update in body["sources"].items()}
        return cls(
            operator_update=updates.pop(OPERATOR_SOURCE, None),
            sources=updates,
            alive=body["alive"],
            configuration_age=body.get("age"),
            hold_seconds=body.get("held", 0.0),
            registries_uptime=body.get("ran", UNKNOWN_UPTIME),
            registries=body.get("controls", ()),
            newer_version_pending=bool(body.get("late")),
            usage_age=body.get("lag"),
        )
