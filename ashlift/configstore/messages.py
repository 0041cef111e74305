"""Requests, responses and payloads that replicas of the store send each other. `codec` knows their bytes."""

from typing import Any, NamedTuple

from ashlift.configstore.persistent_state import TermIndex


# ---- requests
class VoteRequest(NamedTuple):
    """Asks for a vote in `term`; if `is_pre_vote`, only whether one would be given.

    `last_term` and `last_index` are those of the newest map that the candidate has accepted.
    """

    term: int
    candidate: str
    last_term: int
    last_index: int
    is_pre_vote: bool


class AppendRequest(NamedTuple):
    """A heartbeat of the leader of `term`, with what the receiver lacks.

    `proposed_index`: of the newest proposed map.
    `commit_index`: the newest committed index of this term; 0: none.
    `echoed_clock_token`: the newest token in a response of the receiver before this round began.
    `confirmed_round`: the newest round that a majority has answered.
    `payload`: an encoded payload. `wants_digests`: the receiver is to send its range digests.
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
    """Asks to become a learner, or whether it still is a voter if it believes so (`is_voter`)."""

    ip: str
    incarnation: int
    is_voter: bool


class TransferRequest(NamedTuple):
    """The leader of `term` asks the receiver to stand for election at once."""

    term: int


Request = VoteRequest | AppendRequest | JoinRequest | TransferRequest


# ---- responses
class VoteResponse(NamedTuple):
    """`incarnation`: of the voter's disk, None in a refusal that needs none."""

    term: int
    granted: bool
    incarnation: int | None = None


class AppendRejected(NamedTuple):
    """The receiver is at a higher `term`."""

    term: int


class AppendAccepted(NamedTuple):
    """The receiver holds the map of the request, durably. `incarnation`: given by one that is no voter."""

    term: int
    clock_token: int
    incarnation: int | None = None


class AppendBehind(NamedTuple):
    """The receiver follows, and holds another map: the one at `position`, None if it did not say so."""

    term: int
    clock_token: int
    range_digests: bytes | None
    position: TermIndex | None


class LearnerStatus(NamedTuple):
    """The receiver is a learner. `is_level`: whether it holds the map of the request."""

    term: int
    clock_token: int
    incarnation: int
    is_level: bool
    range_digests: bytes | None
    position: TermIndex | None


AppendResponse = AppendRejected | AppendAccepted | AppendBehind | LearnerStatus


class JoinResponse(NamedTuple):
    """Who leads, and the committed map by which nothing on the asking replica's disk counts, if so."""

    leader_ip: str | None
    displaced_by: TermIndex | None


class TransferAccepted(NamedTuple):
    """The receiver stands for election."""


Response = VoteResponse | AppendResponse | JoinResponse | TransferAccepted


# ---- payloads of an append request
class Delta(NamedTuple):
    """Changes that lead from the map at `base` to the one of the request, with that one's `digest`."""

    base: TermIndex
    updates: dict[str, Any]
    deletions: list[str]
    digest: bytes


class RangeUpdate(NamedTuple):
    """Whole hash ranges, and changes within others. `digest`: of the map once no range differs any more."""

    ranges: dict[int, bytes]
    updates: dict[str, Any]
    deletions: list[str]
    digest: bytes


class Promotion(NamedTuple):
    """A learner of this incarnation votes from now on, if it holds the map at `term_index`.

    None: the map of the request.
    """

    incarnation: int
    term_index: TermIndex | None = None


Payload = Delta | RangeUpdate | Promotion
