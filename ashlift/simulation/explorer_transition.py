"""One step of an explored cluster: a real replica handles an event, and its effects are applied.

A `Transition` is mutable until `finish` returns the new state. `simulation.explorer_steps` repeats it
with each fault of each durable write.
"""

from collections import deque
from typing import Any, Final

from attrs import evolve

from ashlift.configstore import events
from ashlift.configstore.codec import METHOD_VOTE, decode_vote_response
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    HandoverComplete,
    LogEvent,
    PersistState,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    StatePersisted,
)
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.explorer_clients import ExplorerClients
from ashlift.simulation.explorer_state import (
    CallReference,
    ClusterState,
    FixedRandom,
    PendingMessage,
)
from ashlift.simulation.invariant_checker import decide_history_command

LINK_DELAY_SECONDS: Final = 0.004  # of a message without a fault
FREEZE_SECONDS: Final = 1.6  # long enough for the election of another leader
RESTART_SECONDS: Final = 0.3  # from the end of a process until its next start
# Faults of a write: the disk reports an error, or the process crashes with nothing written, with only the
# snapshot written, or with both the snapshot and the vote written.
WRITE_FAULTS: Final = ("refused", "missing", "half", "there")
WRITTEN: Final = "kept"


class Transition(ExplorerClients):
    """One step in progress. Write number `faulty_write` fails with `write_fault`; -1: none fails."""

    def __init__(self, state: ClusterState, faulty_write: int = -1, write_fault: str = "") -> None:
        super().__init__(state)
        self._faulty_write = faulty_write
        self._write_fault = write_fault
        self._copied: set[str] = set()  # machines whose state is this step's own copy
        self.writes: list[PersistState] = []

    # ---- events and faults
    def process_event(self, event: PendingMessage | str) -> None:
        """Deliver a message, or fire the timer of the machine named by `event`."""
        if isinstance(event, str):
            self.now = max(self.now, self.machines[event].timer_due())
            self._mutable_replica(event)
            self._update_machine(event, timer_fired_at=self.now)
            self.handle_event(event, ClockTicked())
            return
        self.messages.remove(event)
        if not self.state.rules.any_order:
            self.now = max(self.now, event.due)
        match event.kind:
            case "start":
                self.start(event.to, event.body is True)
            case "ask":
                self.handle_event(event.to, event.body)
            case "call":
                reference = event.reference
                request = RequestReceived(reference, reference.method, event.body)
                self.handle_event(event.to, request)
            case _:
                self._process_answer(event)

    def _process_answer(self, message: PendingMessage) -> None:
        """Deliver the answer or the timeout of a call, whichever comes first; ignore the other."""
        reference: CallReference = message.reference
        is_same_process = self.machines[message.to].incarnation == reference.caller_incarnation
        if reference.number not in self.pending_calls or not is_same_process:
            return
        self.pending_calls.discard(reference.number)
        self.messages = [
            other
            for other in self.messages
            if other.kind != "timeout" or other.reference.number != reference.number
        ]
        peer, context = reference.peer_and_context
        response = ResponseReceived(peer, reference.method, reference.sent_at, context, message.body)
        self.handle_event(message.to, response)

    def start(self, ip: str, bootstrap: bool = False) -> None:
        """Start the process of a machine unless it is running."""
        machine = self.machines[ip]
        if machine.replica is not None:
            return
        rules = self.state.rules
        ips = list(self.machines)
        has_other_seeds = rules.restart_with_last_seeds and not bootstrap
        seeds = ips[-rules.seeds :] if has_other_seeds else ips[: rules.seeds]
        incarnation = machine.incarnation + 1
        replica = Replica(
            ip,
            seeds,
            bootstrap,
            machine.vote,
            machine.snapshot,
            decide_history_command,
            FixedRandom(int(ip), incarnation),
        )
        self._update_machine(ip, replica=replica, incarnation=incarnation)
        self._perform(ip, replica, replica.start(self.now))

    def kill(self, ip: str) -> "Transition":
        """Kill the process of a machine and schedule its restart."""
        if self.machines[ip].replica is not None:
            self._update_machine(ip, replica=None, frozen_until=-1.0)
            self.pending_calls -= {
                message.reference.number
                for message in self.messages
                if message.kind == "timeout" and message.to == ip
            }
            self.messages = [
                message for message in self.messages if message.kind == "call" or message.to != ip
            ]
            self.post("start", ip, None, RESTART_SECONDS)
        return self

    def wipe(self, ip: str) -> "Transition":
        """Kill the process of a machine and replace its disk with an empty one."""
        self.kill(ip)
        self._update_machine(ip, vote=None, snapshot=None, disk_number=self.machines[ip].disk_number + 1)
        return self

    def freeze(self, ip: str, clients_first: bool) -> "Transition":
        """Freeze the process of a machine for `FREEZE_SECONDS`; delay what is due to it until then."""
        until = round(self.now + FREEZE_SECONDS, 6)
        self._update_machine(ip, frozen_until=until, clients_first=clients_first)
        self.messages = [
            evolve(message, due=max(message.due, until)) if message.to == ip else message
            for message in self.messages
        ]
        return self

    def fire_timer_early(self, ip: str) -> "Transition":
        """Fire the election timer of a machine now."""
        replica = self._mutable_replica(ip)
        assert replica is not None
        replica.election.deadline = self.now
        self.handle_event(ip, ClockTicked())
        return self

    # ---- replicas and their effects
    def handle_event(self, ip: str, event: Any) -> None:
        """Pass an event to the replica of a machine, if its process is running."""
        replica = self._mutable_replica(ip)
        if replica is not None:
            self._perform(ip, replica, replica.handle(self.now, event))

    def _mutable_replica(self, ip: str) -> Replica | None:
        """Return the replica of a machine as a copy that this step may mutate."""
        if ip not in self._copied and self.machines[ip].replica is not None:
            self._update_machine(ip, replica=self.copy_of_replica(ip))
        return self.machines[ip].replica

    def _update_machine(self, ip: str, **changes: Any) -> None:
        self._copied.add(ip)
        self.machines[ip] = evolve(self.machines[ip], **changes)

    def _perform(self, ip: str, replica: Replica, effects: list[Any]) -> None:
        remaining = deque(effects)
        while remaining:
            # Checked before each effect, as a failing write may end the process.
            if replica.leader_role is not None:
                disks = [(other, one.vote, one.snapshot) for other, one in self.machines.items()]
                self.invariants = self.invariants.check_commit(replica, disks)
            effect = remaining.popleft()
            match effect:
                case PersistState():
                    outcome = self._write(ip, effect)
                    if self.machines[ip].replica is None:
                        return
                    remaining.extend(replica.handle(self.now, StatePersisted(outcome == WRITTEN)))
                case HandoverComplete():
                    self.kill(ip)
                    return
                case _:
                    self._perform_one(ip, replica, effect)
        stored = self.machines[ip].vote
        self.invariants = self.invariants.check_replica(self.now, replica, 0.0, stored)

    def _perform_one(self, ip: str, replica: Replica, effect: Any) -> None:
        match effect:
            case SendRequest():
                self._send_request(ip, effect)
            case SendReply(reply_to=int() as number):
                self.answer_client(number, effect.body)
            case SendReply():
                self._send_reply(ip, effect)
            case LogEvent(event=events.LEADER_ELECTED):
                term = effect.fields["term"]
                incarnation = self.machines[ip].incarnation
                self.invariants = self.invariants.record_leader(term, replica, incarnation)

    def _write(self, ip: str, write: PersistState) -> str:
        """Store the state, or fail with the write fault; returns the outcome."""
        self.writes.append(write)
        outcome = self._write_fault if len(self.writes) - 1 == self._faulty_write else WRITTEN
        if write.snapshot is not None and outcome in (WRITTEN, "half", "there"):
            self._update_machine(ip, snapshot=write.snapshot)
        if write.vote is not None and outcome in (WRITTEN, "there"):
            self._update_machine(ip, vote=write.vote)
        if outcome in WRITE_FAULTS[1:]:
            self.kill(ip)
        return outcome

    def _send_request(self, ip: str, request: SendRequest) -> None:
        reference = CallReference(
            self.count,
            ip,
            self.machines[ip].incarnation,
            request.method,
            self.now,
            (request.peer, request.context),
        )
        self.pending_calls.add(self.count)
        if not self.state.rules.any_order:  # calls time out only when time is simulated
            failure = Failure(FailureReason.OUTCOME_UNKNOWN)
            self.post("timeout", ip, reference, CALL_TIMEOUT_SECONDS, failure)
        self.post("call", request.peer, reference, LINK_DELAY_SECONDS, request.body)

    def _send_reply(self, ip: str, reply: SendReply) -> None:
        reference: CallReference = reply.reply_to
        _, context = reference.peer_and_context
        is_vote = reference.method == METHOD_VOTE and not context.is_pre_vote
        if is_vote and isinstance(reply.body, list) and decode_vote_response(reply.body).granted:
            machine = self.machines[ip]
            self.invariants = self.invariants.record_vote(
                ip, machine.disk_number, context.term, reference.caller, machine.vote
            )
        if reference.number in self.pending_calls:
            self.post("answer", reference.caller, reference, LINK_DELAY_SECONDS, reply.body)
