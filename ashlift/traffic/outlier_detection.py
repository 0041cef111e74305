"""Which workers fail too often, by what all gatekeepers have seen together. Pure; times are seconds.

In thin traffic one gatekeeper sends a worker a request in many seconds, and learns of its failures too late.
So each tells how many of its requests there failed of late, of how many, for the workers at which any failed
or others say so (`failure_counts`); the sums of all come back (`record_failure_totals`). A worker that fails
far too often is ejected: it goes after all others. A gatekeeper that errs cannot take a service away: two
must have seen failures, each counts for a few, and at most a fifth of a service's workers in a region is out.
"""

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

FADE_S = 4.0  # in which evidence grows old
FAULTS = 2.5  # so many failures at least,
RATE = 0.12  # and so large a part of the requests: the worker is out
PRIOR = 2.0  # requests that count as well done at each worker
REPORTERS = 2  # so many have seen failures; fewer where there are fewer
ALONE = 3.0  # so many failures of one's own are enough for oneself
EACH_MOST = 4.0  # failures that one gatekeeper counts for
ASKED_S = 0.7  # from the first word of a worker until others' good answers there are known as well
HOLD_S, HOLD_MOST_S = 5.0, 20.0  # out for so long, doubled each time,
AGAIN_S = 20.0  # unless it did well for so long in between
PART = 0.2  # of the workers of a service in a region, at most, are out
ROOM = 0.8  # of the slots that are left, so many may be taken
LEAST = 0.3  # failures, below which a worker is not worth a word
GRAIN = 10  # counts are told in tenths

Counts = tuple[int, int, int]  # failures and requests in tenths, and who has seen failures


@dataclass(slots=True)
class Seen:
    """Own evidence of one worker, as of `at`."""

    faults: float = 0.0
    runs: float = 0.0
    at: float = -math.inf

    def now(self, now: float) -> tuple[float, float]:
        faded = math.exp(-(now - self.at) / FADE_S)
        return self.faults * faded, self.runs * faded


@dataclass(slots=True)
class Told:
    """What others have seen of a worker: all of them, and those near."""

    all: tuple[float, float, int]
    near: tuple[float, float, int]
    since: float  # it has been spoken of


@dataclass(slots=True)
class Ejection:
    until: float
    hold: float


class OutlierDetector:
    def __init__(self) -> None:
        self._own: dict[str, Seen] = {}
        self._told: dict[str, Told] = {}
        self._out: dict[str, Ejection] = {}
        self._failed: set[str] = set()  # by own evidence

    # ---- evidence

    def record_result(self, now: float, worker: str, fault: float) -> None:
        """A request of ours there ended: 0 well, 1 badly."""
        seen = self._own.setdefault(worker, Seen())
        faults, runs = seen.now(now)
        seen.faults, seen.runs, seen.at = faults + fault, runs + 1.0, now
        if fault:
            self._failed.add(worker)

    def failure_counts(self, now: float) -> dict[str, list[int]]:
        """By worker, failures and requests to be told, in tenths: of those that failed here or elsewhere."""
        found = {}
        for worker in self._failed | self._told.keys():
            seen = self._own.get(worker)
            faults, runs = seen.now(now) if seen is not None else (0.0, 0.0)
            if faults < LEAST:
                self._failed.discard(worker)
            if runs >= LEAST:
                part = min(1.0, EACH_MOST / faults) if faults else 1.0
                found[worker] = [round(faults * part * GRAIN), round(runs * part * GRAIN)]
        return found

    def record_failure_totals(
        self,
        now: float,
        every: Mapping[str, Counts],
        near: Mapping[str, Counts],
        ours: Mapping[str, Sequence[int]],
    ) -> None:
        """The sums of all, and those of the registry that we pull from; `ours` of them."""
        told: dict[str, Told] = {}
        for worker in every:
            failed, ran = ours.get(worker, (0, 0))
            mine = failed, ran, int(failed >= LEAST * GRAIN)
            known = self._told.get(worker)
            told[worker] = Told(
                _less(every[worker], mine),
                _less(near.get(worker, mine), mine),
                known.since if known is not None else now,
            )
        self._told = told

    # ---- verdicts

    def suspects(self) -> set[str]:
        """All workers that may be out."""
        return self._failed | self._told.keys() | self._out.keys()

    def failure_rate(self, now: float, worker: str, members: int) -> float:
        """The part of its requests that it fails, where that is far too many; 0: it is not."""
        seen = self._own.get(worker)
        faults, runs = seen.now(now) if seen is not None else (0.0, 0.0)
        found = 0.0
        if faults >= ALONE and faults / (runs + PRIOR) >= RATE:
            found = faults / (runs + PRIOR)
        told = self._told.get(worker)
        if told is None or now - told.since < ASKED_S:
            return found
        for others in (told.all, told.near):
            reporters = others[2] + (faults >= LEAST)
            failed, ran = others[0] + min(faults, EACH_MOST), others[1] + runs
            if failed >= FAULTS and reporters >= min(REPORTERS, members):
                rate = failed / (ran + PRIOR)
                found = max(found, rate if rate >= RATE else 0.0)
        return found

    def ejected_workers(self, now: float, group: Mapping[str, tuple[int, float]], members: int) -> set[str]:
        """Who is out of a service's workers in one region: `group` has their slots and requests there."""
        rates: dict[str, float] = {}
        for worker in self.suspects():
            if worker not in group:
                continue
            sentence = self._out.get(worker)
            if sentence is not None and now < sentence.until:
                rates[worker] = 1.0
            elif rate := self.failure_rate(now, worker, members):
                rates[worker] = rate
            elif sentence is not None and now - sentence.until > AGAIN_S:
                del self._out[worker]
        if not rates:
            return set()
        most = math.ceil(PART * len(group)) if len(group) > 1 else 0
        slots = sum(one[0] for one in group.values())
        busy = sum(one[1] for one in group.values())
        found: set[str] = set()
        for worker in sorted(rates, key=lambda one: -rates[one])[:most]:
            slots -= group[worker][0]
            if busy > ROOM * slots:
                break
            found.add(worker)
            sentence = self._out.get(worker)
            if sentence is None or now >= sentence.until:
                hold = HOLD_S if sentence is None else min(HOLD_MOST_S, 2 * sentence.hold)
                self._out[worker] = Ejection(now + hold, hold)
        return found

    def retain_workers(self, workers: Iterable[str]) -> None:
        """Forget all others: they are gone."""
        kept = set(workers)
        self._own = {worker: seen for worker, seen in self._own.items() if worker in kept}
        self._out = {worker: one for worker, one in self._out.items() if worker in kept}
        self._failed &= kept


def _less(counts: Counts, mine: Counts) -> tuple[float, float, int]:
    return (
        max(0, counts[0] - mine[0]) / GRAIN,
        max(0, counts[1] - mine[1]) / GRAIN,
        max(0, counts[2] - mine[2]),
    )
