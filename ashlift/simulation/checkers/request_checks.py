"""Rules for a single request: how often it runs, where, and which answers it may get."""

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
MAX_WRONG_DENIAL_SHARE: Final = 1 / 500  # of all requests, in addition
MAX_POOL_EXHAUSTED_COUNT: Final = 50
NOT_RUN_STATUSES: Final = (429, 503, 408, 421)
DENIAL_STATUSES: Final = (401, 403, 404)


def check_at_most_once(checked: CheckedHistory) -> Iterator[Violation]:
    """TWICE: a request that is not idempotent runs once at the most."""
    for request in checked.history.requests:
        runs = [arrival for arrival in request.arrivals if arrival.ran]
        if not request.idempotent and len(runs) > 1:
            second_run_at = sorted(run.at for run in runs)[1]
            workers = ", ".join(run.worker for run in runs)
            yield Violation("TWICE", second_run_at, f"{request.describe()} ran at {workers}")


def check_rejected_never_ran(checked: CheckedHistory) -> Iterator[Violation]:
    """REFUSED: a status that promises that the request did not run is true."""
    for request in checked.history.requests:
        runs = [arrival for arrival in request.arrivals if arrival.ran]
        if not request.idempotent and request.status in NOT_RUN_STATUSES and runs:
            description = f"{request.describe()} got {request.status}, ran at {runs[0].worker}"
            yield Violation("REFUSED", request.ended, description)


def check_routing(checked: CheckedHistory) -> Iterator[Violation]:
    """ROUTE: some configuration, sent before, allowed each run at its service for its tenant."""
    tables = [(change.sent, change.table) for change in checked.changes if change.valid]
    for request, run in checked.runs():
        if not any(sent <= run.at and allows_run(table, request, run) for sent, table in tables):
            description = (
                f"{request.describe()} ran at {run.worker} of {run.service} "
                f"for {run.tenant or 'nobody'}, which nothing ever allowed"
            )
            yield Violation("ROUTE", run.at, description)


def check_denial_share(checked: CheckedHistory) -> Iterator[Violation]:
    """DENIED: proxies in touch deny next to no request without a reason in the configuration."""
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
        description = f"{len(wrong)} proper requests, the last {last.describe()}: {last.status}"
        yield Violation("DENIED", last.ended, description)


def check_no_denial_after_acknowledgement(checked: CheckedHistory) -> Iterator[Violation]:
    """STOPPED: no proxy, in touch or not, denies what a configuration allows that was acknowledged before.

    This goes beyond the users' rules: a 401 or a 404 makes a client give up.
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
                f"and version {acknowledged_version} was acknowledged before"
            )
            yield Violation("STOPPED", request.ended, description)


def check_no_busy_loop(checked: CheckedHistory) -> Iterator[Violation]:
    """Fault: a proxy that finds no connection for a request does not retry without a pause."""
    for request in checked.history.requests:
        if request.pool_exhausted_count > MAX_POOL_EXHAUSTED_COUNT:
            description = f"{request.describe()}: {request.pool_exhausted_count} turns without a connection"
            yield Violation("Fault", request.received, description)


def check_home_regions(checked: CheckedHistory) -> Iterator[Violation]:
    """HOME: a request reaches workers in its home regions only."""
    for request in checked.history.requests:
        for arrival in request.arrivals:
            region = checked.history.workers[arrival.worker].region
            tables = [change.table for change in checked.possible_changes if change.sent <= arrival.at]
            if tables and not any(allows_region(table, request, region) for table in tables):
                description = f"{request.describe()} reached {arrival.worker} in {region}"
                yield Violation("HOME", arrival.at, description)


def check_lookup_regions(checked: CheckedHistory) -> Iterator[Violation]:
    """HOME: the directory sends a client to proxies of its own region, or of its route's home regions.

    The users' rule allows 1 in 20 outside, and any number after an unplanned fault; this allows none ever.
    """
    for request in checked.history.requests:
        region = checked.history.proxy_regions.get(request.proxy, request.region)
        if region == request.region:
            continue
        tables = [change.table for change in checked.possible_changes if change.sent <= request.sent]
        routes = [route for table in tables if (route := table.find_route(HOST, request.path)) is not None]
        if routes and not any(route.allows_region(region) for route in routes):
            yield Violation("HOME", request.sent, f"{request.describe()} in {region}, from {request.region}")
