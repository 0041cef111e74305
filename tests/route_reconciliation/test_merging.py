"""Edits of routes on both sides of a cut: joining, merging in any order, and what never merges by itself."""

import itertools
from collections.abc import Iterable, Sequence
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as some
from ward import each, test

from ashlift.config import operator_config
from ashlift.route_reconciliation import merging as settling
from ashlift.route_reconciliation.edits import Edit, join, read_edit, why_not
from ashlift.route_reconciliation.hybrid_clock import AHEAD_MS, NEVER, SLACK_MS, Clock, Stamp

Map = dict[str, Any]
quick = settings(max_examples=80, deadline=None, derandomize=True, database=None)


def route(service: str, prefix: str = "/x/", kind: str = "idempotent", homes: Sequence[str] = ()) -> Map:
    return {"Host": "h", "PathPrefix": prefix, "RouteType": kind, "Service": service, "HomeRegions": [*homes]}


def whole(version: int, routes: Map) -> Map:
    services: list[tuple[str, str, Any]] = [("Services", name, {}) for name in ("a", "b", "c")]
    objects = [
        {"ObjectType": kind, "Metadata": {"Name": name}, "Specification": text}
        for kind, name, text in [*services, *(("Routes", *pair) for pair in routes.items())]
    ]
    return {"ConfigVersion": f"{version:08x}", "Objects": objects}


FIRST = {"x": route("a"), "hold": route("b", "/hold/", "non_idempotent")}


def laid(body: Map) -> Map:
    found = operator_config.load_configuration(body)
    assert isinstance(found, dict)
    return found


BASE = laid(whole(1, FIRST))


def edit(name: str, text: Any, ms: int, auto: bool = True, node: str = "n") -> Edit:
    base, stamp = BASE.get(f"Routes/{name}"), Stamp(ms, 0, node)
    return Edit(f"{name}-{ms}-{node}", name, text, base, "00000001", stamp, "clerk", node, auto)


def ordered(map: Map, kind: str, body: Any, if_match: str | None = None) -> tuple[Map, Any]:
    """The map after an order, and its answer."""
    made = settling.decide(map, {"kind": kind, "if_match": if_match, "body": body})
    after = {key: value for key, value in map.items() if key not in made.gone} | made.set
    assert not isinstance(
        operator_config.load_configuration(operator_config.export_configuration(after)), list
    )
    return after, made.answer


def merged(map: Map, batches: Iterable[Sequence[Edit]]) -> Map:
    """Batches as they come; what waits is sent again with the next, as members do."""
    known: list[Edit] = []
    for batch in batches:
        known += batch
        made = settling.merge(map, known)
        assert made.answer["outcomes"].keys() == {one.id for one in known}
        map = {key: value for key, value in map.items() if key not in made.gone} | made.set
    return map


def routes(map: Map) -> Map:
    return {key: value for key, value in map.items() if key.startswith("Routes/")}


texts = some.sampled_from([None, route("a"), route("b"), route("c")])
stamps = some.builds(Stamp, some.integers(1, 6), some.integers(0, 1), some.sampled_from("pq"))
edits = some.builds(
    lambda name, text, stamp, auto: Edit(
        f"{name}{stamp}", name, text, BASE.get(f"Routes/{name}"), "00000001", stamp, "w", stamp.node, auto
    ),
    some.sampled_from("xyz"),
    texts,
    stamps,
    some.just(True) | some.booleans(),
)
books = some.lists(edits, max_size=6).map(lambda found: join(*({one.id: one} for one in found)))


@test("books: joined in any order, any grouping, any number of times, they are the same")
def _() -> None:
    @quick
    @given(books, books, books)
    def holds(one: Any, two: Any, three: Any) -> None:
        assert join(one, two) == join(two, one)
        assert join(join(one, two), three) == join(one, join(two, three))
        assert join(one, one) == one == join(one, {})

    holds()


@test("merges: the same routes in any order and any batches, and a newest withdrawal is never lost")
def _() -> None:
    @quick
    @given(some.data(), books)
    def holds(data: Any, book: dict[str, Edit]) -> None:
        # One prefix a name: two sides that claim one place is the next test's.
        found = [
            Edit(**{**_fields(one), "text": one.text and {**one.text, "PathPrefix": f"/{one.name}/"}})
            for one in book.values()
        ]
        order = data.draw(some.permutations(found))
        at = data.draw(some.integers(0, len(order)))
        once, other = merged(BASE, [found]), merged(BASE, [order[:at], order[at:], order[:at]])
        assert routes(once) == routes(other)
        for name in {one.name for one in found if one.auto}:
            last = max((one for one in found if one.auto and one.name == name), key=lambda one: one.stamp)
            assert once.get(f"Routes/{name}") == last.text
        assert once["Routes/hold"] == FIRST["hold"]

    def _fields(one: Edit) -> Map:
        return {**one.wire(), "stamp": one.stamp}

    holds()


