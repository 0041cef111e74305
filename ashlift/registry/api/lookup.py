"""`/lookup?Name=&Region=&Zone=`: which proxies a client goes to."""

import time
from typing import Final

from ashlift.errors import Failure
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS, Resource
from ashlift.registry.registry import Registry

LOOKUP_TTL: Final = "1s"


class LookupResource(Resource):
    """Answered from what this registry knows."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, request: HttpRequest) -> HttpResponse:
        """Addresses of proxies, near ones first; 503 where they are not known for sure."""
        zone = request.query.get("Zone", "")
        region = request.query.get("Region", "")
        addresses = self._registry.lookup(zone, region, time.monotonic())
        if isinstance(addresses, Failure):
            return error_response(503, addresses.detail, RETRY_AFTER_SECONDS)
        return HttpResponse(200, {"Addresses": addresses, "Ttl": LOOKUP_TTL})
