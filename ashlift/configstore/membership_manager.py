"""Membership changes at the leader: its view of the replicas, and the change to propose next."""

from typing import TYPE_CHECKING, Any, Final

from ashlift.configstore import events
from ashlift.configstore.membership import (
    INCARNATION,
    LEARNER_PREFIX,
    LEAVING,
    VOTER_PREFIX,
    VOTING_BLOCKED,
    leaving_voters,
    membership_entry,
)
from ashlift.configstore.membership_rules import (
    REMOVE,
    REPLACE_VOTER_AFTER_SECONDS,
    MembershipCommand,
    ReplicaView,
    decide_membership_command,
    next_membership_change,
    removal_refusal,
)
from ashlift.configstore.peers import LEARNER_TIMEOUT_SECONDS, PeerState, RestoringLearner
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.timing import QUORUM_CONTACT_TIMEOUT_SECONDS

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

MAX_UP_TO_DATE_LAG: Final = 2  # commits that an up-to-date replica may be behind, as new ones keep arriving


class MembershipManager:
    """Applies the rules of `membership_rules`, one change at a time."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self._logged_refusal = ""  # the last logged reason why a leaving voter cannot be removed yet

    def replica_views(self) -> dict[str, ReplicaView]:
        """The leader's view of every voter and learner."""
        leader = self.leader
        is_caught_up = leader.replica.term_index == leader.proposed.term_index
        views = {leader.replica.ip: ReplicaView(0.0, is_caught_up)}
        for ip in [*leader.peers.voters(), *leader.peers.learners()]:
            peer = leader.peers.get(ip)
            if ip != leader.replica.ip:
                views[ip] = self._view(ip, peer)
        return views

    def _view(self, ip: str, peer: PeerState) -> ReplicaView:
        now = self.leader.replica.now
        newest_index = self.leader.proposed.term_index[1]
        is_caught_up = (
            peer.restoring_learner is None and peer.match_index + MAX_UP_TO_DATE_LAG >= newest_index
        )
        is_up_to_date = is_caught_up and peer.last_answered_request_at > now - QUORUM_CONTACT_TIMEOUT_SECONDS
        seconds_since_contact = now - self.leader.peers.last_contact_at(ip)
        return ReplicaView(seconds_since_contact, is_up_to_date, peer.incarnation if is_up_to_date else None)

    def table(self) -> list[dict[str, Any]]:
        """The members as shown to operators. `stays` is the reason why a voter may not be removed now."""
        leader = self.leader
        views = self.replica_views()
        rows = []
        for ip in [*leader.peers.voters(), *leader.peers.learners()]:
            entry = membership_entry(leader.current_map(), ip) or {}
            peer = leader.peers.get(ip)
            is_self = ip == leader.replica.ip
            is_voter = VOTER_PREFIX + ip in leader.current_map()
            behind = max(0, leader.proposed.term_index[1] - peer.match_index)
            seconds_since_contact = leader.replica.now - leader.peers.last_contact_at(ip)
            rows.append(
                {
                    "ip": ip,
                    "role": _role(entry, is_voter=is_voter),
                    "leaving": entry.get(LEAVING),
                    "life": entry.get(INCARNATION),
                    "leads": is_self,
                    "behind": 0 if is_self else behind,
                    "unheard": 0.0 if is_self else round(seconds_since_contact, 1),
                    "counts": is_voter and (is_self or peer.restoring_learner is None),
                    "stays": self._removal_refusal(ip, entry, views) if is_voter else None,
                }
            )
        return rows

    def _removal_refusal(self, ip: str, entry: dict[str, Any], views: dict[str, ReplicaView]) -> str | None:
        action = entry.get(LEAVING, REMOVE)
        tolerated_failures = self.leader.replica.tolerated_failures
        return removal_refusal(self.leader.current_map(), ip, views, tolerated_failures, action)

    def decide(self, command: MembershipCommand) -> Proposal | ReadOnlyResult:
        """Decide an operator's membership command."""
        tolerated_failures = self.leader.replica.tolerated_failures
        entries = self.leader.current_map()
        return decide_membership_command(entries, command, self.replica_views(), tolerated_failures)

    def next_change(self) -> Proposal | None:
        """The next change, if any. A leader that is to be removed first transfers its leadership."""
        leader = self.leader
        join_requests = self._join_requests()
        entries = leader.current_map()
        leaving = leaving_voters(entries)
        replaced_disks = self._replaced_disks()
        if replaced_disks:
            return self._record_incarnations(replaced_disks)
        if not (self._has_silent_voter() or leaving or join_requests or leader.peers.learners()):
            return None
        views = self.replica_views()
        tolerated_failures = leader.replica.tolerated_failures
        change = next_membership_change(entries, leader.replica.ip, join_requests, views, tolerated_failures)
        if change is not None:
            self._log_change(change)
        elif leader.replica.ip in leaving and self._has_transfer_candidate(views):
            leader.transfer.request_transfer()
        elif leaving:
            self._log_refusal(leaving[0], views)
        return change

    def _join_requests(self) -> dict[str, int]:
        """The replicas that recently asked to join, with their incarnations."""
        earliest = self.leader.replica.now - LEARNER_TIMEOUT_SECONDS
        return {
            ip: peer.incarnation
            for ip, peer in self.leader.peers.states.items()
            if peer.join_requested_at > earliest
        }

    def _has_silent_voter(self) -> bool:
        latest = self.leader.replica.now - REPLACE_VOTER_AFTER_SECONDS
        peers = self.leader.peers
        other_voters = [ip for ip in peers.voters() if ip != self.leader.replica.ip]
        return any(peers.last_contact_at(ip) <= latest for ip in other_voters)

    def _has_transfer_candidate(self, views: dict[str, ReplicaView]) -> bool:
        other_voters = [ip for ip in self.leader.peers.voters() if ip != self.leader.replica.ip]
        return any(views[ip].is_up_to_date for ip in other_voters)

    def _replaced_disks(self) -> dict[str, int]:
        """Members that are restoring with another incarnation than the map records, with that incarnation."""
        incarnations = {}
        for ip, peer in self.leader.peers.states.items():
            entry = membership_entry(self.leader.current_map(), ip) if peer.restoring_learner else None
            if (
                peer.restoring_learner
                and entry is not None
                and entry.get(INCARNATION) != peer.restoring_learner.incarnation
            ):
                incarnations[ip] = peer.restoring_learner.incarnation
        return incarnations

    def _record_incarnations(self, incarnations: dict[str, int]) -> Proposal:
        """Record replaced disks in the map. Each may be promoted once it holds this proposal."""
        entries = self.leader.current_map()
        index = self.leader.proposed.term_index[1] + 1
        updates = {}
        for ip, incarnation in incarnations.items():
            self.leader.peers.get(ip).restoring_learner = RestoringLearner(incarnation, index)
            key = VOTER_PREFIX + ip if VOTER_PREFIX + ip in entries else LEARNER_PREFIX + ip
            updates[key] = {**entries[key], INCARNATION: incarnation}
        return Proposal(updates, [], None)

    def _log_change(self, change: Proposal) -> None:
        log_event = self.leader.replica.log_event
        for key in change.updates:
            if key.startswith(VOTER_PREFIX):
                log_event(events.VOTER_ADDED, ip=key.removeprefix(VOTER_PREFIX))
            else:
                log_event(events.LEARNER_ADDED, ip=key.removeprefix(LEARNER_PREFIX))
        voters_left = len(self.leader.peers.voters()) - 1
        for key in change.deletions:
            if key.startswith(VOTER_PREFIX):
                log_event(events.VOTER_REMOVED, ip=key.removeprefix(VOTER_PREFIX), voters=voters_left)

    def _log_refusal(self, ip: str, views: dict[str, ReplicaView]) -> None:
        """Log why a leaving voter cannot be removed yet, whenever the reason changes."""
        entry = self.leader.current_map()[VOTER_PREFIX + ip]
        refusal = self._removal_refusal(ip, entry, views) or ""
        if refusal != self._logged_refusal:
            self._logged_refusal = refusal
            self.leader.replica.log_event(events.VOTER_REMOVAL_DELAYED, ip=ip, reason=refusal)


def _role(entry: dict[str, Any], *, is_voter: bool) -> str:
    if is_voter:
        return "voter"
    return "held learner" if entry.get(VOTING_BLOCKED) else "learner"
