"""Changes of the operator's configuration: scenarios, and random mutations of valid requests."""

import copy
import json
import math
from typing import Any

from hypothesis import HealthCheck, given, seed
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from ward import each, test

from ashlift.config.operator_config import ConfigChange, apply_change, load_configuration, request_digest
from ashlift.errors import Failure
from tests.support.config_play import ConfigPlay, play

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
SIMPLE_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**18), 10**18),
    st.floats(),
    st.text(max_size=4),
    st.sampled_from(["s", "t", "h.example", "/a/", "/a/b/", "-1ms", "2.5s", "0000000a", [], {}, [{}]]),
)
MUTATION_STEPS = st.lists(
    st.tuples(st.sampled_from(["set", "drop", "duplicate"]), st.integers(0, 10**6), SIMPLE_VALUES),
    min_size=1,
    max_size=3,
)


def mutated(body: Any, steps: list[tuple[str, int, Any]]) -> Any:
    """Return a copy of `body`; each step sets, drops or duplicates one of its values."""
    holder = {"": copy.deepcopy(body)}
    for action, drawn, value in steps:
        positions = _positions(holder)
        container, key = positions[drawn % len(positions)]
        if action == "set" or container is holder:
            container[key] = copy.deepcopy(value)
        elif action == "drop":
            del container[key]
        elif isinstance(container, list):
            container.append(copy.deepcopy(container[key]))
    return holder[""]


def _positions(holder: dict[str, Any]) -> list[tuple[Any, Any]]:
    """Return each container in `holder`, recursively, with each of its keys."""
    positions: list[tuple[Any, Any]] = []
    stack: list[Any] = [holder]
    while stack:
        container = stack.pop()
        items = list(container.items() if isinstance(container, dict) else enumerate(container))
        positions += [(container, key) for key, _ in items]
        stack += [item for _, item in items if isinstance(item, dict | list)]
    return positions


def is_valid(entries: dict[str, Any]) -> bool:
    """Whether a stored configuration is valid, computed independently of the code under test."""
    addresses = []
    for key, route in entries.items():
        if key.startswith("Routes/"):
            split = route.get("TrafficSplit") or [{"Service": route["Service"], "Weight": 1}]
            weights = [part["Weight"] for part in split]
            if min(weights) < 0 or not 0 < sum(weights) < math.inf:
                return False
            if not all(f"Services/{part['Service']}" in entries for part in split):
                return False
            addresses.append((route["Host"].lower(), route["PathPrefix"]))
    api_keys = [
        (key, api_key)
        for key in entries
        if key.startswith("Tenants/")
        for api_key in entries[key].get("ApiKeys") or []
    ]
    tenants = {api_key: key for key, api_key in api_keys}
    unique_keys = all(tenants[api_key] == key for key, api_key in api_keys)
    return len(set(addresses)) == len(addresses) and unique_keys


@test("configurations: {name}")
def _(name: str = each("config_life.txt", "config_valid.txt", "config_invalid.txt")) -> None:
    assert play(name) > 5


@test("configurations: mutated requests raise nothing, and are applied completely or not at all")
def _() -> None:
    accepted = []

    @seed(20)
    @hypothesis_settings(
        max_examples=400, database=None, deadline=None, suppress_health_check=list(HealthCheck)
    )
    @given(st.sampled_from(["put", "patch"]), MUTATION_STEPS)
    def fuzz(kind: str, steps: list[tuple[str, int, Any]]) -> None:
        config = ConfigPlay()
        assert isinstance(config.call("put", "0", {**PUT, "ConfigVersion": "1"}), ConfigChange)
        before = json.dumps(config.entries)
        outcome = config.call(kind, "1", mutated(PUT if kind == "put" else PATCH, steps))
        if isinstance(outcome, Failure):
            assert json.dumps(config.entries) == before
        else:
            assert is_valid(config.entries)
        accepted.append(bool(outcome))

    fuzz()
    assert 0.05 < sum(accepted) / len(accepted) < 0.95, "neither all accepted nor all rejected"


@test("configurations: a put changes only what differs, and a patch replaces objects completely")
def _() -> None:
    config = ConfigPlay()
    first = {**PUT, "Objects": [{**PUT["Objects"][0], "Owner": "me"}, *PUT["Objects"][1:]]}
    assert config.call("put", "0", first)
    fewer = {"ConfigVersion": "8", "Objects": [first["Objects"][0], *first["Objects"][2:]]}
    change = config.call("put", "7", fewer)
    assert isinstance(change, ConfigChange)
    assert change.entries == {"Version": "00000008"}
    assert sorted(change.removed_keys) == ["Place/Routes/q", "Routes/q"]
    change = config.call("patch", "8", {**PATCH, "Upsert": {"Objects": PUT["Objects"][:1]}})
    assert isinstance(change, ConfigChange)
    assert "Rest/Routes/r" in change.removed_keys


@test("configurations: equal requests have equal digests, others do not")
def _() -> None:
    again = json.loads(json.dumps(PUT, sort_keys=True))
    other = mutated(PUT, [("set", 10, "x")])
    digest = request_digest("put", "0", PUT)
    assert digest == request_digest("put", "00000000", again)
    assert digest != request_digest("put", "1", PUT)
    assert digest != request_digest("patch", "0", PUT)
    assert digest != request_digest("put", "0", other)
    assert request_digest("patch", "0", PUT) != request_digest("put", "0", other)
    change = apply_change({}, "put", "0", PUT)
    assert isinstance(change, ConfigChange)
    assert change.digest == digest
    entries = load_configuration(PUT)
    assert isinstance(entries, dict)
    assert is_valid(entries)
