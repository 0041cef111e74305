"""Sums of the proxies' load reports per worker, published as local records. Does no I/O.

A sum is published only when it has changed enough, because all proxies pull each change.
"""

from collections.abc import Callable
from typing import Final

from ashlift.registry.messages import NO_LOAD, LoadReport
from ashlift.registry.record_keys import FAILURES_PREFIX, IN_FLIGHT_PREFIX
from ashlift.registry.replicated_source import ReplicatedSource

MIN_IN_FLIGHT_CHANGE: Final = 2.0  # requests
IN_FLIGHT_CHANGE_PER_SLOT: Final = 0.3  # of the worker's capacity; the larger of both applies
MIN_OBSERVED_FAILURE_TENTHS: Final = 3  # from which a proxy counts as having observed failures
MIN_FAILURE_CHANGE_TENTHS: Final = 7
MIN_REQUEST_CHANGE_TENTHS: Final = 20
REQUEST_CHANGE_RATIO: Final = 0.3  # of the published sum; the larger of both applies


class LoadReports:
    """Keeps the newest report of each proxy and publishes the sums."""

    def __init__(self, local_source: ReplicatedSource, capacity: Callable[[str], int | None]) -> None:
        """`capacity`: returns the capacity of a worker by its ID, or None if it is unknown."""
        self._local_source = local_source
        self._capacity = capacity
        self._reports: dict[str, LoadReport] = {}

    def update(self, node: str, report: LoadReport) -> None:
        """Replace the report of a proxy."""
        previous = self._reports.pop(node, NO_LOAD)
        if report.in_flight or report.failures:
            self._reports[node] = report
        for worker_id in previous.in_flight.keys() | report.in_flight.keys():
            if previous.in_flight.get(worker_id) != report.in_flight.get(worker_id):
                self._publish_in_flight(worker_id)
        for worker_id in previous.failures.keys() | report.failures.keys():
            if previous.failures.get(worker_id) != report.failures.get(worker_id):
                self._publish_failures(worker_id)

    def remove(self, node: str) -> None:
        """Remove the report of a proxy that has stopped or now reports to another registry."""
        self.update(node, NO_LOAD)

    def _publish_in_flight(self, worker_id: str) -> None:
        key = IN_FLIGHT_PREFIX + worker_id
        total = sum(report.in_flight.get(worker_id, 0) for report in self._reports.values())
        published = self._local_source.values.get(key, 0)
        capacity = self._capacity(worker_id)
        if not total or capacity is None:
            self._local_source.drop(key)
        elif abs(total - published) >= max(MIN_IN_FLIGHT_CHANGE, IN_FLIGHT_CHANGE_PER_SLOT * capacity):
            self._local_source.put(key, total)

    def _publish_failures(self, worker_id: str) -> None:
        """Publish `[failures, requests, proxies that observed failures]`, the first two in tenths."""
        key = FAILURES_PREFIX + worker_id
        reported = [
            report.failures[worker_id] for report in self._reports.values() if worker_id in report.failures
        ]
        failed = sum(failures for failures, _ in reported)
        ran = sum(requests for _, requests in reported)
        proxies_with_failures = sum(failures >= MIN_OBSERVED_FAILURE_TENTHS for failures, _ in reported)
        sums = [failed, ran, proxies_with_failures]
        if not ran or self._capacity(worker_id) is None:
            self._local_source.drop(key)
        elif _has_changed_enough(self._local_source.values.get(key), sums):
            self._local_source.put(key, sums)


def _has_changed_enough(published: list[int] | None, sums: list[int]) -> bool:
    """Whether the sums differ enough from the published ones."""
    if published is None:
        return True
    published_failed, published_ran, published_proxies_with_failures = published
    failed, ran, proxies_with_failures = sums
    return (
        abs(failed - published_failed) >= MIN_FAILURE_CHANGE_TENTHS
        or abs(ran - published_ran) >= max(MIN_REQUEST_CHANGE_TENTHS, REQUEST_CHANGE_RATIO * published_ran)
        or (proxies_with_failures == 0) != (published_proxies_with_failures == 0)
    )
