"""Which proxies a client is sent to by a look-up. Pure; times in seconds."""

import zlib
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from ashlift.registry.records import SessionRecord

MAX_ADDRESSES: Final = 64  # in one answer
MIN_NEAR_PROXIES: Final = (
    2  # a single proxy must neither carry all of a zone's load nor be its only entry point
)
CACHE_SECONDS: Final = 0.1
MAX_CACHED_LOOKUPS: Final = 100  # zones, as asked for


def ready_fronts(sessions: Iterable[SessionRecord], zone: str, region: str) -> list[str]:
    """Addresses of the ready proxies of the zone; if they are few, the region's too; if still few, all."""
    ready = [session for session in sessions if session.ready]
    ready.sort(
        key=lambda session: zlib.crc32(f"{zone} {session.front}".encode())
    )  # another order for each zone
    chosen = [session for session in ready if session.zone == zone]
    if len(chosen) < MIN_NEAR_PROXIES:
        chosen += [session for session in ready if session.zone != zone and session.region == region]
    if len(chosen) < MIN_NEAR_PROXIES:
        chosen += [session for session in ready if session.zone != zone and session.region != region]
    return [session.front for session in chosen[:MAX_ADDRESSES]]


class EndpointDirectory:
    """Answers to look-ups, cached briefly: hundreds of clients send the same request every second."""

    def __init__(self, live_sessions: Callable[[float], Mapping[str, SessionRecord]]) -> None:
        """`live_sessions`: proxies whose leases stand at a time."""
        self._live_sessions = live_sessions
        self.cache: dict[
            tuple[str, str], tuple[float, list[str]]
        ] = {}  # by zone and region: since when, what

    def addresses(self, zone: str, region: str, now: float) -> list[str]:
        """Where clients of that place are sent."""
        cached_at, fronts = self.cache.get((zone, region), (-1.0, []))
        if cached_at < now - CACHE_SECONDS:
            fronts = ready_fronts(self._live_sessions(now).values(), zone, region)
            if len(self.cache) >= MAX_CACHED_LOOKUPS:
                self.cache.clear()
            self.cache[zone, region] = now, fronts
        return fronts
