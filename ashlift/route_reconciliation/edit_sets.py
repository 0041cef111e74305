"""Sets of route edits by id. Joining them is commutative, associative and idempotent. No I/O."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp

EditsById = Mapping[str, RouteEdit]


def recency(edit: RouteEdit) -> tuple[HybridTimestamp, str]:
    """Sort key that orders edits from oldest to newest."""
    return edit.timestamp, edit.id


def join_edits(*edit_sets: EditsById) -> dict[str, RouteEdit]:
    """Return the union of the sets; of edits with the same id, the newest is kept."""
    joined: dict[str, RouteEdit] = {}
    for edits in edit_sets:
        for edit_id, edit in edits.items():
            joined[edit_id] = _newer(joined.get(edit_id, edit), edit)
    return joined


def _newer(edit: RouteEdit, other: RouteEdit) -> RouteEdit:
    """Return the newer of two edits with the same id.

    Equal timestamps are not expected; the contents then break the tie, so that all nodes choose alike.
    """
    if edit == other:
        return edit

    def sort_key(candidate: RouteEdit) -> tuple[tuple[HybridTimestamp, str], str]:
        return recency(candidate), json.dumps(encode_edit(candidate), sort_keys=True)

    return max(edit, other, key=sort_key)


def decode_edits(values: Iterable[Any]) -> dict[str, RouteEdit]:
    """Decode edits and index them by id; malformed values are skipped."""
    decoded = (decode_edit(value) for value in values)
    return {edit.id: edit for edit in decoded if isinstance(edit, RouteEdit)}
