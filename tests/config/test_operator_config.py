"""Configurations: scenes of what is taken and refused, and any damage done to a sound one."""

import copy
import json
import math
from typing import Any

from hypothesis import HealthCheck, given, seed
from hypothesis import settings as how
from hypothesis import strategies as st
from ward import each, test

from ashlift.config.durations import format_duration, parse_duration
from ashlift.config.operator_config import ConfigChange, apply_change, load_configuration, request_digest
from ashlift.config.routing_table import RoutingTable
from ashlift.errors import Failure
from tests.support.config_play import Play, play

PUT: dict[str, Any] = {
    "ConfigVersion": "00000007",
    "Objects": [
        {
            "ObjectType": "Routes",
            "Metadata": {"Name": "r"},
            "Specification": {
                "Host": "h.example",
                "PathPrefix": "/a/",
                "RouteType": "idempotent",
                "Timeout": "1500ms",
                "TrafficSplit": [{"Service": "s", "Weight": 90}, {"Service": "t", "Weight": 10}],
                "Priority": 2,
            },
        },
        {
            "ObjectType": "Routes",
            "Metadata": {"Name": "q"},
            "Specification": {
                "Host": "h.example",
                "PathPrefix": "/a/b/",
                "Service": "s",
                "HomeRegions": ["x"],
            },
        },
        {"ObjectType": "Services", "Metadata": {"Name": "s"}, "Specification": {"Warmup": "3s"}},
        {"ObjectType": "Services", "Metadata": {"Name": "t"}, "Specification": {"MaxConnections": 110}},
        {"ObjectType": "Tenants", "Metadata": {"Name": "u"}, "Specification": {"ApiKeys": ["k"]}},
        {"ObjectType": "Limits", "Metadata": {}, "Specification": {"HeaderTimeout": "3000ms"}},
    ],
}
PATCH = {
    "ConfigVersion": "00000009",
    "Upsert": {"Objects": PUT["Objects"][:2]},
    "Withdraw": {"Tenants": ["u"]},
}
FLAT = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**18), 10**18),
    st.floats(),
    st.text(max_size=4),
    st.sampled_from(["s", "t", "h.example", "/a/", "/a/b/", "-1ms", "2.5s", "0000000a", [], {}, [{}]]),
)
STEPS = st.lists(
    st.tuples(st.sampled_from(["set", "drop", "twice"]), st.integers(0, 10**6), FLAT), min_size=1, max_size=3
)


def damaged(body: Any, steps: list[tuple[str, int, Any]]) -> Any:
    """A copy of `body`; each step sets, drops or doubles one value at a place drawn among all."""
    holder = {"": copy.deepcopy(body)}
    for what, drawn, value in steps:
        places: list[tuple[Any, Any]] = []
        stack: list[Any] = [holder]
        while stack:
            one = stack.pop()
            inner = list(one.items() if isinstance(one, dict) else enumerate(one))
            places += [(one, key) for key, _ in inner]
            stack += [child for _, child in inner if isinstance(child, dict | list)]
        one, key = places[drawn % len(places)]
        if what == "set" or one is holder:
            one[key] = copy.deepcopy(value)
        elif what == "drop":
            del one[key]
        elif isinstance(one, list):
            one.append(copy.deepcopy(one[key]))
    return holder[""]


def sound(entries: dict[str, Any]) -> bool:
    """What the rules ask of a configuration in force, told another way than by the code under test."""
    places = []
    for key, route in entries.items():
        if key.startswith("Routes/"):
            split = route.get("TrafficSplit") or [{"Service": route["Service"], "Weight": 1}]
            weights = [one["Weight"] for one in split]
            if min(weights) < 0 or not 0 < sum(weights) < math.inf:
                return False
            if not all(f"Services/{one['Service']}" in entries for one in split):
                return False
            places.append((route["Host"].lower(), route["PathPrefix"]))
    keys = [
        (key, one)
        for key in entries
        if key.startswith("Tenants/")
        for one in entries[key].get("ApiKeys") or []
    ]
    holders = {one: key for key, one in keys}
    return len(set(places)) == len(places) and all(holders[one] == key for key, one in keys)


