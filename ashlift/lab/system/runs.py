"""Runs scenarios of the whole system, on simulated time or on processes, and saves the results."""

import contextlib
import signal
import time
from collections.abc import Callable, Iterator, Mapping
from typing import Any, Final, NamedTuple, cast

import gevent
from attrs import define, evolve, field

from ashlift.lab.checker import Verdict
from ashlift.lab.results import Results, RunDescription
from ashlift.lab.system.accepted_requests import accepted_verdict
from ashlift.lab.system.large_uploads import LargeUploads
from ashlift.lab.system.memory_watch import MemoryWatch
from ashlift.lab.system.misbehaving_clients import MisbehavingClients
from ashlift.lab.system.process_world import ProcessWorld
from ashlift.lab.system.program_health import health_verdict
from ashlift.lab.system.saved_runs import RunEvent, rule_verdicts, to_lab_history
from ashlift.simulation.checkers.rules import check_rules
from ashlift.simulation.history import History
from ashlift.simulation.scenario import Scenario, ScenarioEvent
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.world import World


class StoppedError(Exception):
    """SIGTERM or SIGINT was received; the text is the name of the signal."""


@define
class PlayedRun:
    """The result of one run.

    `duration`: seconds of real time; `max_lag`: longest lag of the lab process, in seconds. `upload_results`:
    how many large uploads ended with each status.
    """

    scenario: Scenario
    seed: int
    history: History
    verdicts: list[Verdict]
    events: list[RunEvent]
    duration: float
    max_lag: float = 0.0
    upload_results: Mapping[str, int] = field(factory=dict)

    @property
    def is_ok(self) -> bool:
        """Whether all verdicts passed."""
        return all(verdict.ok for verdict in self.verdicts)

    def save(self, results: Results, commit: str, began: str, kind: str) -> int:
        """Save the run and return its number; `kind`: `sim` or `processes`."""
        plan = evolve(self.scenario.plan, seed=self.seed)
        description = RunDescription(
            name=f"{kind}: {self.scenario.title.partition(':')[0]}",
            began=began,
            commit=commit,
            seed=self.seed,
            scenario=evolve(self.scenario, plan=plan).to_text(),
            allowed_rate=0.0,
        )
        history = to_lab_history(self.history, self.events, plan.rate)
        return results.store(history, self.verdicts, description)


def play_simulated(scenario: Scenario, seed: int) -> PlayedRun:
    """Run a scenario on simulated time."""
    began = time.perf_counter()
    events: list[RunEvent] = []

    def record_event(event: ScenarioEvent) -> None:
        events.append(RunEvent(event.at, "scene", " ".join(event.words)))

    player = ScenarioPlayer(scenario, seed, on_event=record_event)
    player.run()
    return _judge(player, seed, events, began)


def _judge(player: ScenarioPlayer, seed: int, events: list[RunEvent], began: float) -> PlayedRun:
    world = player.world
    violations = check_rules(world.history, world.bounds)
    duration = time.perf_counter() - began
    verdicts = rule_verdicts(violations, player.failed_expectation)
    return PlayedRun(player.scenario, seed, world.history, verdicts, events, duration)


@contextlib.contextmanager
def _stopped_by_signals() -> Iterator[None]:
    """Raise StoppedError in the calling greenlet on SIGTERM and SIGINT, so that it can clean up."""
    main = gevent.getcurrent()
    handlers: list[Any] = [
        gevent.signal_handler(number, main.throw, StoppedError(number.name))
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        yield
    finally:
        for handler in handlers:
            handler.cancel()


class ExtraClients(NamedTuple):
    """Clients of a run beside its usual traffic: some that send large bodies, some that misbehave."""

    large_uploads: bool = False
    misbehaving: bool = False


NO_EXTRA_CLIENTS: Final = ExtraClients()


def play_on_processes(
    scenario: Scenario,
    seed: int,
    on_progress: Callable[[str], None],
    on_event: Callable[[ScenarioEvent], None],
    keep_files: bool = False,
    extra_clients: ExtraClients = NO_EXTRA_CLIENTS,
) -> PlayedRun:
    """Run a scenario on processes; `keep_files`: keep the directory of settings, disks and logs.

    `extra_clients`: beside the usual traffic.

    Raises StoppedError on a signal, RuntimeError or OSError if the scenario cannot be run. All processes are
    stopped in any case.
    """
    began = time.perf_counter()
    world = ProcessWorld(evolve(scenario.plan, seed=seed), on_progress)
    with _stopped_by_signals():
        try:
            world.begin()
            watch = MemoryWatch(world.named_programs)
            uploads = LargeUploads(world.proxy_addresses(), seed) if extra_clients.large_uploads else None
            misbehaving = (
                MisbehavingClients(world.proxy_addresses() + world.registry_addresses(), seed)
                if extra_clients.misbehaving
                else None
            )
            player = ScenarioPlayer(
                scenario, seed, make_world=lambda _plan: cast(World, world), on_event=on_event
            )
            player.run()
            if uploads is not None:
                uploads.stop()
            if misbehaving is not None:
                misbehaving.stop()
            watch.stop()
            run = _judge(player, seed, world.events, began)
            verdicts = [
                *run.verdicts,
                accepted_verdict(world.history, world.bounds.grace),
                health_verdict(world.program_problems()),
                watch.verdict(),
            ]
            results = {} if uploads is None else dict(uploads.results)
            return evolve(
                run, verdicts=verdicts, max_lag=world.real_time_loop.max_lag, upload_results=results
            )
        finally:
            world.stop()
            if not keep_files:
                world.remove_files()
