"""Selects the proxies that a lookup returns to a client. Does no I/O; times in seconds.

`ashlift.registry.home_regions` determines which regions are allowed for a host. Proxies of other regions are
never returned, even if fewer than `MIN_NEAR_PROXIES` are ready in the allowed ones.
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

MAX_ADDRESSES: Final = 64  # in one response
# With fewer, one proxy would carry all of a zone's load and be a single point of failure.
MIN_NEAR_PROXIES: Final = 2
CACHE_SECONDS: Final = 0.1
MAX_CACHED_LOOKUPS: Final = 100  # combinations of locality and region policy
MAX_KNOWN_LOCALITIES: Final = 100


class LookupReach(StrEnum):
    """The area from which the proxies of a result were selected. The values are metric labels."""

    ZONE = "zone"
    REGION = "region"
    HOME_REGIONS = "home_regions"  # other regions, limited to the home regions of the host's routes
    OTHER_REGIONS = "other_regions"
    NOTHING = "nothing"  # no proxy is ready


@attrs.frozen
class LookupResult:
    """The proxies returned to a client.

    `ready_in_region`: number of ready proxies in the client's region. `other_regions`: the region of each
    returned proxy outside the client's region.
    """

    addresses: list[str]
    reach: LookupReach
    ready_in_region: int
    other_regions: tuple[str, ...]


class CachedResult(NamedTuple):
    """A result, and the monotonic time at which it was computed."""

    computed_at: float
    result: LookupResult


def choose_proxies(
    sessions: Iterable[SessionRecord], locality: Locality, policy: RegionPolicy
) -> LookupResult:
    """The ready proxies of the zone; if they are too few, also those of the region, then all allowed ones."""
    ready = [session for session in sessions if session.ready]
    # A different order in each zone spreads the load.
    ready.sort(key=lambda session: zlib.crc32(f"{locality.zone} {session.client_address}".encode()))
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
    """Performs lookups. Results are cached briefly, as many clients send the same lookup every second."""

    def __init__(self, live_sessions: Callable[[float], Mapping[str, SessionRecord]]) -> None:
        """`live_sessions`: returns the proxies whose leases are valid at a given time."""
        self._live_sessions = live_sessions
        self.cache: dict[tuple[Locality, RegionPolicy], CachedResult] = {}
        self.results_by_reach: Counter[str] = Counter()
        self.ready_in_region: dict[Locality, int] = {}  # as of the last lookup from each locality

    def has_proxy_shortage(self, locality: Locality) -> bool:
        """Whether the locality's region had too few ready proxies at the last lookup."""
        return self.ready_in_region.get(locality, MIN_NEAR_PROXIES) < MIN_NEAR_PROXIES

    def lookup(
        self, locality: Locality, region_policy: Callable[[], RegionPolicy], now: float
    ) -> LookupResult:
        """The proxies for clients in that locality.

        `region_policy`: returns the policy of the requested host; called only if the client's region has too
        few proxies.
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
