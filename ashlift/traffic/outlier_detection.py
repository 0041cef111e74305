"""Outlier detection: ejects workers that fail too often, by the failures that all proxies have seen.

A single proxy may send a worker too few requests to detect failures quickly. Each proxy therefore reports its
failures and requests (`OutlierDetector.failure_counts`) for every worker with a failed request at any proxy,
and receives the totals of all proxies (`OutlierDetector.record_failure_totals`). The load balancer ranks an
ejected worker after all others, but may still use it.

To limit the damage that a faulty proxy can do, at least two proxies must have seen failures, the failures
counted for each proxy are capped, and at most a fifth of a service's workers in a region is ejected. Times
are seconds of the monotonic clock.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from typing import Final, NamedTuple

DECAY_SECONDS: Final = 4.0  # time constant of the exponential decay of evidence
MIN_FAILURES: Final = 2.5  # at all proxies, from which a worker can be ejected
MIN_FAILURE_RATE: Final = 0.12  # failed part of the requests, from which a worker can be ejected
PRIOR_SUCCESSES: Final = 2.0  # successful requests assumed at each worker before any is seen
MIN_REPORTERS: Final = 2  # proxies that must have seen failures, if there are so many
MIN_LOCAL_FAILURES: Final = 3.0  # with which this proxy ejects a worker without the totals
MAX_REPORTED_FAILURES: Final = 4.0  # of one proxy at one worker
# From the first totals that name a worker until totals include its successes at other proxies.
REPORT_DELAY_SECONDS: Final = 0.7
REMOTE_EVIDENCE_LIFETIME_SECONDS: Final = 1.5  # without totals, after which the last ones count no longer
FIRST_EJECTION_SECONDS: Final = 5.0  # doubled with each further ejection
MAX_EJECTION_SECONDS: Final = 20.0
RECOVERED_AFTER_SECONDS: Final = 20.0  # without ejection, after which the duration starts anew
MAX_EJECTED_RATIO: Final = 0.2  # of a service's workers in a region
MAX_UTILIZATION: Final = 0.8  # of the remaining workers' slots
MIN_REPORTED_REQUESTS: Final = 0.3  # failures or requests, below which a worker is not reported
REPORT_SCALE: Final = 10  # reports and totals count tenths of a request


class FailureTotals(NamedTuple):
    """Failures and requests at one worker, summed over proxies."""

    failures: int  # tenths
    requests: int  # tenths
    reporters: int  # proxies that have seen failures


class WorkerLoad(NamedTuple):
    """Capacity and load of one worker, which the others would have to take over."""

    slots: int
    in_flight: float  # requests of all proxies


class _FailureEvidence(NamedTuple):
    """Decayed failures and requests, and the number of proxies that have seen failures."""

    failures: float
    requests: float
    reporters: int


class _LocalEvidence:
    """Failures and requests of this proxy at one worker, as of `updated_at`."""

    __slots__ = ("failures", "requests", "updated_at")

    def __init__(self) -> None:
        self.failures = 0.0
        self.requests = 0.0
        self.updated_at = -math.inf

    def decayed(self, now: float) -> tuple[float, float]:
        """Return failures and requests, decayed until now."""
        weight = math.exp(-(now - self.updated_at) / DECAY_SECONDS)
        return self.failures * weight, self.requests * weight


class _RemoteEvidence(NamedTuple):
    """Failures and requests of other proxies at one worker."""

    everywhere: _FailureEvidence
    same_registry: _FailureEvidence  # of proxies that report to the same registry: more current
    first_reported_at: float


class Ejection(NamedTuple):
    """The last ejection of a worker."""

    until: float
    duration_seconds: float


class OutlierDetector:
    """Ejects workers that fail too often, by this proxy's evidence and the totals of all proxies."""

    def __init__(self) -> None:
        self._local: dict[str, _LocalEvidence] = {}
        self._remote: dict[str, _RemoteEvidence] = {}
        self._remote_expires_at = -math.inf
        self._ejections: dict[str, Ejection] = {}
        self._failed_here: set[str] = set()

    # ---- evidence

    def record_result(self, now: float, worker_id: str, failure: float) -> None:
        """Count one finished request of this proxy at the worker.

        `failure` is 0 for a success and 1 for a failure; a value between is the probability of a failure.
        """
        evidence = self._local.setdefault(worker_id, _LocalEvidence())
        failures, requests = evidence.decayed(now)
        evidence.failures = failures + failure
        evidence.requests = requests + 1.0
        evidence.updated_at = now
        if failure:
            self._failed_here.add(worker_id)

    def failure_counts(self, now: float) -> dict[str, list[int]]:
        """Return failures and requests of this proxy, in tenths, by worker with failures at any proxy."""
        counts = {}
        for worker_id in self._failed_here | self._remote.keys():
            failures, requests = self._local_counts(now, worker_id)
            if failures < MIN_REPORTED_REQUESTS:
                self._failed_here.discard(worker_id)
            if requests >= MIN_REPORTED_REQUESTS:
                scale = min(1.0, MAX_REPORTED_FAILURES / failures) if failures else 1.0
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
        """Replace the totals by worker: of all proxies, and of those that report to the same registry.

        `own_counts` are the last counts reported by this proxy (`failure_counts`): both totals include them.
        """
        remote: dict[str, _RemoteEvidence] = {}
        for worker_id, totals in everywhere.items():
            own_failures, own_requests = own_counts.get(worker_id, (0, 0))
            seen_failures = int(own_failures >= MIN_REPORTED_REQUESTS * REPORT_SCALE)
            own = FailureTotals(own_failures, own_requests, seen_failures)
            known = self._remote.get(worker_id)
            remote[worker_id] = _RemoteEvidence(
                _without_own(totals, own),
                _without_own(same_registry.get(worker_id, own), own),
                known.first_reported_at if known is not None else now,
            )
        self._remote = remote
        self._remote_expires_at = now + REMOTE_EVIDENCE_LIFETIME_SECONDS

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
        """Return all workers that may be ejected."""
        return self._failed_here | self._remote.keys() | self._ejections.keys()

    def failure_rate(self, now: float, worker_id: str, proxy_count: int) -> float:
        """Return the worker's failure rate if it is high enough for an ejection, else 0."""
        failures, requests = self._local_counts(now, worker_id)
        rate = 0.0
        if failures >= MIN_LOCAL_FAILURES and failures / (requests + PRIOR_SUCCESSES) >= MIN_FAILURE_RATE:
            rate = failures / (requests + PRIOR_SUCCESSES)
        remote = self._remote.get(worker_id)
        if remote is None or now > self._remote_expires_at:
            return rate
        if now - remote.first_reported_at < REPORT_DELAY_SECONDS:
            return rate
        for evidence in (remote.everywhere, remote.same_registry):
            reporters = evidence.reporters + (failures >= MIN_REPORTED_REQUESTS)
            all_failures = evidence.failures + min(failures, MAX_REPORTED_FAILURES)
            all_requests = evidence.requests + requests
            if all_failures >= MIN_FAILURES and reporters >= min(MIN_REPORTERS, proxy_count):
                all_rate = all_failures / (all_requests + PRIOR_SUCCESSES)
                rate = max(rate, all_rate if all_rate >= MIN_FAILURE_RATE else 0.0)
        return rate

    def ejected_workers(self, now: float, group: Mapping[str, WorkerLoad], proxy_count: int) -> set[str]:
        """Decide which workers of `group` (a service's workers in one region) are ejected."""
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
        """Failure rates of workers to eject, 1 for ejected ones; also drops old ejections."""
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
        """Start an ejection, unless the worker is ejected."""
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


def _without_own(totals: FailureTotals, own: FailureTotals) -> _FailureEvidence:
    """Evidence of other proxies. Totals are older than `own`, so that `own` may be larger."""
    return _FailureEvidence(
        max(0, totals.failures - own.failures) / REPORT_SCALE,
        max(0, totals.requests - own.requests) / REPORT_SCALE,
        max(0, totals.reporters - own.reporters),
    )
