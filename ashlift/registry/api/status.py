"""`/status`: the state of this registry, for the command line."""

import time

from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.resource import Resource
from ashlift.registry.registry import Registry


class StatusResource(Resource):
    """Responds from the records of this registry."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, _request: HttpRequest) -> HttpResponse:
        """The current status report."""
        from ashlift.registry.status_report import status_report  # rarely needed, imported on first use

        return HttpResponse(200, status_report(self._registry, time.monotonic()))
