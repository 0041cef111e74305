"""Rules for responses: unaltered, complete, on all routes, and available again after an outage."""

import math
from collections.abc import Iterator
from typing import Final

from ashlift.simulation.checkers.checked_history import CheckedHistory
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import HOST, Request

MIN_REQUESTS_FOR_SUCCESS_RATE: Final = 20  # for a meaningful rate
RECOVERED_SUCCESS_RATE: Final = 0.25
EXCUSED_AFTER_SIGTERM_SECONDS: Final = 3.0  # requests sent later after the SIGTERM must complete
EXCUSED_GRACE_FRACTION: Final = 5 / 6  # after this part of the grace period running requests may be aborted
MIN_LATER_ROUTES_RATIO: Final = 0.25  # of the success rate on the first routes


def check_responses_match_requests(checked: CheckedHistory) -> Iterator[Violation]:
    """MIXED: a successful response is one that a worker sent for this request, where seals are recorded."""
    for request in checked.history.requests:
        if request.seal is None or not _succeeded(request):
            continue
        if not any(
            arrival.seal == request.seal and 200 <= arrival.status < 300
            for arrival in request.arrivals
            if arrival.ran
        ):
            description = f"{request.describe()} got {request.status}, a response that no worker sent for it"
            yield Violation("MIXED", request.ended, description)


def check_only_sent_requests_run(checked: CheckedHistory) -> Iterator[Violation]:
    """UNASKED: workers run only requests that clients sent, for the tenant that holds the key."""
    for arrival in checked.history.unexpected_arrivals:
        description = f"{arrival.description} at {arrival.worker}: sent by no client"
        yield Violation("UNASKED", arrival.at, description)
    tables = [(change.sent, change.table) for change in checked.changes if change.valid]
    for request, run in checked.runs():
        if not run.tenant:
            continue
        tenants = [table.find_tenant(request.key) for sent, table in tables if sent <= run.at]
        if not any(tenant is not None and tenant.name == run.tenant for tenant in tenants):
            description = (
                f"{request.describe()} ran at {run.worker} for {run.tenant}, which never held its key"
            )
            yield Violation("UNASKED", run.at, description)


def check_complete_responses(checked: CheckedHistory) -> Iterator[Violation]:
    """LOST: a proxy that has read a request does not close its connection without a complete response."""
    for request in checked.history.requests:
        if not request.connection_broken or math.isinf(request.received):
            continue
        if not request.arrivals and request.ended <= request.received + checked.bounds.loss_slack:
            continue
        if not _break_is_excused(checked, request):
            description = f"{request.describe()} was read, but its connection ended without a response"
            yield Violation("LOST", request.ended, description)


def _break_is_excused(checked: CheckedHistory, request: Request) -> bool:
    """Whether a fault, the end of the grace period after a SIGTERM, or a worker's end explains the break."""
    history = checked.history
    start = request.sent - checked.bounds.contact
    terminations = [at for at in history.terminations.get(request.proxy, ()) if start <= at <= request.ended]
    if any(
        interval.overlaps(start, request.ended) and interval.started not in terminations
        for interval in history.faults.get(request.proxy, ())
    ):
        return True
    if not checked.core_was_stable(start, request.ended):
        return True
    if (
        terminations
        and request.sent <= terminations[-1] + EXCUSED_AFTER_SIGTERM_SECONDS
        and request.ended > terminations[-1] + EXCUSED_GRACE_FRACTION * checked.bounds.grace
        and any(arrival.ran for arrival in request.arrivals)
    ):
        return True
    return any(history.workers[arrival.worker].ended <= request.ended for arrival in request.arrivals)


def check_recovery(checked: CheckedHistory) -> Iterator[Violation]:
    """RECOVER: if a quarter of requests succeeded before the final fault, a quarter does after recovery."""
    history = checked.history
    if math.isinf(history.final_fault_at):
        return
    fault_ends = [
        interval.ended
        for intervals in history.faults.values()
        for interval in intervals
        if interval.started >= history.final_fault_at and not math.isinf(interval.ended)
    ]
    faults_ended_at = max(fault_ends, default=history.final_fault_at)
    recovered_at = faults_ended_at + checked.bounds.recovery
    before = [request for request in history.requests if request.ended < history.final_fault_at]
    after = [
        request for request in history.requests if request.sent > recovered_at and request.ended < math.inf
    ]
    if len(before) < MIN_REQUESTS_FOR_SUCCESS_RATE or len(after) < MIN_REQUESTS_FOR_SUCCESS_RATE:
        return
    if _success_rate(before) >= RECOVERED_SUCCESS_RATE > _success_rate(after):
        description = (
            f"{_success_rate(after):.3f} of {len(after)} requests succeeded after the last fault ended "
            f"at {faults_ended_at:.3f}; the first is {after[0].describe()}"
        )
        yield Violation("RECOVER", after[0].ended, description)


def check_later_routes_served(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG: the success rate on routes added later is at least a quarter of that on the first routes."""
    if not checked.possible_changes:
        return
    on_first_routes, on_later_routes = _by_age_of_route(checked)
    if (
        len(on_later_routes) < MIN_REQUESTS_FOR_SUCCESS_RATE
        or len(on_first_routes) < MIN_REQUESTS_FOR_SUCCESS_RATE
    ):
        return
    first_rate = _success_rate(on_first_routes)
    later_rate = _success_rate(on_later_routes)
    if later_rate < first_rate * MIN_LATER_ROUTES_RATIO:
        last = on_later_routes[-1]
        description = (
            f"{later_rate:.3f} of {len(on_later_routes)} requests on routes added later succeeded, "
            f"{first_rate:.3f} on the first routes; the last {last.describe()}"
        )
        yield Violation("CONFIG", last.ended, description)


def _by_age_of_route(checked: CheckedHistory) -> tuple[list[Request], list[Request]]:
    """Completed requests at proxies in contact: on routes of the first version, and on routes added later."""
    first_table = checked.possible_changes[0].table
    later_changes = checked.possible_changes[1:]
    on_first_routes: list[Request] = []
    on_later_routes: list[Request] = []
    for request in checked.history.requests:
        if math.isinf(request.ended) or not checked.was_in_contact(request.proxy, request.ended):
            continue
        if first_table.find_route(HOST, request.path) is not None:
            on_first_routes.append(request)
            continue
        applied = [
            change
            for change in later_changes
            if change.acknowledged + checked.bounds.config_apply < request.sent
        ]
        if applied and applied[-1].table.find_route(HOST, request.path) is not None:
            on_later_routes.append(request)
    return on_first_routes, on_later_routes


def _succeeded(request: Request) -> bool:
    return 200 <= request.status < 300


def _success_rate(requests: list[Request]) -> float:
    return sum(map(_succeeded, requests)) / max(1, len(requests))
