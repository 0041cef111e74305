"""How the leader decides commands about edits of routes, on its newest map. Pure.

An edit that could not be committed where it was made is merged after the partition by itself, if nothing
speaks against it, or waits for an operator. Whether it is in force is decided here alone: see
docs/design/rejoin.md.
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
    are_equal,
)
from ashlift.route_reconciliation.hybrid_clock import NEVER, HybridTimestamp, later_than
from ashlift.route_reconciliation.map_draft import CommandResult, MapDraft
from ashlift.route_reconciliation.stored_records import Outcome, outcome_of, route_key

_UNKNOWN_OPERATOR = "?"


def decide_merge(current: Mapping[str, Any], body: Any) -> CommandResult:
    """A store's request to merge its pending edits: `{edits: [edit]}`."""
    if not isinstance(body, dict):
        return _refusal(BAD_REQUEST, "the body is no object")
    decoded = [decode_edit(value) for value in body.get("edits", ())]
    edits = [edit for edit in decoded if isinstance(edit, RouteEdit)]
    if len(edits) < len(decoded):
        return _refusal(BAD_REQUEST, "no edits")
    return merge(current, edits)


def decide_edit(current: Mapping[str, Any], body: Any) -> CommandResult:
    """An operator's edit, made with a majority in reach: `{edit}`."""
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    return _put_in_force(current, edit, edit.author, edit.timestamp, overwrite=False)


def decide_confirmation(current: Mapping[str, Any], if_match: Any, body: Any) -> CommandResult:
    """An operator's confirmation of a pending edit: `{edit, who, stamp, over}`.

    It builds on the version `if_match` that the operator was shown. `over`: whatever the route has become.
    """
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    stale = _refuse_stale(current, if_match)
    if stale is not None:
        return stale
    try:
        timestamp = decode_timestamp(body["stamp"])
    except (LookupError, TypeError, ValueError):
        return _refusal(BAD_REQUEST, "no stamp")
    return _put_in_force(current, edit, _operator(body), timestamp, overwrite=body.get("over") is True)


def decide_rejection(current: Mapping[str, Any], if_match: Any, body: Any) -> CommandResult:
    """An operator's rejection of a pending edit, `{edit, who}`, on the version that they were shown."""
    edit = _decode_command_edit(current, body)
    if not isinstance(edit, RouteEdit):
        return edit
    stale = _refuse_stale(current, if_match)
    if stale is not None:
        return stale
    draft = MapDraft(current)
    return draft.result({"status": OK, **draft.record_outcome(edit, Outcome.REJECTED, "", _operator(body))})


def merge(current: Mapping[str, Any], edits: Iterable[RouteEdit]) -> CommandResult:
    """Put in force what may be; the answer has each edit's outcome, `outcomes: {id: {outcome, ...}}`.

    Of each route the newest edit counts. One that is a conflict now may be none once another is in force, so
    all are tried again until nothing more changes: the result does not depend on the order of arrival.
    """
    draft = MapDraft(current)
    by_id = join_edits({edit.id: edit for edit in edits})
    pending = [edit for edit in by_id.values() if outcome_of(current, edit.id) is None]
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
        for edit_id in by_id
    }
    return draft.result({"status": OK, "outcomes": outcomes})


def _decode_command_edit(current: Mapping[str, Any], body: Any) -> RouteEdit | CommandResult:
    """The edit that a command is about; or the answer, if it is none or its outcome stands already."""
    if not isinstance(body, dict):
        return _refusal(BAD_REQUEST, "the body is no object")
    edit = decode_edit(body.get("edit"))
    if isinstance(edit, Failure):
        return _refusal(BAD_REQUEST, edit.detail)
    outcome = outcome_of(current, edit.id)
    if outcome:
        return CommandResult({}, [], {"status": OK, **outcome})
    return edit


def _operator(body: Mapping[str, Any]) -> str:
    return str(body.get("who") or _UNKNOWN_OPERATOR)


def _refuse_stale(current: Mapping[str, Any], if_match: Any) -> CommandResult | None:
    version = operator_config.current_version(current)
    if if_match == version:
        return None
    return _refusal(PRECONDITION_FAILED, f"builds on {if_match}, and {version} is current")


def _put_in_force(
    current: Mapping[str, Any], edit: RouteEdit, operator: str, timestamp: HybridTimestamp, overwrite: bool
) -> CommandResult:
    """The edit on top of the newest map, if the route is still what it was made on, or `overwrite`."""
    route: Specification = current.get(route_key(edit.route))
    if not overwrite and not are_equal(route, edit.base_specification):
        changed = RouteChanged(wanted=edit.specification, current=route, base=edit.base_specification)
        version = operator_config.current_version(current)
        return _refusal(CONFLICT, "the route has changed since", version=version, **changed.encode())
    draft = MapDraft(current)
    newest = draft.newest_timestamp(edit.route) or NEVER
    reason = draft.put_in_force(edit, later_than(timestamp, newest), operator)
    if reason is not None:
        return _refusal(BAD_REQUEST, reason)
    return draft.result({"status": OK, **(outcome_of(draft.entries, edit.id) or {})})


def _refusal(status: int, reason: str, **details: Any) -> CommandResult:
    return CommandResult({}, [], {"status": status, "reason": reason, **details})
