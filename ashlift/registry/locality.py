"""How near one place is to another: same zone, same region, or neither. Pure."""

from enum import IntEnum

import attrs


class Distance(IntEnum):
    """The nearer, the lower."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2
    UNKNOWN = 3


@attrs.frozen
class Place:
    """A zone and the region that it lies in."""

    zone: str
    region: str

    def distance_from(self, zone: str, region: str | None) -> Distance:
        """`region` of the other place; None: not known."""
        if self.zone == zone:
            return Distance.SAME_ZONE
        return Distance.SAME_REGION if self.region == region else Distance.OTHER_REGION
