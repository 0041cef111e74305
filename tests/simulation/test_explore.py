"""The explorer finds no violation in the replicas within small bounds, and finds every mutant."""

from attrs import evolve
from ward import each, test

from ashlift.simulation.explore import CASES, explore
from ashlift.simulation.explorer_state import copy_replica, fingerprint
from ashlift.simulation.explorer_steps import initial_state, next_event, steps
from tests.support.mutants import mutated


@test("explorer: no violation with one fault at every step: {case}")
def _(case: str = each("change", "closing", "leaders")) -> None:
    report = explore(CASES[case])
    assert not report.violation, "\n".join([report.violation, *report.trace])
    assert not report.skipped_count, str(report)
    assert report.finished_count > 50, str(report)


CASE_BY_MUTANT = {
    "elected without a quorum": "change",
    "committed without a quorum": "closing",
    "read before the first commit of the term": "closing",
    "round confirmed without a quorum": "leaders",
    "fencing token ignored": "late",
}


@test("explorer: mutant found: {mutant}")
def _(mutant: str = each(*CASE_BY_MUTANT)) -> None:
    with mutated(mutant):
        assert explore(CASES[CASE_BY_MUTANT[mutant]]).violation


@test("explorer: no violation with a delayed call and resends within 1,000 states")
def _() -> None:
    report = explore(CASES["late"], max_states=1000)
    assert not report.violation, "\n".join([report.violation, *report.trace])
    assert report.state_count >= 1000


@test("explorer: no violation with the messages of an election in any order")
def _() -> None:
    report = explore(CASES["order"], 1, max_states=1500)
    assert not report.violation, "\n".join([report.violation, *report.trace])
    assert report.state_count >= 1500


@test("explorer: a copied replica is equal to the original, and steps do not modify their state")
def _() -> None:
    state = evolve(initial_state(CASES["change"]), faults_left=0)
    for _ in range(20):
        key = state.key()
        event = next_event(state)
        (_, after), *_ = steps(state)
        assert state.key() == key, event
        assert after.key() != key, event
        replica = state.machines["1"].replica
        assert replica is not None
        assert fingerprint(copy_replica(replica, {}), set()) == fingerprint(replica, set())
        state = after
