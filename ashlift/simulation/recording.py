"""Digests of what the simulator plays, which every later tree must repeat: `... ashlift.simulation record`.

The same scene and seed give the same history, so a change that is to change nothing must repeat all of it:
the bytes of each call between processes and of its answer, what each client and operator sees, what becomes
durable on each disk. Recorded are values only, never the names of classes, attributes or programs: these may
change. Some messages list a set in the order of its hashes, so all is played with `PYTHONHASHSEED=0`.

`record` writes the record anew; `record --check` compares with it, and names of each play that differs the
first section that does. `record --play NAME --dump FILE` writes what happens in one play as lines of text, so
that those of two trees can be compared. `--part COUNT` takes so many plays, spread over all of them.
"""

import argparse
import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator
from multiprocessing import Pool
from pathlib import Path
from typing import Final, TextIO

from attrs import define

from ashlift.simulation import random_faults, worst_days
from ashlift.simulation.network import as_simulated
from ashlift.simulation.plan import Plan
from ashlift.simulation.recorder import SECTIONS, Recorder, Summary
from ashlift.simulation.scenario import Scenario, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.world import World

ROOT: Final = Path(__file__).parents[2]
SCENARIOS: Final = ROOT / "tests" / "scenarios"
RECORD: Final = ROOT / "tests" / "simulation" / "recorded_histories.json"
SCENARIO_FILES: Final = ("open_*.txt", "orders_*.txt", "system_*.txt")
HASH_SEED: Final = "0"
RANDOM_FAULT_PLAYS: Final = 20
SEVERE_FAULT_PLAYS: Final = 20


@define(frozen=True)
class RecordedPlay:
    """One play of the record by its name, with the seed and the scenario that are played."""

    name: str
    scenario: Callable[[], Scenario]
    seed: int | None = None


def _scenario_from_file(path: Path, number: int) -> Callable[[], Scenario]:
    return lambda: read_scenarios(path)[number]


def recorded_plays(scenarios: Path = SCENARIOS) -> Iterator[RecordedPlay]:
    """All plays of the record in their order: random faults, worst days, and the scenarios of files."""
    for seed in range(1, RANDOM_FAULT_PLAYS + 1):
        yield RecordedPlay(f"chance {seed}", lambda seed=seed: random_faults.random_scenario(seed), seed)  # type: ignore[misc]
    for seed in range(1, SEVERE_FAULT_PLAYS + 1):
        yield RecordedPlay(f"worst {seed}", lambda seed=seed: worst_days.random_scenario(seed), seed)  # type: ignore[misc]
    for pattern in SCENARIO_FILES:
        for path in sorted(scenarios.glob(pattern)):
            for number in range(len(read_scenarios(path))):
                yield RecordedPlay(f"{path.stem} {number + 1}", _scenario_from_file(path, number))


def evenly_spaced(names: list[str], count: int) -> list[str]:
    """So many of them, spread evenly."""
    step = len(names) / max(1, min(count, len(names)))
    return [names[int(number * step)] for number in range(min(count, len(names)))]


def record_play(name: str, dump: TextIO | None = None) -> Summary:
    """Play one of `recorded_plays` by its name, and digest what happens."""
    play = next(one for one in recorded_plays() if one.name == name)
    recorder = Recorder(dump)

    def observed_world(plan: Plan) -> World:
        world = World(plan)
        as_simulated(world.net).observer = recorder
        return world

    player = ScenarioPlayer(play.scenario(), play.seed, observed_world)
    failure = player.run()
    recorder.ended(player, failure is None)
    return recorder.summary()


def _named_record(name: str) -> tuple[str, Summary]:
    return name, record_play(name)


def record_plays(names: list[str], jobs: int = 1) -> Iterator[tuple[str, Summary]]:
    """The plays of these names in their order, `jobs` processes at a time."""
    if jobs == 1:
        yield from map(_named_record, names)
        return
    with Pool(jobs) as pool:
        yield from pool.imap(_named_record, names)


def difference(old: Summary, new: Summary) -> str:
    """The first section that differs, in the order of `SECTIONS`; "" where all are equal."""
    for section in SECTIONS:
        if old[section] != new[section]:
            before = old[section]["count"]
            now = new[section]["count"]
            return f"{section}: {before} entries before, {now} now" + (
                "" if before != now else ", other values"
            )
    return ""


def read_record(path: Path = RECORD) -> dict[str, Summary]:
    """The plays' digests by their names."""
    record: dict[str, Summary] = json.loads(path.read_text())
    return record


def _write(path: Path, record: dict[str, Summary]) -> None:
    """A line each section, so that a difference between two records shows where it is."""
    plays = []
    for name, summary in record.items():
        lines = [f"    {json.dumps(section)}: {json.dumps(digest)}" for section, digest in summary.items()]
        plays.append(f"  {json.dumps(name)}: {{\n" + ",\n".join(lines) + "\n  }")
    path.write_text("{\n" + ",\n".join(plays) + "\n}\n")


def _check(names: list[str], jobs: int, path: Path) -> int:
    """Compare with the record; the exit status."""
    recorded = read_record(path)
    failed = 0
    for name, summary in record_plays(names, jobs):
        problem = difference(recorded[name], summary) if name in recorded else "not in the record"
        if problem:
            failed += 1
            print(f"{name}: {problem}", flush=True)
    print(f"{len(names) - failed} of {len(names)} plays as recorded")
    return 1 if failed else 0


def main(arguments: list[str]) -> int:
    """The command, in a process of its own where the order of hashes is not the one of the record."""
    if os.environ.get("PYTHONHASHSEED") == HASH_SEED:
        return _main(arguments)
    command = [sys.executable, "-m", __package__, "record", *arguments]
    return subprocess.call(command, env={**os.environ, "PYTHONHASHSEED": HASH_SEED})


def _main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog=f"python -m {__package__} record", description="Record what is played."
    )
    parser.add_argument("--check", action="store_true", help="compare with the record, and write nothing")
    parser.add_argument("--part", type=int, metavar="COUNT", help="so many plays, spread over all")
    parser.add_argument("--play", action="append", metavar="NAME", help="these plays only")
    parser.add_argument("--jobs", type=int, default=1, help="processes that play")
    parser.add_argument("--record", type=Path, default=RECORD, metavar="FILE", help="the record")
    parser.add_argument(
        "--dump", type=Path, metavar="FILE", help="write one play's entries there, a line each"
    )
    options = parser.parse_args(arguments)
    names = options.play or [play.name for play in recorded_plays()]
    if options.part is not None:
        names = evenly_spaced(names, options.part)
    if options.dump is not None:
        with options.dump.open("w") as dump:
            record_play(names[0], dump)
        return 0
    if options.check:
        return _check(names, options.jobs, options.record)
    record = dict(record_plays(names, options.jobs))
    _write(options.record, record)
    print(f"{len(record)} plays recorded")
    return 0
