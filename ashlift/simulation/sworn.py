"""What the store's members have done so far, and the invariants of it (docs/design/store.md). A value.

`simulation.members` (worlds by chance) and `simulation.cell` (the explorer) tell it what they see.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import evolve, frozen

from ashlift.configstore.membership import VOTER_PREFIX, addresses_under, incarnation_matches, quorum
from ashlift.configstore.persistent_state import PersistentVote, Snapshot, TermIndex
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.replica import Replica

ZONE = "zone"


class Wrong(AssertionError):  # noqa: N818  (it is a finding)
    """An invariant does not hold."""


def decide(current: Any, order: Any) -> Proposal | ReadOnlyResult:
    """An order `(base, name)`: goes on top of exactly `base` changes; the map keeps the whole history. `+`
    and `-` evacuate the one zone and take that back, whatever there is."""
    base, name = order
    if name in ("+", "-"):
        on = name == "+"
        same = current.get(ZONE, False) == on
        return ReadOnlyResult({"status": 200}) if same else Proposal({ZONE: on}, [], {"status": 200}, (ZONE,))
    history = current.get("history", [])
    if name in history:
        return ReadOnlyResult({"status": 200})
    if base != len(history):
        return ReadOnlyResult({"status": 412})
    return Proposal(
        {"history": [*history, name], f"k{base % 5}": name}, [f"k{(base + 2) % 5}"], {"status": 200}
    )


def history_of(state: Snapshot) -> list[str]:
    return list(state.entries.map.get("history", []))


@frozen
class Sworn:
    leaders: frozenset[tuple[int, str, int]] = frozenset()  # term, who, life
    votes: frozenset[tuple[str, int, int, str, int]] = frozenset()  # who, disk, term, for whom, incarnation
    chain: tuple[str, ...] = ()  # the longest committed history
    known_at: tuple[float, ...] = ()  # when each of its changes was first committed anywhere
    config: tuple[TermIndex, tuple[str, ...]] = ((0, 0), ())  # the newest committed map, and who votes by it

    def led(self, term: int, member: Replica, life: int) -> "Sworn":
        """I1, M3. A life of a process leads a term."""
        ip, map = member.ip, member.snapshot.entries.map
        yes = {(who, disk) for who, _, at, whom, disk in self.votes if (at, whom) == (term, ip)}
        yes.add((ip, member.vote.incarnation))
        voters, votes = (
            addresses_under(map, VOTER_PREFIX),
            {who for who, disk in yes if incarnation_matches(map, who, disk)},
        )
        if len(votes) < quorum(len(voters)):
            raise Wrong(f"M3: {ip} is elected in term {term} by {sorted(votes)} of {voters}")
        if any(one[0] == term and one[1:] != (ip, life) for one in self.leaders):
            raise Wrong(f"I1: two leaders in term {term}: {sorted(self.leaders)}")
        return evolve(self, leaders=self.leaders | {(term, ip, life)})

    def voted(self, ip: str, disk: int, term: int, candidate: str, held: PersistentVote | None) -> "Sworn":
        """I2. It says yes to a candidate, with this on its disk."""
        if any(one[:3] == (ip, disk, term) and one[3] != candidate for one in self.votes):
            raise Wrong(f"I2: {ip} votes a second time in term {term}")
        if held is None or not held.is_voter or held.term < term:
            raise Wrong(f"I2: the vote of {ip} in term {term} is not durable")
        return evolve(self, votes=self.votes | {(ip, disk, term, candidate, held.incarnation)})

    def seen(self, now: float, member: Replica, offset: float, held: PersistentVote | None) -> "Sworn":
        """I3, I7, I8. After each event of a member; its clock is `now + offset`, `held` is on its disk."""
        if member.leader_role and not (member.vote.is_voter and held is not None and held.is_voter):
            raise Wrong(f"I8: {member.ip} leads, and is a learner")
        if member.leader_role and not incarnation_matches(
            member.leader_role.proposed.entries.map, member.ip, member.vote.incarnation
        ):
            raise Wrong(f"M4: {member.ip} leads, and is no voter")
        history, sworn = tuple(history_of(member.committed_state.snapshot)), self
        shorter = min(len(history), len(self.chain))
        if history[:shorter] != self.chain[:shorter]:
            raise Wrong(f"I3: {member.ip} has {history} beside {self.chain}")
        if len(history) > len(self.chain):
            known = self.known_at + (now,) * (len(history) - len(self.chain))
            sworn = evolve(self, chain=history, known_at=known)
        proof = member.committed_state.freshness_confirmed_at - offset
        due = sum(at < proof for at in sworn.known_at)
        if len(history) < due:
            raise Wrong(f"I7: {member.ip} is proven current at {proof:.3f} with {len(history)} of {due}")
        return sworn

    def counted(
        self, member: Replica, disks: Iterable[tuple[str, PersistentVote | None, Snapshot | None]]
    ) -> "Sworn":
        """M1, M2. After each event of a member that leads, with what all disks hold then."""
        known = member.committed_state.snapshot
        if member.leader_role is None or known.term_index <= self.config[0]:
            return self
        map, before = known.entries.map, self.config[1]
        voters = tuple(addresses_under(map, VOTER_PREFIX))
        if before and len({*voters} ^ {*before}) > 1:
            raise Wrong(f"M1: {voters} vote after {before}")
        if min(len(before), 2) > len(voters):
            raise Wrong(f"M1: {voters} are too few after {before}")
        at = known.term_index
        held = [ip for ip, vote, state in disks if ip in voters and _counts(map, ip, vote, state, at)]
        if len(held) < quorum(len(voters)):
            raise Wrong(f"M2: {known.term_index} is committed by {held} of {voters}")
        return evolve(self, config=(known.term_index, voters))


def _counts(
    map: Mapping[str, Any],
    ip: str,
    vote: PersistentVote | None,
    state: Snapshot | None,
    term_index: TermIndex,
) -> bool:
    """Whether a voter's disk holds a committed map; one that was lost after its yes may stand for it."""
    if vote is None or not vote.is_voter:
        return True
    return (
        incarnation_matches(map, ip, vote.incarnation)
        and state is not None
        and state.term_index >= term_index
    )
