"""Simulates replicas of the configuration store on machines that fail and are replaced, with clients.

The invariants of docs/design/store.md are checked: I1, I2, I3, I7 and I8 after every event
(`simulation.invariant_checker`), I4, I5 and I6 at the end of a run, by the history of all calls
(`simulation.linearizability`).
"""

from typing import Any, Final

from ashlift.configstore.membership import VOTER_PREFIX, addresses_under, incarnation_matches, quorum
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import CommandSubmitted, ReadRequested, ShutdownRequested
from ashlift.simulation.invariant_checker import InvariantViolationError, decide_history_command
from ashlift.simulation.linearizability import find_unexplained_call
from ashlift.simulation.replica_host import ReplicaHost
from ashlift.simulation.replica_node import ClientCall, ReplicaNode

MAX_SEEDS: Final = 3
MAX_CLOCK_OFFSET_SECONDS: Final = 1000
SETTLE_SECONDS: Final = 12.0
SETTLE_POLL_SECONDS: Final = 0.1
SETTLE_CALL_SECONDS: Final = 0.6


class ReplicaWorld(ReplicaHost):
    """Replicas on machines `1`, `2`, ...; the first `MAX_SEEDS` of them are the seeds."""

    def __init__(
        self,
        members: int,
        seed: int,
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
        slow_rate: float = 0.0,
    ) -> None:
        """`loss_rate`, `duplicate_rate`, `slow_rate`: shares of messages with that fault."""
        super().__init__(seed, loss_rate, duplicate_rate, slow_rate)
        self.ips = [str(number) for number in range(1, members + 1)]
        self.seeds = self.ips[:MAX_SEEDS]
        self.nodes = {ip: ReplicaNode(ip) for ip in self.ips}
        self.client_calls: list[ClientCall] = []
        for ip in self.ips:
            self._start(ip, bootstrap=True)

    @property
    def committed_history(self) -> tuple[str, ...]:
        """The longest committed history."""
        return self.invariants.committed_history

    # ---- processes and machines
    def start(self, ip: str) -> None:
        """Start the process of a machine unless it is running or the machine is lost."""
        self._start(ip, bootstrap=False)

    def _start(self, ip: str, bootstrap: bool) -> None:
        node = self.nodes[ip]
        if node.replica is not None or node.lost:
            return
        node.incarnation += 1
        node.frozen_events = None
        node.disk_fails = False
        node.clock_offset = self.rng.uniform(0, MAX_CLOCK_OFFSET_SECONDS)  # a new monotonic clock
        seeds = node.seeds or self.seeds
        node.replica = Replica(
            ip, seeds, bootstrap, node.vote, node.snapshot, decide_history_command, self.rng
        )
        self.perform(node, node.replica.start(self.clock(node)))
        self.tick(node, node.incarnation)

    def shut_down(self, ip: str) -> None:
        """Stop as on SIGTERM: the replica hands over leadership, exits and is restarted."""
        self._submit(ip, ShutdownRequested())

    def freeze(self, ip: str) -> None:
        """Stop the process as SIGSTOP does."""
        self.nodes[ip].frozen_events = self.nodes[ip].frozen_events or []

    def thaw(self, ip: str) -> None:
        """Resume the process; it handles the events that arrived meanwhile."""
        node = self.nodes[ip]
        frozen_events, node.frozen_events = node.frozen_events or [], None
        for event in frozen_events:
            self.handle_event(node, node.incarnation, event)

    def wipe(self, ip: str) -> None:
        """Kill the process and replace the disk with an empty one."""
        self.kill(ip)
        node = self.nodes[ip]
        if node.snapshot is not None:
            node.lost_disk = node.vote, node.snapshot
        node.vote = None
        node.snapshot = None
        node.disk_number += 1

    def restore_lost_disk(self, ip: str) -> None:
        """Kill the process and put back the disk that was lost last."""
        self.kill(ip)
        node = self.nodes[ip]
        node.vote, node.snapshot = node.lost_disk
        node.disk_number += 1

    def lose_machine(self, ip: str) -> None:
        """Take a machine and its disk out of service until `restore_machine`."""
        self.kill(ip)
        self.nodes[ip].lost = True

    def restore_machine(self, ip: str) -> None:
        """Start a lost machine with the disk it had."""
        self.nodes[ip].lost = False
        self.start(ip)

    def add_machine(self) -> str:
        """Start a new machine at a new address; returns the address."""
        ip = str(len(self.ips) + 1)
        self.ips.append(ip)
        self.nodes[ip] = ReplicaNode(ip)
        self.nodes[ip].seeds = [other for other in self.ips if not self.nodes[other].lost][:MAX_SEEDS]
        self.start(ip)
        return ip

    # ---- links
    def block(self, sender: str, receiver: str) -> None:
        """Block all messages from `sender` to `receiver`."""
        self.blocked_links.add((sender, receiver))

    def heal(self) -> None:
        """End all faults and start all machines that are not lost."""
        self.blocked_links.clear()
        self.loss_rate = 0.0
        self.duplicate_rate = 0.0
        self.slow_rate = 0.0
        self.message_fault = None
        for ip, node in self.nodes.items():
            node.disk_fails = False
            node.disk_delay = 0.0
            if node.frozen_events is not None:
                self.thaw(ip)
            self.start(ip)

    # ---- state of disks and replicas
    def newest_entries(self) -> Any:
        """Return the newest map on any disk."""
        snapshots = [node.snapshot for node in self.nodes.values() if node.snapshot]
        return max(snapshots, key=lambda snapshot: snapshot.term_index).entries.map

    def voter_count(self) -> int:
        """Return the number of voters in the newest map on any disk, 0 if there is none."""
        if not any(node.snapshot for node in self.nodes.values()):
            return 0
        return sum(key.startswith(VOTER_PREFIX) for key in self.newest_entries())

    def learner_count(self) -> int:
        """Return the number of machines that are learners by their disk."""
        return sum(node.vote is None or not node.vote.is_voter for node in self.nodes.values())

    def expendable_voters(self) -> int:
        """Return how many voters may fail without loss of a quorum, even while a voter is being added."""
        entries = self.newest_entries()
        voters = addresses_under(entries, VOTER_PREFIX)
        votes = {ip: self.nodes[ip].vote for ip in voters if not self.nodes[ip].lost}
        effective_voters = [
            ip
            for ip, vote in votes.items()
            if vote and vote.is_voter and incarnation_matches(entries, ip, vote.incarnation)
        ]
        return len(effective_voters) - quorum(len(voters) + 1)

    def leader(self) -> str | None:
        """Return the machine whose replica is the leader of the highest term, if any."""
        leaders = [
            (node.replica.leader_role.term, ip)
            for ip, node in self.nodes.items()
            if node.replica and node.replica.leader_role
        ]
        return max(leaders)[1] if leaders else None

    # ---- clients
    def put(self, ip: str, base: int | None = None, name: str = "") -> ClientCall:
        """Submit a command based on the longest committed history, or on `base`."""
        base = len(self.committed_history) if base is None else base
        call = ClientCall("put", self.now, base, name or f"c{len(self.client_calls)}")
        self.client_calls.append(call)
        self._submit(ip, CommandSubmitted(call, (base, call.name)))
        return call

    def read(self, ip: str) -> ClientCall:
        """Read the history."""
        call = ClientCall("read", self.now)
        self.client_calls.append(call)
        self._submit(ip, ReadRequested(call))
        return call

    def change_members(self, action: str, ip: str) -> ClientCall:
        """Submit a membership change to the leader."""
        call = ClientCall("members", self.now)
        leader = self.leader() or self.ips[0]
        self.client_calls.append(call)
        self._submit(leader, CommandSubmitted(call, MembershipCommand(action, ip)))
        return call

    def _submit(self, ip: str, event: Any) -> None:
        node = self.nodes[ip]
        self.handle_event(node, node.incarnation, event)

    # ---- final checks
    def check_linearizability(self) -> None:
        """Check I4, I5 and I6. Raises InvariantViolationError if the history is not linearizable."""
        calls = [call for client_call in self.client_calls if (call := client_call.as_call()) is not None]
        unexplained = find_unexplained_call(calls)
        if unexplained is not None:
            raise InvariantViolationError(f"I4 I5 I6: history is not linearizable at {unexplained}")

    def settle(self, seconds: float = SETTLE_SECONDS) -> None:
        """End all faults, wait until a put and a read succeed, and check the history of all calls."""
        self.heal()
        started = self.now
        while self.now < started + seconds:
            self.run(SETTLE_POLL_SECONDS)
            leader = self.leader()
            if leader is None:
                continue
            put = self.put(leader)
            self.run(SETTLE_CALL_SECONDS)
            read = self.read(leader)
            self.run(SETTLE_CALL_SECONDS)
            if put.succeeded and isinstance(read.answer, list):
                self.check_linearizability()
                return
        raise InvariantViolationError(f"no put and read succeeded within {seconds:g} s without faults")