@test("configurations: {name}")
def _(name: str = each("config_life.txt", "config_valid.txt", "config_invalid.txt")) -> None:
    assert play(name) > 5


@test("configurations: damage of any kind raises nothing, changes nothing given, is never half taken")
def _() -> None:
    verdicts = []

    @seed(20)
    @how(max_examples=400, database=None, deadline=None, suppress_health_check=list(HealthCheck))
    @given(st.sampled_from(["put", "patch"]), STEPS)
    def fuzz(kind: str, steps: list[tuple[str, int, Any]]) -> None:
        now = Play()
        assert isinstance(now.call("put", "0", {**PUT, "ConfigVersion": "1"}), ConfigChange)
        before = json.dumps(now.entries)
        got = now.call(kind, "1", damaged(PUT if kind == "put" else PATCH, steps))
        if isinstance(got, Failure):
            assert json.dumps(now.entries) == before
        else:
            assert sound(now.entries)
        verdicts.append(bool(got))

    fuzz()
    assert 0.05 < sum(verdicts) / len(verdicts) < 0.95, "neither all taken nor all refused"


@test("configurations: the table leaves out services of weight 0, and sends to one worker at least")
def _() -> None:
    split = [{"Service": "s", "Weight": 0}, {"Service": "t", "Weight": 3}]
    route = {"Host": "h", "PathPrefix": "/", "TrafficSplit": split, "MaxAttempts": 0}
    made = RoutingTable.from_entries({"Routes/r": route}).find_route("h", "/")
    assert made is not None
    assert made.traffic_split == (("t", 3.0),)
    assert made.max_attempts == 1


@test("configurations: a put changes only what differs, and a patch replaces all of an object")
def _() -> None:
    now = Play()
    first = {**PUT, "Objects": [{**PUT["Objects"][0], "Owner": "me"}, *PUT["Objects"][1:]]}
    assert now.call("put", "0", first)
    fewer = {"ConfigVersion": "8", "Objects": [first["Objects"][0], *first["Objects"][2:]]}
    change = now.call("put", "7", fewer)
    assert isinstance(change, ConfigChange)
    assert change.entries == {"Version": "00000008"}
    assert sorted(change.removed_keys) == ["Place/Routes/q", "Routes/q"]
    change = now.call("patch", "8", {**PATCH, "Upsert": {"Objects": PUT["Objects"][:1]}})
    assert isinstance(change, ConfigChange)
    assert "Rest/Routes/r" in change.removed_keys


@test("configurations: equal calls have equal digests, others do not")
def _() -> None:
    again = json.loads(json.dumps(PUT, sort_keys=True))
    other = damaged(PUT, [("set", 10, "x")])
    assert (
        request_digest("put", "0", PUT)
        == request_digest("put", "00000000", again)
        != request_digest("put", "1", PUT)
    )
    assert (
        len(
            {
                request_digest("put", "0", PUT),
                request_digest("patch", "0", PUT),
                request_digest("put", "0", other),
            }
        )
        == 3
    )
    change = apply_change({}, "put", "0", PUT)
    assert isinstance(change, ConfigChange)
    assert change.digest == request_digest("put", "0", PUT)
    found = load_configuration(PUT)
    assert isinstance(found, dict)
    assert sound(found)


@test("times: a number and its unit, and nothing else")
def _() -> None:
    for text, seconds in {"1500ms": 1.5, "2.5s": 2.5, "0ms": 0.0, "0.125ms": 0.000125}.items():
        assert parse_duration(text) == seconds == parse_duration(format_duration(seconds))
    for wrong in ("", "5", "-1s", "1 h", "1e999s", "\u0663s", "1,5s", "nans", 5, None, ["1s"]):
        assert isinstance(parse_duration(wrong), Failure), wrong
