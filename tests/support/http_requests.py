"""Requests to the registry's HTTP API in the form in which its server passes them to a resource."""

import time

from ashlift.registry.api.messages import HttpRequest


def http_request(method: str, path: str, body: bytes = b"", **headers: str) -> HttpRequest:
    """A request received at the current time."""
    return HttpRequest(method, path, {}, headers, body, time.monotonic())
