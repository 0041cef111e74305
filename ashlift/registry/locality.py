"""Localities and the distance between them: same zone, same region, or neither.

Distances are plain integers because they are compared for every pull and every heartbeat.
"""

from typing import Final, NamedTuple

SAME_ZONE: Final = 0
SAME_REGION: Final = 1
OTHER_REGION: Final = 2
UNKNOWN_DISTANCE: Final = 3


class Locality(NamedTuple):
    """A zone and its region."""

    zone: str
    region: str

    def distance_from(self, zone: str, region: str | None) -> int:
        """Distance from the other locality; `region` is None if unknown."""
        if self.zone == zone:
            return SAME_ZONE
        return SAME_REGION if self.region == region else OTHER_REGION
