"""Plays scenes, on simulated time or as processes, and keeps what came of it."""

import contextlib
import signal
import time
from collections.abc import Callable, Iterator
from typing import Any, cast

import gevent
from attrs import define, evolve

from ashlift.lab.checker import Verdict
from ashlift.lab.results import Results
from ashlift.lab.system.kept import Did, as_lab, lines
from ashlift.lab.system.world import ProcessWorld
from ashlift.simulation.checkers.rules import check_rules
from ashlift.simulation.history import History
from ashlift.simulation.scenario import Scenario, ScenarioEvent
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.simulation.world import World


class StoppedError(Exception):
    """SIGTERM or SIGINT came."""


@define
class Played:
    """What came of one run; `took`: s of real time."""

    scene: Scenario
    seed: int
    history: History
    verdicts: list[Verdict]
    did: Did
    took: float
    lag: float = 0.0  # s, the most that this process was late

    @property
    def ok(self) -> bool:
        return all(one.ok for one in self.verdicts)

    def keep(self, results: Results, git: str, began: str, kind: str) -> int:
        plan = evolve(self.scene.plan, seed=self.seed)
        lab = as_lab(self.history, self.did, plan.rate)
        return results.store(
            lab,
            self.verdicts,
            name=f"{kind}: {self.scene.title.partition(':')[0]}",
            began=began,
            git=git,
            seed=self.seed,
            scenario=evolve(self.scene, plan=plan).to_text(),
            allows=0.0,
        )


def simulated(scene: Scenario, seed: int) -> Played:
    began = time.perf_counter()
    did: Did = []
    play = ScenarioPlayer(
        scene, seed, on_event=lambda line: did.append((line.at, "scene", " ".join(line.words)))
    )
    play.run()
    return _played(play, seed, did, began)


def _played(play: ScenarioPlayer, seed: int, did: Did, began: float) -> Played:
    world = play.world
    found = check_rules(world.history, world.bounds)
    took = time.perf_counter() - began
    return Played(play.scenario, seed, world.history, lines(found, play.failed_expectation), did, took)


@contextlib.contextmanager
def _ended_by_signals() -> Iterator[None]:
    """SIGTERM and SIGINT raise StoppedError here, wherever it waits, so that all is cleared away."""
    main = gevent.getcurrent()
    handlers: list[Any] = [
        gevent.signal_handler(number, main.throw, StoppedError(number.name))
        for number in (signal.SIGTERM, signal.SIGINT)
    ]
    try:
        yield
    finally:
        for one in handlers:
            one.cancel()


def processes(
    scene: Scenario,
    seed: int,
    progress: Callable[[str], None],
    told: Callable[[ScenarioEvent], None],
    keep: bool = False,
) -> Played:
    """Play it on processes. `keep`: the folder of settings, disks and logs stays.

    StoppedError: by a signal; RuntimeError, OSError: it could not be played. All is ended then too.
    """
    began = time.perf_counter()
    world = ProcessWorld(evolve(scene.plan, seed=seed), progress)
    with _ended_by_signals():
        try:
            world.begin()
            play = ScenarioPlayer(scene, seed, make_world=lambda plan: cast(World, world), on_event=told)
            play.run()
            return evolve(_played(play, seed, world.did, began), lag=world.clock.max_lag)
        finally:
            world.stop()
            if not keep:
                world.clear()
