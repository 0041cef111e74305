"""What an operator's call makes of an edit, and what operators are shown. Pure."""

from collections.abc import Mapping
from typing import Any

import attrs

from ashlift.config.operator_config import current_version
from ashlift.errors import Failure
from ashlift.route_reconciliation.edits import Book, Edit, Text, read_edit, same, why_not
from ashlift.route_reconciliation.hybrid_clock import NEVER, Stamp, above
from ashlift.route_reconciliation.merging import EDITED, SETTLED, merge


def past(map: Mapping[str, Any], book: Book, name: str) -> Stamp:
    """The newest stamp known of that name."""
    known = map.get(EDITED + name)
    found = [Stamp(*known["stamp"])] if known else []
    return max([NEVER, *found, *(edit.stamp for edit in book.values() if edit.name == name)])


def made(map: Mapping[str, Any], name: str, body: Any, stamp: Stamp, where: str) -> Edit | Failure:
    """The edit that a call asks for. `body`: `{id, who, text, base}`; `map`: agreed on, as known here."""
    body = body if isinstance(body, dict) else {}
    fields = {key: body.get(key) for key in ("id", "who", "text", "base")}
    rest = {"name": name, "version": current_version(map), "stamp": [*stamp], "where": where, "auto": False}
    return read_edit({**fields, **rest})


def kept(map: Mapping[str, Any], book: Book, edit: Edit, doubt: bool) -> Edit | dict[str, Any]:
    """The edit as it is to wait, or both texts where the route is not what it was made on.

    Whether it may merge by itself is told on the map as it will be with what waits already; it is stamped
    above all that waits of that name, on whatever clock that was.
    """
    now: Text = map.get(f"Routes/{edit.name}")
    if not same(now, edit.base):
        return {"yours": edit.text, "theirs": now, "base": edit.base}
    ahead = merge(map, [one for one in book.values() if one.auto])
    view = {key: value for key, value in map.items() if key not in ahead.gone} | ahead.set
    others = {id: one for id, one in book.items() if id != edit.id}
    return attrs.evolve(
        edit,
        auto=not why_not(view, edit.name, edit.text, edit.base),
        stamp=above(edit.stamp, past(map, others, edit.name)),
        doubt=doubt,
    )


def listed(map: Mapping[str, Any], book: Book) -> list[dict[str, Any]]:
    """What waits, oldest first: each edit with the route as it is now, and why it does not merge."""
    found = []
    for edit in sorted(book.values(), key=lambda one: (one.stamp, one.id)):
        if SETTLED + edit.id in map:
            continue
        now: Text = map.get(f"Routes/{edit.name}")
        if not same(now, edit.base):
            why = "text"
        else:
            why = why_not(map, edit.name, edit.text, edit.base) or ("" if edit.auto else "kind")
        found.append({**edit.wire(), "now": now, "conflict": not same(now, edit.base), "why": why})
    return found


def history(map: Mapping[str, Any], book: Book, name: str) -> list[dict[str, Any]]:
    """What became of the edits of a route, oldest first, those that wait last."""
    entries: list[dict[str, Any]] = list(map.get(EDITED + name, {"log": []})["log"])
    for one in listed(map, book):
        if one["name"] == name:
            entries.append(
                {
                    "id": one["id"],
                    "outcome": "waits",
                    "version": "",
                    "on": one["version"],
                    "who": one["who"],
                    "where": one["where"],
                    "by": "",
                    "at_ms": one["stamp"][0],
                    "lost_to": "",
                }
            )
    return entries
