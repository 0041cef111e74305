"""The parts of the record, each measured over a range of sizes: `cores`, `compare` and `run`.

Maps are those of docs/capacity/scale.json: size -> what was measured.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

from benchmarks.scale.recorded_runs import FEW_OBJECTS, IN_PROPORTION
from benchmarks.scale.recorder import CHECKOUT
from benchmarks.scale.runs import compare, play
from benchmarks.scale.site import Options
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
    """The pure parts, each size in a process of its own, the largest first."""

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
    """Simulated proxies beside real ones."""
    return {str(size): compare(size, Options(hosts=1), _print_progress) for size in sizes}


def measure_quick_runs(sizes: tuple[int, ...], _core_machines: int, write: Callable[[Json], None]) -> None:
    """Runs that are as short as can be and show only that the measurement works."""
    options = Options(
        window=0.5, settle=0.3, core=1, real=1, hosts=1, rates=(0.0, 1.0), churn=0.0, losses=False
    )
    runs = {str(size): play(TARGET_SIZE.scaled_to(size), options, _print_progress) for size in sizes}
    write({IN_PROPORTION: runs, FEW_OBJECTS: {}})


def measure_runs(sizes: tuple[int, ...], core_machines: int, write: Callable[[Json], None]) -> None:
    """Everything in proportion, then few objects.

    `write` is called after each size, so that a run that fails does not lose those before it.
    """
    runs: Json = {IN_PROPORTION: {}, FEW_OBJECTS: {}}
    for size in sizes:
        if size in PROPORTIONAL_PROXY_COUNTS:
            _print_progress(f"{size} gatekeepers, all in proportion")
            runs[IN_PROPORTION][str(size)] = _measure_run(size, Options(core=core_machines))
            write(runs)
    for size in sizes:
        _print_progress(f"{size} gatekeepers, few objects")
        options = Options(
            core=core_machines,
            word=FEW_OBJECTS_OF_KIND,
            workers=FEW_WORKERS,
            a_second=STARTS_PER_SECOND,
            real=1,
            hosts=2 if size <= MAX_PROXIES_OF_TWO_PROCESSES else 3,
        )
        runs[FEW_OBJECTS][str(size)] = _measure_run(size, options)
        write(runs)


def _measure_run(size: int, options: Options) -> Json:
    run = play(TARGET_SIZE.scaled_to(size), options, _print_progress)
    _print_progress(f"  broken: {run['broken']}")
    return run


def _print_progress(line: str) -> None:
    print(line, flush=True)
