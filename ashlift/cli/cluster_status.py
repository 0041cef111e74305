"""Merges the `GET /status` responses of all core machines: configuration, proxies, workers' slots."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import frozen

from ashlift.cli.command import get_json_object
from ashlift.cli.control_client import get_json, parse_address
from ashlift.config import operator_config
from ashlift.errors import Failure, FailureReason

PEER_TIMEOUT_SECONDS: Final = 1.0  # short, as some of the other core machines may be down

JsonObject = Mapping[str, Any]  # a response of GET /status, or one of its rows


@frozen
class ProxyStatus:
    """A proxy with a session."""

    node: str
    zone: str
    region: str
    ready: bool
    index: int | None  # of the configuration that it holds; None if not known
    seconds_since_contact: float | None  # since its last pull; None if not known


@frozen
class ClusterStatus:
    """The newest known configuration, the proxies with sessions, and the slots of ready workers.

    A slot is a request that a worker can process concurrently with others.
    """

    index: int
    version: str
    proxies: list[ProxyStatus]
    slots: Mapping[tuple[str, str], int]  # by (service, zone)
    unreachable: list[str]  # Control addresses of core machines that did not respond

    def proxies_behind(self, index: int) -> list[ProxyStatus]:
        """Return the proxies that are not known to hold the configuration with this index or a newer one."""
        return [proxy for proxy in self.proxies if proxy.index is None or proxy.index < index]

    @property
    def no_index_known(self) -> bool:
        """Whether no proxy reports its index, so that polling again cannot succeed."""
        return all(proxy.index is None for proxy in self.proxies)


def fetch_cluster_status(address: str) -> ClusterStatus | Failure:
    """Query the core machine at `address` and all core machines that it lists."""
    first = get_json_object(address, "/status")
    if isinstance(first, Failure):
        return first
    responses = [first]
    unreachable = []
    for peer in peer_addresses(address, first):
        response = get_json(peer, "/status", timeout_seconds=PEER_TIMEOUT_SECONDS)
        if isinstance(response, dict):
            responses.append(response)
        else:
            unreachable.append(peer)
    try:
        return merge_status(responses, unreachable)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(FailureReason.INVALID, f"{address}: GET /status: is not in a known form: {error!r}")


def peer_addresses(address: str, response: JsonObject) -> list[str]:
    """Return the Control addresses of the other core machines, which all use the same port."""
    target = parse_address(address)
    ips = response.get("members")
    if isinstance(target, Failure) or not isinstance(ips, list):
        return []
    host, port = target
    return [f"{ip}:{port}" for ip in ips if ip != host]


def merge_status(responses: Iterable[JsonObject], unreachable: list[str]) -> ClusterStatus:
    """Merge the responses of several core machines.

    A proxy pulls from one core machine at a time, so the row with the most recent contact is used. Raises
    KeyError, TypeError, ValueError or AttributeError for a malformed response.
    """
    index = 0
    version = operator_config.INITIAL_VERSION
    proxies: dict[str, ProxyStatus] = {}
    ready_workers: dict[str, JsonObject] = {}
    for response in responses:
        if response.get("index", 0) >= index and response.get("version"):
            index = response["index"]
            version = response["version"]
        for row in response.get("gatekeepers", ()):
            proxy = _proxy_status(row)
            known = proxies.get(proxy.node)
            if known is None or _seconds_since_contact(proxy) < _seconds_since_contact(known):
                proxies[proxy.node] = proxy
        ready_workers |= {
            row["id"]: row for row in response.get("workers", ()) if row.get("state") == "ready"
        }
    ordered = sorted(proxies.values(), key=lambda proxy: proxy.node)
    return ClusterStatus(index, version, ordered, _slots(ready_workers.values()), unreachable)


def _proxy_status(row: JsonObject) -> ProxyStatus:
    return ProxyStatus(
        node=row["node"],
        zone=row.get("zone", ""),
        region=row.get("region", ""),
        ready=row.get("ready") is True,
        index=row.get("index"),
        seconds_since_contact=row.get("heard"),
    )


def _seconds_since_contact(proxy: ProxyStatus) -> float:
    return math.inf if proxy.seconds_since_contact is None else proxy.seconds_since_contact


def _slots(workers: Iterable[JsonObject]) -> dict[tuple[str, str], int]:
    slots: dict[tuple[str, str], int] = {}
    for row in workers:
        key = row["service"], row.get("zone", "")
        slots[key] = slots.get(key, 0) + int(row.get("capacity", 1))
    return slots
