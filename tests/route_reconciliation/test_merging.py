"""Merges of edits made on both sides of a partition, and operators' decisions on pending edits."""

import itertools
from typing import Any

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as some
from ward import each, test

from ashlift.config import operator_config
from ashlift.route_reconciliation.edit_codec import encode_edit
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import ZERO_TIMESTAMP
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


@test("merges: the result does not depend on order or batches, and the newest edit of a route wins")
def _() -> None:
    @quick
    @given(some.data(), edit_sets)
    def holds(data: Any, drawn: dict[str, RouteEdit]) -> None:
        # A distinct prefix per route avoids address conflicts, which the next test covers.
        edits = [_with_distinct_prefix(edit) for edit in drawn.values()]
        order = data.draw(some.permutations(edits))
        split = data.draw(some.integers(0, len(order)))
        in_one_batch = merged(BASE, [edits])
        in_three_batches = merged(BASE, [order[:split], order[split:], order[:split]])
        assert routes_in(in_one_batch) == routes_in(in_three_batches)
        automatic = [edit for edit in edits if edit.automatic]
        for name in {edit.route for edit in automatic}:
            newest = max((edit for edit in automatic if edit.route == name), key=lambda edit: edit.timestamp)
            assert in_one_batch.get(f"Routes/{name}") == newest.specification
        assert in_one_batch["Routes/hold"] == FIRST_ROUTES["hold"]

    holds()


def _with_distinct_prefix(edit: RouteEdit) -> RouteEdit:
    specification = edit.specification and {**edit.specification, "PathPrefix": f"/{edit.route}/"}
    return evolve(edit, specification=specification)


STEPS: dict[str, tuple[str, Any]] = {  # route and its new service; None: withdrawn
    "move": ("x", "c"),
    "withdraw": ("x", None),
    "add": ("y", "b"),
    "drop": ("y", None),
}
MAJORITY_MS = (10, 20, 30)  # timestamps of the majority's edits, each based on the newest map
MINORITY_MS = (5, 15, 35)  # timestamps of the minority's edits, all based on BASE


def _step_edit(step: str, wall_ms: int, node: str) -> RouteEdit:
    name, service = STEPS[step]
    return make_edit(name, service and route(service, f"/{name}/"), wall_ms, node=node)


@test("merges: all combinations of three edits on each side, in every order, majority by {method}")
def _(method: str = each("edit", "patch")) -> None:
    majority_states: set[str] = set()
    final_states: set[str] = set()
    for majority_steps in itertools.product(STEPS, repeat=3):
        entries = dict(BASE)
        for step, wall_ms in zip(majority_steps, MAJORITY_MS, strict=True):
            edit = _step_edit(step, wall_ms, "m")
            current = entries.get(f"Routes/{edit.route}")
            if method == "edit":
                entries, response = execute(entries, "edit", {"edit": {**encode_edit(edit), "base": current}})
                assert response["status"] == 200
            elif current != edit.specification:
                version = operator_config.current_version(entries)
                patch = _patch(edit, int(version, 16) + 1)
                change = operator_config.apply_change(entries, "patch", version, patch)
                assert isinstance(change, operator_config.ConfigChange)
                remaining = {key: entries[key] for key in entries if key not in change.removed_keys}
                entries = remaining | change.entries
        state = _routes_and_timestamps(entries)
        if state in majority_states:
            continue
        majority_states.add(state)
        for minority_steps in itertools.product(STEPS, repeat=3):
            edits = [
                _step_edit(step, wall_ms, "c")
                for step, wall_ms in zip(minority_steps, MINORITY_MS, strict=True)
            ]
            results = [merged(entries, [edits]), *_after_each_order(entries, edits, [])]
            converged = all(routes_in(result) == routes_in(results[0]) for result in results)
            assert converged, (majority_steps, minority_steps)
            final_states.add(repr(routes_in(results[0])))
            if method == "edit":
                _assert_newest_wins(entries, edits, results[0])
    assert len(final_states) > 4


def _routes_and_timestamps(entries: Map) -> str:
    """The state that merges depend on, to test each one once."""
    keys = sorted(routes_in(entries))
    histories = [entries.get(key.replace("Routes/", "Edited/"), {}) for key in keys]
    return repr(
        [(key, entries[key], history.get("stamp")) for key, history in zip(keys, histories, strict=True)]
    )


def _after_each_order(entries: Map, arriving: list[RouteEdit], known: list[RouteEdit]) -> list[Map]:
    """The maps that result from the edits arriving one by one, in every order."""
    if not arriving:
        return [entries]
    results: list[Map] = []
    for edit in arriving:
        remaining = [other for other in arriving if other is not edit]
        results += _after_each_order(merged(entries, [[*known, edit]]), remaining, [*known, edit])
    return results


