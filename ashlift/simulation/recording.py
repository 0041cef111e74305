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
import hashlib
import json
import os
import subprocess
import sys
from collections.abc import Callable, Iterator, Mapping
from multiprocessing import Pool
from pathlib import Path
from typing import Any, Final, TextIO

import cbor2
from attrs import define

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE as EDITS
from ashlift.errors import Failure
from ashlift.simulation import random_faults, worst_days
from ashlift.simulation.history import FaultInterval, History
from ashlift.simulation.network import as_simulated
from ashlift.simulation.observer import Observer
from ashlift.simulation.plan import Plan
from ashlift.simulation.process import Process
from ashlift.simulation.scenario import Scenario, read_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.world import World

ROOT: Final = Path(__file__).parents[2]
SCENARIOS: Final = ROOT / "tests" / "scenarios"
RECORD: Final = ROOT / "tests" / "simulation" / "recorded_histories.json"
SCENARIO_FILES: Final = ("open_*.txt", "orders_*.txt", "system_*.txt")
HASH_SEED: Final = "0"
CHANCE_DAYS: Final = 20
WORST_DAYS: Final = 20
# Methods whose names and bodies go over a wire as they are. All others stand for HTTP requests, in the
# simulator alone: the keys of their bodies are left out, and their names are numbered by their first use.
WIRE_METHODS: Final = frozenset(
    ["append", "drafts", "join", "pull", "read", "request_vote", "submit", "succeed", "swap", "watch"]
)
SECTIONS: Final = ("calls", "faults", "disks", "tries", "requests", "operators", "workers", "machines", "end")

Summary = dict[str, dict[str, int | str]]  # section -> `count` of its entries, and their `sha256`


def values_of(body: Any) -> Any:
    """The values of a body without the keys of its mappings."""
    if isinstance(body, Mapping):
        return [values_of(value) for value in body.values()]
    if isinstance(body, list | tuple):
        return [values_of(value) for value in body]
    return body


class Numbers:
    """Numbers names in the order of their first use."""

    def __init__(self) -> None:
        self._known: dict[str, int] = {}

    def of(self, name: str) -> int:
        """The name's number, from 0 on."""
        return self._known.setdefault(name, len(self._known))