# What one side may do: a route goes elsewhere, is withdrawn, a new one takes a place, or that of the first.
STEPS: dict[str, tuple[str, Any]] = {
    "move": ("x", "c"),
    "withdraw": ("x", None),
    "add": ("y", "b"),
    "drop": ("y", None),
}


def step(what: str, ms: int, node: str) -> Edit:
    name, service = STEPS[what]
    return edit(name, service and route(service, f"/{name}/"), ms, node=node)


@test("two sides with three edits each, all of them, in every order of their arrival, stamped or by {plain}")
def _(plain: str = each("edit", "patch")) -> None:
    seen, ends = set(), set()
    for theirs in itertools.product(STEPS, repeat=3):
        # The majority's three, at 10, 20, 30, each on the newest map; the others' at 5, 15, 35.
        map = dict(BASE)
        for number, what in enumerate(theirs, 1):
            one = step(what, 10 * number, "m")
            now = map.get(f"Routes/{one.name}")
            if plain == "edit":
                body = {"edit": {**one.wire(), "base": now}}
                map, answer = ordered(map, "edit", body)
                assert answer["status"] == 200
            elif now != one.text:
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
            assert all(routes(one) == routes(results[0]) for one in results), (theirs, ours)
            ends.add(repr(routes(results[0])))
            if plain == "edit":
                _newest_wins(map, mine, results[0])
    assert len(ends) > 4


def _arrived(map: Map, coming: list[Edit], known: list[Edit]) -> list[Map]:
    """Every map that the edits may end in, coming one by one."""
    if not coming:
        return [map]
    found: list[Map] = []
    for one in coming:
        rest = [other for other in coming if other is not one]
        found += _arrived(merged(map, [[*known, one]]), rest, [*known, one])
    return found


def _patch(one: Edit, version: int) -> Map:
    body: dict[str, Any] = {"ConfigVersion": f"{version:08x}"}
    if one.text is None:
        return {**body, "Withdraw": {"Routes": [one.name]}}
    made = {"ObjectType": "Routes", "Metadata": {"Name": one.name}, "Specification": one.text}
    return {**body, "Upsert": {"Objects": [made]}}


def _newest_wins(map: Map, mine: list[Edit], end: Map) -> None:
    for name in "xy":
        own = max((one for one in mine if one.name == name), key=lambda one: one.stamp, default=None)
        known = map.get(f"Edited/{name}", {"stamp": [*NEVER]})["stamp"]
        wins = own is not None and [*own.stamp] > known
        assert end.get(f"Routes/{name}") == (own.text if wins and own else map.get(f"Routes/{name}"))


NEW = {
    "another kind": ("x", route("a", kind="non_idempotent"), "kind"),
    "a route that is not repeatable": ("hold", route("c", "/hold/", "non_idempotent"), "kind"),
    "its withdrawal": ("hold", None, "kind"),
    "paths taken from one that is not repeatable": ("y", route("a", "/hold/new/"), "kind"),
    "paths given to one that is not repeatable": ("y", route("a", "/"), "kind"),
    "another's place: a renaming": ("y", route("a"), "place"),
    "other homes": ("x", route("a", homes=["r1"]), "homes"),
    "a new route": ("y", route("a", "/y/"), ""),
    "a withdrawal": ("x", None, ""),
}


@test("what may merge by itself: {what}")
def _(what: str = each(*NEW)) -> None:
    name, text, why = NEW[what]
    assert why_not(BASE, name, text, BASE.get(f"Routes/{name}")) == why
    one = edit(name, text, 5)
    after, answer = ordered(BASE, "merge", {"edits": [one.wire()]})
    assert answer["outcomes"][one.id].get("why", "") == why
    assert (after == BASE) == bool(why)
    after, answer = ordered(BASE, "merge", {"edits": [edit(name, text, 5, auto=False).wire()]})
    assert after == BASE and answer["outcomes"][one.id]["why"] == "kind"


