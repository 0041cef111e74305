"""The bodies of the RPC calls that a registry serves and makes; `ashlift.registry.codec` encodes them.

Times are in seconds. A *version vector* has the version held of each source.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ashlift.registry.delta import Delta
from ashlift.registry.usage_history import RecentUsage
from ashlift.rpc.quota_leases import LeaseReport

Json = dict[str, Any]


class LoadReport(NamedTuple):
    """A proxy's load report on the workers that it calls, by worker ID.

    `in_flight`: requests in flight. `failures`: recent failures and requests, both in tenths.
    """

    in_flight: dict[str, int]
    failures: dict[str, tuple[int, int]]


NO_LOAD: Final = LoadReport({}, {})


class UsageReport(NamedTuple):
    """`(tenant, requests, declined)` since a proxy's last report; `number` identifies repeated reports.

    `transit_seconds`: how long the report may have been on its way.
    """

    number: int
    increments: list[tuple[str, int, int]]
    transit_seconds: float = 0.0

    def as_admitted(self) -> "UsageReport":
        """A report of the same admitted requests, without the declined ones."""
        admitted = [(tenant, requests - declined, 0) for tenant, requests, declined in self.increments]
        return self._replace(increments=[(tenant, count, 0) for tenant, count, _ in admitted if count > 0])


class PullRequest(NamedTuple):
    """Request of `pull`: a proxy renews its session, reports usage and load, and requests updates.

    `urgent`: the proxy needs a confirmed configuration at once. `fragment`: the requested fragment of a large
    configuration, as `[id, offset]`. `leases`: on shares of quotas, by tenant.
    """

    node: str
    incarnation: str
    zone: str
    region: str
    client_address: str
    ready: bool
    versions: Mapping[str, int]
    config_index: int
    wait_seconds: float
    urgent: bool
    usage: UsageReport
    load: LoadReport
    accepts_packed: bool
    accepts_fragments: bool
    fragment: list[Any] | None
    leases: Mapping[str, LeaseReport]


class SourceUpdate(NamedTuple):
    """A delta of one registry's records.

    In snapshots only: `uptime` of that registry, and its `recent_usage`.
    """

    delta: Delta
    uptime: float | None
    recent_usage: RecentUsage | None = None


class PullResponse(NamedTuple):
    """Response of `pull`.

    `config_update`: the operator's configuration, already encoded, as it may be a fragment or packed.
    `config_is_behind`: the update does not reach the newest configuration held by this registry.
    `lease_age`: age of the freshness lease of that configuration. `uptime`: of the youngest live registry.
    `registries`: IPs in order of preference. `proxy_count`: number of proxies with a session. `usage_age`:
    seconds since the usage totals were complete.
    """

    updates: dict[str, SourceUpdate]
    config_update: Json | None
    alive: list[str]
    lease_age: float | None
    response_delay_seconds: float
    uptime: float
    config_is_behind: bool
    registries: list[str]
    proxy_count: int
    usage_age: float


class SwapRequest(NamedTuple):
    """Request of `swap` for a registry's local records; `caller_ip`: set if the caller may be unknown."""

    incarnation: str
    version: int
    caller_ip: str | None


class SwapOrigin(NamedTuple):
    """The registry behind the snapshot in a `swap` response; `started_at`: monotonic start time."""

    node: str
    incarnation: str
    zone: str
    region: str
    started_at: float

    @property
    def source(self) -> str:
        """The name of its source in version vectors."""
        return f"{self.node}#{self.incarnation}"


class SwapResponse(NamedTuple):
    """Response of `swap`: no change (`delta` is None), a delta, or a snapshot with its `origin`.

    `usage_age`: seconds since the usage in the records was complete, None if not reported. `held_seconds`:
    how long the call was held before the response.
    """

    version: int
    delta: Delta | None
    origin: SwapOrigin | None = None
    usage_age: float | None = None
    held_seconds: float = 0.0


class WatchResponse(NamedTuple):
    """A store's response to `watch`: changes of the operator's configuration, and the freshness lease.

    `is_behind`: the store holds a newer configuration than the response, so the lease is not renewed.
    `response_delay_seconds`: how long the store held the call open.
    """

    delta: Delta
    term: int
    leader: str | None
    lease_age: float | None
    response_delay_seconds: float
    is_behind: bool


class CommandResult(NamedTuple):
    """A store's response to an operator's command; `details`: the fields other than the status."""

    status: int
    details: Json

    @property
    def reason(self) -> str:
        """Why the command was rejected; empty if it was not."""
        return self.details.get("reason") or ""

    @property
    def config_index(self) -> int | None:
        """The commit index after this command, if the store returned one."""
        return self.details.get("index")
