"""Which gatekeepers a client is told of. Pure."""

import zlib
from collections.abc import Iterable

from pegboard.records import Session

MOST = 64  # addresses in one answer
FEW = 2  # fewer near ones than this: a single gatekeeper must not carry a whole zone, nor be the only way


def addresses(sessions: Iterable[Session], zone: str, region: str) -> list[str]:
    """Fronts of the ready ones: the zone's; if they are few, the region's too; if still few, all."""
    ready = [one for one in sessions if one.ready]
    ready.sort(key=lambda one: zlib.crc32(f"{zone} {one.front}".encode()))
    found = [one for one in ready if one.zone == zone]
    if len(found) < FEW:
        found += [one for one in ready if one.zone != zone and one.region == region]
    if len(found) < FEW:
        found += [one for one in ready if one.zone != zone and one.region != region]
    return [one.front for one in found[:MOST]]
