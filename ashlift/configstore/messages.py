"""Requests, responses and payloads exchanged between replicas. `codec` encodes and decodes them."""

from typing import Any, NamedTuple

from ashlift.configstore.persistent_state import TermIndex


# ---- requests
class VoteRequest(NamedTuple):
    """Requests a vote in `term`, or with `is_pre_vote` asks whether a vote would be granted.

    `last_term` and `last_index` identify the newest map that the candidate has accepted.
    """

    term: int
    candidate: str
    last_term: int
    last_index: int
    is_pre_vote: bool


class AppendRequest(NamedTuple):
    """A heartbeat of the leader of `term`, with changes that the receiver lacks.

    `proposed_index`: index of the newest proposed map.
    `commit_index`: the newest index committed in this term; 0: none.
    `echoed_clock_token`: the newest token that the receiver sent before this round started.
    `confirmed_round`: the newest round that a majority has acknowledged.
    `payload`: an encoded payload, if any. `wants_digests`: asks the receiver for its range digests.
    """

    term: int
    leader: str
    heartbeat_round: int
    proposed_index: int
    commit_index: int
    echoed_clock_token: int
    confirmed_round: int
    payload: bytes | None
    wants_digests: bool


class JoinRequest(NamedTuple):
    """Asks to become a learner or, with `is_voter`, whether the sender is still a voter."""

    ip: str
    incarnation: int
    is_voter: bool


class TransferRequest(NamedTuple):
    """The leader of `term` asks the receiver to start an election at once."""

    term: int


Request = VoteRequest | AppendRequest | JoinRequest | TransferRequest


# ---- responses
class VoteResponse(NamedTuple):
    """The response to a vote request. `incarnation` is that of the voter's disk; a refusal may omit it."""

    term: int
    granted: bool
    incarnation: int | None = None


class AppendRejected(NamedTuple):
    """The receiver is at a higher `term`."""

    term: int


class AppendAccepted(NamedTuple):
    """The receiver durably holds the proposed map. `incarnation` is set if it is not a voter in that map."""

    term: int
    clock_token: int
    incarnation: int | None = None


class AppendBehind(NamedTuple):
    """The receiver holds another map than the proposed one. `position` is its term and index, if known."""

    term: int
    clock_token: int
    range_digests: bytes | None
    position: TermIndex | None


class LearnerStatus(NamedTuple):
    """The receiver is a learner. `is_caught_up`: whether it holds the proposed map."""

    term: int
    clock_token: int
    incarnation: int
    is_caught_up: bool
    range_digests: bytes | None
    position: TermIndex | None


AppendResponse = AppendRejected | AppendAccepted | AppendBehind | LearnerStatus


class JoinResponse(NamedTuple):
    """The leader, and term and index of a committed map that no longer includes the requester's disk."""

    leader_ip: str | None
    displaced_by: TermIndex | None


class TransferAccepted(NamedTuple):
    """The receiver starts an election."""


Response = VoteResponse | AppendResponse | JoinResponse | TransferAccepted


# ---- payloads of an append request
class Delta(NamedTuple):
    """Changes from the map at `base` to the proposed map. `digest` is that of the proposed map."""

    base: TermIndex
    updates: dict[str, Any]
    deletions: list[str]
    digest: bytes


class RangeUpdate(NamedTuple):
    """Whole hash ranges, and changes within others. `digest` is that of the complete proposed map."""

    ranges: dict[int, bytes]
    updates: dict[str, Any]
    deletions: list[str]
    digest: bytes


class Promotion(NamedTuple):
    """Promotes a learner of this incarnation if it holds the map at `term_index`; None: the proposed map."""

    incarnation: int
    term_index: TermIndex | None = None


Payload = Delta | RangeUpdate | Promotion
