"""Responses of the proxy's own to requests that it does not forward, or whose attempts all failed. Pure.

429 and 503 promise that the request has not run and never will; 504 promises nothing.

A worker's own 503 is never relayed (`WorkerResponse.is_valid`): every 503 of a proxy is one of these. They
are told apart by `Retry-After` (docs/operations/system.md, "Why a proxy is not ready, or answers 503").
"""

import math
from enum import StrEnum
from typing import Final, NamedTuple

UNAVAILABLE_RETRY_AFTER_SECONDS: Final = 0.4
NO_REGION_RETRY_AFTER_SECONDS: Final = 1.0
NO_WORKER_RETRY_AFTER_SECONDS: Final = 0.15
OVERLOAD_RETRY_AFTER_SECONDS: Final = 0.5
STOPPING_RETRY_AFTER_SECONDS: Final = 0.05  # at once, as other proxies can process it


class RejectionReason(StrEnum):
    """Why the proxy responds itself. The values stand in counters and in recorded histories."""

    BAD_REQUEST = "bad"
    NOT_READY = "unready"  # no configuration, or one too old to check API keys with
    UNCONFIRMED = "unsure"  # nothing matches in a configuration that may not be the newest
    NO_ROUTE = "route"
    UNKNOWN_API_KEY = "key"
    NO_ALLOWED_REGION = "homes"  # the route's and the tenant's home regions exclude each other
    QUOTA_EXCEEDED = "quota"
    OVERLOADED = "crowded"  # the best worker's backlog is too long for the request's priority
    NO_WORKER = "no worker"
    OUTCOME_UNKNOWN = "unanswered"  # it may have run, and no response can be had
    DEADLINE_EXCEEDED = "late"
    STOPPING = "stopping"  # it came in the last moment and could not be processed before the process ends


class Rejection(NamedTuple):
    """A response of the proxy's own.

    `retry_after`: seconds, or None without a `Retry-After` header. `reconsider_until`: until then (steady
    time) a newer configuration may still admit the request, so its handler asks again.
    """

    status: int
    reason: RejectionReason
    retry_after: float | None = None
    reconsider_until: float = -math.inf


NOT_READY: Final = Rejection(503, RejectionReason.NOT_READY, UNAVAILABLE_RETRY_AFTER_SECONDS)
NO_ROUTE: Final = Rejection(404, RejectionReason.NO_ROUTE)
UNKNOWN_API_KEY: Final = Rejection(401, RejectionReason.UNKNOWN_API_KEY)
NO_ALLOWED_REGION: Final = Rejection(503, RejectionReason.NO_ALLOWED_REGION, NO_REGION_RETRY_AFTER_SECONDS)
OVERLOADED: Final = Rejection(503, RejectionReason.OVERLOADED, OVERLOAD_RETRY_AFTER_SECONDS)
NO_WORKER: Final = Rejection(503, RejectionReason.NO_WORKER, NO_WORKER_RETRY_AFTER_SECONDS)
OUTCOME_UNKNOWN: Final = Rejection(504, RejectionReason.OUTCOME_UNKNOWN)
DEADLINE_EXCEEDED: Final = Rejection(504, RejectionReason.DEADLINE_EXCEEDED)
STOPPING: Final = Rejection(503, RejectionReason.STOPPING, STOPPING_RETRY_AFTER_SECONDS)
