"""Clients of an explored cluster: they run the script and record the history of their calls."""

import math
from collections.abc import Callable
from typing import Any, Final

from attrs import evolve

from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import CommandSubmitted, ReadRequested
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.explorer_state import ClusterState, PendingMessage, UnansweredCall, copy_replica
from ashlift.simulation.invariant_checker import ZONE, InvariantViolationError, history_of
from ashlift.simulation.linearizability import (
    ACKNOWLEDGED,
    CONFLICT,
    Call,
    ConfigurationWrite,
    find_unexplained_call,
    items_of,
)

CLIENT_TIMEOUT_SECONDS: Final = 1.0
FENCE_REMAINING_SECONDS: Final = 0.9  # left of the timeout when a registry forwards a command
DELAYED_CALL_SECONDS: Final = CLIENT_TIMEOUT_SECONDS + 0.1  # arrives after its client gave up
AGREEMENT_SECONDS: Final = 8.0  # for the cluster to recover, from the end of the faults
AGREEMENT: Final = ("agree", "settled")  # ends each script: a put is accepted, and a read returns


class ExplorerClients:
    """Client calls of one step, and a mutable copy of the state that the step changes."""

    def __init__(self, state: ClusterState) -> None:
        self.state = state
        self.machines = dict(state.machines)
        self.messages: list[PendingMessage] = list(state.messages)
        self.now = state.now
        self.count = state.count
        self.pending_calls = set(state.pending_calls)
        self.invariants = state.invariants
        self._client_calls = dict(state.client_calls)
        self._script = state.script
        self._line_submitted_at = state.line_submitted_at
        self._unanswered_calls = list(state.unanswered_calls)
        self._first_call_of_line = state.first_call_of_line
        self._line_answered = state.line_answered
        self._event_count = state.event_count

    def handle_event(self, ip: str, event: Any) -> None:
        """Pass an event to the replica of a machine, if its process is running."""
        raise NotImplementedError

    def copy_of_replica(self, ip: str) -> Replica:
        """Return a copy of a machine's replica that may be mutated."""
        replica: Replica = copy_replica(self.machines[ip].replica, {})
        return replica

    def post(self, kind: str, to: str, reference: Any, delay: float, body: Any = None) -> None:
        """Schedule a message for a machine after the delay, but not before its process is thawed."""
        machine = self.machines[to]
        due = max(round(self.now + delay, 6), machine.frozen_until)
        order = -self.count if kind == "ask" and machine.clients_first else self.count
        self.messages.append(PendingMessage(due, order, kind, to, reference, body))
        self.count += 1

    def finish(self) -> ClusterState:
        """Return the state after this step."""
        if self._script and not self.state.rules.any_order:
            self._continue_script()
        return evolve(
            self.state,
            now=self.now,
            machines=self.machines,
            messages=tuple(self.messages),
            count=self.count,
            pending_calls=frozenset(self.pending_calls),
            client_calls=tuple(sorted(self._client_calls.items())),
            invariants=self.invariants,
            script=self._script,
            line_submitted_at=self._line_submitted_at,
            unanswered_calls=tuple(self._unanswered_calls),
            event_count=self._event_count,
            first_call_of_line=self._first_call_of_line,
            line_answered=self._line_answered,
        )

    # ---- the script
    def _continue_script(self) -> None:
        """Submit the next line once the previous one was answered or has timed out."""
        if self.now > self.state.faults_until + AGREEMENT_SECONDS:
            raise InvariantViolationError(
                f"no put and read succeeded within {AGREEMENT_SECONDS:g} s after the end of the faults"
            )
        if not self._line_answered and self.now < self._line_submitted_at + CLIENT_TIMEOUT_SECONDS:
            return
        running = [machine.replica for machine in self.machines.values() if machine.frozen_until <= self.now]
        has_leader = any(
            replica and replica.leader_role and replica.leader_role.commit_index for replica in running
        )
        is_due = self._script[0] not in AGREEMENT or self.now >= self.state.faults_until
        if has_leader and is_due:
            self.submit_next_line()

    def submit_next_line(self) -> "ExplorerClients":
        """Submit the script's next line to every replica that believes that it leads."""
        word, *arguments = self._script[0].split()
        if word not in AGREEMENT:
            self._script = self._script[1:]
        base, names = self._commands_for_line(word, arguments)
        self._line_submitted_at = self.now
        self._first_call_of_line = self.count
        self._line_answered = False
        if word in ("add", "remove", "replace"):
            self.change_members(MembershipCommand(word, arguments[0]))
            return self
        for ip in self._believed_leaders():
            match word:
                case "read" | "settled":
                    self._call(ip, None, ReadRequested)
                case "zone" | "held":
                    self._evacuate(ip, arguments[0], delayed=word == "held")
                case _:
                    for name in names:
                        self._put(ip, base, name)
        return self

    def _commands_for_line(self, word: str, arguments: list[str]) -> tuple[int, list[str]]:
        """Return the base and the names of the commands that a line puts."""
        if word == "put":
            return int(arguments[0]), arguments[1:]
        if word == "again":
            writes = [call.write for _, call in sorted(self._client_calls.items()) if call.write]
            return writes[-1].base, [name for _, name in writes[-1].upserts if isinstance(name, str)]
        return len(self.invariants.committed_history), [f"z{self._event_count}"]

    def _believed_leaders(self) -> list[str]:
        return [ip for ip, machine in self.machines.items() if machine.believes_to_lead()]

    # ---- calls
    def change_members(self, command: MembershipCommand) -> "ExplorerClients":
        """Submit a membership change to every replica that believes that it leads."""
        for ip in self._believed_leaders():
            target = command._replace(ip=ip if command.ip == "leader" else command.ip)
            self._call(ip, None, lambda number, target=target: CommandSubmitted(number, target))  # type: ignore[misc]
        return self

    def _put(self, ip: str, base: int, name: str) -> None:
        write = ConfigurationWrite(base, base + 1, items_of({str(base): name}), frozenset())
        self._call(ip, write, lambda number: CommandSubmitted(number, (base, name)))

    def _call(self, ip: str, write: ConfigurationWrite | None, make_event: Callable[[int], Any]) -> None:
        call = self._begin_call(write)
        if write is not None:
            self._client_calls[call.number] = Call(call.started, math.inf, write)
        self._deliver(ip, make_event(call.number))

    def _begin_call(self, write: ConfigurationWrite | None) -> UnansweredCall:
        call = UnansweredCall(self.count, write, float(self._event_count))
        self.count += 1
        self._event_count += 1
        self._unanswered_calls.append(call)
        return call

    def _deliver(self, ip: str, event: Any) -> None:
        if self.machines[ip].frozen_until > self.now:
            self.post("ask", ip, None, 0.0, event)
        else:
            self.handle_event(ip, event)

    def _evacuate(self, ip: str, name: str, delayed: bool) -> None:
        """Evacuate the zone (`+`) or restore it, with the fencing token that a registry would issue now.

        The token of a `delayed` call has expired when it arrives, so it may take effect only before any call
        that starts later.
        """
        replica = self.machines[ip].replica
        assert replica is not None
        call = self._begin_call(None)
        deadline = call.started + 0.5 if delayed else math.inf
        self._client_calls[call.number] = Call(
            call.started, math.inf, evacuation=(ZONE, name == "+"), effect_deadline=deadline
        )
        index = replica.committed_state.index
        token = FencingToken(*replica.newest_heartbeat_round(), index, FENCE_REMAINING_SECONDS)
        command = CommandSubmitted(call.number, (0, name), token)
        if delayed:
            self.post("ask", ip, None, DELAYED_CALL_SECONDS, command)
        else:
            self._deliver(ip, command)

    # ---- answers
    def answer_client(self, number: int, body: Any) -> None:
        """Record the answer to a client call and check that the history is linearizable."""
        call = next(one for one in self._unanswered_calls if one.number == number)
        self._unanswered_calls.remove(call)
        is_of_line = number >= self._first_call_of_line
        self._line_answered = self._line_answered or is_of_line
        ended = float(self._event_count)
        self._event_count += 1
        if self._record_answer(call, ended, body) and is_of_line:
            self._script = self._script[1:]
        unexplained = find_unexplained_call(self._client_calls.values())
        if unexplained is not None:
            calls = [*map(str, self._client_calls.values())]
            raise InvariantViolationError(f"history is not linearizable at {unexplained}: {calls}")

    def _record_answer(self, call: UnansweredCall, ended: float, body: Any) -> bool:
        """Record the answer; returns whether it completes the current line of `AGREEMENT`."""
        number = call.number
        if isinstance(body, Snapshot):
            self._record_read(call, ended, body)
            return self._script[:1] == AGREEMENT[1:]
        if isinstance(body, Failure):
            was_not_proposed = body.reason in (FailureReason.UNAVAILABLE, FailureReason.EXPIRED)
            if number in self._client_calls and was_not_proposed:
                del self._client_calls[number]
            return False
        if number in self._client_calls and self._client_calls[number].evacuation:
            self._client_calls[number] = evolve(self._client_calls[number], ended=ended)
            return False
        if call.write is None:
            return False
        accepted = body["status"] == 200
        answer = ACKNOWLEDGED if accepted else CONFLICT
        self._client_calls[number] = Call(call.started, ended, call.write, answer)
        return accepted and self._script == AGREEMENT

    def _record_read(self, call: UnansweredCall, ended: float, snapshot: Snapshot) -> None:
        history = history_of(snapshot)
        items = items_of({str(index): name for index, name in enumerate(history)})
        zones = frozenset([ZONE]) if snapshot.entries.map.get(ZONE) else frozenset[str]()
        self._client_calls[call.number] = Call(
            call.started, ended, observed=(len(history), items), evacuated_zones=zones
        )
