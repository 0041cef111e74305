"""`python -m ashlift.simulation SCENE... [--seeds N] [--first SEED] [--shrink]`: runs scenario files.

`python -m ashlift.simulation --chance|--worst [--seeds N]`: random scenarios, `--worst` with every kind of
fault. Prints the first violation of each scenario that fails, and with `--shrink` a shortened scenario that
still fails; the exit status is then 1.

`python -m ashlift.simulation explore [CASE...] [--most N] [--cells N]`: model-checks a few store replicas.
`python -m ashlift.simulation members SIZE... [--seeds N] [--turnover SHARE]`: runs many replicas in random
worlds. `python -m ashlift.simulation record [--check]`: records histories, or compares runs with the recorded
ones. `python -m ashlift.simulation --figures failover|repair|catching [--seeds N] [--jobs N]`: prints a table
of minimum, median and maximum.
"""

import argparse
import sys
import time
from collections.abc import Callable, Iterator
from typing import Final

from attrs import frozen

from ashlift.simulation import explore, random_replica_worlds, recording, severe_faults
from ashlift.simulation.catch_up_figures import catch_up_table
from ashlift.simulation.checkers.rules import explain
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.failover_figures import failover_table
from ashlift.simulation.random_faults import random_scenario
from ashlift.simulation.repair_figures import repair_table
from ashlift.simulation.scenario import Scenario, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.shrinking import shrink

Table = Callable[[range, int], Iterator[str]]  # from seeds and the number of processes

SUBCOMMANDS: Final[dict[str, Callable[[list[str]], int]]] = {
    "explore": explore.main,
    "members": random_replica_worlds.main,
    "record": recording.main,
}
FIGURE_TABLES: Final[dict[str, Table]] = {
    "failover": failover_table,
    "repair": repair_table,
    "catching": catch_up_table,
}


@frozen
class ScenarioRun:
    """A scenario and the seed to run it with."""

    scenario: Scenario
    seed: int


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit status."""
    if arguments and arguments[0] in SUBCOMMANDS:
        return SUBCOMMANDS[arguments[0]](arguments[1:])
    options = _parser().parse_args(arguments)
    if options.figures:
        for line in FIGURE_TABLES[options.figures](_seeds(options), options.jobs):
            print(line, flush=True)
    failed = [run for run in _scenario_runs(options) if not _passes(run, options.shrink)]
    return 1 if failed else 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation", description=__doc__.splitlines()[0] if __doc__ else ""
    )
    parser.add_argument("scenes", nargs="*", metavar="SCENE", help="scenario files")
    parser.add_argument("--chance", action="store_true", help="random faults instead of a file")
    parser.add_argument("--worst", action="store_true", help="random scenarios with every kind of fault")
    parser.add_argument("--figures", choices=list(FIGURE_TABLES), help="print a table of times")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--jobs", type=int, default=1, help="number of processes that measure")
    parser.add_argument("--first", type=int, default=None, help="the first seed")
    parser.add_argument("--edge", type=int, default=11, help="proxies in random faults")
    parser.add_argument("--until", type=float, default=30.0, help="duration of random scenarios in seconds")
    parser.add_argument("--shrink", action="store_true", help="shorten failing scenarios")
    return parser


def _seeds(options: argparse.Namespace) -> range:
    first = options.first or 1
    return range(first, first + options.seeds)


def _scenario_runs(options: argparse.Namespace) -> Iterator[ScenarioRun]:
    if options.chance:
        for seed in _seeds(options):
            yield ScenarioRun(random_scenario(seed, options.edge, options.until), seed)
    if options.worst:
        for seed in _seeds(options):
            yield ScenarioRun(severe_faults.random_scenario(seed), seed)
    for path in options.scenes:
        for scenario in read_scenarios(path):
            first = scenario.plan.seed if options.first is None else options.first
            for seed in range(first, first + options.seeds):
                yield ScenarioRun(scenario, seed)


def _passes(run: ScenarioRun, shorten: bool) -> bool:
    """Run the scenario and print its result."""
    started = time.perf_counter()
    player = ScenarioPlayer(run.scenario, run.seed)
    failure = player.run()
    elapsed = time.perf_counter() - started
    verdict = explain(failure) if isinstance(failure, Violation) else failure
    simulated_seconds = player.world.loop.now
    print(
        f"{run.scenario.title}, seed {run.seed}: {verdict or 'well'} "
        f"({simulated_seconds:g} s in {elapsed:.2f} s)",
        flush=True,
    )
    if failure is not None and shorten:
        print(shrink(run.scenario, run.seed).to_text(), flush=True)
    return failure is None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
