"""A configuration with two routes, edits of its routes, and the leader's commands on such edits."""

from collections.abc import Iterable, Sequence
from typing import Any

from ashlift.config import operator_config
from ashlift.route_reconciliation import merging
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp
from ashlift.route_reconciliation.map_draft import CommandResult

Map = dict[str, Any]


def route(service: str, prefix: str = "/x/", kind: str = "idempotent", homes: Sequence[str] = ()) -> Map:
    return {"Host": "h", "PathPrefix": prefix, "RouteType": kind, "Service": service, "HomeRegions": [*homes]}


def configuration_of(version: int, routes: Map) -> Map:
    """A complete configuration with these routes by name."""
    services: list[tuple[str, str, Any]] = [("Services", name, {}) for name in ("a", "b", "c")]
    objects = [
        {"ObjectType": kind, "Metadata": {"Name": name}, "Specification": specification}
        for kind, name, specification in [*services, *(("Routes", *pair) for pair in routes.items())]
    ]
    return {"ConfigVersion": f"{version:08x}", "Objects": objects}


def entries_of(body: Map) -> Map:
    """The map entries of a configuration."""
    entries = operator_config.load_configuration(body)
    assert isinstance(entries, dict)
    return entries


FIRST_ROUTES = {"x": route("a"), "hold": route("b", "/hold/", "non_idempotent")}
BASE = entries_of(configuration_of(1, FIRST_ROUTES))


def make_edit(
    route_name: str, specification: Any, wall_ms: int, automatic: bool = True, node: str = "n"
) -> RouteEdit:
    """An edit based on BASE."""
    return RouteEdit(
        id=f"{route_name}-{wall_ms}-{node}",
        route=route_name,
        specification=specification,
        base_specification=BASE.get(f"Routes/{route_name}"),
        base_version="00000001",
        timestamp=HybridTimestamp(wall_ms, 0, node),
        author="clerk",
        node=node,
        automatic=automatic,
    )


def decide(entries: Map, kind: str, body: Any, if_match: str | None = None) -> CommandResult:
    """The leader's result for a command of this kind."""
    match kind:
        case "edit":
            return merging.decide_edit(entries, body)
        case "merge":
            return merging.decide_merge(entries, body)
        case "confirm":
            return merging.decide_confirmation(entries, if_match, body)
        case "reject":
            return merging.decide_rejection(entries, if_match, body)
    raise ValueError(kind)


def applied(entries: Map, result: CommandResult) -> Map:
    """The map with a command's result applied."""
    return {key: value for key, value in entries.items() if key not in result.removed} | result.changed


def execute(entries: Map, kind: str, body: Any, if_match: str | None = None) -> tuple[Map, Any]:
    """The map after a command, checked to be a valid configuration, and the command's response."""
    result = decide(entries, kind, body, if_match)
    after = applied(entries, result)
    assert not isinstance(
        operator_config.load_configuration(operator_config.export_configuration(after)), list
    )
    return after, result.response


def merged(entries: Map, batches: Iterable[Sequence[RouteEdit]]) -> Map:
    """The map after merging batches in order; as stores do, each merge sends all earlier edits again."""
    known: list[RouteEdit] = []
    for batch in batches:
        known += batch
        result = merging.merge(entries, known)
        assert result.response["outcomes"].keys() == {edit.id for edit in known}
        entries = applied(entries, result)
    return entries


def routes_in(entries: Map) -> Map:
    return {key: value for key, value in entries.items() if key.startswith("Routes/")}
