"""Requests of the registry's HTTP API as its server would hand them to a resource."""

import time

from ashlift.registry.api.messages import HttpRequest


def http_request(method: str, path: str, body: bytes = b"", **headers: str) -> HttpRequest:
    """A request that was written just now."""
    return HttpRequest(method, path, {}, headers, body, time.monotonic())
