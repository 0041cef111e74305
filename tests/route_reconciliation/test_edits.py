"""Edits of routes: how they are decoded, how sets of them join, and what never merges by itself."""

from typing import Any

from hypothesis import given
from ward import each, test

from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edit_sets import join_edits
from ashlift.route_reconciliation.edits import ConflictReason, conflict_reason
from tests.support.route_edit_strategies import edit_sets, quick
from tests.support.route_edits import BASE, Map, decide, execute, make_edit, route


@test("sets of edits: joined in any order, any grouping, any number of times, they are the same")
def _() -> None:
    @quick
    @given(edit_sets, edit_sets, edit_sets)
    def holds(first: Any, second: Any, third: Any) -> None:
        assert join_edits(first, second) == join_edits(second, first)
        left_grouped = join_edits(join_edits(first, second), third)
        assert left_grouped == join_edits(first, join_edits(second, third))
        assert join_edits(first, first) == first == join_edits(first, {})

    holds()


CHANGES: dict[str, tuple[str, Any, ConflictReason | None]] = {
    "another kind": ("x", route("a", kind="non_idempotent"), ConflictReason.ROUTE_TYPE),
    "a route that is not repeatable": (
        "hold",
        route("c", "/hold/", "non_idempotent"),
        ConflictReason.ROUTE_TYPE,
    ),
    "its withdrawal": ("hold", None, ConflictReason.ROUTE_TYPE),
    "paths taken from one that is not repeatable": (
        "y",
        route("a", "/hold/new/"),
        ConflictReason.ROUTE_TYPE,
    ),
    "paths given to one that is not repeatable": ("y", route("a", "/"), ConflictReason.ROUTE_TYPE),
    "another's place: a renaming": ("y", route("a"), ConflictReason.ADDRESS),
    "other homes": ("x", route("a", homes=["r1"]), ConflictReason.HOME_REGIONS),
    "a new route": ("y", route("a", "/y/"), None),
    "a withdrawal": ("x", None, None),
}
WORDS = {"ROUTE_TYPE": "kind", "ADDRESS": "place", "HOME_REGIONS": "homes", "SPECIFICATION": "text"}


@test("reasons of conflicts travel as the words that they have always had")
def _() -> None:
    assert {reason.name: reason.value for reason in ConflictReason} == WORDS


@test("what may merge by itself: {what}")
def _(what: str = each(*CHANGES)) -> None:
    name, specification, reason = CHANGES[what]
    wire_reason = reason.value if reason else ""
    assert conflict_reason(BASE, name, specification, BASE.get(f"Routes/{name}")) == reason
    edit = make_edit(name, specification, 5)
    after, answer = execute(BASE, "merge", {"edits": [encode_edit(edit)]})
    assert answer["outcomes"][edit.id].get("why", "") == wire_reason
    assert (after == BASE) == (reason is not None)
    proposal = make_edit(name, specification, 5, automatic=False)
    after, answer = execute(BASE, "merge", {"edits": [encode_edit(proposal)]})
    assert after == BASE
    assert answer["outcomes"][edit.id]["why"] == "kind"


@test("an invalid edit is a Failure, never an exception")
def _() -> None:
    good = encode_edit(make_edit("x", route("b"), 5))
    assert decode_edit(good) == make_edit("x", route("b"), 5)
    wrong_fields: list[Map] = [
        {"stamp": [1]},
        {"text": 3},
        {"name": ""},
        {"odd": 1},
        {"auto": "yes"},
        {"text": {"Host": "h" * 9000}},
    ]
    for bad in (None, {}, [1], *(good | fields for fields in wrong_fields)):
        assert not decode_edit(bad)
        assert decide(BASE, "edit", {"edit": bad}).response["status"] == 400
