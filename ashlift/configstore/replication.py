"""Replication from the leader: append requests to the other replicas, and handling of their responses."""

from typing import TYPE_CHECKING, NamedTuple

from ashlift.configstore import events
from ashlift.configstore.catch_up import CatchUp
from ashlift.configstore.codec import decode_append_response, encode_payload
from ashlift.configstore.membership import INCARNATION, membership_entry
from ashlift.configstore.messages import (
    AppendAccepted,
    AppendBehind,
    AppendRejected,
    AppendRequest,
    LearnerStatus,
    Promotion,
)
from ashlift.configstore.peers import PeerState, RestoringLearner
from ashlift.configstore.persistent_state import NO_TERM_INDEX, TermIndex
from ashlift.configstore.proposals import Proposal
from ashlift.configstore.replica_io import ResponseReceived
from ashlift.configstore.timing import CALL_TIMEOUT_SECONDS
from ashlift.errors import Failure, FailureReason

if TYPE_CHECKING:
    from ashlift.configstore.leader import Leader

StatusResponse = AppendAccepted | AppendBehind | LearnerStatus


class AppendContext(NamedTuple):
    """Identifies the append request that a response belongs to."""

    term: int
    heartbeat_round: int
    proposed_index: int
    carried_payload: bool
    wanted_digests: bool


