"""Commands about route edits, as the leader evaluates them on its newest map. No I/O.

An edit that could not be committed during a partition is kept pending. Afterwards it is merged automatically,
unless it conflicts with the map: then an operator confirms or rejects it. Only the leader applies edits, by
the functions of this module. See docs/design/rejoin.md.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from ashlift.config import operator_config
from ashlift.errors import Failure
from ashlift.response_status import BAD_REQUEST, CONFLICT, OK, PRECONDITION_FAILED
from ashlift.route_reconciliation.edit_codec import decode_edit, decode_timestamp
from ashlift.route_reconciliation.edit_sets import join_edits, recency
from ashlift.route_reconciliation.edits import (
    ConflictReason,
    RouteChanged,
    RouteEdit,
    Specification,
    specifications_equal,
)
from ashlift.route_reconciliation.hybrid_clock import ZERO_TIMESTAMP, HybridTimestamp, advance_past
from ashlift.route_reconciliation.map_draft import CommandResult, MapDraft
from ashlift.route_reconciliation.stored_records import Outcome, outcome_of, route_key

_UNKNOWN_OPERATOR = "?"


def decide_merge(current: Mapping[str, Any], body: Any) -> CommandResult:
    """Evaluate a configuration store's request to merge its pending edits: `{edits: [edit]}`."""
    if not isinstance(body, dict):
        return _error_response(BAD_REQUEST, "the body is no object")
    decoded = [decode_edit(value) for value in body.get("edits", ())]
    edits = [edit for edit in decoded if isinstance(edit, RouteEdit)]
    if len(edits) < len(decoded):
        return _error_response(BAD_REQUEST, "no edits")
    return merge(current, edits)


def decide_edit(current: Mapping[str, Any], body: Any) -> CommandResult:
    """Evaluate an operator's edit that was sent to the leader at once: `{edit}`."""
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    return _apply_edit(current, edit, edit.author, edit.timestamp, overwrite=False)


def decide_confirmation(current: Mapping[str, Any], if_match: Any, body: Any) -> CommandResult:
    """Evaluate an operator's confirmation of a pending edit: `{edit, who, stamp, over}`.

    `if_match`: the version that the operator was shown, which must be current. `over`: apply the edit even if
    the route no longer matches its base.
    """
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    stale = _reject_stale(current, if_match)
    if stale is not None:
        return stale
    try:
        timestamp = decode_timestamp(body["stamp"])
    except (LookupError, TypeError, ValueError):
        return _error_response(BAD_REQUEST, "no stamp")
    return _apply_edit(current, edit, _operator(body), timestamp, overwrite=body.get("over") is True)


def decide_rejection(current: Mapping[str, Any], if_match: Any, body: Any) -> CommandResult:
    """Evaluate an operator's rejection of a pending edit: `{edit, who}`; `if_match` as in a confirmation."""
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    stale = _reject_stale(current, if_match)
    if stale is not None:
        return stale
    draft = MapDraft(current)
    return draft.result({"status": OK, **draft.record_outcome(edit, Outcome.REJECTED, "", _operator(body))})


def merge(current: Mapping[str, Any], edits: Iterable[RouteEdit]) -> CommandResult:
    """Apply the edits that do not conflict; the response has `outcomes: {id: {outcome, ...}}`.

    The newest edit of each route wins. Applying one edit may resolve the conflict of another, so the others
    are retried until none of them can be applied: the result does not depend on the order of arrival.
    """
    draft = MapDraft(current)
    edits_by_id = join_edits({edit.id: edit for edit in edits})
    pending = [edit for edit in edits_by_id.values() if outcome_of(current, edit.id) is None]
    pending.sort(key=recency, reverse=True)
    conflicts: dict[str, str] = {}
    progressed = True
    while progressed:
        progressed = False
        for edit in list(pending):
            reason = draft.merge(edit) if edit.automatic else ConflictReason.ROUTE_TYPE.value
            if reason is not None:
                conflicts[edit.id] = reason
            else:
                pending.remove(edit)
                progressed = True
    outcomes = {
        edit_id: outcome_of(draft.entries, edit_id)
        or {"outcome": Outcome.CONFLICT.value, "why": conflicts[edit_id]}
        for edit_id in edits_by_id
    }
    return draft.result({"status": OK, "outcomes": outcomes})


def _decode_command_edit(current: Mapping[str, Any], body: Any) -> RouteEdit | CommandResult:
    """Decode a command's edit; return a result if it is malformed or its outcome is stored already."""
    if not isinstance(body, dict):
        return _error_response(BAD_REQUEST, "the body is no object")
    edit = decode_edit(body.get("edit"))
    if isinstance(edit, Failure):
        return _error_response(BAD_REQUEST, edit.detail)
    outcome = outcome_of(current, edit.id)
    if outcome:
        return CommandResult({}, [], {"status": OK, **outcome})
    return edit


def _operator(body: Mapping[str, Any]) -> str:
    return str(body.get("who") or _UNKNOWN_OPERATOR)


def _reject_stale(current: Mapping[str, Any], if_match: Any) -> CommandResult | None:
    version = operator_config.current_version(current)
    if if_match == version:
        return None
    return _error_response(PRECONDITION_FAILED, f"builds on {if_match}, and {version} is current")


def _apply_edit(
    current: Mapping[str, Any], edit: RouteEdit, operator: str, timestamp: HybridTimestamp, overwrite: bool
) -> CommandResult:
    """Apply an edit to the map if the route still matches the edit's base, or if `overwrite` is set."""
    route: Specification = current.get(route_key(edit.route))
    if not overwrite and not specifications_equal(route, edit.base_specification):
        changed = RouteChanged(wanted=edit.specification, current=route, base=edit.base_specification)
        version = operator_config.current_version(current)
        return _error_response(CONFLICT, "the route has changed since", version=version, **changed.encode())
    draft = MapDraft(current)
    newest = draft.newest_timestamp(edit.route) or ZERO_TIMESTAMP
    reason = draft.apply_edit(edit, advance_past(timestamp, newest), operator)
    if reason is not None:
        return _error_response(BAD_REQUEST, reason)
    return draft.result({"status": OK, **(outcome_of(draft.entries, edit.id) or {})})


def _error_response(status: int, reason: str, **details: Any) -> CommandResult:
    return CommandResult({}, [], {"status": status, "reason": reason, **details})
