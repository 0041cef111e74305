"""`/status`: what this registry knows, for the command line."""

import time

from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.resource import Resource
from ashlift.registry.registry import Registry


class StatusResource(Resource):
    """Answered from what this registry knows."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, _request: HttpRequest) -> HttpResponse:
        """The report as of now."""
        from ashlift.registry.status_report import status_report  # seldom needed: not loaded at a start

        return HttpResponse(200, status_report(self._registry, time.monotonic()))
