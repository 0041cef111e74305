"""The parts of the record, each measured over a range of sizes: `cores`, `compare` and `run`.

The maps have the form of docs/capacity/scale.json: measurements by size.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

from benchmarks.scale.comparison import compare_proxies
from benchmarks.scale.recorded_runs import FEW_OBJECTS, IN_PROPORTION
from benchmarks.scale.recorder import CHECKOUT
from benchmarks.scale.run import run_at_size
from benchmarks.scale.run_options import RunOptions
from benchmarks.scale.sizes import TARGET_SIZE

Json = dict[str, Any]
PROPORTIONAL_PROXY_COUNTS: Final = (30, 100, 300)
COMPARED_PROXY_COUNTS: Final = (30, 100)
FEW_OBJECTS_OF_KIND: Final = 100
FEW_WORKERS: Final = 1000
STARTS_PER_SECOND: Final = 60.0  # of simulated proxies, in runs with few objects
CONCURRENT_SIZES: Final = 2
MAX_PROXIES_OF_TWO_PROCESSES: Final = 300


def measure_cores(sizes: tuple[int, ...], repeats: int) -> Json:
    """Measure the code without I/O, each size in a separate process, largest first."""

    def measure_size(size: int) -> Json:
        arguments = ["-m", "benchmarks.scale", "core", "--sizes", str(size), "--repeats", str(repeats)]
        completed = subprocess.run(
            [sys.executable, *arguments], cwd=CHECKOUT, capture_output=True, text=True, check=True
        )
        _print_progress(f"cores of {size}")
        return {**json.loads(completed.stdout), "load": os.getloadavg()[0]}

    largest_first = sizes[::-1]
    with ThreadPoolExecutor(CONCURRENT_SIZES) as executor:
        by_size = dict(zip(largest_first, executor.map(measure_size, largest_first), strict=True))
    return {str(size): by_size[size] for size in sizes}


def measure_compare(sizes: tuple[int, ...]) -> Json:
    """Compare simulated proxies with real ones."""
    return {str(size): compare_proxies(size, RunOptions(proxy_hosts=1), _print_progress) for size in sizes}


def measure_quick_runs(sizes: tuple[int, ...], _core_machines: int, write: Callable[[Json], None]) -> None:
    """Short runs, which only verify that the measurement works."""
    options = RunOptions(
        window_seconds=0.5,
        stabilize_seconds=0.3,
        core_machines=1,
        real_proxies=1,
        proxy_hosts=1,
        request_rate_factors=(0.0, 1.0),
        worker_restarts_per_second=0.0,
        measure_core_loss=False,
    )
    runs = {str(size): run_at_size(TARGET_SIZE.scaled_to(size), options, _print_progress) for size in sizes}
    write({IN_PROPORTION: runs, FEW_OBJECTS: {}})


def measure_runs(sizes: tuple[int, ...], core_machines: int, write: Callable[[Json], None]) -> None:
    """Runs with everything in proportion, then runs with few objects.

    `write` is called after each size, so that a failed run does not lose earlier results.
    """
    runs: Json = {IN_PROPORTION: {}, FEW_OBJECTS: {}}
    for size in sizes:
        if size in PROPORTIONAL_PROXY_COUNTS:
            _print_progress(f"{size} gatekeepers, all in proportion")
            runs[IN_PROPORTION][str(size)] = _measure_run(size, RunOptions(core_machines=core_machines))
            write(runs)
    for size in sizes:
        _print_progress(f"{size} gatekeepers, few objects")
        options = RunOptions(
            core_machines=core_machines,
            max_objects=FEW_OBJECTS_OF_KIND,
            max_workers=FEW_WORKERS,
            starts_per_second=STARTS_PER_SECOND,
            real_proxies=1,
            proxy_hosts=2 if size <= MAX_PROXIES_OF_TWO_PROCESSES else 3,
        )
        runs[FEW_OBJECTS][str(size)] = _measure_run(size, options)
        write(runs)


def _measure_run(size: int, options: RunOptions) -> Json:
    run = run_at_size(TARGET_SIZE.scaled_to(size), options, _print_progress)
    _print_progress(f"  broken: {run['broken']}")
    return run


def _print_progress(line: str) -> None:
    print(line, flush=True)
