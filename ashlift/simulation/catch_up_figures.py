"""Table of how long a restarted store takes to catch up while changes continue, and what it costs."""

from collections.abc import Iterator
from multiprocessing import Pool
from typing import Any, Final

from ashlift.simulation.catch_up_world import (
    EMPTY_DISK,
    INTACT_DISK,
    TORN_DISK,
    CatchUpCase,
    CatchUpResult,
    measure_catch_up,
)
from ashlift.simulation.spread import Spread

COLUMNS: Final = (
    "level, s",
    "late after, s",
    "kB sent to it",
    "calls",
    "leader, ms a change",
    "acknowledged",
)
RATES: Final = (1.0, 10.0, 20.0)
FAR_SECONDS: Final = 0.04

# Settings of the case of each row; the measured store is in another region than the leader.
ROWS: Final[dict[str, dict[str, Any]]] = {
    f"{disk}, 500 changes away; {rate:g} a second": {"disk": disk, "rate": rate}
    for disk in (INTACT_DISK, EMPTY_DISK, TORN_DISK)
    for rate in RATES
} | {
    "disk, far (50 ms each way), 500 away; 20 a second": {"rate": 20.0, "extra_delay": FAR_SECONDS},
    "wiped, far (50 ms each way), 500 away; 20 a second": {
        "rate": 20.0,
        "extra_delay": FAR_SECONDS,
        "disk": EMPTY_DISK,
    },
    "disk, another leader meanwhile, 500 away; 10 a second": {"leader_restarts": True},
    "disk, 2,000 away, 4,000 routes; 20 a second": {"rate": 20.0, "routes": 4000, "changes": 2000},
    "wiped, 2,000 away, 4,000 routes; 20 a second": {
        "rate": 20.0,
        "routes": 4000,
        "changes": 2000,
        "disk": EMPTY_DISK,
    },
    "disk, 100 away of 300 routes each, 4,000 routes; 10 a second": {
        "routes": 4000,
        "changes": 100,
        "routes_per_change": 300,
    },
    "wiped, routes of 1 KB, 4,000 of them, 2 Mbit/s; 10 a second": {
        "routes": 4000,
        "changes": 100,
        "route_bytes": 1000,
        "link_mbit": 2.0,
        "disk": EMPTY_DISK,
        "observed_seconds": 25.0,
    },
}


def catch_up_table(seeds: range, jobs: int) -> Iterator[str]:
    """Yield the lines of a Markdown table with the minimum, median and maximum of each column."""
    yield f"| {len(seeds)} seeds; least, **median**, most | {' | '.join(COLUMNS)} |"
    yield "| --- | --- | --- | --- | --- | --- | --- |"
    cases = [CatchUpCase(**{**settings, "seed": seed}) for settings in ROWS.values() for seed in seeds]
    with Pool(jobs) as pool:
        results = pool.imap(measure_catch_up, cases, chunksize=1)
        for name in ROWS:
            yield _row(name, [next(results) for _ in seeds])


def _row(name: str, results: list[CatchUpResult]) -> str:
    spreads = [
        Spread([result.caught_up_after for result in results]),
        Spread([result.worst_lag for result in results]),
        Spread([result.sent_bytes / 1000 for result in results]),
        Spread([float(result.sent_calls) for result in results]),
        Spread([result.leader_ms for result in results]),
    ]
    acknowledged = sum(result.acknowledged_after for result in results)
    expected = sum(result.expected_after for result in results)
    return f"| {name} | {' | '.join(map(str, spreads))} | {acknowledged} of {expected} |"
