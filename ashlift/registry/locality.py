"""How near one place is to another: same zone, same region, or neither. Pure.

Distances are plain numbers, the nearer the lower: they are compared for every pull and every heartbeat.
"""

from typing import Final, NamedTuple

SAME_ZONE: Final = 0
SAME_REGION: Final = 1
OTHER_REGION: Final = 2
UNKNOWN_DISTANCE: Final = 3


class Locality(NamedTuple):
    """A zone and the region that it lies in."""

    zone: str
    region: str

    def distance_from(self, zone: str, region: str | None) -> int:
        """`region` of the other place; None: not known."""
        if self.zone == zone:
            return SAME_ZONE
        return SAME_REGION if self.region == region else OTHER_REGION
