"""`/members`: voters and learners of the configuration store, and changes of them by operators."""

from typing import Any, Final

from ashlift.errors import Failure
from ashlift.registry.api.command_responses import log_command, outcome_unknown_response
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import Resource, parse_json
from ashlift.registry.store_client import StoreClient

SHOW: Final = "show"
CHANGES: Final = ("remove", "replace", "add")
MAX_IP_LENGTH: Final = 64


class MembersResource(Resource):
    """Forwards requests to the store."""

    def __init__(self, store: StoreClient) -> None:
        self._store = store

    def get(self, _request: HttpRequest) -> HttpResponse:
        """The members as known by the leader."""
        return self._call_store(SHOW, "")

    def post(self, request: HttpRequest) -> HttpResponse:
        """Change the members: `{"Do": "remove", "Ip": "10.0.0.4"}`."""
        value = parse_json(request.body)
        if isinstance(value, Failure):
            return error_response(400, value.detail)
        action, ip = (value.get("Do"), value.get("Ip")) if isinstance(value, dict) else (None, None)
        if action not in CHANGES or not isinstance(ip, str) or not 0 < len(ip) <= MAX_IP_LENGTH:
            return error_response(400, 'the body is not {"Do": "remove" | "replace" | "add", "Ip": IP}')
        return self._call_store(action, ip)

    def _call_store(self, action: Any, ip: str) -> HttpResponse:
        result = self._store.members(action, ip)
        if isinstance(result, Failure):
            return outcome_unknown_response(result)
        if action != SHOW:
            log_command(f"members {action}", result)
        if result.status != 200:
            return error_response(result.status, result.reason)
        members = result.details.get("members")
        return HttpResponse(200, {"members": members} if "members" in result.details else None)
