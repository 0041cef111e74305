"""Explicit-state model checker for a few real replicas of the configuration store.

By default events happen in order of time, up to `max_faults` faults are injected, each at any step within
`fault_seconds`, and afterwards the cluster must accept a put and read it back. With `any_order`, any pending
message or timer may be next, and the search is breadth-first. Equivalent states are explored once; states
beyond the bounds are counted. Invariants and linearizability are checked at every step.
"""

import argparse
import time
from collections import deque
from typing import Final

from attrs import define, evolve

from ashlift.configstore.replica_state import InvariantError
from ashlift.simulation.explorer_state import ClusterState, ExplorationRules, FaultKind
from ashlift.simulation.explorer_steps import initial_state, next_event, steps, steps_for_event
from ashlift.simulation.invariant_checker import InvariantViolationError

MESSAGE_FAULTS: Final[dict[FaultKind, int]] = {"lose": 9, "double": 9, "late": 9}
DISK_FAULTS: Final[dict[FaultKind, int]] = {"crash": 9, "refuse": 9}
ALL_FAULTS: Final[dict[FaultKind, int]] = {
    **MESSAGE_FAULTS,
    **DISK_FAULTS,
    "early": 9,
    "freeze": 9,
    "wipe": 9,
}
CASES: Final = {
    "change": ExplorationRules(budgets=ALL_FAULTS, script=("put 0 a", "read"), fault_seconds=0.06),
    "race": ExplorationRules(
        budgets={**MESSAGE_FAULTS, "early": 9, "crash": 9}, script=("put 0 a b", "read"), fault_seconds=0.06
    ),
    "leaders": ExplorationRules(
        budgets={"freeze": 9, "late": 9}, script=("read", "put 0 a", "read"), fault_seconds=0.06
    ),
    "late": ExplorationRules(
        budgets={"freeze": 9, "crash": 9},
        fault_seconds=1.2,
        script=("held +", "zone +", "zone -", "put 0 a", "again", "read"),
    ),
    "closing": ExplorationRules(
        budgets={"power": 1}, script=("put 0 a", "put 1 b", "put 2 c"), fault_seconds=0.1
    ),
    "closing 5": ExplorationRules(
        5,
        budgets={"power": 2},
        script=("put 0 a", "put 1 b", "put 2 c"),
        fault_seconds=0.1,
        max_wiped_disks=2,
    ),
    "wiped": ExplorationRules(budgets={**ALL_FAULTS, "power": 9}, script=("put 0 a",), fault_seconds=3.0),
    "begin": ExplorationRules(budgets={**ALL_FAULTS, "power": 9}, from_bootstrap=True, fault_seconds=0.6),
    "begin 5": ExplorationRules(
        5,
        budgets=ALL_FAULTS,
        from_bootstrap=True,
        restart_with_last_seeds=True,
        fault_seconds=1.5,
        max_wiped_disks=2,
    ),
    "change 5": ExplorationRules(
        5, budgets=ALL_FAULTS, script=("put 0 a", "read"), fault_seconds=0.06, max_wiped_disks=2
    ),
    "add": ExplorationRules(
        4, budgets=ALL_FAULTS, held_learners=1, script=("add 4", "put 0 a", "read"), fault_seconds=0.06
    ),
    "remove": ExplorationRules(
        4, budgets=ALL_FAULTS, script=("remove 4", "put 0 a", "read"), fault_seconds=0.06
    ),
    "remove leader": ExplorationRules(
        4, budgets=ALL_FAULTS, script=("remove leader", "put 0 a", "read"), fault_seconds=0.08
    ),
    "replace": ExplorationRules(
        4, budgets=ALL_FAULTS, held_learners=1, script=("replace 2", "add 4", "put 0 a"), fault_seconds=0.1
    ),
    "add+": ExplorationRules(
        4, budgets={"power": 1}, held_learners=1, script=("add 4", "put 0 a", "put 1 b"), fault_seconds=0.08
    ),
    "remove+": ExplorationRules(
        4, budgets={"power": 1}, script=("remove 4", "put 0 a", "put 1 b"), fault_seconds=0.08
    ),
    "order": ExplorationRules(budgets={"timer": 2}, max_faults=2, script=("put 0 a", "read"), any_order=True),
    "order+": ExplorationRules(
        budgets={"timer": 2, "double": 1, "crash": 1, "refuse": 1, "wipe": 1},
        max_faults=3,
        script=("put 0 a", "read"),
        any_order=True,
    ),
}


