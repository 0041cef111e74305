"""Rules for totals over all proxies: retry budget, rate limits, and slow start of workers."""

import math
from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Final

from attrs import evolve, frozen

from ashlift.simulation.checkers.checked_history import CheckedHistory
from ashlift.simulation.checkers.departure_checks import MISDIRECTED_STATUS
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import HOST, Request

WARMUP_WINDOW_SECONDS: Final = 1.0
PROXIES_DESCRIBED: Final = 6  # of a violation, those with the most runs


@frozen
class Event:
    """An arrival of a request or of a retry at a worker.

    `is_repeated`: the request has run before. `proxy`: the one that sent it.
    """

    at: float
    request: Request
    is_repeated: bool = False
    proxy: str = ""


def check_retry_budget(checked: CheckedHistory) -> Iterator[Violation]:
    """BUDGET: retries at a service stay within the retry budget ratio of its requests plus the slack."""
    requests: dict[str, list[float]] = defaultdict(list)
    retries: dict[str, list[Event]] = defaultdict(list)
    for request in checked.history.requests:
        service = _service_of(checked, request)
        if service:
            requests[service].append(request.sent)
        for arrival in request.arrivals[1:]:
            retries[arrival.service].append(Event(arrival.at, request))
    for service, service_retries in retries.items():
        yield from _first_excess_retry(checked, service, service_retries, requests[service])


def _first_excess_retry(
    checked: CheckedHistory, service: str, retries: list[Event], requests: list[float]
) -> Iterator[Violation]:
    bounds = checked.bounds
    window = bounds.retry_window
    for retry, in_window in _windows(retries, window):
        count = len(in_window)
        if count <= bounds.retry_slack:
            continue
        window_starts = [retry.at - window - shift for shift in (0.0, window / 2, window)]
        request_count = max(
            sum(start < sent <= start + window for sent in requests) for start in window_starts
        )
        if count > bounds.retry_budget_ratio * request_count + bounds.retry_slack:
            description = (
                f"{count} retries at {service} within {window:g} s, for {request_count} requests; "
                f"the last for {retry.request.describe()} by {retry.request.proxy}"
            )
            yield Violation("BUDGET", retry.at, description)
            break


def _windows(events: list[Event], length: float) -> Iterator[tuple[Event, list[Event]]]:
    """Yield each event in the order of time, with the events of the window that ends with it."""
    ordered = sorted(events, key=lambda event: event.at)
    first = 0
    for last, event in enumerate(ordered):
        while ordered[first].at <= event.at - length:
            first += 1
        yield event, ordered[first : last + 1]


def _service_of(checked: CheckedHistory, request: Request) -> str:
    """The service of the first arrival, or else by the newest configuration acknowledged before sending."""
    if request.arrivals:
        return request.arrivals[0].service
    for change in reversed(checked.possible_changes):
        if change.acknowledged <= request.sent:
            route = change.table.find_route(HOST, request.path)
            return route.traffic_split[0][0] if route else ""
    return ""


def check_rate_limits(checked: CheckedHistory) -> Iterator[Violation]:
    """QUOTA: the requests of a tenant that run stay within its rate limit, burst and allowed overrun."""
    runs: dict[str, list[Event]] = defaultdict(list)
    run_before: set[int] = set()  # ids of requests
    for request, run in checked.runs():
        if run.tenant:
            runs[run.tenant].append(Event(run.at, request, request.id in run_before, run.proxy))
        run_before.add(request.id)
    for tenant, tenant_runs in runs.items():
        violation = _rate_limit_violation(checked, tenant, tenant_runs)
        if violation is not None:
            yield violation


