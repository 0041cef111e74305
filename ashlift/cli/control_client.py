"""HTTP client for the `Control` addresses of core machines, which serve state and accept operator commands.

Errors are returned as a `Failure`, not raised: `UNREACHABLE` if the connection failed before a request was
sent, `OUTCOME_UNKNOWN` if the request may have been processed.
"""

import http.client
import json
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlsplit

from attrs import frozen

from ashlift.cli.files import parse_json
from ashlift.errors import Failure, FailureReason

SOCKET_TIMEOUT_SECONDS: Final = 5.0  # for the connect and for each read or write
MAX_REDIRECTS: Final = 2
MAX_RESPONSE_BYTES: Final = 64 << 20
MAX_EXCERPT_BYTES: Final = 200  # of a response body, in an error message
MAX_PORT: Final = 65535
MAX_PORT_DIGITS: Final = 9  # bounds the cost of converting the text to an integer

Address = tuple[str, int]  # (host, port)


@frozen
class ControlResponse:
    """Status, `Location` header and body of an HTTP response."""

    status: int
    location: str
    body: bytes

    def body_excerpt(self) -> str:
        """Return the beginning of the body on one line, for an error message."""
        return " ".join(self.body[:MAX_EXCERPT_BYTES].decode(errors="replace").split())


def parse_address(text: str) -> Address | Failure:
    """Parse `HOST:PORT`, with an optional `http://` prefix."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    is_port = port.isascii() and port.isdigit() and 0 < int(port[:MAX_PORT_DIGITS]) <= MAX_PORT
    if not host or not is_port:
        return Failure(FailureReason.INVALID, f"{text}: is no address such as 10.0.0.4:8200")
    return host, int(port)


def get_json(address: str, path: str, timeout_seconds: float = SOCKET_TIMEOUT_SECONDS) -> Any | Failure:
    """Return the JSON value of `GET path`, following at most `MAX_REDIRECTS` temporary redirects."""
    for _ in range(MAX_REDIRECTS + 1):
        target = parse_address(address)
        if isinstance(target, Failure):
            return target
        label = f"{address}: GET {path}"
        response = _request(target, "GET", path, label, timeout_seconds=timeout_seconds)
        if isinstance(response, Failure):
            return response
        if response.status == http.client.TEMPORARY_REDIRECT and response.location:
            parts = urlsplit(response.location)
            address = parts.netloc or address
            path = parts.path or path
            continue
        if response.status != http.client.OK:
            text = f"{label}: {response.status} {response.body_excerpt()}".rstrip()
            return Failure(FailureReason.REJECTED, text)
        return parse_json(response.body, label)
    return Failure(FailureReason.REJECTED, f"{address}: GET {path}: more than {MAX_REDIRECTS} redirects")


def post_json(address: str, path: str, body: Any) -> tuple[int, Any] | Failure:
    """Send `body` as JSON with `POST path`; return the status and the JSON value of the response."""
    target = parse_address(address)
    if isinstance(target, Failure):
        return target
    label = f"{address}: POST {path}"
    response = _request(target, "POST", path, label, body=json.dumps(body).encode())
    if isinstance(response, Failure):
        return response
    value = parse_json(response.body, label)
    return value if isinstance(value, Failure) else (response.status, value)


def send_command(
    address: str, method: str, path: str, if_match: str, body: bytes, timeout_seconds: float
) -> tuple[int, str] | Failure:
    """Send a command to one core machine without following redirects; return status and body excerpt."""
    target = parse_address(address)
    if isinstance(target, Failure):
        return target
    headers = {"Content-Type": "application/json", "If-Match": if_match}
    response = _request(target, method, path, f"{address}: {method} {path}", body, headers, timeout_seconds)
    return response if isinstance(response, Failure) else (response.status, response.body_excerpt())


def _request(
    target: Address,
    method: str,
    path: str,
    label: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    timeout_seconds: float = SOCKET_TIMEOUT_SECONDS,
) -> ControlResponse | Failure:
    """Send one request on a new connection; `label` identifies the request in error messages."""
    connection = http.client.HTTPConnection(*target, timeout=timeout_seconds)
    try:
        connection.connect()
    except OSError as error:
        connection.close()
        return Failure(FailureReason.UNREACHABLE, f"{label}: no connection: {error}")
    try:
        connection.request(method, path, body, dict(headers or {}))
        response = connection.getresponse()
        data = response.read(MAX_RESPONSE_BYTES + 1)
    except (OSError, ValueError, http.client.HTTPException) as error:
        return Failure(FailureReason.OUTCOME_UNKNOWN, f"{label}: no answer: {error!s:.200}")
    finally:
        connection.close()
    if len(data) > MAX_RESPONSE_BYTES:
        return Failure(FailureReason.REJECTED, f"{label}: more than {MAX_RESPONSE_BYTES} bytes")
    return ControlResponse(response.status, response.getheader("Location") or "", data)
