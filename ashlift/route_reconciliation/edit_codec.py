"""Encodes and decodes route edits, on the wire and on disk. No other module knows their keys."""

import json
from typing import Any, Final

from ashlift.errors import Failure, FailureReason
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp

MAX_NAME_CHARACTERS: Final = 200  # limit for route names, edit ids, versions, authors and nodes
MAX_SPECIFICATION_CHARACTERS: Final = 8 << 10  # as JSON; keeps all pending edits within one frame

_WRONG_FIELD: Final = "no edit: a field is of the wrong kind, or too long"


def encode_edit(edit: RouteEdit) -> dict[str, Any]:
    """Encode an edit so that `decode_edit` can read it."""
    return {
        "id": edit.id,
        "name": edit.route,
        "text": edit.specification,
        "base": edit.base_specification,
        "version": edit.base_version,
        "stamp": [*edit.timestamp],
        "who": edit.author,
        "where": edit.node,
        "auto": edit.automatic,
        "doubt": edit.in_doubt,
    }


def decode_edit(value: Any) -> RouteEdit | Failure:
    """Decode the output of `encode_edit`, in which `doubt` may be missing; INVALID if it is malformed."""
    try:
        fields = dict(value)
        edit = RouteEdit(
            id=fields.pop("id"),
            route=fields.pop("name"),
            specification=fields.pop("text"),
            base_specification=fields.pop("base"),
            base_version=fields.pop("version"),
            timestamp=decode_timestamp(fields.pop("stamp")),
            author=fields.pop("who"),
            node=fields.pop("where"),
            automatic=fields.pop("auto"),
            in_doubt=fields.pop("doubt", False),
        )
    except (LookupError, TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, f"no edit: {error}")
    if fields:
        return Failure(FailureReason.INVALID, f"no edit: {', '.join(map(str, fields))}")
    return edit if _is_valid(edit) else Failure(FailureReason.INVALID, _WRONG_FIELD)


def decode_timestamp(value: Any) -> HybridTimestamp:
    """Decode `[ms, counter, node]`. Raises LookupError, TypeError or ValueError if it is malformed."""
    wall_ms, counter, node = value
    return HybridTimestamp(int(wall_ms), int(counter), str(node))


def _is_valid(edit: RouteEdit) -> bool:
    return (
        all(map(_is_name, (edit.id, edit.route, edit.base_version, edit.author, edit.node)))
        and all(map(_is_specification, (edit.specification, edit.base_specification)))
        and isinstance(edit.automatic, bool)
        and isinstance(edit.in_doubt, bool)
    )


def _is_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_NAME_CHARACTERS


def _is_specification(value: Any) -> bool:
    if value is None:
        return True
    try:
        text = json.dumps(value, allow_nan=False) if isinstance(value, dict) else None
    except (TypeError, ValueError, RecursionError):
        return False
    return text is not None and len(text) <= MAX_SPECIFICATION_CHARACTERS
