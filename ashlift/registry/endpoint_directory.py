"""Which proxies a client is sent to by a look-up. Pure; times in seconds."""

import zlib
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from enum import StrEnum
from typing import Final

import attrs

from ashlift.registry.locality import Place
from ashlift.registry.records import SessionRecord

MAX_ADDRESSES: Final = 64  # in one answer
MIN_NEAR_PROXIES: Final = (
    2  # a single proxy must neither carry all of a zone's load nor be its only entry point
)
CACHE_SECONDS: Final = 0.1
MAX_CACHED_LOOKUPS: Final = 100  # zones, as asked for


class LookupReach(StrEnum):
    """How far from the client the farthest proxy of an answer may be. The values stand in metrics."""

    ZONE = "zone"
    REGION = "region"
    OTHER_REGIONS = "other_regions"
    NOTHING = "nothing"  # no proxy is ready


@attrs.frozen
class DirectoryAnswer:
    """The proxies that a client is sent to.

    `ready_in_region`: how many proxies of the client's region were ready. `outside_region`: how many of the
    addresses belong to proxies of other regions.
    """

    addresses: list[str]
    reach: LookupReach
    ready_in_region: int
    outside_region: int


def choose_proxies(sessions: Iterable[SessionRecord], place: Place) -> DirectoryAnswer:
    """The ready proxies of the zone; if they are few, the region's too; if still few, all."""
    ready = [session for session in sessions if session.ready]
    ready.sort(
        key=lambda session: zlib.crc32(f"{place.zone} {session.front}".encode())
    )  # another order for each zone
    in_zone = [session for session in ready if session.zone == place.zone]
    in_region = [session for session in ready if session.zone == place.zone or session.region == place.region]
    chosen = list(in_zone)
    reach = LookupReach.ZONE
    if len(chosen) < MIN_NEAR_PROXIES:
        chosen += [session for session in in_region if session.zone != place.zone]
        reach = LookupReach.REGION
    if len(chosen) < MIN_NEAR_PROXIES:
        chosen += [
            session for session in ready if session.zone != place.zone and session.region != place.region
        ]
        reach = LookupReach.OTHER_REGIONS
    chosen = chosen[:MAX_ADDRESSES]
    outside = sum(session.region != place.region for session in chosen)
    addresses = [session.front for session in chosen]
    return DirectoryAnswer(addresses, reach if chosen else LookupReach.NOTHING, len(in_region), outside)


class EndpointDirectory:
    """Answers to look-ups, cached briefly: hundreds of clients send the same request every second."""

    def __init__(self, live_sessions: Callable[[float], Mapping[str, SessionRecord]]) -> None:
        """`live_sessions`: proxies whose leases stand at a time."""
        self._live_sessions = live_sessions
        self.cache: dict[Place, tuple[float, DirectoryAnswer]] = {}  # since when, what
        self.answers_by_reach: Counter[str] = Counter()

    def answer(self, place: Place, now: float) -> DirectoryAnswer:
        """Where clients of that place are sent."""
        cached_at, answer = self.cache.get(place, (-1.0, None))
        if answer is None or cached_at < now - CACHE_SECONDS:
            answer = choose_proxies(self._live_sessions(now).values(), place)
            if len(self.cache) >= MAX_CACHED_LOOKUPS:
                self.cache.clear()
            self.cache[place] = now, answer
        self.answers_by_reach[answer.reach] += 1
        return answer
