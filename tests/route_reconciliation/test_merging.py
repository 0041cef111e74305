"""Merges of edits made on both sides of a partition: in any order of arrival, and operators' decisions."""

import itertools
from typing import Any

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as some
from ward import each, test

from ashlift.config import operator_config
from ashlift.route_reconciliation.edit_codec import encode_edit
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import NEVER
from ashlift.route_reconciliation.stored_records import MAX_HISTORIES, MAX_OUTCOMES
from tests.support.route_edit_strategies import edit_sets, quick
from tests.support.route_edits import (
    BASE,
    FIRST_ROUTES,
    Map,
    configuration_of,
    entries_of,
    execute,
    make_edit,
    merged,
    route,
    routes_in,
)


@test("merges: the same routes in any order and any batches, and a newest withdrawal is never lost")
def _() -> None:
    @quick
    @given(some.data(), edit_sets)
    def holds(data: Any, drawn: dict[str, RouteEdit]) -> None:
        # One prefix a name: two sides that claim one place is the next test's.
        found = [_with_own_prefix(edit) for edit in drawn.values()]
        order = data.draw(some.permutations(found))
        at = data.draw(some.integers(0, len(order)))
        once, other = merged(BASE, [found]), merged(BASE, [order[:at], order[at:], order[:at]])
        assert routes_in(once) == routes_in(other)
        for name in {one.route for one in found if one.automatic}:
            last = max(
                (one for one in found if one.automatic and one.route == name), key=lambda one: one.timestamp
            )
            assert once.get(f"Routes/{name}") == last.specification
        assert once["Routes/hold"] == FIRST_ROUTES["hold"]

    holds()


def _with_own_prefix(edit: RouteEdit) -> RouteEdit:
    specification = edit.specification and {**edit.specification, "PathPrefix": f"/{edit.route}/"}
    return evolve(edit, specification=specification)


# What one side may do: a route goes elsewhere, is withdrawn, a new one takes a place, or that of the first.
STEPS: dict[str, tuple[str, Any]] = {
    "move": ("x", "c"),
    "withdraw": ("x", None),
    "add": ("y", "b"),
    "drop": ("y", None),
}


def step(what: str, ms: int, node: str) -> RouteEdit:
    name, service = STEPS[what]
    return make_edit(name, service and route(service, f"/{name}/"), ms, node=node)


@test("two sides with three edits each, all of them, in every order of their arrival, stamped or by {plain}")
def _(plain: str = each("edit", "patch")) -> None:
    seen, ends = set(), set()
    for theirs in itertools.product(STEPS, repeat=3):
        # The majority's three, at 10, 20, 30, each on the newest map; the others' at 5, 15, 35.
        map = dict(BASE)
        for number, what in enumerate(theirs, 1):
            one = step(what, 10 * number, "m")
            now = map.get(f"Routes/{one.route}")
            if plain == "edit":
                body = {"edit": {**encode_edit(one), "base": now}}
                map, answer = execute(map, "edit", body)
                assert answer["status"] == 200
            elif now != one.specification:
                version = operator_config.current_version(map)
                change = operator_config.apply_change(
                    map, "patch", version, _patch(one, int(version, 16) + 1)
                )
                assert isinstance(change, operator_config.ConfigChange)
                map = {
                    key: value for key, value in map.items() if key not in change.removed_keys
                } | change.entries
        mark = repr(
            sorted(
                (key, map[key], map.get(key.replace("Routes/", "Edited/"), {}).get("stamp"))
                for key in map
                if key.startswith("Routes/")
            )
        )
        if mark in seen:
            continue
        seen.add(mark)
        for ours in itertools.product(STEPS, repeat=3):
            mine = [step(what, ms, "c") for what, ms in zip(ours, (5, 15, 35), strict=True)]
            results = [merged(map, [mine]), *(_arrived(map, mine, []))]
            assert all(routes_in(one) == routes_in(results[0]) for one in results), (theirs, ours)
            ends.add(repr(routes_in(results[0])))
            if plain == "edit":
                _newest_wins(map, mine, results[0])
    assert len(ends) > 4


