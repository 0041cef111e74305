"""GET and POST /members: who votes and learns in the store, and the operator's changes of that."""

from typing import Any

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.http_server import HttpRequest, HttpResponse, Resource, error_response
from ashlift.registry.records import read_json
from ashlift.registry.store_client import StoreClient

RETRY_AFTER_SECONDS = 0.3  # Retry-After where there was no clear answer
ORDERS = ("remove", "replace", "add")


class MembersResource(Resource):
    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def get(self, request: HttpRequest) -> HttpResponse:
        return self._answer("show", "")

    def post(self, request: HttpRequest) -> HttpResponse:
        """`{"Do": "remove", "Ip": "10.0.0.4"}`."""
        value = read_json(request.body)
        if isinstance(value, Failure):
            return error_response(400, value.detail)
        do, ip = (value.get("Do"), value.get("Ip")) if isinstance(value, dict) else (None, None)
        if do not in ORDERS or not isinstance(ip, str) or not 0 < len(ip) <= 64:
            return error_response(400, 'the body is not {"Do": "remove" | "replace" | "add", "Ip": IP}')
        return self._answer(do, ip)

    def _answer(self, do: str, ip: str) -> HttpResponse:
        found: Any = self._store.members(do, ip)
        if isinstance(found, Failure):
            return error_response(503, f"no clear answer: {found.reason}", RETRY_AFTER_SECONDS)
        status, why = found["status"], found.get("reason") or ""
        if do != "show":
            log_event(events.ORDER, kind=f"members {do}", status=status, index=found.get("index"), reason=why)
        if status != 200:
            return error_response(status, why)
        return HttpResponse(200, {"members": found["members"]} if "members" in found else None)
