"""`/lookup?Name=&Region=&Zone=`: the proxies that a client should use."""

import time
from typing import Final

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS, Resource
from ashlift.registry.events import READY_PROXIES_SHORT
from ashlift.registry.locality import Locality
from ashlift.registry.peer_registries import MIN_UPTIME_SECONDS
from ashlift.registry.registry import Registry

LOOKUP_TTL: Final = "1s"


class LookupResource(Resource):
    """Responds from the records of this registry."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry
        self._localities_with_shortage: set[Locality] = set()  # whose region has too few ready proxies

    def get(self, request: HttpRequest) -> HttpResponse:
        """Addresses of proxies, nearest first; 503 if they are not known reliably or none is ready."""
        zone = request.query.get("Zone", "")
        locality = Locality(zone, request.query.get("Region") or self._registry.zones.get(zone, ""))
        now = time.monotonic()
        result = self._registry.lookup(request.query.get("Name", ""), locality, now)
        if zone in self._registry.zones and self._registry.uptime(now) >= MIN_UPTIME_SECONDS:
            self._log_shortage(locality)
        if isinstance(result, Failure):
            return error_response(503, result.detail, RETRY_AFTER_SECONDS)
        return HttpResponse(200, {"Addresses": result.addresses, "Ttl": LOOKUP_TTL})

    def _log_shortage(self, locality: Locality) -> None:
        """Log when a region has too few ready proxies, and when it has enough again."""
        directory = self._registry.directory
        if directory.has_proxy_shortage(locality) == (locality in self._localities_with_shortage):
            return
        self._localities_with_shortage ^= {locality}
        log_event(
            READY_PROXIES_SHORT,
            zone=locality.zone,
            region=locality.region,
            ready=directory.ready_in_region.get(locality),
        )
