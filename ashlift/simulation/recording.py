"""Records digests of simulated histories, and compares them with a previous recording.

`python -m ashlift.simulation record` is a regression check for refactorings. The same scenario and seed give
the same history: the bytes of each call between processes and of its answer, what each client and operator
sees, and what is stored on each disk. Some messages list a set in its hash order, so plays run with
`PYTHONHASHSEED=0`.

`record` writes a new recording. `record --check` compares with the recording, and prints the first section
that differs for each play. `record --play NAME --dump FILE` writes the entries of one play as text, to
compare two versions of the code. `--part COUNT` selects that many plays, evenly spaced.
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

from ashlift.simulation import random_faults, severe_faults
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
    """A simulation that is recorded: its name, scenario and seed."""

    name: str
    scenario: Callable[[], Scenario]
    seed: int | None = None


def _scenario_from_file(path: Path, number: int) -> Callable[[], Scenario]:
    return lambda: read_scenarios(path)[number]


def recorded_plays(scenarios: Path = SCENARIOS) -> Iterator[RecordedPlay]:
    """Yield all plays in their order: random faults, severe faults, and the scenarios of files."""
    for seed in range(1, RANDOM_FAULT_PLAYS + 1):
        yield RecordedPlay(f"chance {seed}", lambda seed=seed: random_faults.random_scenario(seed), seed)  # type: ignore[misc]
    for seed in range(1, SEVERE_FAULT_PLAYS + 1):
        yield RecordedPlay(f"worst {seed}", lambda seed=seed: severe_faults.random_scenario(seed), seed)  # type: ignore[misc]
    for pattern in SCENARIO_FILES:
        for path in sorted(scenarios.glob(pattern)):
            for number in range(len(read_scenarios(path))):
                yield RecordedPlay(f"{path.stem} {number + 1}", _scenario_from_file(path, number))


def evenly_spaced(names: list[str], count: int) -> list[str]:
    """Return `count` of the names, evenly spaced."""
    step = len(names) / max(1, min(count, len(names)))
    return [names[int(number * step)] for number in range(min(count, len(names)))]


def record_play(name: str, dump: TextIO | None = None) -> Summary:
    """Simulate the play with this name and return its digests."""
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
    """Yield the digests of the named plays in their order, computed by `jobs` processes."""
    if jobs == 1:
        yield from map(_named_record, names)
        return
    with Pool(jobs) as pool:
        yield from pool.imap(_named_record, names)


def difference(old: Summary, new: Summary) -> str:
    """Describe the first section that differs, in the order of `SECTIONS`; "" if none does."""
    for section in SECTIONS:
        if old[section] != new[section]:
            before = old[section]["count"]
            now = new[section]["count"]
            return f"{section}: {before} entries before, {now} now" + (
                "" if before != now else ", other values"
            )
    return ""


def read_record(path: Path = RECORD) -> dict[str, Summary]:
    """Return the recorded digests by the name of the play."""
    record: dict[str, Summary] = json.loads(path.read_text())
    return record


def _write(path: Path, record: dict[str, Summary]) -> None:
    """Write one line for each section, so that a diff of two recordings shows which differ."""
    plays = []
    for name, summary in record.items():
        lines = [f"    {json.dumps(section)}: {json.dumps(digest)}" for section, digest in summary.items()]
        plays.append(f"  {json.dumps(name)}: {{\n" + ",\n".join(lines) + "\n  }")
    path.write_text("{\n" + ",\n".join(plays) + "\n}\n")


def _check(names: list[str], jobs: int, path: Path) -> int:
    """Compare with the recording; returns the exit status."""
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
    """Run the command, in a child process unless `PYTHONHASHSEED` is set as required."""
    if os.environ.get("PYTHONHASHSEED") == HASH_SEED:
        return _main(arguments)
    command = [sys.executable, "-m", __package__, "record", *arguments]
    return subprocess.call(command, env={**os.environ, "PYTHONHASHSEED": HASH_SEED})


def _main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog=f"python -m {__package__} record", description="Record digests of simulated histories."
    )
    parser.add_argument("--check", action="store_true", help="compare with the recording, and write nothing")
    parser.add_argument("--part", type=int, metavar="COUNT", help="number of plays, evenly spaced")
    parser.add_argument("--play", action="append", metavar="NAME", help="only this play; may be repeated")
    parser.add_argument("--jobs", type=int, default=1, help="number of processes")
    parser.add_argument("--record", type=Path, default=RECORD, metavar="FILE", help="file of the recording")
    parser.add_argument(
        "--dump", type=Path, metavar="FILE", help="write the entries of one play to this file, a line each"
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
