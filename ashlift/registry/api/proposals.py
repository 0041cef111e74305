"""`/proposals`: pending route edits, and the operators' decisions on them."""

from typing import Final

from ashlift.errors import Failure
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import Resource, parse_json
from ashlift.registry.api.route_edits import RouteEditService, edit_response, name_in_path

DECISIONS: Final = ("confirm", "reject")


class ProposalsResource(Resource):
    """Lists pending edits, and has decisions executed by the store."""

    def __init__(self, service: RouteEditService) -> None:
        self._service = service

    def get(self, _request: HttpRequest) -> HttpResponse:
        """All pending edits."""
        from ashlift.route_reconciliation.proposals import list_pending

        pending, reached = self._service.pending()
        proposals = list_pending(self._service.entries, pending)
        return HttpResponse(200, {**self._service.config_state(), "proposals": proposals, "reached": reached})

    def post(self, request: HttpRequest) -> HttpResponse:
        """Decide on one edit, `{word, who, version, over}`.

        200: resolved, with the outcome; 404: the edit is not pending at any reachable store; 409, 412: the
        decision is based on an outdated state; 503: retry.
        """
        from ashlift.route_reconciliation.edit_codec import encode_edit
        from ashlift.route_reconciliation.stored_records import outcome_of

        body = parse_json(request.body)
        edit_id = name_in_path(request)
        if not isinstance(body, dict) or body.get("word") not in DECISIONS:
            return error_response(400, "the body is no {word: confirm or reject, who, version, over}")
        outcome = outcome_of(self._service.entries, edit_id)
        if outcome:
            return HttpResponse(200, outcome)
        pending, reached = self._service.pending()
        if edit_id not in pending:
            stores = ", ".join(reached) or "any store in reach"
            return error_response(404, f"no edit {edit_id[:100]} waits at {stores}")
        edit = pending[edit_id]
        command = {"edit": encode_edit(edit), "who": body.get("who"), "over": body.get("over")}
        command["stamp"] = [*self._service.next_timestamp(edit.route, pending)]
        result = self._service.store.submit(body["word"], body.get("version"), command, len(request.body))
        if isinstance(result, Failure):
            reason = {"reason": f"no clear answer: {result.reason}"}
            return edit_response(503, reason, edit_id, edit.route)
        return edit_response(result.status, result.details, edit_id, edit.route)
