"""Rules for a single request: how often it runs, where, and which responses it may get."""

from collections.abc import Iterator
from typing import Final

from ashlift.simulation.checkers.checked_history import (
    CheckedHistory,
    allows_region,
    allows_run,
    explains_denial,
)
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import HOST

MAX_WRONG_DENIALS: Final = 5
MAX_WRONG_DENIAL_SHARE: Final = 1 / 500  # of all requests, in addition to MAX_WRONG_DENIALS
MAX_POOL_EXHAUSTED_COUNT: Final = 50
NOT_RUN_STATUSES: Final = (429, 503, 408, 421)
DENIAL_STATUSES: Final = (401, 403, 404)


def check_at_most_once(checked: CheckedHistory) -> Iterator[Violation]:
    """TWICE: a request that is not idempotent runs at most once."""
    for request in checked.history.requests:
        runs = [arrival for arrival in request.arrivals if arrival.ran]
        if not request.idempotent and len(runs) > 1:
            second_run_at = sorted(run.at for run in runs)[1]
            workers = ", ".join(run.worker for run in runs)
            yield Violation("TWICE", second_run_at, f"{request.describe()} ran at {workers}")


def check_rejected_never_ran(checked: CheckedHistory) -> Iterator[Violation]:
    """REFUSED: a request that got a status from `NOT_RUN_STATUSES` has not run."""
    for request in checked.history.requests:
        runs = [arrival for arrival in request.arrivals if arrival.ran]
        if not request.idempotent and request.status in NOT_RUN_STATUSES and runs:
            description = f"{request.describe()} got {request.status} but ran at {runs[0].worker}"
            yield Violation("REFUSED", request.ended, description)


def check_routing(checked: CheckedHistory) -> Iterator[Violation]:
    """ROUTE: each run was allowed by some configuration that had been sent, by service and tenant."""
    tables = [(change.sent, change.table) for change in checked.changes if change.valid]
    for request, run in checked.runs():
        if not any(sent <= run.at and allows_run(table, request, run) for sent, table in tables):
            description = (
                f"{request.describe()} ran at {run.worker} of {run.service} "
                f"for {run.tenant or 'nobody'}, which no configuration allowed"
            )
            yield Violation("ROUTE", run.at, description)


def check_denial_share(checked: CheckedHistory) -> Iterator[Violation]:
    """DENIED: proxies in contact deny almost no requests that every possible configuration allows."""
    wrong = [
        request
        for request in checked.history.requests
        if request.status in DENIAL_STATUSES
        and checked.was_in_contact(request.proxy, request.ended)
        and not any(
            explains_denial(change.table, request)
            for change in checked.possibly_in_force(request.received, request.ended)
        )
    ]
    if len(wrong) > MAX_WRONG_DENIALS + MAX_WRONG_DENIAL_SHARE * len(checked.history.requests):
        last = wrong[-1]
        description = f"{len(wrong)} valid requests denied, the last {last.describe()}: {last.status}"
        yield Violation("DENIED", last.ended, description)


def check_no_denial_after_acknowledgement(checked: CheckedHistory) -> Iterator[Violation]:
    """STOPPED: no proxy, in contact or not, denies a request that an acknowledged configuration allows.

    Clients do not retry after a 401 or a 404.
    """
    for request in checked.history.requests:
        if request.status not in DENIAL_STATUSES:
            continue
        acknowledged_version = max(
            (change.version for change in checked.possible_changes if change.acknowledged < request.sent),
            default=0,
        )
        candidates = [
            change
            for change in checked.possible_changes
            if change.version >= acknowledged_version and change.sent <= request.ended
        ]
        if candidates and not any(explains_denial(change.table, request) for change in candidates):
            description = (
                f"{request.describe()} got {request.status}, "
                f"but version {acknowledged_version} had been acknowledged"
            )
            yield Violation("STOPPED", request.ended, description)


def check_no_busy_loop(checked: CheckedHistory) -> Iterator[Violation]:
    """Fault: a proxy that has no free connection for a request does not retry in a busy loop."""
    for request in checked.history.requests:
        if request.pool_exhausted_count > MAX_POOL_EXHAUSTED_COUNT:
            description = (
                f"{request.describe()}: {request.pool_exhausted_count} attempts without a connection"
            )
            yield Violation("Fault", request.received, description)


def check_home_regions(checked: CheckedHistory) -> Iterator[Violation]:
    """HOME: a request reaches only workers in its home regions."""
    for request in checked.history.requests:
        for arrival in request.arrivals:
            region = checked.history.workers[arrival.worker].region
            tables = [change.table for change in checked.possible_changes if change.sent <= arrival.at]
            if tables and not any(allows_region(table, request, region) for table in tables):
                description = f"{request.describe()} reached {arrival.worker} in {region}"
                yield Violation("HOME", arrival.at, description)


def check_lookup_regions(checked: CheckedHistory) -> Iterator[Violation]:
    """HOME: the lookup sends a client to proxies of its own region or of its route's home regions.

    The service's rule allows 1 in 20 elsewhere, and more after an unplanned fault; this check allows none.
    """
    for request in checked.history.requests:
        region = checked.history.proxy_regions.get(request.proxy, request.region)
        if region == request.region:
            continue
        tables = [change.table for change in checked.possible_changes if change.sent <= request.sent]
        routes = [route for table in tables if (route := table.find_route(HOST, request.path)) is not None]
        if routes and not any(route.allows_region(region) for route in routes):
            yield Violation(
                "HOME", request.sent, f"{request.describe()} in {region}, by a client in {request.region}"
            )
