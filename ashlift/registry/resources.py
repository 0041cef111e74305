"""What workers, operators, clients and the command line may call: one handler object a resource."""

import time
from collections.abc import Callable
from typing import Any

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.http_server import HttpRequest, HttpResponse, Resource, error_response
from ashlift.registry.records import parse_heartbeat, read_json
from ashlift.registry.registry import Registry
from ashlift.registry.status_report import overview
from ashlift.registry.store_client import StoreClient

RETRY_AFTER_SECONDS = 0.3  # Retry-After where there was no clear answer
MAX_UNFENCED_COMMAND_AGE_SECONDS = (
    0.4  # an order that nothing else guards, and may be older than this, is asked for again
)
LOOKUP_TTL = "1s"
Ring = Callable[[], None]  # tells whoever holds a call open that there may be news


class Instances(Resource):
    """PUT and DELETE /instances/ID: beats of workers, answered at once. One that is not taken, as a call with
    a higher CallSeq has come, is not acknowledged: its sender would rely on what nobody knows."""

    def __init__(self, registry: Registry, ring: Ring) -> None:
        self._registry, self._ring = registry, ring

    def put(self, request: HttpRequest) -> HttpResponse:
        now = time.monotonic()
        key = self._key(request)
        if key is None:
            return error_response(400, "PUT /instances/ID")
        said = parse_heartbeat(request.body, now)
        if isinstance(said, Failure):
            return error_response(400, said.detail)
        taken = self._registry.record_heartbeat(key, said, now)
        self._ring()
        if not taken:
            return error_response(503, "a call with a higher CallSeq has come", RETRY_AFTER_SECONDS)
        if self._registry.is_isolated(now):
            return error_response(
                503, "out of reach of the other registries", RETRY_AFTER_SECONDS
            )  # taken all the same
        return HttpResponse(200, {"HeartbeatTarget": self._registry.heartbeat_target(said.zone, now)})

    def delete(self, request: HttpRequest) -> HttpResponse:
        key = self._key(request)
        if key is None:
            return error_response(400, "DELETE /instances/ID")
        self._registry.deregister_worker(key, time.monotonic())
        self._ring()
        log_event(events.WORKER_GONE, worker=key)
        return HttpResponse(200)

    @staticmethod
    def _key(request: HttpRequest) -> str | None:
        segments = request.segments
        return segments[0] if len(segments) == 1 and 0 < len(segments[0]) <= 200 else None


class _Orders(Resource):
    """Orders of the operator: answered by the store, and by nobody before it."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def _order(self, kind: str, if_match: str | None, body: Any, size: int) -> HttpResponse:
        return self._told(kind, self._store.submit(kind, if_match, body, size))

    def _told(self, kind: str, answer: Any) -> HttpResponse:
        if isinstance(answer, Failure):
            log_event(events.ORDER, kind=kind, fault=answer)
            if answer.reason == FailureReason.INVALID:
                return error_response(413, answer.detail)  # too large for a frame: it has gone nowhere
            return error_response(503, f"no clear answer: {answer.reason}", RETRY_AFTER_SECONDS)
        status = answer["status"]
        why = answer.get("reason") or ""
        log_event(events.ORDER, kind=kind, status=status, index=answer.get("index"), reason=why)
        if status == 200:
            return HttpResponse(200)
        return error_response(status, why, RETRY_AFTER_SECONDS if status == 503 else None)


class Config(_Orders):
    """GET, PUT and PATCH /config."""

    max_body_bytes = 8 << 20

    def get(self, request: HttpRequest) -> HttpResponse:
        answer = self._store.read()
        if isinstance(answer, Failure):
            return error_response(503, f"no clear answer: {answer.reason}", RETRY_AFTER_SECONDS)
        if not answer["objects"].get("Version"):
            return error_response(404, "there is no configuration yet")
        from ashlift.config.operator_config import export_configuration  # 6 ms of a start, and seldom needed

        return HttpResponse(200, export_configuration(answer["objects"]))

    def put(self, request: HttpRequest) -> HttpResponse:
        return self._change("put", request)

    def patch(self, request: HttpRequest) -> HttpResponse:
        return self._change("patch", request)

    def _change(self, kind: str, request: HttpRequest) -> HttpResponse:
        value = read_json(request.body)
        if isinstance(value, Failure):
            return error_response(400, value.detail)
        if not isinstance(value, dict):
            return error_response(400, "the body is no JSON object")
        if_match = request.headers.get("if-match")
        return self._order(kind, if_match.strip().strip('"') if if_match else None, value, len(request.body))


class Evacuation(_Orders):
    """POST and DELETE /evacuation/ZONE."""

    def __init__(self, store: StoreClient, settings: Callable[[], Settings]) -> None:
        super().__init__(store)
        self._settings = settings

    def post(self, request: HttpRequest) -> HttpResponse:
        return self._zone("evacuate", request)

    def delete(self, request: HttpRequest) -> HttpResponse:
        return self._zone("restore", request)

    def _zone(self, kind: str, request: HttpRequest) -> HttpResponse:
        zone = "/".join(request.segments)
        if zone not in self._settings().zones:
            return error_response(404, f"no zone {zone[:100]}")
        if time.monotonic() - request.not_written_before > MAX_UNFENCED_COMMAND_AGE_SECONDS:
            return _asked_again(kind, request)
        answer = self._store.submit(kind, None, zone, 0, request.not_written_before)
        if isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED:
            return _asked_again(kind, request)
        return self._told(kind, answer)


def _asked_again(kind: str, request: HttpRequest) -> HttpResponse:
    """The call may have lain in a buffer or been held up by a cut, or another's was taken meanwhile: its
    caller may have gone, and what it asks for may have been taken back. Who waits sends it again at once."""
    log_event(events.ORDER, kind=kind, status=307)
    host = request.headers.get("host")
    if not host:
        return error_response(503, "it may be too old: send it again", RETRY_AFTER_SECONDS)
    return HttpResponse(307, {"error": "send it again"}, location=f"http://{host}{request.path}")


class Lookup(Resource):
    """GET /lookup?Name=&Region=&Zone=: where a client goes."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, request: HttpRequest) -> HttpResponse:
        zone, region = request.query.get("Zone", ""), request.query.get("Region", "")
        found = self._registry.lookup(zone, region, time.monotonic())
        if isinstance(found, Failure):
            return error_response(503, found.detail, RETRY_AFTER_SECONDS)
        return HttpResponse(200, {"Addresses": found, "Ttl": LOOKUP_TTL})


class Status(Resource):
    """GET /status: what this registry knows, for the command line."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, overview(self._registry, time.monotonic()))
