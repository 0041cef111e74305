"""Which proxies a client is sent to by a look-up. Pure; times in seconds.

`ashlift.registry.home_regions` says which regions are allowed for a host. The minimum of near proxies is
sought among these alone: it never adds a proxy of another region. Where none of them is ready, the answer
names nobody.
"""

import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Final, NamedTuple

import attrs

from ashlift.registry.home_regions import CLIENT_REGION_ONLY, RegionPolicy
from ashlift.registry.locality import Locality
from ashlift.registry.records import SessionRecord

MAX_ADDRESSES: Final = 64  # in one answer
MIN_NEAR_PROXIES: Final = (
    2  # a single proxy must neither carry all of a zone's load nor be its only entry point
)
CACHE_SECONDS: Final = 0.1
MAX_CACHED_LOOKUPS: Final = 100  # places as asked for, with the policies of hosts
MAX_KNOWN_LOCALITIES: Final = 100


class LookupReach(StrEnum):
    """How far from the client the farthest proxy of an answer may be. The values stand in metrics."""

    ZONE = "zone"
    REGION = "region"
    HOME_REGIONS = "home_regions"  # other regions, where the host's routes are at home
    OTHER_REGIONS = "other_regions"
    NOTHING = "nothing"  # no proxy is ready


@attrs.frozen
class LookupResult:
    """The proxies that a client is sent to.

    `ready_in_region`: how many proxies of the client's region were ready. `other_regions`: those of the
    addresses that are not in the client's region, one entry for each.
    """

    addresses: list[str]
    reach: LookupReach
    ready_in_region: int
    other_regions: tuple[str, ...]


class CachedResult(NamedTuple):
    """An answer, and the steady time at which it was worked out."""

    computed_at: float
    result: LookupResult


def choose_proxies(
    sessions: Iterable[SessionRecord], locality: Locality, policy: RegionPolicy
) -> LookupResult:
    """The ready proxies of the zone; if they are few, the region's too; if still few, all allowed ones."""
    ready = [session for session in sessions if session.ready]
    ready.sort(
        key=lambda session: zlib.crc32(f"{locality.zone} {session.client_address}".encode())
    )  # another order for each zone
    in_zone = [session for session in ready if session.zone == locality.zone]
    rest_of_region = [
        session for session in ready if session.zone != locality.zone and session.region == locality.region
    ]
    ready_in_region = len(in_zone) + len(rest_of_region)
    chosen = in_zone
    reach = LookupReach.ZONE if chosen else LookupReach.NOTHING
    if len(chosen) < MIN_NEAR_PROXIES and rest_of_region:
        chosen = chosen + rest_of_region
        reach = LookupReach.REGION
    if len(chosen) < MIN_NEAR_PROXIES and not (policy.only_if_client_region_empty and ready_in_region):
        elsewhere = [
            session
            for session in ready
            if session.zone != locality.zone
            and session.region != locality.region
            and policy.allows(session.region, locality.region)
        ]
        chosen = chosen + elsewhere
        if elsewhere:
            reach = LookupReach.OTHER_REGIONS if policy.allowed_regions is None else LookupReach.HOME_REGIONS
    chosen = chosen[:MAX_ADDRESSES]
    return LookupResult(
        [session.client_address for session in chosen],
        reach,
        ready_in_region,
        tuple(session.region for session in chosen if session.region != locality.region),
    )


class EndpointDirectory:
    """Answers to look-ups, cached briefly: hundreds of clients send the same request every second."""

    def __init__(self, live_sessions: Callable[[float], Mapping[str, SessionRecord]]) -> None:
        """`live_sessions`: proxies whose leases stand at a time."""
        self._live_sessions = live_sessions
        self.cache: dict[tuple[Locality, RegionPolicy], CachedResult] = {}
        self.results_by_reach: Counter[str] = Counter()
        self.ready_in_region: dict[Locality, int] = {}  # by place, as of the last look-up there

    def has_proxy_shortage(self, locality: Locality) -> bool:
        """Whether the region of a place had too few ready proxies at the last look-up."""
        return self.ready_in_region.get(locality, MIN_NEAR_PROXIES) < MIN_NEAR_PROXIES

    def lookup(
        self, locality: Locality, region_policy: Callable[[], RegionPolicy], now: float
    ) -> LookupResult:
        """Where clients of that place are sent.

        `region_policy`: of the host that they ask for; called only where their region has too few proxies.
        """
        result = self._cached_result(locality, CLIENT_REGION_ONLY, now)
        if len(result.addresses) < MIN_NEAR_PROXIES:
            result = self._cached_result(locality, region_policy(), now)
        self.results_by_reach[result.reach] += 1
        if len(self.ready_in_region) >= MAX_KNOWN_LOCALITIES:
            self.ready_in_region.clear()
        self.ready_in_region[locality] = result.ready_in_region
        return result

    def _cached_result(self, locality: Locality, policy: RegionPolicy, now: float) -> LookupResult:
        cached = self.cache.get((locality, policy))
        if cached is None or cached.computed_at < now - CACHE_SECONDS:
            result = choose_proxies(self._live_sessions(now).values(), locality, policy)
            cached = CachedResult(now, result)
            if len(self.cache) >= MAX_CACHED_LOOKUPS:
                self.cache.clear()
            self.cache[locality, policy] = cached
        return cached.result
