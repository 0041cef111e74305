"""Route edits at a registry: decoded from operators' requests, kept pending, listed for operators. No I/O."""

from collections.abc import Mapping
from typing import Any

from attrs import evolve

from ashlift.config.operator_config import current_version
from ashlift.errors import Failure
from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edit_sets import EditsById, recency
from ashlift.route_reconciliation.edits import (
    ConflictReason,
    RouteChanged,
    RouteEdit,
    Specification,
    conflict_reason,
    specifications_equal,
)
from ashlift.route_reconciliation.hybrid_clock import ZERO_TIMESTAMP, HybridTimestamp, advance_past
from ashlift.route_reconciliation.map_draft import encode_log_entry
from ashlift.route_reconciliation.merging import merge
from ashlift.route_reconciliation.stored_records import (
    Outcome,
    Record,
    history_of,
    log_of,
    newest_timestamp,
    outcome_of,
    route_key,
)


def latest_timestamp(entries: Mapping[str, Any], pending: EditsById, route: str) -> HybridTimestamp:
    """Return the newest timestamp of a route's committed and pending edits; ZERO_TIMESTAMP without any."""
    history = history_of(entries, route)
    committed = newest_timestamp(history) if history else ZERO_TIMESTAMP
    return max([committed, *(edit.timestamp for edit in pending.values() if edit.route == route)])


def decode_request(
    entries: Mapping[str, Any], route: str, body: Any, timestamp: HybridTimestamp, node: str
) -> RouteEdit | Failure:
    """Decode the edit in the body of an operator's request.

    :param entries: the committed map as known to this registry.
    :param body: `{id, who, text, base}`.
    """
    body = body if isinstance(body, dict) else {}
    given = {key: body.get(key) for key in ("id", "who", "text", "base")}
    added = {
        "name": route,
        "version": current_version(entries),
        "stamp": [*timestamp],
        "where": node,
        "auto": False,
    }
    return decode_edit({**given, **added})


def prepare_pending(
    entries: Mapping[str, Any], pending: EditsById, edit: RouteEdit, in_doubt: bool
) -> RouteEdit | RouteChanged:
    """Return the edit as it is to be stored as pending, or how its route differs from the edit's base.

    It may be merged automatically if it does not conflict with the map that results from merging the other
    pending edits. Its timestamp is moved past those of the route's other edits, whose nodes' clocks may be
    ahead.
    """
    current: Specification = entries.get(route_key(edit.route))
    if not specifications_equal(current, edit.base_specification):
        return RouteChanged(wanted=edit.specification, current=current, base=edit.base_specification)
    expected = merge(entries, [other for other in pending.values() if other.automatic])
    remaining = {key: value for key, value in entries.items() if key not in expected.removed}
    reason = conflict_reason(
        remaining | expected.changed, edit.route, edit.specification, edit.base_specification
    )
    other_pending = {edit_id: other for edit_id, other in pending.items() if edit_id != edit.id}
    return evolve(
        edit,
        automatic=reason is None,
        timestamp=advance_past(edit.timestamp, latest_timestamp(entries, other_pending, edit.route)),
        in_doubt=in_doubt,
    )


def list_pending(entries: Mapping[str, Any], pending: EditsById) -> list[Record]:
    """Return the pending edits, oldest first, with the current route and the reason why each is pending."""
    return [_pending_record(entries, edit) for edit in _unresolved(entries, pending)]


def _unresolved(entries: Mapping[str, Any], pending: EditsById) -> list[RouteEdit]:
    edits = sorted(pending.values(), key=recency)
    return [edit for edit in edits if outcome_of(entries, edit.id) is None]


def _pending_record(entries: Mapping[str, Any], edit: RouteEdit) -> Record:
    current: Specification = entries.get(route_key(edit.route))
    is_conflict = not specifications_equal(current, edit.base_specification)
    reason = _pending_reason(entries, edit, is_conflict)
    return {
        **encode_edit(edit),
        "now": current,
        "conflict": is_conflict,
        "why": reason.value if reason is not None else "",
    }


def _pending_reason(entries: Mapping[str, Any], edit: RouteEdit, is_conflict: bool) -> ConflictReason | None:
    if is_conflict:
        return ConflictReason.SPECIFICATION
    reason = conflict_reason(entries, edit.route, edit.specification, edit.base_specification)
    if reason is None and not edit.automatic:
        return ConflictReason.ROUTE_TYPE
    return reason


def route_history(entries: Mapping[str, Any], pending: EditsById, route: str) -> list[Record]:
    """Return the log of a route's edits, oldest first, followed by its pending edits."""
    edits = [edit for edit in _unresolved(entries, pending) if edit.route == route]
    return [
        *log_of(history_of(entries, route)),
        *(encode_log_entry(edit, Outcome.PENDING) for edit in edits),
    ]
