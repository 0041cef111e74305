"""Enumerates the successors of a cluster state: the next message or timer, and every fault that may occur."""

from collections.abc import Iterator
from typing import Final

from attrs import evolve

from ashlift.configstore.membership import LEARNER_PREFIX
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.simulation.explorer_clients import AGREEMENT
from ashlift.simulation.explorer_state import (
    ClusterState,
    ExplorationRules,
    FaultKind,
    MachineState,
    PendingMessage,
)
from ashlift.simulation.explorer_transition import WRITE_FAULTS, Transition
from ashlift.simulation.invariant_checker import InvariantViolationError

MAX_PREPARATION_SECONDS: Final = 30.0  # until all machines are members
MESSAGE_KINDS: Final = ("call", "answer")
MESSAGE_DELAY_SECONDS: Final = {"behind": 0.002, "later": 0.3, "too late": CALL_TIMEOUT_SECONDS + 0.1}

Step = tuple[str, ClusterState]  # description of the step, and the state after it


# ---- initial state
def initial_state(rules: ExplorationRules) -> ClusterState:
    """Return the state in which the exploration by `rules` starts."""
    ips = [str(number) for number in range(1, rules.members + 1)]
    machines = {ip: MachineState() for ip in ips}
    transition = Transition(ClusterState(rules, 0.0, machines, dict(rules.budgets), 0))
    for number, ip in enumerate(ips):
        transition.post("start", ip, None, 0.01 * number, True)
    state = transition.finish()
    while not rules.from_bootstrap and not _all_vote(state):
        state = _next_state(state)
    for ip in ips[len(ips) - rules.held_learners :]:
        state = Transition(state).change_members(MembershipCommand("remove", ip)).finish()
        while not _is_held_learner(state, ip):
            state = _next_state(state)
    if rules.any_order:
        state = _restart_all_processes(state)
    script = rules.script if rules.any_order else (*rules.script, *AGREEMENT)
    faults_until = state.now + rules.fault_seconds
    return evolve(state, faults_left=rules.max_faults, script=tuple(script), faults_until=faults_until)


def _restart_all_processes(state: ClusterState) -> ClusterState:
    transition = Transition(state)
    for ip in state.machines:
        transition.kill(ip)
    transition.messages = []
    for ip in state.machines:
        transition.start(ip)
    return transition.finish()


def _next_state(state: ClusterState) -> ClusterState:
    if state.now > MAX_PREPARATION_SECONDS:
        raise InvariantViolationError(
            f"cluster not ready for exploration within {MAX_PREPARATION_SECONDS:g} s"
        )
    return next(steps_for_event(state, next_event(state)))[1]


def _all_vote(state: ClusterState) -> bool:
    """Whether all machines are voters and have the same committed position."""
    positions = set()
    for machine in state.machines.values():
        replica = machine.replica
        if replica is None or not replica.vote.is_voter or len(replica.voters()) < len(state.machines):
            return False
        positions.add(replica.committed_state.term_index)
    return len(positions) == 1 and (0, 0) not in positions


def _is_held_learner(state: ClusterState, ip: str) -> bool:
    """Whether the removed member is a learner, and all machines hold the same committed position."""
    replica = state.machines[ip].replica
    if replica is None or not replica.vote.is_voter:
        return False
    machines = state.machines.values()
    committed = {machine.replica.committed_state.term_index for machine in machines if machine.replica}
    stored = {machine.snapshot.term_index for machine in machines if machine.snapshot}
    if len(committed) != 1 or committed != stored:
        return False
    return LEARNER_PREFIX + ip in replica.snapshot.entries.map


# ---- successors
def next_event(state: ClusterState) -> PendingMessage | str:
    """Return what happens next in order of time: a message, or the machine whose timer fires."""
    timer_due, ip = min((machine.timer_due(), ip) for ip, machine in state.machines.items())
    message = min(state.messages, key=lambda message: (message.due, message.order), default=None)
    return message if message is not None and message.due <= timer_due else ip


def steps(state: ClusterState) -> Iterator[Step]:
    """Yield all successors. Raises InvariantViolationError or InvariantError."""
    if state.rules.any_order:
        yield from _steps_in_any_order(state)
    else:
        yield from steps_for_event(state, next_event(state))
    if not state.is_fault_free():
        yield from _message_faults(state)
        yield from _machine_faults(state)


