"""`/evacuation/ZONE`: stops traffic to a zone until the evacuation is ended."""

import time
from collections.abc import Callable
from typing import Final

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.api.command_responses import command_response
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS, Resource
from ashlift.registry.store_client import StoreClient

MAX_REQUEST_AGE_SECONDS: Final = 0.4  # a request that may be older must be sent again


class EvacuationResource(Resource):
    """Starts and ends evacuations.

    These commands have no `If-Match` version that would reject a delayed one, so only requests that were
    certainly sent within `MAX_REQUEST_AGE_SECONDS` are executed.
    """

    def __init__(self, store: StoreClient, settings: Callable[[], Settings]) -> None:
        """`settings`: returns the current settings, which list the zones."""
        self._store = store
        self._settings = settings

    def post(self, request: HttpRequest) -> HttpResponse:
        """Evacuate the zone."""
        return self._change("evacuate", request)

    def delete(self, request: HttpRequest) -> HttpResponse:
        """End the evacuation."""
        return self._change("restore", request)

    def _change(self, kind: str, request: HttpRequest) -> HttpResponse:
        zone = "/".join(request.segments)
        if zone not in self._settings().zones:
            return error_response(404, f"no zone {zone[:100]}")
        if time.monotonic() - request.not_written_before > MAX_REQUEST_AGE_SECONDS:
            return _retry_redirect(kind, request)
        result = self._store.submit(
            kind, None, zone, body_bytes=0, not_written_before=request.not_written_before
        )
        if isinstance(result, Failure) and result.reason == FailureReason.EXPIRED:
            return _retry_redirect(kind, request)
        return command_response(kind, result)


def _retry_redirect(kind: str, request: HttpRequest) -> HttpResponse:
    """Redirect to the same URL, so that a client that still waits sends the request again.

    The request may have been delayed in a buffer or by a partition, and its sender may have timed out and
    revoked it since.
    """
    log_event(events.COMMAND_ANSWERED, kind=kind, status=307)
    host = request.headers.get("host")
    if not host:
        return error_response(503, "it may be too old: send it again", RETRY_AFTER_SECONDS)
    return HttpResponse(307, {"error": "send it again"}, location=f"http://{host}{request.path}")
