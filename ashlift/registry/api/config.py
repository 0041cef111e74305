"""`/config`: the operator's complete configuration."""

from typing import Final

from gevent.lock import Semaphore

from ashlift.errors import Failure
from ashlift.registry.api.command_responses import command_response, outcome_unknown_response
from ashlift.registry.api.messages import NO_MEMORY, HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import Resource, parse_json
from ashlift.registry.store_client import StoreClient

MAX_CONFIG_BYTES: Final = 8 << 20
MAX_CONCURRENT_READS: Final = 4  # each holds the configuration in several forms
MAX_READ_WAIT_SECONDS: Final = 0.8  # operators' clients try the next registry after 1 s


class ConfigResource(Resource):
    """Reads and changes the configuration at the store; `If-Match` is the expected version."""

    max_body_bytes = MAX_CONFIG_BYTES

    def __init__(self, store: StoreClient) -> None:
        self._store = store
        self._read_slots = Semaphore(MAX_CONCURRENT_READS)

    def get(self, _request: HttpRequest) -> HttpResponse:
        """The committed configuration; 404 if there is none yet."""
        if not self._read_slots.acquire(timeout=MAX_READ_WAIT_SECONDS):
            return NO_MEMORY
        try:
            return self._read()
        finally:
            self._read_slots.release()

    def _read(self) -> HttpResponse:
        entries = self._store.read()
        if isinstance(entries, Failure):
            return outcome_unknown_response(entries)
        if not entries.get("Version"):
            return error_response(404, "there is no configuration yet")
        from ashlift.config.operator_config import export_configuration  # slow to import, rarely needed

        return HttpResponse(200, export_configuration(entries))

    def put(self, request: HttpRequest) -> HttpResponse:
        """Replace the configuration."""
        return self._change("put", request)

    def patch(self, request: HttpRequest) -> HttpResponse:
        """Change a part of the configuration."""
        return self._change("patch", request)

    def _change(self, kind: str, request: HttpRequest) -> HttpResponse:
        value = parse_json(request.body)
        if isinstance(value, Failure):
            return error_response(400, value.detail)
        if not isinstance(value, dict):
            return error_response(400, "the body is no JSON object")
        result = self._store.submit(kind, _if_match(request), value, len(request.body))
        return command_response(kind, result)


def _if_match(request: HttpRequest) -> str | None:
    header = request.headers.get("if-match")
    return header.strip().strip('"') if header else None
