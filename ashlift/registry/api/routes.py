"""`/routes/NAME`: one route with its history, and edits of it, for operators."""

from typing import Any

from ashlift.errors import Failure
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import Resource, parse_json
from ashlift.registry.api.route_edits import RouteEditService, edit_response, name_in_path
from ashlift.registry.operator_request import NOT_EXECUTED_REASONS


class RoutesResource(Resource):
    """Has edits executed by the store; those that it cannot execute are kept as pending."""

    def __init__(self, service: RouteEditService) -> None:
        self._service = service

    def get(self, request: HttpRequest) -> HttpResponse:
        """The route as known by this registry, and its history."""
        from ashlift.route_reconciliation.proposals import route_history

        name = name_in_path(request)
        entries = self._service.entries
        pending, reached = self._service.pending()
        route = {
            "name": name,
            "text": entries.get(f"Routes/{name}"),
            "history": route_history(entries, pending, name),
        }
        return HttpResponse(200, {**self._service.config_state(), **route, "reached": reached})

    def post(self, request: HttpRequest) -> HttpResponse:
        """Edit the route, `{id, who, text, base}`.

        200: in force; 202: pending, not in force; 409: the route has changed since the version edited.
        """
        from ashlift.route_reconciliation.edit_codec import encode_edit
        from ashlift.route_reconciliation.proposals import decode_request

        name = name_in_path(request)
        timestamp = self._service.next_timestamp(name, {})
        body = parse_json(request.body)
        edit = decode_request(self._service.entries, name, body, timestamp, self._service.node)
        if isinstance(edit, Failure):
            return error_response(400, edit.detail)
        result = self._service.store.submit("edit", None, {"edit": encode_edit(edit)}, len(request.body))
        if isinstance(result, Failure):
            return self._keep_pending(edit, name, result)
        return edit_response(result.status, result.details, edit.id, name)

    def _keep_pending(self, edit: Any, name: str, failure: Failure) -> HttpResponse:
        """Have the reachable stores keep an edit that was not executed or whose outcome is unknown."""
        from ashlift.route_reconciliation.edit_codec import encode_edit
        from ashlift.route_reconciliation.edits import RouteChanged
        from ashlift.route_reconciliation.proposals import prepare_pending

        pending, _ = self._service.pending()
        outcome_is_unknown = failure.reason not in NOT_EXECUTED_REASONS
        pending_edit = prepare_pending(self._service.entries, pending, edit, outcome_is_unknown)
        if isinstance(pending_edit, RouteChanged):
            conflict = {"reason": "the route has changed since", **pending_edit.encode()}
            return edit_response(409, conflict, edit.id, name)
        _, holders = self._service.pending((encode_edit(pending_edit),))
        if not holders:
            return edit_response(503, {"reason": "no store has kept it"}, edit.id, name)
        body = {
            "id": edit.id,
            "outcome": "waits",
            "in_force": False,
            "held": holders,
            "doubt": pending_edit.in_doubt,
            "auto": pending_edit.automatic,
        }
        return edit_response(202, body, edit.id, name)
