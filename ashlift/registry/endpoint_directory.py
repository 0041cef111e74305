"""Which gatekeepers a client is told of. Pure."""

import zlib
from collections.abc import Callable, Iterable, Mapping

from ashlift.registry.records import SessionRecord

MOST = 64  # addresses in one answer
LOOK_S = 0.1  # what a zone's clients are told is worked out so often
MAX_CACHED_LOOKUPS = 100  # zones, as asked for
FEW = 2  # fewer near ones than this: a single gatekeeper must not carry a whole zone, nor be the only way


def addresses(sessions: Iterable[SessionRecord], zone: str, region: str) -> list[str]:
    """Fronts of the ready ones: the zone's; if they are few, the region's too; if still few, all."""
    ready = [one for one in sessions if one.ready]
    ready.sort(key=lambda one: zlib.crc32(f"{zone} {one.front}".encode()))
    found = [one for one in ready if one.zone == zone]
    if len(found) < FEW:
        found += [one for one in ready if one.zone != zone and one.region == region]
    if len(found) < FEW:
        found += [one for one in ready if one.zone != zone and one.region != region]
    return [one.front for one in found[:MOST]]


class EndpointDirectory:
    """Answers kept for LOOK_S: hundreds of clients ask the same every second."""

    def __init__(self, sessions: Callable[[float], Mapping[str, SessionRecord]]) -> None:
        self._sessions = sessions
        self.kept: dict[tuple[str, str], tuple[float, list[str]]] = {}  # when, fronts

    def addresses(self, zone: str, region: str, now: float) -> list[str]:
        at, found = self.kept.get((zone, region), (-1.0, []))
        if at < now - LOOK_S:
            found = addresses(self._sessions(now).values(), zone, region)
            if len(self.kept) >= MAX_CACHED_LOOKUPS:
                self.kept.clear()
            self.kept[zone, region] = now, found
        return found