class Recorder(Observer):
    """Digests of what happens in one play, a section each; `dump` gets every entry as a line of text."""

    def __init__(self, dump: TextIO | None = None) -> None:
        self._dump = dump
        self._counts = dict.fromkeys(SECTIONS, 0)
        self._digests = {section: hashlib.sha256() for section in SECTIONS}
        self._programs = Numbers()
        self._methods = Numbers()

    def add(self, section: str, *entry: Any) -> None:
        """One more entry of a section, of values that cbor2 encodes."""
        data = cbor2.dumps(entry)
        self._counts[section] += 1
        self._digests[section].update(len(data).to_bytes(4, "big") + data)
        if self._dump is not None:
            print(section, hashlib.sha256(data).hexdigest()[:12], *entry, file=self._dump)

    def summary(self) -> Summary:
        """The digests of all sections, as the record keeps them."""
        return {
            section: {"count": self._counts[section], "sha256": self._digests[section].hexdigest()}
            for section in SECTIONS
        }

    # ---- what the simulator tells while it plays
    def called(self, caller: Process, to: str, kind: str, method: str, body: Any) -> None:
        """Record a call with its body."""
        place = (caller.name, self._programs.of(caller.kind), to, self._programs.of(kind))
        self.add("calls", caller.loop.now, "call", *place, *self._message(method, body))

    def answered(self, caller: Process, target: Process, method: str, body: Any) -> None:
        """Record an answer; of a failure its text apart, as that is for people."""
        place = (caller.name, self._programs.of(caller.kind), target.name, self._programs.of(target.kind))
        now = caller.loop.now
        if isinstance(body, Failure):
            self.add("calls", now, "fault", *place, self._method(method), body.reason)
            self.add("faults", now, *place, body.reason, body.detail)
        else:
            self.add("calls", now, "answer", *place, *self._message(method, body))

    def received(self, caller: Process, target: Process, method: str) -> None:
        """Record when an answer came."""
        self.add("calls", caller.loop.now, "received", caller.name, target.name, self._method(method))

    def stored(self, process: Process) -> None:
        """Record what the disk holds."""
        self._disk(process)

    def attempted(self, proxy: Process, worker: str, request: int, reused: bool) -> None:
        """Record an attempt of a request at a worker."""
        self.add("tries", proxy.loop.now, "request", proxy.name, worker, request, reused)

    def replied(self, worker: Process, proxy: Process, request: int, status: int) -> None:
        """Record a worker's answer to an attempt."""
        self.add("tries", worker.loop.now, "answer", worker.name, proxy.name, request, status)

    def _method(self, method: str) -> str | int:
        return method if method in WIRE_METHODS else self._methods.of(method)

    def _message(self, method: str, body: Any) -> tuple[Any, Any]:
        return self._method(method), body if method in WIRE_METHODS else values_of(body)

    def _disk(self, process: Process) -> None:
        """What a store's disk holds now: its vote, and of its map the term, index and digest."""
        disk = process.machine.disk
        vote = disk.get("vote")
        state = disk.get("state")
        position = [*state.term_index, state.entries.digest()] if isinstance(state, Snapshot) else None
        self.add(
            "disks",
            process.loop.now,
            process.name,
            [*vote] if isinstance(vote, PersistentVote) else None,
            position,
        )

    # ---- what is known once it has ended
    def ended(self, player: ScenarioPlayer, passed: bool) -> None:
        """Take the player's history; `passed`: all its expectations and rules held."""
        world = player.world
        self._requests(world.history)
        self._operators(world.history)
        self._workers(world.history)
        self._machines(world.history)
        for process in world.configstores():
            self._disk(process)
            self.add("disks", process.name, process.machine.disk.get(EDITS))
        loop = world.loop
        self.add("end", loop.now, loop.event_count, loop.rng.getrandbits(64), passed)

    def _requests(self, history: History) -> None:
        for request in history.requests:
            self.add(
                "requests",
                request.id,
                request.path,
                request.key,
                request.zone,
                request.sent,
                request.proxy,
                request.proxy_incarnation,
                request.received,
                request.status,
                request.cause,
                request.ended,
                request.connection_broken,
                request.pool_exhausted_count,
                [
                    [run.at, run.worker, run.tenant, run.proxy, run.ran, run.rejection_status]
                    for run in request.arrivals
                ],
            )

    def _operators(self, history: History) -> None:
        for change in history.changes:
            self.add(
                "operators",
                "change",
                change.version,
                change.base,
                change.sent,
                change.valid,
                change.acknowledged,
                change.rejected_status,
                change.ended,
                change.body,
                change.patch,
            )
        for reading in history.readings:
            self.add("operators", "read", reading.started, reading.ended, reading.version, reading.body)
        for again in history.resends:
            self.add(
                "operators",
                "again",
                again.change.version,
                again.registry,
                again.sent,
                again.ended,
                again.status,
            )
        for order in history.evacuations:
            self.add("operators", "zone", order.zone, order.evacuated, order.sent, order.acknowledged)
        for copy in history.evacuation_calls:
            self.add(
                "operators", "copy", copy.zone, copy.evacuated, copy.sent, copy.effect_deadline, copy.ended
            )
        for edit in history.route_edits.values():
            self.add(
                "operators", "edit", edit.id, edit.name, edit.text, edit.sent, edit.status, edit.acknowledged
            )

    def _workers(self, history: History) -> None:
        for worker in history.workers.values():
            self.add(
                "workers",
                worker.id,
                worker.service,
                worker.zone,
                worker.address,
                worker.started,
                worker.ended,
                worker.warmups,
                worker.draining_acknowledged,
                worker.draining_registry,
                worker.deregistered,
            )

    def _machines(self, history: History) -> None:
        for machine, intervals in history.faults.items():
            self.add("machines", machine, _spans(intervals), history.terminations.get(machine, []))
        self.add("machines", _spans(history.core_unsettled), history.closing_fault_at, history.end)


def _spans(intervals: list[FaultInterval]) -> list[list[float]]:
    return [[interval.started, interval.ended] for interval in intervals]


@define(frozen=True)
class Source:
    """One play of the record by its name, with the seed and the scenario that are played."""

    name: str
    scenario: Callable[[], Scenario]
    seed: int | None = None


def _scenario_at(path: Path, number: int) -> Callable[[], Scenario]:
    return lambda: read_scenarios(path)[number]


def sources(scenarios: Path = SCENARIOS) -> Iterator[Source]:
    """All plays of the record in their order: random faults, worst days, and the scenarios of files."""
    for seed in range(1, CHANCE_DAYS + 1):
        yield Source(f"chance {seed}", lambda seed=seed: random_faults.random_scenario(seed), seed)  # type: ignore[misc]
    for seed in range(1, WORST_DAYS + 1):
        yield Source(f"worst {seed}", lambda seed=seed: worst_days.random_scenario(seed), seed)  # type: ignore[misc]
    for pattern in SCENARIO_FILES:
        for path in sorted(scenarios.glob(pattern)):
            for number in range(len(read_scenarios(path))):
                yield Source(f"{path.stem} {number + 1}", _scenario_at(path, number))


def part_of(names: list[str], count: int) -> list[str]:
    """So many of them, spread evenly."""
    step = len(names) / max(1, min(count, len(names)))
    return [names[int(number * step)] for number in range(min(count, len(names)))]


def record_play(name: str, dump: TextIO | None = None) -> Summary:
    """Play one of `sources` by its name, and digest what happens."""
    source = next(one for one in sources() if one.name == name)
    recorder = Recorder(dump)

    def observed_world(plan: Plan) -> World:
        world = World(plan)
        as_simulated(world.net).observer = recorder
        return world

    player = ScenarioPlayer(source.scenario(), source.seed, observed_world)
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
    names = options.play or [source.name for source in sources()]
    if options.part is not None:
        names = part_of(names, options.part)
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
