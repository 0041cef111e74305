"""What workers, operators, clients and the command line may call: one handler object a resource."""

import time
from collections.abc import Callable
from typing import Any

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.events import tell
from ashlift.registry import events
from ashlift.registry.http_server import Answer, Request, Resource, refusal
from ashlift.registry.records import read_beat, read_json
from ashlift.registry.registry import Registry
from ashlift.registry.status_report import overview
from ashlift.registry.store_client import Store

AGAIN_S = 0.3  # Retry-After where there was no clear answer
VOUCH_S = 0.4  # an order that nothing else guards, and may be older than this, is asked for again
TTL = "1s"
Ring = Callable[[], None]  # tells whoever holds a call open that there may be news


class Instances(Resource):
    """PUT and DELETE /instances/ID: beats of workers, answered at once. One that is not taken, as a call with
    a higher CallSeq has come, is not acknowledged: its sender would rely on what nobody knows."""

    def __init__(self, registry: Registry, ring: Ring) -> None:
        self._registry, self._ring = registry, ring

    def put(self, request: Request) -> Answer:
        now = time.monotonic()
        key = self._key(request)
        if key is None:
            return refusal(400, "PUT /instances/ID")
        said = read_beat(request.body, now)
        if isinstance(said, Failure):
            return refusal(400, said.detail)
        taken = self._registry.beat(key, said, now)
        self._ring()
        if not taken:
            return refusal(503, "a call with a higher CallSeq has come", AGAIN_S)
        if self._registry.alone(now):
            return refusal(503, "out of reach of the other registries", AGAIN_S)  # taken all the same
        return Answer(200, {"HeartbeatTarget": self._registry.target(said.zone, now)})

    def delete(self, request: Request) -> Answer:
        key = self._key(request)
        if key is None:
            return refusal(400, "DELETE /instances/ID")
        self._registry.leave(key, time.monotonic())
        self._ring()
        tell(events.WORKER_GONE, worker=key)
        return Answer(200)

    @staticmethod
    def _key(request: Request) -> str | None:
        segments = request.segments
        return segments[0] if len(segments) == 1 and 0 < len(segments[0]) <= 200 else None


class _Orders(Resource):
    """Orders of the operator: answered by the store, and by nobody before it."""

    def __init__(self, store: Store) -> None:
        self._store = store

    def _order(self, kind: str, if_match: str | None, body: Any, size: int) -> Answer:
        return self._told(kind, self._store.submit(kind, if_match, body, size))

    def _told(self, kind: str, answer: Any) -> Answer:
        if isinstance(answer, Failure):
            tell(events.ORDER, kind=kind, fault=answer)
            if answer.reason == FailureReason.INVALID:
                return refusal(413, answer.detail)  # too large for a frame: it has gone nowhere
            return refusal(503, f"no clear answer: {answer.reason}", AGAIN_S)
        status = answer["status"]
        why = answer.get("reason") or ""
        tell(events.ORDER, kind=kind, status=status, index=answer.get("index"), reason=why)
        if status == 200:
            return Answer(200)
        return refusal(status, why, AGAIN_S if status == 503 else None)


class Config(_Orders):
    """GET, PUT and PATCH /config."""

    body_most = 8 << 20

    def get(self, request: Request) -> Answer:
        answer = self._store.read()
        if isinstance(answer, Failure):
            return refusal(503, f"no clear answer: {answer.reason}", AGAIN_S)
        if not answer["objects"].get("Version"):
            return refusal(404, "there is no configuration yet")
        from ashlift.config.operator_config import whole  # 6 ms of a start, and seldom needed

        return Answer(200, whole(answer["objects"]))

    def put(self, request: Request) -> Answer:
        return self._change("put", request)

    def patch(self, request: Request) -> Answer:
        return self._change("patch", request)

    def _change(self, kind: str, request: Request) -> Answer:
        value = read_json(request.body)
        if isinstance(value, Failure):
            return refusal(400, value.detail)
        if not isinstance(value, dict):
            return refusal(400, "the body is no JSON object")
        if_match = request.headers.get("if-match")
        return self._order(kind, if_match.strip().strip('"') if if_match else None, value, len(request.body))


class Evacuation(_Orders):
    """POST and DELETE /evacuation/ZONE."""

    def __init__(self, store: Store, settings: Callable[[], Settings]) -> None:
        super().__init__(store)
        self._settings = settings

    def post(self, request: Request) -> Answer:
        return self._zone("evacuate", request)

    def delete(self, request: Request) -> Answer:
        return self._zone("restore", request)

    def _zone(self, kind: str, request: Request) -> Answer:
        zone = "/".join(request.segments)
        if zone not in self._settings().zones:
            return refusal(404, f"no zone {zone[:100]}")
        if time.monotonic() - request.since > VOUCH_S:
            return _asked_again(kind, request)
        answer = self._store.submit(kind, None, zone, 0, request.since)
        if isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED:
            return _asked_again(kind, request)
        return self._told(kind, answer)


def _asked_again(kind: str, request: Request) -> Answer:
    """The call may have lain in a buffer or been held up by a cut, or another's was taken meanwhile: its
    caller may have gone, and what it asks for may have been taken back. Who waits sends it again at once."""
    tell(events.ORDER, kind=kind, status=307)
    host = request.headers.get("host")
    if not host:
        return refusal(503, "it may be too old: send it again", AGAIN_S)
    return Answer(307, {"error": "send it again"}, location=f"http://{host}{request.path}")


class Lookup(Resource):
    """GET /lookup?Name=&Region=&Zone=: where a client goes."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, request: Request) -> Answer:
        zone, region = request.query.get("Zone", ""), request.query.get("Region", "")
        found = self._registry.lookup(zone, region, time.monotonic())
        if isinstance(found, Failure):
            return refusal(503, found.detail, AGAIN_S)
        return Answer(200, {"Addresses": found, "Ttl": TTL})


class Status(Resource):
    """GET /status: what this registry knows, for the command line."""

    def __init__(self, registry: Registry) -> None:
        self._registry = registry

    def get(self, request: Request) -> Answer:
        return Answer(200, overview(self._registry, time.monotonic()))