class Replication:
    """Sends payloads and evaluates responses. The state of each replica is kept in `Leader.peers`."""

    def __init__(self, leader: "Leader") -> None:
        self.leader = leader
        self.catch_up = CatchUp(leader.replica.change_log)

    # ---- requests
    def send_heartbeats(self) -> None:
        """Send one append request to each peer, with the changes it lacks unless a payload is in flight."""
        proposed = self.leader.proposed
        for ip in self.leader.peers.heartbeat_targets():
            peer = self.leader.peers.get(ip)
            if peer.progress.payload_in_flight or peer.progress.position == proposed.term_index:
                self._send_append(ip, peer)
                continue
            payload = self.catch_up.next_payload(peer.progress, proposed)
            self._send_append(ip, peer, payload, wants_digests=payload is None)

    def _send_append(
        self, ip: str, peer: PeerState, payload: bytes | None = None, *, wants_digests: bool = False
    ) -> None:
        leader = self.leader
        if payload is not None or wants_digests:
            peer.progress.payload_in_flight = True
        request = AppendRequest(
            term=leader.term,
            leader=leader.replica.ip,
            heartbeat_round=leader.rounds.newest,
            proposed_index=leader.proposed.term_index[1],
            commit_index=leader.commit_index,
            echoed_clock_token=peer.clock_token,
            confirmed_round=leader.rounds.confirmed,
            payload=payload,
            wants_digests=wants_digests,
        )
        context = AppendContext(
            request.term, request.heartbeat_round, request.proposed_index, payload is not None, wants_digests
        )
        leader.replica.send_request(ip, request, context)

    # ---- responses
    def handle_response(self, event: ResponseReceived) -> None:
        """Handle the outcome of an append request: a response, a late response or a failure."""
        context: AppendContext = event.context
        leader = self.leader
        replica = leader.replica
        if context.term != leader.term:
            return
        peer = leader.peers.get(event.peer)
        is_lost = isinstance(event.body, Failure) or replica.now - event.sent_at >= CALL_TIMEOUT_SECONDS
        _record_delivery(peer, context, event.body, is_lost=is_lost)
        if is_lost:
            return
        response = decode_append_response(event.body)
        if isinstance(response, AppendRejected) or response.term > leader.term:
            # A replica that was removed from the membership must not depose the leader.
            if membership_entry(leader.current_map(), event.peer) is not None:
                replica.observe_higher_term(response.term)
            return
        self._apply(event, peer, context, response)
        leader.rounds.confirm()
        if not replica.is_persisting:
            leader.proposals.commit_if_replicated()
        if not replica.is_persisting:
            leader.proposals.advance()

    def _apply(
        self, event: ResponseReceived, peer: PeerState, context: AppendContext, response: StatusResponse
    ) -> None:
        """Update the peer's state. Responses may arrive out of order; only the newest tells what it holds."""
        is_newest = context.heartbeat_round >= peer.acknowledged_round
        peer.acknowledged_round = max(peer.acknowledged_round, context.heartbeat_round)
        peer.last_answered_request_at = max(peer.last_answered_request_at, event.sent_at)
        if is_newest:
            peer.clock_token = response.clock_token
            peer.progress.acknowledge(_position(response, (self.leader.term, context.proposed_index)))
        if isinstance(response, LearnerStatus):
            self._restore_learner(event.peer, peer, response.incarnation)
        else:
            _record_voter_response(peer, response, context.proposed_index)
        if is_newest:
            range_digests = None if isinstance(response, AppendAccepted) else response.range_digests
            self._send_missing(event.peer, peer, range_digests)

    def _send_missing(self, ip: str, peer: PeerState, range_digests: bytes | None) -> None:
        """Send the changes that the peer is known to lack without waiting for the next heartbeat."""
        proposed = self.leader.proposed
        if peer.progress.payload_in_flight or peer.progress.position == proposed.term_index:
            return
        payload = self.catch_up.next_payload(peer.progress, proposed, range_digests)
        if payload is not None:
            self._send_append(ip, peer, payload)

    def _restore_learner(self, ip: str, peer: PeerState, incarnation: int) -> None:
        """Bring a learner closer to promotion.

        It is promoted once it holds a map that was committed without it after its incarnation became known.
        """
        leader = self.leader
        newest = leader.proposed.term_index[1]
        if peer.restoring_learner is None or peer.restoring_learner.incarnation != incarnation:
            peer.restoring_learner = RestoringLearner(incarnation, newest + 1)
            peer.match_index = 0
            peer.progress.reset()
            leader.replica.log_event(events.LEARNER_RESTORING, ip=ip, index=newest)
        term, index = peer.progress.position or NO_TERM_INDEX
        entry = membership_entry(leader.current_map(), ip)
        if term != leader.term or peer.progress.payload_in_flight:
            return
        if entry is None or entry.get(INCARNATION) != incarnation:
            return  # `MembershipManager` records its incarnation in the map first
        if peer.restoring_learner.promotion_index <= index <= leader.commit_index:
            position = None if index == newest else (term, index)
            self._send_append(ip, peer, encode_payload(Promotion(incarnation, position)))
        elif index == newest == leader.commit_index and leader.proposals.is_idle():
            leader.proposals.propose(Proposal({}, [], None))  # an empty change, committed without the learner


def _record_delivery(peer: PeerState, context: AppendContext, body: object, *, is_lost: bool) -> None:
    """Record whether the payload was delivered. An unsent request says nothing about the link's capacity."""
    if context.carried_payload or context.wanted_digests:
        was_unsent = isinstance(body, Failure) and body.reason == FailureReason.UNREACHABLE
        peer.progress.record_payload_outcome(
            carried_payload=context.carried_payload and not was_unsent, delivered=not is_lost
        )


def _record_voter_response(peer: PeerState, response: AppendAccepted | AppendBehind, index: int) -> None:
    """Count a peer that responds as a voter, with the index it holds durably."""
    peer.restoring_learner = None
    if isinstance(response, AppendAccepted):
        peer.match_index = max(peer.match_index, index)
        if response.incarnation is not None:
            peer.incarnation = response.incarnation


def _position(response: StatusResponse, requested: TermIndex) -> TermIndex | None:
    """Term and index of the map that the replica holds; None: unknown."""
    match response:
        case AppendAccepted() | LearnerStatus(is_caught_up=True):
            return requested
        case AppendBehind(position=position) | LearnerStatus(position=position):
            # Index 0 is ambiguous: an empty replica and a newly bootstrapped seed hold different maps.
            return position if position is not None and position[1] > 0 else None
