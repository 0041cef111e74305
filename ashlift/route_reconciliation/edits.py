"""Edits of single routes, and the rules for which of them may be merged without an operator. No I/O."""

import json
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final

from attrs import frozen

from ashlift.config.routing_table import normalize_host
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp
from ashlift.route_reconciliation.stored_records import route_key

Specification = dict[str, Any] | None  # a route's Specification; None: the route does not exist

IDEMPOTENT: Final = "idempotent"  # the `RouteType` of routes whose requests may be executed more than once


class ConflictReason(StrEnum):
    """Why an edit must not be merged without an operator. The values are sent on the wire."""

    ROUTE_TYPE = "kind"  # a route that is not idempotent would change, or gain or lose paths
    ADDRESS = "place"  # another route has the same host and path prefix
    HOME_REGIONS = "homes"  # the edit changes the home regions, or they changed after it was made
    SPECIFICATION = "text"  # the route differs from the edit's base


@frozen
class RouteEdit:
    """An operator's change of one route.

    `base_specification`: the route as committed in `base_version`, according to the node that accepted the
    edit. `automatic`: it may be merged without an operator. `in_doubt`: it was sent to a leader, and whether
    the leader committed it is unknown. `node`: the node that accepted it.
    """

    id: str
    route: str
    specification: Specification
    base_specification: Specification
    base_version: str
    timestamp: HybridTimestamp
    author: str
    node: str
    automatic: bool
    in_doubt: bool = False


@frozen
class RouteChanged:
    """An edit whose route has changed: the specification that it asks for, the current one and its base."""

    wanted: Specification
    current: Specification
    base: Specification

    def encode(self) -> dict[str, Any]:
        """Encode it for responses to operators."""
        return {"yours": self.wanted, "theirs": self.current, "base": self.base}


def specifications_equal(specification: Specification, other: Specification) -> bool:
    """Whether both have the same JSON, apart from the order of keys: 1, 1.0 and true differ."""
    return json.dumps(specification, sort_keys=True) == json.dumps(other, sort_keys=True)


def conflict_reason(
    entries: Mapping[str, Any], route: str, wanted: Specification, base: Specification
) -> ConflictReason | None:
    """Return why an operator must confirm this change after a partition; None if it may be merged.

    :param entries: the map that the change is applied to.
    :param wanted: the route after the change.
    :param base: the route as it was when the edit was made.
    """
    current: Specification = entries.get(route_key(route))
    versions = [specification for specification in (current, wanted) if specification is not None]
    if any(specification.get("RouteType") != IDEMPOTENT for specification in versions):
        return ConflictReason.ROUTE_TYPE
    reason = _conflict_with_other_routes(entries, route, wanted, versions)
    if reason is not None:
        return reason
    if base is not None and any(_home_regions(version) != _home_regions(base) for version in versions):
        return ConflictReason.HOME_REGIONS
    return None


def _conflict_with_other_routes(
    entries: Mapping[str, Any], route: str, wanted: Specification, versions: list[dict[str, Any]]
) -> ConflictReason | None:
    addresses = [_address(version) for version in versions]
    for key, other in entries.items():
        if not key.startswith(route_key("")) or key == route_key(route):
            continue
        other_address = _address(other)
        if wanted is not None and other_address == _address(wanted):
            return ConflictReason.ADDRESS
        is_idempotent = other.get("RouteType") == IDEMPOTENT
        if not is_idempotent and any(_overlap(other_address, address) for address in addresses):
            return ConflictReason.ROUTE_TYPE
    return None


def _address(specification: Mapping[str, Any]) -> tuple[str, str]:
    """Return the host and the path prefix."""
    host = normalize_host(str(specification.get("Host", "")))
    return host, str(specification.get("PathPrefix", ""))


def _overlap(address: tuple[str, str], other: tuple[str, str]) -> bool:
    """Whether some path has both prefixes, so that either route could match it."""
    host, prefix = address
    other_host, other_prefix = other
    return host == other_host and (prefix.startswith(other_prefix) or other_prefix.startswith(prefix))


def _home_regions(specification: Mapping[str, Any]) -> set[str]:
    return set(specification.get("HomeRegions") or ())
