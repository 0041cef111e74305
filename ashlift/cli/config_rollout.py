"""Sends a change of the configuration, and waits until all proxies with a session hold it.

A change that got no clear answer may be in force or not: it is sent again, unchanged, to any core machine,
and the store recognises what it has accepted.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen

from ashlift.cli.cluster_status import ClusterStatus, ProxyStatus, fetch_cluster_status, peer_addresses
from ashlift.cli.control_client import get_json, send_command
from ashlift.errors import Failure, FailureReason

MAX_ATTEMPTS: Final = 40  # to send one change: half a minute of no clear answers
INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 1.0
BACKOFF_FACTOR: Final = 1.5
COMMAND_TIMEOUT_SECONDS: Final = 1.0  # for an answer,
TIMEOUT_PER_OBJECT_SECONDS: Final = 0.003  # and for each object of the change
MAX_STATUS_POLLS: Final = 20  # 5 s until all proxies hold it
STATUS_POLL_SECONDS: Final = 0.25
RETRYABLE_CLIENT_ERRORS: Final = (408, 429)  # the other 4xx are clear answers

sleep: Callable[[float], None] = time.sleep  # replaced in tests


@frozen
class Rollout:
    """Who holds a change in the end."""

    status: ClusterStatus
    behind: list[ProxyStatus]


def send_change(address: str, if_match: str, body: dict[str, Any]) -> Failure | None:
    """Send a change until there is a clear answer; None means that it is acknowledged.

    A `Failure` for `REJECTED` means that nothing is in force, one for `OUTCOME_UNKNOWN` that it may be, and
    that the same change may be sent again.
    """
    status = get_json(address, "/status")
    addresses = [address, *(peer_addresses(address, status) if isinstance(status, dict) else [])]
    data = json.dumps(body).encode()
    objects = body.get("Upsert", {}).get("Objects", ())
    timeout_seconds = COMMAND_TIMEOUT_SECONDS + TIMEOUT_PER_OBJECT_SECONDS * len(objects)
    backoff_seconds = INITIAL_BACKOFF_SECONDS
    detail = ""
    for attempt in range(MAX_ATTEMPTS):
        target = addresses[attempt % len(addresses)]
        outcome = _send_once(target, if_match, data, timeout_seconds)
        if outcome is None or outcome.reason is FailureReason.REJECTED:
            return outcome
        detail = outcome.detail
        sleep(backoff_seconds)
        backoff_seconds = min(MAX_BACKOFF_SECONDS, BACKOFF_FACTOR * backoff_seconds)
    return Failure(FailureReason.OUTCOME_UNKNOWN, f"no clear answer, it may be in force: {detail}")


def _send_once(address: str, if_match: str, data: bytes, timeout_seconds: float) -> Failure | None:
    """One attempt; `REJECTED` only for a clear answer."""
    answer = send_command(address, "PATCH", "/config", if_match, data, timeout_seconds)
    if isinstance(answer, Failure):
        return Failure(FailureReason.OUTCOME_UNKNOWN, answer.detail)
    status, text = answer
    if status == 200:
        return None
    detail = f"{address}: PATCH /config: {status} {text}".rstrip()
    if 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS:
        return Failure(FailureReason.REJECTED, detail)
    return Failure(FailureReason.OUTCOME_UNKNOWN, detail)


def wait_until_held(address: str, version: str) -> Rollout | Failure:
    """Wait until all proxies with a session hold this version, for a bounded time."""
    first_index = 0  # under which the version was first seen: later changes do not matter
    status = fetch_cluster_status(address)
    for _ in range(MAX_STATUS_POLLS):
        if isinstance(status, ClusterStatus) and int(status.version, 16) >= int(version, 16):
            first_index = first_index or status.index
            if not status.proxies_behind(first_index) or status.no_index_known:
                break
        sleep(STATUS_POLL_SECONDS)
        status = fetch_cluster_status(address)
    if isinstance(status, Failure):
        return status
    return Rollout(status, status.proxies_behind(first_index) if first_index else status.proxies)
