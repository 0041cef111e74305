"""`python -m ashlift.simulation SCENE... [--seeds N] [--first SEED] [--shrink]`: plays scene files.

`python -m ashlift.simulation --chance|--worst [--seeds N]`: runs by chance, `worst` with every trouble.
Prints the first breach of each that fails, and the shortest schedule found that still fails; the exit status
is 1 then.

`python -m ashlift.simulation explore [CASE...] [--most N] [--cells N]`: all ways of a few members of the
store. `python -m ashlift.simulation members SIZE... [--seeds N] [--turnover SHARE]`: many of them in long
worlds by chance. `python -m ashlift.simulation record [--check]`: records what is played, or compares it with
the record. `python -m ashlift.simulation --figures failover|repair|catching [--seeds N] [--jobs N]`: a table,
least, median, most.
"""

import argparse
import sys
import time

from ashlift.simulation import catching, explore, recording, turnover, worst_days
from ashlift.simulation.checkers.rules import explain
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.figures import TABLES
from ashlift.simulation.random_faults import random_scenario
from ashlift.simulation.scenario import Scenario, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.shrinking import shrink


def main(arguments: list[str]) -> int:
    if arguments[:1] == ["explore"]:
        return explore.main(arguments[1:])
    if arguments[:1] == ["members"]:
        return turnover.main(arguments[1:])
    if arguments[:1] == ["record"]:
        return recording.main(arguments[1:])
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation", description=__doc__.splitlines()[0] if __doc__ else ""
    )
    parser.add_argument("scenes", nargs="*", metavar="SCENE", help="files of scenes")
    parser.add_argument("--chance", action="store_true", help="faults by chance instead of a file")
    parser.add_argument("--worst", action="store_true", help="worst days by chance")
    parser.add_argument("--figures", choices=[*TABLES, "catching"], help="print a table of times")
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--jobs", type=int, default=1, help="processes that reckon figures")
    parser.add_argument("--first", type=int, default=None, help="the first seed")
    parser.add_argument("--edge", type=int, default=11, help="gatekeepers of runs by chance")
    parser.add_argument("--until", type=float, default=30.0, help="s of runs by chance")
    parser.add_argument("--shrink", action="store_true", help="shorten what fails")
    told = parser.parse_args(arguments)
    failed = 0
    if told.figures:
        begin, table = told.first or 1, {**TABLES, "catching": catching.table}[told.figures]
        for line in table(range(begin, begin + told.seeds), told.jobs):
            print(line, flush=True)
    if told.chance:
        begin = told.first or 1
        for seed in range(begin, begin + told.seeds):
            failed += played(random_scenario(seed, told.edge, told.until), seed, told.shrink)
    if told.worst:
        begin = told.first or 1
        for seed in range(begin, begin + told.seeds):
            failed += played(worst_days.random_scenario(seed), seed, told.shrink)
    for path in told.scenes:
        for scene in read_scenarios(path):
            begin = told.first if told.first is not None else scene.plan.seed
            for seed in range(begin, begin + told.seeds):
                failed += played(scene, seed, told.shrink)
    return 1 if failed else 0


def played(scene: Scenario, seed: int, shorten: bool) -> bool:
    """Play it and tell; whether it failed."""
    began = time.perf_counter()
    play = ScenarioPlayer(scene, seed)
    found = play.run()
    took = time.perf_counter() - began
    told = explain(found) if isinstance(found, Violation) else found
    print(
        f"{scene.title}, seed {seed}: {told or 'well'} ({play.world.loop.now:g} s in {took:.2f} s)",
        flush=True,
    )
    if found is not None and shorten:
        print(shrink(scene, seed).to_text(), flush=True)
    return found is not None


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
