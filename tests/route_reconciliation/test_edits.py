"""Route edits: decoding, joining sets of them, and the conflicts that need an operator."""

from typing import Any

from hypothesis import given
from ward import each, test

from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edit_sets import join_edits
from ashlift.route_reconciliation.edits import ConflictReason, conflict_reason
from tests.support.route_edit_strategies import edit_sets, quick
from tests.support.route_edits import BASE, Map, decide, execute, make_edit, route


@test("sets of edits: the join is commutative, associative and idempotent")
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
    "changes the route type": ("x", route("a", kind="non_idempotent"), ConflictReason.ROUTE_TYPE),
    "changes a route that is not idempotent": (
        "hold",
        route("c", "/hold/", "non_idempotent"),
        ConflictReason.ROUTE_TYPE,
    ),
    "withdraws a route that is not idempotent": ("hold", None, ConflictReason.ROUTE_TYPE),
    "takes paths from a route that is not idempotent": (
        "y",
        route("a", "/hold/new/"),
        ConflictReason.ROUTE_TYPE,
    ),
    "covers paths of a route that is not idempotent": ("y", route("a", "/"), ConflictReason.ROUTE_TYPE),
    "has the address of another route": ("y", route("a"), ConflictReason.ADDRESS),
    "changes home regions": ("x", route("a", homes=["r1"]), ConflictReason.HOME_REGIONS),
    "adds a route": ("y", route("a", "/y/"), None),
    "withdraws a route": ("x", None, None),
}
WIRE_VALUES = {"ROUTE_TYPE": "kind", "ADDRESS": "place", "HOME_REGIONS": "homes", "SPECIFICATION": "text"}


@test("conflict reasons keep their values on the wire")
def _() -> None:
    assert {reason.name: reason.value for reason in ConflictReason} == WIRE_VALUES


@test("edits that merge automatically, and those that need an operator: {what}")
def _(what: str = each(*CHANGES)) -> None:
    name, specification, reason = CHANGES[what]
    wire_reason = reason.value if reason else ""
    assert conflict_reason(BASE, name, specification, BASE.get(f"Routes/{name}")) == reason
    edit = make_edit(name, specification, 5)
    after, response = execute(BASE, "merge", {"edits": [encode_edit(edit)]})
    assert response["outcomes"][edit.id].get("why", "") == wire_reason
    assert (after == BASE) == (reason is not None)
    proposal = make_edit(name, specification, 5, automatic=False)
    after, response = execute(BASE, "merge", {"edits": [encode_edit(proposal)]})
    assert after == BASE
    assert response["outcomes"][edit.id]["why"] == "kind"


@test("an invalid edit is a Failure, never an exception")
def _() -> None:
    valid = encode_edit(make_edit("x", route("b"), 5))
    assert decode_edit(valid) == make_edit("x", route("b"), 5)
    invalid_fields: list[Map] = [
        {"stamp": [1]},
        {"text": 3},
        {"name": ""},
        {"odd": 1},
        {"auto": "yes"},
        {"text": {"Host": "h" * 9000}},
    ]
    for invalid in (None, {}, [1], *(valid | fields for fields in invalid_fields)):
        assert not decode_edit(invalid)
        assert decide(BASE, "edit", {"edit": invalid}).response["status"] == 400
