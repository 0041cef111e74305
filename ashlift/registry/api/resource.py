"""Base class of the HTTP API's resources, and JSON parsing."""

import json
from typing import Any, Final

from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response

DEFAULT_MAX_BODY_BYTES: Final = 64 << 10
RETRY_AFTER_SECONDS: Final = 0.3  # after an inconclusive result
METHODS: Final = frozenset(("GET", "PUT", "PATCH", "POST", "DELETE"))


class Resource:
    """One resource; subclasses handle requests in `get`, `put`, `patch`, `post` and `delete`."""

    max_body_bytes = DEFAULT_MAX_BODY_BYTES

    def handle(self, request: HttpRequest) -> HttpResponse:
        """Dispatch by method; 405 if the resource does not support it."""
        handler = getattr(self, request.method.lower(), None) if request.method in METHODS else None
        if handler is None:
            return error_response(405, f"no {request.method} here")
        response: HttpResponse = handler(request)
        return response


def parse_json(body: bytes) -> Any:
    """The JSON value, or an INVALID failure, also for NaN and infinities."""
    try:
        return json.loads(body, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        return Failure(FailureReason.INVALID, f"the body is no JSON: {error}")


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant} is no JSON")