@test("a service that is gone, homes that changed, a plain change: the majority's word stands")
def _() -> None:
    for theirs, why in (
        ({**FIRST, "x": route("b")}, "text"),
        ({**FIRST, "x": route("a", homes=["r1"])}, "text"),
        ({**FIRST, "y": route("a", "/y/")}, "place"),
    ):
        map = laid(whole(2, theirs))
        one = edit("z", route("c", "/y/"), 5) if "y" in theirs else edit("x", route("c"), 5)
        after, answer = ordered(map, "merge", {"edits": [one.wire()]})
        assert after == map and answer["outcomes"][one.id] == {"outcome": "conflict", "why": why}
    after, answer = ordered(BASE, "merge", {"edits": [edit("x", route("gone"), 5).wire()]})
    assert after == BASE and "no such service" in answer["outcomes"]["x-5-n"]["why"]


@test("a proposal is confirmed once, on the version that was shown, and over a change only if that is said")
def _() -> None:
    one = edit("hold", route("c", "/hold/", "non_idempotent"), 5, auto=False)
    body = {"edit": one.wire(), "who": "boss", "stamp": [90, 0, "n"]}
    assert ordered(BASE, "confirm", body, "00000009")[1]["status"] == 412
    after, answer = ordered(BASE, "confirm", body, "00000001")
    assert answer["status"] == 200 and after["Version"] == "00000002" and after["Routes/hold"] == one.text
    assert (
        after["Edited/hold"]["log"][-1] | {"by": "boss", "who": "clerk", "version": "00000002"}
        == (after["Edited/hold"]["log"][-1])
    )
    again = ordered(after, "confirm", body, "00000001")
    assert again[0] == after and again[1]["outcome"] == "in force"
    moved = laid(whole(2, {**FIRST, "hold": route("a", "/hold/", "non_idempotent")}))
    same, answer = ordered(moved, "confirm", body, "00000002")
    assert same == moved and answer["status"] == 409
    assert (answer["yours"], answer["theirs"]) == (one.text, moved["Routes/hold"])
    assert ordered(moved, "confirm", body | {"over": True}, "00000002")[0]["Routes/hold"] == one.text
    gone, answer = ordered(moved, "reject", body, "00000002")
    assert routes(gone) == routes(moved) and gone["Version"] == moved["Version"]
    assert ordered(gone, "confirm", body, "00000002")[1]["outcome"] == "rejected"


@test("what is remembered of edits is bounded, and an edit too old to be placed waits for an operator")
def _() -> None:
    map = dict(BASE)
    most = settling.EDITED_MOST
    late = [edit(f"n{number}", None, 100 + number) for number in range(most + 3)]
    map = merged(map, [late])
    assert sum(key.startswith("Edited/") for key in map) == most
    assert sum(key.startswith("Settled/") for key in map) == settling.SETTLED_MOST
    after, answer = ordered(map, "merge", {"edits": [edit("n0", route("a", "/n/"), 50).wire()]})
    assert after == map and answer["outcomes"]["n0-50-n"]["outcome"] == "conflict"


@test("stamps rise through jumps of the time of day, which move them by a bounded time")
def _() -> None:
    clock = Clock("n", 1000.0, 0.0)
    last = NEVER
    for steady, wall in ((0.1, 1000.1), (0.2, 1003.2), (0.3, 997.0), (0.4, 1000.4), (0.4, 1000.4)):
        stamp = clock.stamp(NEVER, wall, steady)
        assert stamp > last and abs(stamp.ms - (1000 + steady) * 1000) <= SLACK_MS + 1
        last = stamp
    clock.seen(Stamp(1_000_400 + 3000, 0, "ahead"), 1000.5, 0.5)
    assert clock.stamp(NEVER, 1000.5, 0.5) > Stamp(1_003_400, 0, "ahead")
    mad = Stamp(1_000_400 + 2 * AHEAD_MS, 0, "mad")
    clock.seen(mad, 1000.6, 0.6)
    assert clock.stamp(NEVER, 1000.6, 0.6) < mad < clock.stamp(mad, 1000.6, 0.6)


@test("an edit that cannot be right is a fault, never an error")
def _() -> None:
    good = edit("x", route("b"), 5).wire()
    assert read_edit(good) == edit("x", route("b"), 5)
    wrong: list[Map] = [
        {"stamp": [1]},
        {"text": 3},
        {"name": ""},
        {"odd": 1},
        {"auto": "yes"},
        {"text": {"Host": "h" * 9000}},
    ]
    for bad in (None, {}, [1], *(good | one for one in wrong)):
        assert not read_edit(bad)
        assert settling.decide(BASE, {"kind": "edit", "body": {"edit": bad}}).answer["status"] == 400