def _rate_limit_violation(checked: CheckedHistory, tenant: str, runs: list[Event]) -> Violation | None:
    """The first run over the limit, described with the highest count of any window."""
    bounds = checked.bounds
    window = bounds.quota_window
    worst: list[Event] = []
    first: Violation | None = None
    for run, in_window in _windows(runs, window):
        rate, burst = _highest_limit(checked, tenant, run.at - window, run.at)
        allowed = (rate * window + burst) * (1 + bounds.quota_overrun) + bounds.quota_slack
        if len(in_window) <= allowed:
            continue
        counted = [event for event in in_window if event.request.sent > run.at - window]
        if len(counted) > allowed:
            worst = max(worst, counted, key=len)
            description = (
                f"{tenant} within {window:g} s, limit {allowed:g}, "
                f"the first over the limit {run.request.describe()}"
            )
            first = first or Violation("QUOTA", run.at, description)
    if first is None:
        return None
    return evolve(
        first, description=f"up to {len(worst)} runs of {first.description}; {_runs_by_cause(worst)}"
    )


def _runs_by_cause(runs: list[Event]) -> str:
    """The runs of a window by first and repeated ones, and the proxies that sent most of them."""
    repeated = sum(run.is_repeated for run in runs)
    by_proxy = Counter(run.proxy for run in runs).most_common(PROXIES_DESCRIBED)
    proxies = ", ".join(f"{proxy} {count}" for proxy, count in by_proxy)
    span = f"from {runs[0].at:.3f} to {runs[-1].at:.3f}"
    return f"{len(runs) - repeated} first runs, {repeated} repeated, {span}, by {proxies}"


def _sent_since(events: list[Event], start: float) -> int:
    """Count the events whose request was sent after `start`; earlier requests may have been delayed."""
    return sum(event.request.sent > start for event in events)


def _highest_limit(checked: CheckedHistory, tenant: str, start: float, end: float) -> tuple[float, float]:
    """The highest rate and burst that may be in force in the span, as a lower limit takes time to apply."""
    bounds = checked.bounds
    apply_bound = bounds.config_apply + bounds.max_stretch + bounds.quota_window
    oldest_version = max(
        (change.version for change in checked.possible_changes if change.acknowledged + apply_bound < start),
        default=0,
    )
    limits = []
    for change in checked.possible_changes:
        policy = change.table.tenants.get(tenant)
        if change.version >= oldest_version and change.sent <= end and policy is not None:
            is_limited = policy.rate_limit > 0
            limits.append((policy.rate_limit, policy.burst_size) if is_limited else (math.inf, math.inf))
    return max(limits, default=(math.inf, math.inf))


def check_slow_start(checked: CheckedHistory) -> Iterator[Violation]:
    """FAILBACK: a worker in slow start receives at most its service's warm-up rate in any second."""
    workers = checked.history.workers
    arrivals: dict[str, list[Event]] = defaultdict(list)
    for request in checked.history.requests:
        for arrival in request.arrivals:
            if arrival.rejection_status == MISDIRECTED_STATUS:
                continue
            if workers[arrival.worker].is_warming_up(arrival.at):
                arrivals[arrival.worker].append(Event(arrival.at, request))
    for worker, worker_arrivals in arrivals.items():
        yield from _first_excess_arrival(checked, worker, worker_arrivals)


def _first_excess_arrival(checked: CheckedHistory, worker: str, arrivals: list[Event]) -> Iterator[Violation]:
    service_name = checked.history.workers[worker].service
    rates = [
        service.warmup_rate
        for change in checked.possible_changes
        if (service := change.table.services.get(service_name))
    ]
    allowed = (
        max(rates, default=math.inf) * checked.bounds.slow_start_overrun + checked.bounds.slow_start_slack
    )
    for arrival, in_window in _windows(arrivals, WARMUP_WINDOW_SECONDS):
        count = _sent_since(in_window, arrival.at - WARMUP_WINDOW_SECONDS)
        if count > allowed:
            description = (
                f"{count} requests within 1 s at {worker}, which is warming up, limit {allowed:g}; "
                f"the last {arrival.request.describe()} by {arrival.request.proxy}"
            )
            yield Violation("FAILBACK", arrival.at, description)
            break
