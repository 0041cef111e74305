"""Calls a registry with wire-format bodies."""

from typing import Any

from ashlift.errors import Failure
from ashlift.registry import codec
from ashlift.registry.messages import PullRequest
from ashlift.registry.registry import Registry

ANY_PROXY: dict[str, Any] = {"node": "proxy", "incarnation": "0", "front": "10.0.0.1:80", "ready": True}


def pull_request(body: dict[str, Any]) -> PullRequest:
    """Decode a valid pull request."""
    request = codec.decode_pull_request(body)
    assert not isinstance(request, Failure), request
    return request


def begin_pull(registry: Registry, body: dict[str, Any], now: float) -> None:
    """Let the registry receive a pull from a proxy."""
    registry.sessions.begin_pull(pull_request(body), now)


def pull_response(registry: Registry, body: dict[str, Any], received_at: float, now: float) -> dict[str, Any]:
    """The encoded response to a pull; missing fields of `body` are taken from ANY_PROXY."""
    response = registry.pull_response(pull_request(ANY_PROXY | body), received_at, now)
    return codec.encode_pull_response(response, now)


def swap_response(registry: Registry, body: Any, now: float) -> Any:
    """Let the registry receive a swap request, and return its encoded response."""
    request = codec.decode_swap_request(body)
    assert not isinstance(request, Failure), request
    registry.receive_swap_request(request, now)
    return codec.encode_swap_response(registry.swap_response(request, now, now), now)


def receive_swap_response(registry: Registry, ip: str, answer: Any, sent_at: float, now: float) -> None:
    """Let the registry receive a valid swap response from the registry at `ip`."""
    response = codec.decode_swap_response(answer, now)
    assert not isinstance(response, Failure), response
    registry.receive_swap_response(ip, response, sent_at)