def _arrived(map: Map, coming: list[RouteEdit], known: list[RouteEdit]) -> list[Map]:
    """Every map that the edits may end in, coming one by one."""
    if not coming:
        return [map]
    found: list[Map] = []
    for one in coming:
        rest = [other for other in coming if other is not one]
        found += _arrived(merged(map, [[*known, one]]), rest, [*known, one])
    return found


def _patch(one: RouteEdit, version: int) -> Map:
    body: dict[str, Any] = {"ConfigVersion": f"{version:08x}"}
    if one.specification is None:
        return {**body, "Withdraw": {"Routes": [one.route]}}
    made = {"ObjectType": "Routes", "Metadata": {"Name": one.route}, "Specification": one.specification}
    return {**body, "Upsert": {"Objects": [made]}}


def _newest_wins(map: Map, mine: list[RouteEdit], end: Map) -> None:
    for name in "xy":
        own = max((one for one in mine if one.route == name), key=lambda one: one.timestamp, default=None)
        known = map.get(f"Edited/{name}", {"stamp": [*NEVER]})["stamp"]
        wins = own is not None and [*own.timestamp] > known
        assert end.get(f"Routes/{name}") == (own.specification if wins and own else map.get(f"Routes/{name}"))


@test("a service that is gone, homes that changed, a plain change: the majority's word stands")
def _() -> None:
    for theirs, why in (
        ({**FIRST_ROUTES, "x": route("b")}, "text"),
        ({**FIRST_ROUTES, "x": route("a", homes=["r1"])}, "text"),
        ({**FIRST_ROUTES, "y": route("a", "/y/")}, "place"),
    ):
        map = entries_of(configuration_of(2, theirs))
        one = make_edit("z", route("c", "/y/"), 5) if "y" in theirs else make_edit("x", route("c"), 5)
        after, answer = execute(map, "merge", {"edits": [encode_edit(one)]})
        assert after == map and answer["outcomes"][one.id] == {"outcome": "conflict", "why": why}
    after, answer = execute(BASE, "merge", {"edits": [encode_edit(make_edit("x", route("gone"), 5))]})
    assert after == BASE and "no such service" in answer["outcomes"]["x-5-n"]["why"]


@test("a proposal is confirmed once, on the version that was shown, and over a change only if that is said")
def _() -> None:
    one = make_edit("hold", route("c", "/hold/", "non_idempotent"), 5, automatic=False)
    body = {"edit": encode_edit(one), "who": "boss", "stamp": [90, 0, "n"]}
    assert execute(BASE, "confirm", body, "00000009")[1]["status"] == 412
    after, answer = execute(BASE, "confirm", body, "00000001")
    assert (
        answer["status"] == 200
        and after["Version"] == "00000002"
        and after["Routes/hold"] == one.specification
    )
    assert (
        after["Edited/hold"]["log"][-1] | {"by": "boss", "who": "clerk", "version": "00000002"}
        == (after["Edited/hold"]["log"][-1])
    )
    again = execute(after, "confirm", body, "00000001")
    assert again[0] == after and again[1]["outcome"] == "in force"
    moved = entries_of(configuration_of(2, {**FIRST_ROUTES, "hold": route("a", "/hold/", "non_idempotent")}))
    same, answer = execute(moved, "confirm", body, "00000002")
    assert same == moved and answer["status"] == 409
    assert (answer["yours"], answer["theirs"]) == (one.specification, moved["Routes/hold"])
    assert execute(moved, "confirm", body | {"over": True}, "00000002")[0]["Routes/hold"] == one.specification
    gone, answer = execute(moved, "reject", body, "00000002")
    assert routes_in(gone) == routes_in(moved) and gone["Version"] == moved["Version"]
    assert execute(gone, "confirm", body, "00000002")[1]["outcome"] == "rejected"


@test("what is remembered of edits is bounded, and an edit too old to be placed waits for an operator")
def _() -> None:
    map = dict(BASE)
    most = MAX_HISTORIES
    late = [make_edit(f"n{number}", None, 100 + number) for number in range(most + 3)]
    map = merged(map, [late])
    assert sum(key.startswith("Edited/") for key in map) == most
    assert sum(key.startswith("Settled/") for key in map) == MAX_OUTCOMES
    after, answer = execute(map, "merge", {"edits": [encode_edit(make_edit("n0", route("a", "/n/"), 50))]})
    assert after == map and answer["outcomes"]["n0-50-n"]["outcome"] == "conflict"
