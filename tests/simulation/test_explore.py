"""The store's members explored: nothing is wrong within small bounds, and each broken line is found."""

from attrs import evolve
from ward import each, test

from ashlift.simulation.explore import CASES, explore
from ashlift.simulation.explorer_state import copy_replica, fingerprint
from ashlift.simulation.explorer_steps import initial_state, next_event, steps
from tests.support.mutants import mutated


@test("explored, one trouble at every step: {case}")
def _(case: str = each("change", "closing", "leaders")) -> None:
    report = explore(CASES[case])
    assert not report.wrong, "\n".join([report.wrong, *report.way])
    assert not report.cut, str(report)
    assert report.ends > 50, str(report)


BROKEN = {
    "elected without a quorum": "change",
    "committed without a quorum": "closing",
    "read before the first commit of the term": "closing",
    "round confirmed without a quorum": "leaders",
    "fencing token ignored": "late",
}


@test("explored, {broken}: found")
def _(broken: str = each(*BROKEN)) -> None:
    with mutated(broken):
        assert explore(CASES[BROKEN[broken]]).wrong


@test("explored, a call that arrives late, and resends, as far as 1,000 cells")
def _() -> None:
    report = explore(CASES["late"], cells=1000)
    assert not report.wrong, "\n".join([report.wrong, *report.way])
    assert report.cells >= 1000


@test("explored, any order of an election's messages")
def _() -> None:
    report = explore(CASES["order"], 1, cells=1500)
    assert not report.wrong, "\n".join([report.wrong, *report.way])
    assert report.cells >= 1500


@test("a member's copy goes on by itself, and a cell is not changed by its steps")
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
