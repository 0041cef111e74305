"""Runs a scenario in a world and checks its expectations and all rules."""

import gc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Final

from attrs import define, evolve

from ashlift.simulation import route_edits
from ashlift.simulation.checkers.rules import first_violation
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.event_arguments import EventArguments, parse_arguments
from ashlift.simulation.expectations import Expectations
from ashlift.simulation.fault_actions import FaultActions
from ashlift.simulation.load_actions import LoadActions
from ashlift.simulation.operator_actions import OperatorActions
from ashlift.simulation.plan import Plan
from ashlift.simulation.scenario import Scenario, ScenarioEvent
from ashlift.simulation.world import World

# Fewer collections than by default: a run creates many objects and little garbage in cycles.
GARBAGE_COLLECTION_THRESHOLDS: Final = (200_000, 50, 1000)


@define(frozen=True)
class FailedExpectation:
    """An `expect` event that failed."""

    at: float
    description: str

    def __str__(self) -> str:
        return f"expected at {self.at:g}: {self.description}"


class ScenarioPlayer:
    """Runs one scenario with one seed."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int | None = None,
        make_world: Callable[[Plan], World] = World,
        on_event: Callable[[ScenarioEvent], None] | None = None,
    ) -> None:
        """`seed` overrides that of the scenario; `on_event` is called before each event."""
        self.scenario = scenario
        self._on_event = on_event
        self.world = make_world(scenario.plan if seed is None else evolve(scenario.plan, seed=seed))
        self.failed_expectation: FailedExpectation | None = None
        self._expectations = Expectations(self.world)
        operator_actions = OperatorActions(self.world)
        self._actions: dict[str, Callable[[EventArguments], None]] = {
            **FaultActions(self.world).actions,
            **LoadActions(self.world).actions,
            **operator_actions.actions,
        }
        operator_actions.send_first_configuration()

    def run(self) -> Violation | FailedExpectation | None:
        """Run to the end or the first failed expectation.

        Returns the first violation of a rule, or else the failed expectation, or None.
        """
        with _rare_garbage_collection():
            self._play_events()
            world = self.world
            if world.history.route_edits:
                route_edits.record_outcomes(
                    world.history, route_edits.committed_entries(world.configstores())
                )
            return first_violation(world.history, world.bounds) or self.failed_expectation

    def _play_events(self) -> None:
        world = self.world
        for event in self.scenario.events:
            world.run(event.at)
            if self._on_event is not None:
                self._on_event(event)
            self.perform(list(event.words))
            if self.failed_expectation:
                return
        world.run(max(world.plan.until, world.loop.now))

    def perform(self, words: list[str]) -> None:
        """Perform an event now. Raises ValueError for an unknown one."""
        arguments = parse_arguments(words)
        if arguments.word == "mark":
            self._expectations.mark()
        elif arguments.word == "expect":
            self._expect(arguments, words)
        elif arguments.word in self._actions:
            self._actions[arguments.word](arguments)
        else:
            raise ValueError(" ".join(words))

    def _expect(self, arguments: EventArguments, words: list[str]) -> None:
        problem = self._expectations.check(arguments)
        if problem:
            description = f"{' '.join(words[1:])}: {problem}"
            self.failed_expectation = FailedExpectation(self.world.loop.now, description)


@contextmanager
def _rare_garbage_collection() -> Iterator[None]:
    previous = gc.get_threshold()
    gc.set_threshold(*GARBAGE_COLLECTION_THRESHOLDS)
    try:
        yield
    finally:
        gc.set_threshold(*previous)
