"""What the core machines that answer `GET /status` know together: configuration, proxies, workers' slots."""

import math
from collections.abc import Iterable, Mapping
from typing import Any, Final

from attrs import frozen

from ashlift.cli.command import get_json_object
from ashlift.cli.control_client import get_json, parse_address
from ashlift.config import operator_config
from ashlift.errors import Failure, FailureReason

PEER_TIMEOUT_SECONDS: Final = 1.0  # for the other core machines: some may be down

Answer = Mapping[str, Any]  # of GET /status


@frozen
class ProxyStatus:
    """A proxy with a session, and the index of the configuration that it holds, where that is known."""

    node: str
    zone: str
    region: str
    ready: bool
    index: int | None
    heard_ago: float | None  # seconds since its last pull


@frozen
class ClusterStatus:
    """The newest configuration that is known, the proxies with sessions, and the slots of ready workers."""

    index: int
    version: str
    proxies: list[ProxyStatus]
    slots: Mapping[tuple[str, str], int]  # by service and zone
    unreachable: list[str]  # core machines that did not answer

    def proxies_behind(self, index: int) -> list[ProxyStatus]:
        """Return the proxies that are not known to hold this index."""
        return [proxy for proxy in self.proxies if proxy.index is None or proxy.index < index]

    @property
    def no_index_known(self) -> bool:
        """Whether it is not known of any proxy what it holds, so that asking again will not tell."""
        return all(proxy.index is None for proxy in self.proxies)


def fetch_cluster_status(address: str) -> ClusterStatus | Failure:
    """Ask all core machines that the one at `address` knows."""
    first = get_json_object(address, "/status")
    if isinstance(first, Failure):
        return first
    answers = [first]
    unreachable = []
    for peer in peer_addresses(address, first):
        answer = get_json(peer, "/status", timeout_seconds=PEER_TIMEOUT_SECONDS)
        if isinstance(answer, dict):
            answers.append(answer)
        else:
            unreachable.append(peer)
    try:
        return merge_status(answers, unreachable)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(FailureReason.INVALID, f"{address}: GET /status: is not in a known form: {error!r}")


def peer_addresses(address: str, answer: Answer) -> list[str]:
    """Return the Control addresses of the other core machines: their port is the same everywhere."""
    target = parse_address(address)
    ips = answer.get("members")
    if isinstance(target, Failure) or not isinstance(ips, list):
        return []
    host, port = target
    return [f"{ip}:{port}" for ip in ips if ip != host]


def merge_status(answers: Iterable[Answer], unreachable: list[str]) -> ClusterStatus:
    """Merge answers of several core machines.

    A proxy calls one core machine at a time: what the one says that heard it last counts. Raises KeyError,
    TypeError, ValueError or AttributeError for an answer in another form.
    """
    index = 0
    version = operator_config.INITIAL_VERSION
    proxies: dict[str, ProxyStatus] = {}
    ready_workers: dict[str, Answer] = {}
    for answer in answers:
        if answer.get("index", 0) >= index and answer.get("version"):
            index = answer["index"]
            version = answer["version"]
        for row in answer.get("gatekeepers", ()):
            proxy = _proxy_status(row)
            known = proxies.get(proxy.node)
            if known is None or _heard_ago(proxy) < _heard_ago(known):
                proxies[proxy.node] = proxy
        ready_workers |= {row["id"]: row for row in answer.get("workers", ()) if row.get("state") == "ready"}
    ordered = sorted(proxies.values(), key=lambda proxy: proxy.node)
    return ClusterStatus(index, version, ordered, _slots(ready_workers.values()), unreachable)


def _proxy_status(row: Answer) -> ProxyStatus:
    return ProxyStatus(
        node=row["node"],
        zone=row.get("zone", ""),
        region=row.get("region", ""),
        ready=row.get("ready") is True,
        index=row.get("index"),
        heard_ago=row.get("heard"),
    )


def _heard_ago(proxy: ProxyStatus) -> float:
    return math.inf if proxy.heard_ago is None else proxy.heard_ago


def _slots(workers: Iterable[Answer]) -> dict[tuple[str, str], int]:
    slots: dict[tuple[str, str], int] = {}
    for row in workers:
        key = row["service"], row.get("zone", "")
        slots[key] = slots.get(key, 0) + int(row.get("capacity", 1))
    return slots
