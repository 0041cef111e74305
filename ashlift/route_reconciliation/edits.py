"""An edit of one route, and books of them: joined in any order, any number of times, they are the same."""

import json
from collections.abc import Mapping
from typing import Any, Final

import attrs

from ashlift.config.routing_table import normalize_host
from ashlift.errors import Failure, FailureReason
from ashlift.route_reconciliation.hybrid_clock import Stamp

Text = dict[str, Any] | None  # a route's Specification; None: there is no such route
Book = Mapping[str, "Edit"]  # by id
WORD_MOST: Final = 200  # characters of a name, an id, of who and where
TEXT_MOST: Final = 8 << 10  # characters of a route's text: a shelf of edits fits a frame
REPEATABLE: Final = "idempotent"


@attrs.frozen
class Edit:
    """`base`: the route's text as agreed on, in `version`, where the edit was made; `auto`: it may merge by
    itself. `doubt`: it was sent to a leader that gave no clear answer."""

    id: str
    name: str
    text: Text
    base: Text
    version: str
    stamp: Stamp
    who: str
    where: str
    auto: bool
    doubt: bool = False

    def wire(self) -> dict[str, Any]:
        return {**attrs.asdict(self), "stamp": [*self.stamp]}


def read_edit(value: Any) -> Edit | Failure:
    """An edit as `wire` gave it."""
    try:
        fields = dict(value)
        ms, turn, node = fields.pop("stamp")
        edit = Edit(stamp=Stamp(int(ms), int(turn), str(node)), **fields)
    except (LookupError, TypeError, ValueError) as error:
        return Failure(FailureReason.INVALID, f"no edit: {error}")
    words = (edit.id, edit.name, edit.version, edit.who, edit.where)
    sound = (
        all(isinstance(one, str) and 0 < len(one) <= WORD_MOST for one in words)
        and all(one is None or _is_text(one) for one in (edit.text, edit.base))
        and isinstance(edit.auto, bool)
        and isinstance(edit.doubt, bool)
    )
    return (
        edit
        if sound
        else Failure(FailureReason.INVALID, "no edit: a field is of the wrong kind, or too long")
    )


def _is_text(value: Any) -> bool:
    try:
        return isinstance(value, dict) and len(json.dumps(value, allow_nan=False)) <= TEXT_MOST
    except (TypeError, ValueError, RecursionError):
        return False


def same(one: Text, other: Text) -> bool:
    """Alike as they are written: 1, 1.0 and true are three values."""
    return json.dumps(one, sort_keys=True) == json.dumps(other, sort_keys=True)


def rank(edit: Edit) -> tuple[Stamp, str]:
    """Which edit is the newest."""
    return edit.stamp, edit.id


def _newer(one: Edit, other: Edit) -> Edit:
    """Of two under one id: their texts decide between impossible equals, alike everywhere."""
    if one == other:
        return one
    return max(one, other, key=lambda edit: (rank(edit), json.dumps(edit.wire(), sort_keys=True)))


def join(*books: Book) -> dict[str, Edit]:
    """All edits of all books; under one id the one that ranks highest."""
    found: dict[str, Edit] = {}
    for book in books:
        for id, edit in book.items():
            found[id] = _newer(found.get(id, edit), edit)
    return found


# ---- which edits may merge by themselves
def why_not(map: Mapping[str, Any], name: str, text: Text, base: Text) -> str:
    """Why this change of the map needs an operator's word after a cut; "": it does not.

    `kind`: the route is or becomes one that is not repeatable, or paths move to or from such a route;
    `place`: another route has its host and prefix (a renaming, or two that would share them);
    `homes`: the regions that may serve it change, or have changed since.
    """
    now: Text = map.get(f"Routes/{name}")
    there = [one for one in (now, text) if one is not None]
    if any(one.get("RouteType") != REPEATABLE for one in there):
        return "kind"
    places = [_place(one) for one in there]
    for key, other in map.items():
        if not key.startswith("Routes/") or key == f"Routes/{name}":
            continue
        place = _place(other)
        if text is not None and place == _place(text):
            return "place"
        if other.get("RouteType") != REPEATABLE and any(_overlap(place, one) for one in places):
            return "kind"
    if base is not None and any(_homes(one) != _homes(base) for one in there):
        return "homes"
    return ""


def _place(text: Mapping[str, Any]) -> tuple[str, str]:
    return normalize_host(str(text.get("Host", ""))), str(text.get("PathPrefix", ""))


def _overlap(one: tuple[str, str], other: tuple[str, str]) -> bool:
    """Whether some path could go by either, were the other not there."""
    return one[0] == other[0] and (one[1].startswith(other[1]) or other[1].startswith(one[1]))


def _homes(text: Mapping[str, Any]) -> set[str]:
    return set(text.get("HomeRegions") or ())
