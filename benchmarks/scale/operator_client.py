"""An operator's client of the registries' HTTP API."""

import json
import time
from collections.abc import Sequence
from typing import Any, Final

import attrs
import gevent

from ashlift.errors import Failure
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.lab.system.machine_layout import CONTROL_PORT

CHANGE_TIMEOUT_SECONDS: Final = 15.0
STATUS_TIMEOUT_SECONDS: Final = 5.0
RETRY_SECONDS: Final = 0.1
MAX_ROUNDS: Final = 20  # over all registries
MAX_ERROR_CHARACTERS: Final = 160
MAX_RAW_ERROR_BYTES: Final = 200
NO_RESPONSE: Final = 0  # replaces the HTTP status
SERVICE_UNAVAILABLE: Final = 503


@attrs.frozen
class OperatorResponse:
    """The status of a response (`NO_RESPONSE` if no registry responded) and its body."""

    status: int
    body: dict[str, Any]

    @property
    def error(self) -> str:
        """The error message, truncated; empty for a success."""
        return str(self.body.get("error", ""))[:MAX_ERROR_CHARACTERS]


class OperatorClient:
    """Sends requests to the registries in turn until one responds with a status other than 503."""

    def __init__(self, registry_ips: Sequence[str]) -> None:
        self._registry_ips = registry_ips

    def send_config(self, method: str, body: dict[str, Any], version: int) -> OperatorResponse:
        """Send a change that is based on this version of the configuration."""
        return self._request(method, "/config", body, CHANGE_TIMEOUT_SECONDS, if_match=f"{version:08x}")

    def read_status(self) -> dict[str, Any]:
        """The status of the cluster; empty without a response."""
        return self._request("GET", "/status", None, STATUS_TIMEOUT_SECONDS).body

    def _request(
        self, method: str, path: str, body: dict[str, Any] | None, timeout: float, if_match: str = ""
    ) -> OperatorResponse:
        encoded = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        headers = {"If_Match": if_match} if if_match else {}
        deadline = time.monotonic() + timeout
        status = NO_RESPONSE
        content = b""
        for ip in [*self._registry_ips] * MAX_ROUNDS:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            head = request_head(method, path, ip, encoded, **headers)
            response = exchange((ip, CONTROL_PORT), head, encoded, remaining)
            if isinstance(response, Failure):
                status = NO_RESPONSE
                content = response.detail.encode()
            else:
                status = response.status
                content = b"".join(response.parts)
            if status not in (NO_RESPONSE, SERVICE_UNAVAILABLE):
                break
            gevent.sleep(RETRY_SECONDS)
        return OperatorResponse(status, _decode_body(content))


def _decode_body(content: bytes) -> dict[str, Any]:
    try:
        body: dict[str, Any] = json.loads(content)
    except ValueError:
        return {"error": content[:MAX_RAW_ERROR_BYTES].decode(errors="replace")}
    return body
