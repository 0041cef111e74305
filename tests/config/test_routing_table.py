"""The routing table: built from stored objects, and the lookup of routes and tenants."""

from typing import Any

from ward import each, raises, test

from ashlift.config.routing_table import DEFAULT_LATENCY_TARGET_SECONDS, RoutingTable, normalize_host

ENTRIES: dict[str, Any] = {
    "Routes/r": {"Host": "H.example", "PathPrefix": "/a/", "Service": "s", "Timeout": "2s"},
    "Routes/q": {"Host": "h.example", "PathPrefix": "/a/b/", "Service": "s"},
    "Services/s": {},
    "Tenants/t": {"ApiKeys": ["k1", "k2"]},
    "Limits": {"MaxHeaderBytes": 100},
    "Version": "0000000a",
    "Members/10.0.0.1": {},
}


@test("routing table: services of weight 0 are omitted, and at least one attempt is allowed")
def _() -> None:
    split = [{"Service": "s", "Weight": 0}, {"Service": "t", "Weight": 3}]
    specification = {"Host": "h", "PathPrefix": "/", "TrafficSplit": split, "MaxAttempts": 0}
    route = RoutingTable.from_entries({"Routes/r": specification}).find_route("h", "/")
    assert route is not None
    assert route.traffic_split == (("t", 3.0),)
    assert route.max_attempts == 1


@test("routing table: the longest matching prefix is chosen: {path} at {host}: {name}")
def _(
    host: str = each("h.example", "h.example:8206", "h.example", "h.example", "other", "h.example"),
    path: str = each("/a/x", "/a/b/", "/a/bc", "/b/", "/a/", "/a"),
    name: str | None = each("r", "q", "r", None, None, None),
) -> None:
    route = RoutingTable.from_entries(ENTRIES).find_route(host, path)
    assert (route.name if route else None) == name


@test("routing table: the latency target is the route's, its timeout, or the default")
def _() -> None:
    table = RoutingTable.from_entries(ENTRIES)
    assert table.routes["r"].latency_target == 2.0
    assert table.routes["q"].latency_target == DEFAULT_LATENCY_TARGET_SECONDS


@test("routing table: an update leaves the previous table unchanged")
def _() -> None:
    table = RoutingTable.from_entries(ENTRIES)
    moved = {"Routes/q": {"Host": "other", "PathPrefix": "/", "Service": "s"}}
    updated = table.updated(moved, ["Tenants/t", "Limits", "Version"])
    route = updated.find_route("other", "/")
    assert route is not None
    assert route.name == "q"
    under_prefix = updated.find_route("h.example", "/a/b/")
    assert under_prefix is not None
    assert under_prefix.name == "r"
    assert (updated.version, updated.limits.max_header_bytes, updated.has_tenants) == (0, 16384, False)
    assert updated.find_tenant("k1") is None
    assert table == RoutingTable.from_entries(ENTRIES)
    assert (table.version, table.limits.max_header_bytes, table.has_tenants) == (10, 100, True)


@test("routing table: an invalid entry raises an error with its name")
def _() -> None:
    with raises(ValueError) as caught:
        RoutingTable.from_entries({"Routes/r": {"Host": "h"}})
    assert str(caught.raised) == "r: PathPrefix: is missing"


@test("routing table: Host headers are compared in lower case and without the port: {header}")
def _(
    header: str = each("A.example", " a.example ", "a.example:", "a.example:80", "a.example:x", "[::1]:80"),
    host: str = each("a.example", "a.example", "a.example", "a.example", "a.example:x", "[::1]"),
) -> None:
    assert normalize_host(header) == host
