"""Checks that a proxy answered every request that arrived while it still accepted requests. Pure.

The rule LOST counts a request only once it was forwarded or queued for a while. It misses a request that is
still unread when the proxy closes the connection; the rule here counts that one too.
"""

import math
from collections.abc import Iterator
from typing import Final

from ashlift.lab.checker import Verdict
from ashlift.proxy.shutdown import accept_seconds
from ashlift.simulation.history import History, Request

VERDICT_NAME: Final = "ACCEPTED"
MARGIN_SECONDS: Final = 0.02  # clients and the proxy disagree slightly on the time of a SIGTERM
MAX_NAMED_REQUESTS: Final = 3


def unanswered_requests(history: History, grace: float) -> Iterator[Request]:
    """Yield requests sent in time whose connection a healthy proxy closed without an answer.

    `grace`: the setting `Grace`, in seconds.
    """
    for request in history.requests:
        if not request.connection_broken or math.isinf(request.received):
            continue
        if _had_other_fault(history, request) or _worker_ended(history, request):
            continue
        shutdown_at = _shutdown_time(history, request, grace)
        if shutdown_at is None or request.received < shutdown_at + accept_seconds(grace) - MARGIN_SECONDS:
            yield request


def accepted_verdict(history: History, grace: float) -> Verdict:
    """Return the verdict on all requests of a run."""
    unanswered = list(unanswered_requests(history, grace))
    if not unanswered:
        return Verdict(VERDICT_NAME, True, "every request that a proxy accepted was answered")
    named = "; ".join(
        f"{request.describe()} at {request.received:.3f}" for request in unanswered[:MAX_NAMED_REQUESTS]
    )
    return Verdict(VERDICT_NAME, False, f"{len(unanswered)} were not answered: {named}")


def _shutdown_time(history: History, request: Request, grace: float) -> float | None:
    """Return when the proxy of the request began to shut down, None if it did not.

    Later SIGTERMs within `grace` of the first one have no effect.
    """
    first: float | None = None
    for at in history.terminations.get(request.proxy, ()):
        if at <= request.received and (first is None or at >= first + grace):
            first = at
    return first


def _had_other_fault(history: History, request: Request) -> bool:
    """Whether the proxy had a fault other than a SIGTERM during the request."""
    terminations = history.terminations.get(request.proxy, ())
    return any(
        interval.overlaps(request.sent, request.ended) and interval.started not in terminations
        for interval in history.faults.get(request.proxy, ())
    )


def _worker_ended(history: History, request: Request) -> bool:
    return any(history.workers[arrival.worker].ended <= request.ended for arrival in request.arrivals)
