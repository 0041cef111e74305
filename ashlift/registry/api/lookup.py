"""`/lookup?Name=&Region=&Zone=`: which proxies a client goes to."""

import time
from typing import Final

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS, Resource
from ashlift.registry.endpoint_directory import DirectoryAnswer, LookupReach
from ashlift.registry.events import LOOKUP_REACH_CHANGED
from ashlift.registry.locality import Place
from ashlift.registry.registry import Registry

LOOKUP_TTL: Final = "1s"
MAX_KNOWN_PLACES: Final = 100
OUTSIDE_REGION: Final = frozenset({LookupReach.HOME_REGIONS, LookupReach.OTHER_REGIONS})


class LookupResource(Resource):
    """Answered from what this registry knows."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._last_reach: dict[Place, LookupReach] = {}  # by the client's place

    def get(self, request: HttpRequest) -> HttpResponse:
        """Addresses of proxies, near ones first; 503 where they are not known for sure."""
        place = Place(request.query.get("Zone", ""), request.query.get("Region", ""))
        answer = self._registry.lookup(request.query.get("Name", ""), place, time.monotonic())
        if isinstance(answer, Failure):
            return error_response(503, answer.detail, RETRY_AFTER_SECONDS)
        self._log_reach(place, answer)
        return HttpResponse(200, {"Addresses": answer.addresses, "Ttl": LOOKUP_TTL})

    def _log_reach(self, place: Place, answer: DirectoryAnswer) -> None:
        """Log where the clients of a place begin, or cease, to be sent to other regions."""
        before = self._last_reach.get(place, LookupReach.ZONE) in OUTSIDE_REGION
        if len(self._last_reach) >= MAX_KNOWN_PLACES:
            self._last_reach.clear()
        self._last_reach[place] = answer.reach
        if before != (answer.reach in OUTSIDE_REGION):
            log_event(
                LOOKUP_REACH_CHANGED,
                zone=place.zone,
                region=place.region,
                reach=answer.reach,
                ready_in_region=answer.ready_in_region,
                outside_region=len(answer.other_regions),
            )
