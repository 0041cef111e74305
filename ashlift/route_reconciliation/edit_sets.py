"""Sets of edits by id: joined in any order, any number of times, they come out the same. Pure."""

import json
from collections.abc import Iterable, Mapping
from typing import Any

from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp

EditsById = Mapping[str, RouteEdit]


def recency(edit: RouteEdit) -> tuple[HybridTimestamp, str]:
    """Sort key: the newest edit is the highest."""
    return edit.timestamp, edit.id


def join_edits(*edit_sets: EditsById) -> dict[str, RouteEdit]:
    """The union, whatever the order and the grouping; under one id the newest."""
    joined: dict[str, RouteEdit] = {}
    for edits in edit_sets:
        for edit_id, edit in edits.items():
            joined[edit_id] = _newest(joined.get(edit_id, edit), edit)
    return joined


def _newest(edit: RouteEdit, other: RouteEdit) -> RouteEdit:
    """Of two with one id. Were their timestamps equal too, which cannot be, their contents decide alike."""
    if edit == other:
        return edit

    def sort_key(candidate: RouteEdit) -> tuple[tuple[HybridTimestamp, str], str]:
        return recency(candidate), json.dumps(encode_edit(candidate), sort_keys=True)

    return max(edit, other, key=sort_key)


def decode_edits(values: Iterable[Any]) -> dict[str, RouteEdit]:
    """The edits among `values`, by id; what is none is left out."""
    decoded = (decode_edit(value) for value in values)
    return {edit.id: edit for edit in decoded if isinstance(edit, RouteEdit)}
