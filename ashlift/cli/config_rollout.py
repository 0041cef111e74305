"""Sends a configuration change, and waits until all proxies with a session hold it.

If the outcome of an attempt is unknown, the unchanged request is retried on any core machine. This is safe,
as the store recognises a change that it has already accepted.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final

from attrs import frozen

from ashlift.cli.cluster_status import ClusterStatus, ProxyStatus, fetch_cluster_status, peer_addresses
from ashlift.cli.control_client import get_json, send_command
from ashlift.errors import Failure, FailureReason

MAX_ATTEMPTS: Final = 40  # about 36 s of backoff
INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 1.0
BACKOFF_FACTOR: Final = 1.5
COMMAND_TIMEOUT_SECONDS: Final = 1.0  # for any change
TIMEOUT_PER_OBJECT_SECONDS: Final = 0.003  # added for each object of the change
MAX_STATUS_POLLS: Final = 20  # at STATUS_POLL_SECONDS: 5 s until all proxies hold the change
STATUS_POLL_SECONDS: Final = 0.25
RETRYABLE_CLIENT_ERRORS: Final = (408, 429)  # any other 4xx is a definite rejection

sleep: Callable[[float], None] = time.sleep  # replaced in tests


@frozen
class RolloutResult:
    """Cluster status after a rollout, and the proxies that do not hold the change."""

    status: ClusterStatus
    behind: list[ProxyStatus]


def send_change(address: str, if_match: str, body: dict[str, Any]) -> Failure | None:
    """Send a change, with retries, until it is acknowledged (returns None) or rejected.

    A `Failure` with `REJECTED` means that the change was not applied. With `OUTCOME_UNKNOWN` it may have been
    applied; the same change can be sent again.
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
    """Make one attempt; `REJECTED` is returned only if the change was definitely not applied."""
    response = send_command(address, "PATCH", "/config", if_match, data, timeout_seconds)
    if isinstance(response, Failure):
        return Failure(FailureReason.OUTCOME_UNKNOWN, response.detail)
    status, text = response
    if status == 200:
        return None
    detail = f"{address}: PATCH /config: {status} {text}".rstrip()
    if 400 <= status < 500 and status not in RETRYABLE_CLIENT_ERRORS:
        return Failure(FailureReason.REJECTED, detail)
    return Failure(FailureReason.OUTCOME_UNKNOWN, detail)


def wait_until_propagated(address: str, version: str) -> RolloutResult | Failure:
    """Poll for at most `MAX_STATUS_POLLS` until all proxies with a session hold this version."""
    target_index = 0  # at which the version was first seen; later changes need not arrive
    status = fetch_cluster_status(address)
    for _ in range(MAX_STATUS_POLLS):
        if isinstance(status, ClusterStatus) and int(status.version, 16) >= int(version, 16):
            target_index = target_index or status.index
            if not status.proxies_behind(target_index) or status.no_index_known:
                break
        sleep(STATUS_POLL_SECONDS)
        status = fetch_cluster_status(address)
    if isinstance(status, Failure):
        return status
    return RolloutResult(status, status.proxies_behind(target_index) if target_index else status.proxies)
