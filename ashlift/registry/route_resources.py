"""Operators' calls on single routes, and on edits that wait. The platform never makes them."""

import time
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.http_server import HttpRequest, HttpResponse, Resource, error_response
from ashlift.registry.operator_request import NOT_EXECUTED_REASONS
from ashlift.registry.records import read_json
from ashlift.registry.registry import Registry
from ashlift.registry.resources import RETRY_AFTER_SECONDS
from ashlift.registry.store_client import StoreClient

if TYPE_CHECKING:
    from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock


class RouteEditService:
    """What both resources share: the way to what waits, and this registry's stamps."""

    def __init__(self, registry: Registry, store: StoreClient) -> None:
        self.registry, self.store = registry, store
        self._clock: HybridLogicalClock | None = None

    @property
    def map(self) -> dict[str, Any]:
        """The agreed map, as known here."""
        return self.registry.operator_config.values

    def waiting(self, add: tuple[dict[str, Any], ...] = ()) -> tuple[dict[str, Any], list[str]]:
        """All edits that wait at stores in reach, and the IPs of these, `add` given to each first."""
        from ashlift.route_reconciliation.edit_sets import decode_edits, join_edits

        answers = self.store.exchange_pending_edits(list(add))
        held = {ip: answer for ip, answer in answers.items() if not isinstance(answer, Failure)}
        return join_edits(*(decode_edits(answer["edits"]) for answer in held.values())), sorted(held)

    def stamp(self, name: str, book: dict[str, Any]) -> Any:
        """A new stamp, above all that is known of the name."""
        from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock
        from ashlift.route_reconciliation.proposals import latest_timestamp

        wall, steady = time.time(), time.monotonic()
        self._clock = self._clock or HybridLogicalClock(self.registry.identity.node, wall, steady)
        seen = latest_timestamp(self.map, book, name)
        self._clock.observe(seen, wall, steady)
        return self._clock.next_timestamp(seen, wall, steady)

    def about(self) -> dict[str, Any]:
        return {"version": self.map.get("Version"), "age": self.registry.lease_age(time.monotonic())}


def _told(answer: dict[str, Any], id: str, route: str) -> HttpResponse:
    status = answer.pop("status")
    log_event(events.EDIT, id=id, route=route, status=status, outcome=answer.get("outcome", "-"))
    return HttpResponse(status, answer, RETRY_AFTER_SECONDS if status == 503 else None)


def _named(request: HttpRequest) -> str:
    """What the path names, after the resource."""
    return unquote("/".join(request.segments))


class _Edits(Resource):
    def __init__(self, desk: RouteEditService) -> None:
        self._desk = desk


class Routes(_Edits):
    """GET and POST /routes/NAME: a route with its history; an edit of it, `{id, who, text, base}`."""

    def get(self, request: HttpRequest) -> HttpResponse:
        from ashlift.route_reconciliation.proposals import route_history

        name, map = _named(request), self._desk.map
        book, held = self._desk.waiting()
        told = {"name": name, "text": map.get(f"Routes/{name}"), "history": route_history(map, book, name)}
        return HttpResponse(200, {**self._desk.about(), **told, "reached": held})

    def post(self, request: HttpRequest) -> HttpResponse:
        """200: in force; 202: it waits, not in force; 409: the route is not what the edit was made on."""
        from ashlift.route_reconciliation.edit_codec import encode_edit
        from ashlift.route_reconciliation.edits import RouteChanged
        from ashlift.route_reconciliation.proposals import decode_request, prepare_pending

        name, map = _named(request), self._desk.map
        body = read_json(request.body)
        edit = decode_request(map, name, body, self._desk.stamp(name, {}), self._desk.registry.identity.node)
        if isinstance(edit, Failure):
            return error_response(400, edit.detail)
        answer = self._desk.store.submit("edit", None, {"edit": encode_edit(edit)}, len(request.body))
        if not isinstance(answer, Failure):
            return _told(answer, edit.id, name)
        book, _ = self._desk.waiting()
        waits = prepare_pending(map, book, edit, answer.reason not in NOT_EXECUTED_REASONS)
        if isinstance(waits, RouteChanged):
            return _told(
                {"status": 409, "reason": "the route has changed since", **waits.encode()}, edit.id, name
            )
        _, held = self._desk.waiting((encode_edit(waits),))
        if not held:
            return _told({"status": 503, "reason": "no store has kept it"}, edit.id, name)
        told = {"id": edit.id, "outcome": "waits", "in_force": False, "held": held}
        return _told({"status": 202, **told, "doubt": waits.in_doubt, "auto": waits.automatic}, edit.id, name)


class Proposals(_Edits):
    """GET /proposals: what waits. POST /proposals/ID: an operator's word, `{word, who, version, over}`."""

    def get(self, request: HttpRequest) -> HttpResponse:
        from ashlift.route_reconciliation.proposals import list_pending

        book, held = self._desk.waiting()
        found = list_pending(self._desk.map, book)
        return HttpResponse(200, {**self._desk.about(), "proposals": found, "reached": held})

    def post(self, request: HttpRequest) -> HttpResponse:
        """200: settled, and how; 404: no such edit waits in reach; 409, 412: look again; 503: ask again."""
        from ashlift.route_reconciliation.edit_codec import encode_edit
        from ashlift.route_reconciliation.stored_records import outcome_of

        body, id = read_json(request.body), _named(request)
        if not isinstance(body, dict) or body.get("word") not in ("confirm", "reject"):
            return error_response(400, "the body is no {word: confirm or reject, who, version, over}")
        done = outcome_of(self._desk.map, id)
        if done:
            return HttpResponse(200, done)
        book, held = self._desk.waiting()
        if id not in book:
            return error_response(
                404, f"no edit {id[:100]} waits at {', '.join(held) or 'any store in reach'}"
            )
        edit = book[id]
        said = {"edit": encode_edit(edit), "who": body.get("who"), "over": body.get("over")}
        said["stamp"] = [*self._desk.stamp(edit.route, book)]
        answer = self._desk.store.submit(body["word"], body.get("version"), said, len(request.body))
        if isinstance(answer, Failure):
            return _told({"status": 503, "reason": f"no clear answer: {answer.reason}"}, id, edit.route)
        return _told(answer, id, edit.route)