def steps_for_event(state: ClusterState, event: PendingMessage | str) -> Iterator[Step]:
    """Yield the step for a message or timer, first without a fault, then with each fault of each write."""
    transition = Transition(state)
    transition.process_event(event)
    description = str(event) if isinstance(event, PendingMessage) else f"timer of {event} fires"
    yield description, transition.finish()
    if state.is_fault_free():
        return
    for number, write in enumerate(transition.writes):
        for write_fault in WRITE_FAULTS:
            faulty = _with_fault_used(state, "refuse" if write_fault == "refused" else "crash")
            if faulty is None or (write_fault == "half" and None in (write.vote, write.snapshot)):
                continue
            other = Transition(faulty, number, write_fault)
            other.process_event(event)
            outcome = other.finish()
            if outcome.learner_count() <= state.rules.max_wiped_disks:
                yield f"{description}; its write {number + 1}: {write_fault}", outcome


def _steps_in_any_order(state: ClusterState) -> Iterator[Step]:
    """Yield the delivery of each pending message, each timer and the next line of the script."""
    seen = set()
    for message in state.messages:
        key = message.key(True, state.pending_calls)
        if key not in seen:
            seen.add(key)
            yield from steps_for_event(state, message)
    for ip, machine in state.machines.items():
        if machine.replica and (faulty := _with_fault_used(state, "timer")):
            yield from steps_for_event(faulty, ip)
    if state.script and any(machine.believes_to_lead() for machine in state.machines.values()):
        yield f"client sends: {state.script[0]}", Transition(state).submit_next_line().finish()


# ---- faults
def _with_fault_used(state: ClusterState, kind: FaultKind) -> ClusterState | None:
    """Return the state with one fault charged to the budgets, or None if this kind is used up."""
    if not state.budgets.get(kind) or not state.faults_left:
        return None
    budgets = {**state.budgets, kind: state.budgets[kind] - 1}
    return evolve(state, budgets=budgets, faults_left=state.faults_left - 1)


def _message_faults(state: ClusterState) -> Iterator[Step]:
    """Yield the faults of the next message; in `any_order` mode the duplication of each message."""
    if state.rules.any_order:
        if faulty := _with_fault_used(state, "double"):
            for message in state.messages:
                if message.kind in MESSAGE_KINDS:
                    yield f"duplicated: {message}", _with_message(faulty, message, message.due)
        return
    event = next_event(state)
    if isinstance(event, PendingMessage) and event.kind in MESSAGE_KINDS:
        yield from _next_message_faults(state, event)


def _next_message_faults(state: ClusterState, message: PendingMessage) -> Iterator[Step]:
    others = tuple(other for other in state.messages if other is not message)
    if faulty := _with_fault_used(state, "lose"):
        yield f"lost: {message}", evolve(faulty, messages=others)
    if faulty := _with_fault_used(state, "double"):
        yield (
            f"duplicated: {message}",
            _with_message(faulty, message, message.due + MESSAGE_DELAY_SECONDS["later"]),
        )
    for how, delay in MESSAGE_DELAY_SECONDS.items():
        if faulty := _with_fault_used(state, "late"):
            without = evolve(faulty, messages=others)
            yield f"{how}: {message}", _with_message(without, message, message.due + delay)


def _with_message(state: ClusterState, message: PendingMessage, due: float) -> ClusterState:
    copy = evolve(message, due=due, order=state.count)
    return evolve(state, messages=(*state.messages, copy), count=state.count + 1)


def _machine_faults(state: ClusterState) -> Iterator[Step]:
    may_wipe = state.learner_count() < state.rules.max_wiped_disks
    for ip, machine in state.machines.items():
        yield from _process_faults(state, ip, machine)
        if may_wipe and (faulty := _with_fault_used(state, "wipe")):
            yield f"{ip} loses its disk", Transition(faulty).wipe(ip).finish()
        replica = machine.replica
        is_waiting = replica and not replica.leader_role and machine.frozen_until <= state.now
        if is_waiting and (faulty := _with_fault_used(state, "early")):
            yield f"timer of {ip} fires early", Transition(faulty).fire_timer_early(ip).finish()
        if may_wipe and (faulty := _with_fault_used(state, "power")):
            transition = Transition(faulty).wipe(ip)
            for other in state.machines:
                transition.kill(other)
            yield f"{ip} loses its disk, all others lose power", transition.finish()


def _process_faults(state: ClusterState, ip: str, machine: MachineState) -> Iterator[Step]:
    if machine.replica is None:
        return
    if faulty := _with_fault_used(state, "crash"):
        yield f"{ip} is killed", Transition(faulty).kill(ip).finish()
    if faulty := _with_fault_used(state, "freeze"):
        for clients_first in (False, True):
            suffix = ", then handles client requests first" if clients_first else ""
            yield f"{ip} is frozen{suffix}", Transition(faulty).freeze(ip, clients_first).finish()
