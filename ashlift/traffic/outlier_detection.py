"""Outlier detection: which workers fail too often, judged by what all proxies have seen together.

In thin traffic one proxy sends a worker a request in many seconds, and by itself would notice too late that
they fail. So each proxy reports its failures and requests for every worker at which a request failed, here or
elsewhere (`OutlierDetector.failure_counts`), and gets the totals of all proxies back
(`OutlierDetector.record_failure_totals`). A worker that fails too often is ejected for a while: the load
balancer ranks it after all others, which is not the same as never using it.

A faulty proxy must not take a service away: two proxies must have seen failures, each counts for a bounded
number, and at most a fifth of a service's workers in a region is ejected. The load balancer owns the state;
times are seconds of the steady clock.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

DECAY_SECONDS: Final = 4.0  # time constant with which evidence loses its weight
MIN_FAILURES: Final = 2.5  # failures of all proxies from which a worker can be ejected
MIN_FAILURE_RATE: Final = 0.12  # failed part of the requests from which it is ejected
PRIOR_SUCCESSES: Final = 2.0  # requests that count as successful at each worker before any is seen
MIN_REPORTERS: Final = 2  # proxies that must have seen failures; fewer where there are fewer proxies
MIN_LOCAL_FAILURES: Final = 3.0  # failures seen here that are enough for this proxy to eject by itself
MAX_FAILURES_PER_PROXY: Final = 4.0  # at a worker, in totals
# From the first totals that name a worker until they hold the successes of other proxies there too.
REPORT_DELAY_SECONDS: Final = 0.7
FIRST_EJECTION_SECONDS: Final = 5.0  # doubled with each further ejection
MAX_EJECTION_SECONDS: Final = 20.0
RECOVERED_AFTER_SECONDS: Final = 20.0  # without ejection: the next one is a first one again
MAX_EJECTED_RATIO: Final = 0.2  # of a service's workers in a region
MAX_UTILIZATION: Final = 0.8  # of the slots of the workers that are not ejected
MIN_REPORTED_WEIGHT: Final = 0.3  # failures or requests: below it a worker is not reported
REPORT_SCALE: Final = 10  # reports and totals are in tenths of a request


class FailureTotals(NamedTuple):
    """Failures and requests at one worker, summed over proxies."""

    failures: int  # tenths
    requests: int  # tenths
    reporters: int  # proxies that have seen failures


class WorkerLoad(NamedTuple):
    """What the ejection of a worker would take away, and what the others would have to take over."""

    slots: int
    in_flight: float  # requests of all proxies


class _Evidence(NamedTuple):
    """Decayed numbers of failures and requests, and of the proxies that have seen failures."""

    failures: float
    requests: float
    reporters: int


class _LocalEvidence:
    """What this proxy has seen of one worker, as of `updated_at`."""

    __slots__ = ("failures", "requests", "updated_at")

    def __init__(self) -> None:
        self.failures = 0.0
        self.requests = 0.0
        self.updated_at = -math.inf

    def decayed(self, now: float) -> tuple[float, float]:
        """Failures and requests with the weight that they have now."""
        weight = math.exp(-(now - self.updated_at) / DECAY_SECONDS)
        return self.failures * weight, self.requests * weight


class _RemoteEvidence(NamedTuple):
    """What other proxies have seen of one worker."""

    everywhere: _Evidence
    same_registry: _Evidence  # of proxies that report to the same registry: newer
    first_reported_at: float


class Ejection(NamedTuple):
    """The last time that a worker was ejected."""

    until: float
    duration_seconds: float


class OutlierDetector:
    """Ejects the workers that fail too often, by the evidence of this proxy and the totals of all."""

    def __init__(self) -> None:
        self._local: dict[str, _LocalEvidence] = {}
        self._remote: dict[str, _RemoteEvidence] = {}
        self._ejections: dict[str, Ejection] = {}
        self._failed_here: set[str] = set()

    # ---- evidence

    def record_result(self, now: float, worker_id: str, failure: float) -> None:
        """Count one request of this proxy that ended at the worker.

        `failure` is 0 for a success and 1 for a failure; a value between says that it may be a failure.
        """
        evidence = self._local.setdefault(worker_id, _LocalEvidence())
        failures, requests = evidence.decayed(now)
        evidence.failures = failures + failure
        evidence.requests = requests + 1.0
        evidence.updated_at = now
        if failure:
            self._failed_here.add(worker_id)

    def failure_counts(self, now: float) -> dict[str, list[int]]:
        """Return what to report: failures and requests of this proxy by worker, in tenths.

        Named are the workers at which requests failed here or elsewhere.
        """
        counts = {}
        for worker_id in self._failed_here | self._remote.keys():
            failures, requests = self._local_counts(now, worker_id)
            if failures < MIN_REPORTED_WEIGHT:
                self._failed_here.discard(worker_id)
            if requests >= MIN_REPORTED_WEIGHT:
                scale = min(1.0, MAX_FAILURES_PER_PROXY / failures) if failures else 1.0
                counts[worker_id] = [
                    round(failures * scale * REPORT_SCALE),
                    round(requests * scale * REPORT_SCALE),
                ]
        return counts

    def record_failure_totals(
        self,
        now: float,
        everywhere: Mapping[str, FailureTotals],
        same_registry: Mapping[str, FailureTotals],
        own_counts: Mapping[str, Sequence[int]],
    ) -> None:
        """Take the totals by worker: of all proxies, and of those that report to the same registry.

        `own_counts` is what this proxy reported last (`failure_counts`): both totals contain it.
        """
        remote: dict[str, _RemoteEvidence] = {}
        for worker_id, totals in everywhere.items():
            own_failures, own_requests = own_counts.get(worker_id, (0, 0))
            seen_failures = int(own_failures >= MIN_REPORTED_WEIGHT * REPORT_SCALE)
            own = FailureTotals(own_failures, own_requests, seen_failures)
            known = self._remote.get(worker_id)
            remote[worker_id] = _RemoteEvidence(
                _without_own(totals, own),
                _without_own(same_registry.get(worker_id, own), own),
                known.first_reported_at if known is not None else now,
            )
        self._remote = remote

    def retain_workers(self, worker_ids: Iterable[str]) -> None:
        """Forget all workers but these."""
        retained = set(worker_ids)
        self._local = {
            worker_id: evidence for worker_id, evidence in self._local.items() if worker_id in retained
        }
        self._ejections = {
            worker_id: ejection for worker_id, ejection in self._ejections.items() if worker_id in retained
        }
        self._failed_here &= retained

    # ---- ejections

    def suspects(self) -> set[str]:
        """Return all workers that may have to be ejected."""
        return self._failed_here | self._remote.keys() | self._ejections.keys()

    def failure_rate(self, now: float, worker_id: str, proxy_count: int) -> float:
        """Return the failed part of the worker's requests where that calls for an ejection, else 0."""
        failures, requests = self._local_counts(now, worker_id)
        rate = 0.0
        if failures >= MIN_LOCAL_FAILURES and failures / (requests + PRIOR_SUCCESSES) >= MIN_FAILURE_RATE:
            rate = failures / (requests + PRIOR_SUCCESSES)
        remote = self._remote.get(worker_id)
        if remote is None or now - remote.first_reported_at < REPORT_DELAY_SECONDS:
            return rate
        for evidence in (remote.everywhere, remote.same_registry):
            reporters = evidence.reporters + (failures >= MIN_REPORTED_WEIGHT)
            all_failures = evidence.failures + min(failures, MAX_FAILURES_PER_PROXY)
            all_requests = evidence.requests + requests
            if all_failures >= MIN_FAILURES and reporters >= min(MIN_REPORTERS, proxy_count):
                all_rate = all_failures / (all_requests + PRIOR_SUCCESSES)
                rate = max(rate, all_rate if all_rate >= MIN_FAILURE_RATE else 0.0)
        return rate

    def ejected_workers(self, now: float, group: Mapping[str, WorkerLoad], proxy_count: int) -> set[str]:
        """Decide which workers are ejected of `group`: a service's workers in one region."""
        rates = self._rates_for_ejection(now, group, proxy_count)
        if not rates:
            return set()
        max_ejected = math.ceil(MAX_EJECTED_RATIO * len(group)) if len(group) > 1 else 0
        slots = sum(load.slots for load in group.values())
        in_flight = sum(load.in_flight for load in group.values())
        ejected: set[str] = set()
        for worker_id in sorted(rates, key=lambda candidate: -rates[candidate])[:max_ejected]:
            slots -= group[worker_id].slots
            if in_flight > MAX_UTILIZATION * slots:
                break
            ejected.add(worker_id)
            self._eject(now, worker_id)
        return ejected

    def _rates_for_ejection(
        self, now: float, group: Mapping[str, WorkerLoad], proxy_count: int
    ) -> dict[str, float]:
        """Failure rates of the workers to be ejected, 1 for those that are; forgets ejections long past."""
        rates: dict[str, float] = {}
        for worker_id in self.suspects():
            if worker_id not in group:
                continue
            ejection = self._ejections.get(worker_id)
            if ejection is not None and now < ejection.until:
                rates[worker_id] = 1.0
            elif rate := self.failure_rate(now, worker_id, proxy_count):
                rates[worker_id] = rate
            elif ejection is not None and now - ejection.until > RECOVERED_AFTER_SECONDS:
                del self._ejections[worker_id]
        return rates

    def _eject(self, now: float, worker_id: str) -> None:
        """Begin an ejection, unless one goes on."""
        ejection = self._ejections.get(worker_id)
        if ejection is not None and now < ejection.until:
            return
        duration_seconds = FIRST_EJECTION_SECONDS
        if ejection is not None:
            duration_seconds = min(MAX_EJECTION_SECONDS, 2 * ejection.duration_seconds)
        self._ejections[worker_id] = Ejection(now + duration_seconds, duration_seconds)

    def _local_counts(self, now: float, worker_id: str) -> tuple[float, float]:
        """Decayed failures and requests of this proxy at the worker."""
        evidence = self._local.get(worker_id)
        return evidence.decayed(now) if evidence is not None else (0.0, 0.0)


def _without_own(totals: FailureTotals, own: FailureTotals) -> _Evidence:
    """What other proxies have seen. Totals are older than `own`, which may therefore be larger."""
    return _Evidence(
        max(0, totals.failures - own.failures) / REPORT_SCALE,
        max(0, totals.requests - own.requests) / REPORT_SCALE,
        max(0, totals.reporters - own.reporters),
    )