def _patch(edit: RouteEdit, version: int) -> Map:
    """A configuration patch with the same change as the edit, which has no timestamp."""
    patch: Map = {"ConfigVersion": f"{version:08x}"}
    if edit.specification is None:
        return {**patch, "Withdraw": {"Routes": [edit.route]}}
    changed = {"ObjectType": "Routes", "Metadata": {"Name": edit.route}, "Specification": edit.specification}
    return {**patch, "Upsert": {"Objects": [changed]}}


def _assert_newest_wins(before: Map, edits: list[RouteEdit], after: Map) -> None:
    for name in "xy":
        of_route = [edit for edit in edits if edit.route == name]
        newest = max(of_route, key=lambda edit: edit.timestamp, default=None)
        majority_timestamp = before.get(f"Edited/{name}", {"stamp": [*ZERO_TIMESTAMP]})["stamp"]
        expected = before.get(f"Routes/{name}")
        if newest is not None and [*newest.timestamp] > majority_timestamp:
            expected = newest.specification
        assert after.get(f"Routes/{name}") == expected


@test("merges: an edit that conflicts with the majority's changes is not applied")
def _() -> None:
    for majority_routes, why in (
        ({**FIRST_ROUTES, "x": route("b")}, "text"),
        ({**FIRST_ROUTES, "x": route("a", homes=["r1"])}, "text"),
        ({**FIRST_ROUTES, "y": route("a", "/y/")}, "place"),
    ):
        entries = entries_of(configuration_of(2, majority_routes))
        edit = (
            make_edit("z", route("c", "/y/"), 5) if "y" in majority_routes else make_edit("x", route("c"), 5)
        )
        after, response = execute(entries, "merge", {"edits": [encode_edit(edit)]})
        assert after == entries
        assert response["outcomes"][edit.id] == {"outcome": "conflict", "why": why}
    after, response = execute(BASE, "merge", {"edits": [encode_edit(make_edit("x", route("gone"), 5))]})
    assert after == BASE
    assert "no such service" in response["outcomes"]["x-5-n"]["why"]


@test("a proposal is confirmed once, on the current version, and overwrites a change only on request")
def _() -> None:
    edit = make_edit("hold", route("c", "/hold/", "non_idempotent"), 5, automatic=False)
    body = {"edit": encode_edit(edit), "who": "boss", "stamp": [90, 0, "n"]}
    assert execute(BASE, "confirm", body, "00000009")[1]["status"] == 412
    after, response = execute(BASE, "confirm", body, "00000001")
    assert response["status"] == 200
    assert after["Version"] == "00000002"
    assert after["Routes/hold"] == edit.specification
    log_entry = after["Edited/hold"]["log"][-1]
    assert log_entry | {"by": "boss", "who": "clerk", "version": "00000002"} == log_entry
    repeated = execute(after, "confirm", body, "00000001")
    assert repeated[0] == after
    assert repeated[1]["outcome"] == "in force"
    moved = entries_of(configuration_of(2, {**FIRST_ROUTES, "hold": route("a", "/hold/", "non_idempotent")}))
    same, response = execute(moved, "confirm", body, "00000002")
    assert same == moved
    assert response["status"] == 409
    assert (response["yours"], response["theirs"]) == (edit.specification, moved["Routes/hold"])
    assert (
        execute(moved, "confirm", body | {"over": True}, "00000002")[0]["Routes/hold"] == edit.specification
    )
    after_rejection, response = execute(moved, "reject", body, "00000002")
    assert routes_in(after_rejection) == routes_in(moved)
    assert after_rejection["Version"] == moved["Version"]
    assert execute(after_rejection, "confirm", body, "00000002")[1]["outcome"] == "rejected"


@test("outcomes and histories are bounded, and an edit older than dropped histories needs an operator")
def _() -> None:
    entries = dict(BASE)
    withdrawals = [make_edit(f"n{number}", None, 100 + number) for number in range(MAX_HISTORIES + 3)]
    entries = merged(entries, [withdrawals])
    assert sum(key.startswith("Edited/") for key in entries) == MAX_HISTORIES
    assert sum(key.startswith("Settled/") for key in entries) == MAX_OUTCOMES
    after, response = execute(
        entries, "merge", {"edits": [encode_edit(make_edit("n0", route("a", "/n/"), 50))]}
    )
    assert after == entries
    assert response["outcomes"]["n0-50-n"]["outcome"] == "conflict"
