"""Edits of single routes: what one is, and which may be merged without an operator. Pure."""

import json
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final

from attrs import frozen

from ashlift.config.routing_table import normalize_host
from ashlift.route_reconciliation.hybrid_clock import HybridTimestamp
from ashlift.route_reconciliation.stored_records import route_key

Specification = dict[str, Any] | None  # of a route, as the operator wrote it; None: there is no such route

IDEMPOTENT: Final = "idempotent"  # the `RouteType` whose requests may be executed more than once


class ConflictReason(StrEnum):
    """Why an edit must not be merged without an operator. The values are the words on the wire."""

    ROUTE_TYPE = "kind"  # a route that is not idempotent would change, or gain or lose paths
    ADDRESS = "place"  # another route has its host and path prefix
    HOME_REGIONS = "homes"  # the regions that may serve the route change, or have changed since
    SPECIFICATION = "text"  # the route is not what the edit was made on


@frozen
class RouteEdit:
    """A change of one route that an operator made; never changed itself.

    `base_specification`: the route as committed in `base_version`, as known where the edit was made.
    `automatic`: it may merge without an operator. `in_doubt`: it was sent to a leader that gave no clear
    answer. `node`: where it was made.
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
    """A route that is not what an edit was made on: what the edit wants, the current one, and its base."""

    wanted: Specification
    current: Specification
    base: Specification

    def encode(self) -> dict[str, Any]:
        """As operators get it."""
        return {"yours": self.wanted, "theirs": self.current, "base": self.base}


def are_equal(specification: Specification, other: Specification) -> bool:
    """Whether both are written alike: 1, 1.0 and true are three values."""
    return json.dumps(specification, sort_keys=True) == json.dumps(other, sort_keys=True)


def conflict_reason(
    entries: Mapping[str, Any], route: str, wanted: Specification, base: Specification
) -> ConflictReason | None:
    """Why this change of the map needs an operator after a partition; None: it may be merged.

    :param entries: the map that the change is made on.
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
    """Host and path prefix."""
    host = normalize_host(str(specification.get("Host", "")))
    return host, str(specification.get("PathPrefix", ""))


def _overlap(address: tuple[str, str], other: tuple[str, str]) -> bool:
    """Whether some path would match either route, were the other one not there."""
    host, prefix = address
    other_host, other_prefix = other
    return host == other_host and (prefix.startswith(other_prefix) or other_prefix.startswith(prefix))


def _home_regions(specification: Mapping[str, Any]) -> set[str]:
    return set(specification.get("HomeRegions") or ())