@define
class ExplorationReport:
    """Result of an exploration.

    state_count: number of distinct states.
    revisited_count: how often a known state was reached again.
    finished_count: number of paths that completed their script.
    skipped_count: number of states that were not expanded because of a bound.
    deepest: largest number of steps from the initial state.
    violation, trace: the violation found, if any, and the steps that led to it.
    """

    state_count: int = 0
    revisited_count: int = 0
    finished_count: int = 0
    skipped_count: int = 0
    deepest: int = 0
    seconds: float = 0.0
    violation: str = ""
    trace: tuple[str, ...] = ()

    def __str__(self) -> str:
        bound = f"{self.skipped_count} skipped at a bound" if self.skipped_count else "complete"
        return (
            f"{self.violation or 'no violation'}: {self.state_count} states, {bound}, "
            f"{self.revisited_count} revisited, {self.finished_count} paths finished, "
            f"{self.deepest} steps deep, {self.seconds:.1f} s"
        )


Trace = tuple["Trace", str] | None  # steps to a state, the latest first


def explore(
    rules: ExplorationRules, max_faults: int | None = None, max_states: int = 100_000, max_depth: int = 1000
) -> ExplorationReport:
    """Explore until an invariant is violated, all states are known or `max_states` is reached.

    `max_faults` overrides the limit of the rules; `max_depth` limits the steps from the initial state.
    """
    started = time.perf_counter()
    exploration = _Exploration(
        rules if max_faults is None else evolve(rules, max_faults=max_faults), max_states, max_depth
    )
    exploration.run()
    exploration.report.seconds = time.perf_counter() - started
    return exploration.report


class _Exploration:
    def __init__(self, rules: ExplorationRules, max_states: int, max_depth: int) -> None:
        self.report = ExplorationReport()
        self._rules = rules
        self._max_states = max_states
        self._max_depth = max_depth
        self._seen: set[int] = set()
        self._remaining: deque[tuple[ClusterState, Trace, int]] = deque()

    def run(self) -> None:
        report = self.report
        try:
            start = initial_state(self._rules)
        except (InvariantViolationError, InvariantError) as error:
            report.violation = f"{error}"
            report.trace = ("before the first fault",)
            return
        self._remaining.append((start, None, 0))
        self._seen.add(start.key())
        while self._remaining and not report.violation:
            state, trace, depth = (
                self._remaining.popleft() if self._rules.any_order else self._remaining.pop()
            )
            report.deepest = max(report.deepest, depth)
            if len(self._seen) >= self._max_states or depth >= self._max_depth:
                report.skipped_count += 1
                continue
            self._expand(state, trace, depth)
        report.state_count += len(self._seen)

    def _expand(self, state: ClusterState, trace: Trace, depth: int) -> None:
        """Check and queue all successors of a state."""
        description = "the first step"
        try:
            if not self._rules.any_order and state.is_fault_free():
                description = "no more faults"
                self._run_to_end(state)
                return
            for description, next_state in steps(state):
                if self._is_new(next_state):
                    self._remaining.append((next_state, (trace, description), depth + 1))
        except (InvariantViolationError, InvariantError) as error:
            self.report.violation = f"{error}"
            self.report.trace = (*_descriptions(trace), f"after: {description}")

    def _is_new(self, state: ClusterState) -> bool:
        key = state.key()
        if key in self._seen:
            self.report.revisited_count += 1
            return False
        self._seen.add(key)
        return True

    def _run_to_end(self, state: ClusterState) -> None:
        """Run to the end of the script without faults, unless another path has reached the same state."""
        while not state.is_finished():
            event = next_event(state)
            _, state = next(steps_for_event(state, event))
            if not isinstance(event, str):
                self.report.state_count += 1
            elif not self._is_new(state):
                return
        self.report.finished_count += 1


def _descriptions(trace: Trace) -> tuple[str, ...]:
    descriptions = []
    while trace is not None:
        trace, description = trace
        descriptions.append(description)
    return tuple(reversed(descriptions))


def main(arguments: list[str]) -> int:
    """Run the command; returns its exit status."""
    parser = argparse.ArgumentParser(
        prog="python -m ashlift.simulation explore",
        description="Explore all states of a few replicas of the configuration store.",
    )
    parser.add_argument("cases", nargs="*", metavar="CASE", help=f"default: all of {', '.join(CASES)}")
    parser.add_argument("--most", type=int, default=None, help="maximum number of faults on one path")
    parser.add_argument(
        "--cells", type=int, default=100_000, help="approximate maximum of distinct states of each case"
    )
    parser.add_argument(
        "--depth", type=int, default=1000, help="maximum number of steps from the initial state"
    )
    options = parser.parse_args(arguments)
    failed = 0
    for case in options.cases or CASES:
        report = explore(CASES[case], options.most, options.cells, options.depth)
        print(f"{case}: {report}", *(f"    {step}" for step in report.trace), sep="\n", flush=True)
        failed += bool(report.violation)
    return 1 if failed else 0
