"""The bodies of the RPC calls that a registry serves and makes. Keys and positions: `ashlift.registry.codec`.

Times are in seconds. A *version vector* names the version held of each source.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ashlift.registry.delta import Delta

Json = dict[str, Any]


class LoadReport(NamedTuple):
    """What one proxy reports of the workers that it calls, by worker ID.

    `failures`: recent failures and requests, both in tenths.
    """

    in_flight: dict[str, int]
    failures: dict[str, tuple[int, int]]


NO_LOAD: Final = LoadReport({}, {})


class UsageReport(NamedTuple):
    """`(tenant, requests, declined)` since a proxy's last report; `number` rises: none counts twice."""

    number: int
    increments: list[tuple[str, int, int]]


class PullRequest(NamedTuple):
    """`pull`: a proxy renews its session, reports usage and load, and asks for what it lacks.

    `fragment`: which fragment of a large configuration it asks for, as `[id, offset]`.
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


class SourceUpdate(NamedTuple):
    """A delta of one registry's records; `uptime`, in a snapshot: how long that registry has run."""

    delta: Delta
    uptime: float | None


class PullResponse(NamedTuple):
    """The answer to `pull`.

    `config_update`: the operator's configuration, already encoded, as it may be a fragment or packed.
    `config_is_behind`: this response does not bring the proxy up to the newest configuration held here.
    `lease_age`: seconds since that was proven newest. `uptime`: of the youngest registry in contact.
    `registries`: IPs in the order in which to go to them. `proxy_count`: proxies with a session.
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


class SwapRequest(NamedTuple):
    """`swap`: another registry asks for this one's records; `caller_ip`: where it may not be known yet."""

    incarnation: str
    version: int
    caller_ip: str | None


class SwapOrigin(NamedTuple):
    """Whose snapshot a `swap` response holds, and at which steady time that registry started."""

    node: str
    incarnation: str
    zone: str
    region: str
    started_at: float

    @property
    def source(self) -> str:
        """The name of its records in version vectors."""
        return f"{self.node}#{self.incarnation}"


class SwapResponse(NamedTuple):
    """The answer to `swap`: nothing new (`delta` is None), a delta, or a snapshot with its `origin`."""

    version: int
    delta: Delta | None
    origin: SwapOrigin | None = None


class WatchResponse(NamedTuple):
    """A store's answer to `watch`: what changed of the operator's configuration, and when it was the newest.

    `is_behind`: the store holds a newer one, and proves nothing. `response_delay_seconds`: for how long the
    call was open there.
    """

    delta: Delta
    term: int
    leader: str | None
    lease_age: float | None
    response_delay_seconds: float
    is_behind: bool


class CommandResult(NamedTuple):
    """A store's clear answer to an operator's command; `details` are the fields besides the status."""

    status: int
    details: Json

    @property
    def reason(self) -> str:
        """Why it was rejected, in words for people; empty if it was not."""
        return self.details.get("reason") or ""

    @property
    def config_index(self) -> int | None:
        """The index of the configuration as of this command, if the store gave one."""
        return self.details.get("index")
