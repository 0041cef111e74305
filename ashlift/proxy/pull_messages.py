"""Messages of the RPC `pull`: a proxy's report, and what a registry knows. The wire's keys stand here alone.

Records travel under keys of one letter, a slash and a name; `RecordKind` lists them. No input or output. The
classes are named tuples, since those cost a start of the program least.
"""

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any, Final, NamedTuple

from ashlift.rpc.sources import OPERATOR_SOURCE

PULL_METHOD: Final = "pull"
KIND_LENGTH: Final = 2  # the letter and the slash before a record's name
NEVER: Final = float("inf")  # s: a registry that does not report how long it has run
Json = dict[str, Any]


class RecordKind(StrEnum):
    """What a record of a source is about: the first letter of its key."""

    WORKER = "w"
    PROXY = "g"
    IN_FLIGHT = "o"  # requests in flight at a worker
    FAILURES = "f"  # failed and all recent requests of a worker, and proxies that saw failures
    USAGE = "c"  # cumulative requests of a tenant, all and rejected


class UsageReport(NamedTuple):
    """Requests counted by tenant since the last report. `number` rises, so that none is added twice."""

    number: int
    counts: Mapping[str, tuple[int, int]]


class PullReport(NamedTuple):
    """What a proxy reports, and what it asks for. Times are seconds.

    `versions`: of the sources that it holds. `wait`: how long the registry may wait for changes.
    `requested_fragment`: of a large update, `[id, offset]`. `urgent`: it needs a confirmed configuration at
    once.
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

    def to_wire(self) -> Json:
        """The body of the call."""
        return {
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
            "adds": {"number": self.usage.number, "counts": self.usage.counts},
        }


class SourceUpdate(NamedTuple):
    """A change of one source, or (`full`) its complete state.

    `registry_uptime`: seconds that the registry behind the source has run, infinite if it does not say.
    """

    version: int
    full: bool
    entries: Mapping[str, Any]
    removed: Sequence[str]
    registry_uptime: float = NEVER

    @classmethod
    def from_wire(cls, body: Mapping[str, Any]) -> "SourceUpdate":
        """Decode one value of the response's `sources`."""
        return cls(body["version"], body["full"], body["set"], body["gone"], body.get("run", NEVER))


class PullResponse(NamedTuple):
    """What a registry answered.

    `operator_update`: of the operator's configuration, or None. `sources`: updates by source. `alive`: the
    sources that the registry hears, itself first. `configuration_age`: s since its configuration was
    confirmed to be the newest, None if it is not. `held`: s that it kept the call waiting after that.
    `registries_uptime`: s that all registries in reach have run. `registries`: IPs, nearest first. `late`: a
    newer configuration is on its way.
    """

    operator_update: SourceUpdate | None
    sources: Mapping[str, SourceUpdate]
    alive: Sequence[str]
    configuration_age: float | None
    held: float
    registries_uptime: float
    registries: Sequence[str]
    late: bool

    @classmethod
    def from_wire(cls, body: Mapping[str, Any]) -> "PullResponse":
        """Decode a response whose operator update, if any, is complete. Raises KeyError if malformed."""
        updates = {name: SourceUpdate.from_wire(update) for name, update in body["sources"].items()}
        return cls(
            operator_update=updates.pop(OPERATOR_SOURCE, None),
            sources=updates,
            alive=body["alive"],
            configuration_age=body.get("age"),
            held=body.get("held", 0.0),
            registries_uptime=body.get("ran", NEVER),
            registries=body.get("controls", ()),
            late=bool(body.get("late")),
        )
