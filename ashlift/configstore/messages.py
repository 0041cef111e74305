"""What goes into a member of the store and what comes out. Times are seconds of the steady clock."""

from typing import Any, Final, NamedTuple

from attrs import frozen

from ashlift.configstore.ranged_map import RangedMap
from ashlift.events import EventType

TermIndex = tuple[int, int]  # which accepted map is newer
Event = Any  # one of the events below
Effect = Any  # one of the effects below

CALL_TIMEOUT_SECONDS: Final = (
    0.8  # an answer to `request_vote` or `append` counts only within this time of its sending
)
LEARNER_QUARANTINE_SECONDS: Final = (
    2 * CALL_TIMEOUT_SECONDS
)  # a learner says nothing that long: then no yes of its former life counts
HEARTBEAT_INTERVAL_SECONDS: Final = 0.15
EARLY_S: Final = (0.04, 0.6)  # between heartbeats, for so long after the lead began: all wait for a proof
ELECTION_TIMEOUT_SECONDS: Final = (0.6, 1.2)  # by chance between these, without word from a leader
INITIAL_ELECTION_TIMEOUT_SECONDS: Final = (
    0.05,
    0.3,
)  # the same for a process that has just started: nothing is led while all start
QUORUM_CONTACT_TIMEOUT_SECONDS: Final = (
    1.2  # a leader that has not heard a majority for so long leads no longer
)
LEADERSHIP_TRANSFER_SECONDS: Final = 0.4  # at most this long to hand over after SIGTERM
PAYLOAD_CHUNK_BYTES: Final = (
    32 << 10
)  # bytes of a call's payload, about: it must pass a narrow link within CALL_TIMEOUT_SECONDS
MAX_QUEUED_COMMANDS: Final = 64  # proposals waiting at the leader
HEARTBEAT_ROUND_RETENTION_SECONDS: Final = (
    1.2  # s for which a leader knows when its rounds began: no order is begun later than that
)

# Answers to `append`: `[term, code, token, *more]`.
YES: Final = 1  # holds what is named, durably; more, of one that is no voter: its incarnation
BEHIND: Final = 2  # follows, but does not hold it; more: digests if asked for, else null
OLD: Final = 3  # is at a higher term
LEARNER: Final = 4  # non-voting learner; more: incarnation, whether it holds the named map, digests or null
# BEHIND and LEARNER end with `[term, index]` of what is held.
# Payloads of `append` (cbor2, compressed): `[DELTA, prev term, prev index, set, gone, digest]`,
# `[RANGES, {number: packed}, digest]`, `[PARTS, {number: packed}, set, gone, digest]`, and
# `[PROMOTE, incarnation]` to one that holds what is named, `[PROMOTE, incarnation, term, index]` that state.
DELTA: Final = 1
RANGES: Final = 2
PROMOTE: Final = 3
PARTS: Final = 4


class PersistentVote(NamedTuple):
    """What must never be forgotten besides the map: `voter` is False while nothing of this member counts."""

    term: int
    voted_for: str | None
    is_voter: bool
    incarnation: int = (
        0  # the disk's incarnation: drawn with its first write, and anew once nothing of it counts
    )


class Snapshot(NamedTuple):
    """An accepted map with the term and index of its commit."""

    term_index: TermIndex
    entries: RangedMap


class FencingToken(NamedTuple):
    """What keeps an order from being begun once its caller may have gone: `(term, round)` is the newest round
    known to the registry when it sent the order on, `left`: s that the caller was to wait from then on;
    `known` is the newest committed index known to it when it took the order."""

    term: int
    heartbeat_round: int
    known_index: int
    remaining_seconds: float


class Proposal(NamedTuple):
    """What an order changes, and its answer once that is committed. `unguarded`: keys that it changes
    whatever they hold; if one has changed since the order was taken, the order is void."""

    updates: dict[str, Any]
    deletions: list[str]
    response: Any
    unconditional_keys: tuple[str, ...] = ()


class ReadOnlyResult(NamedTuple):
    """An order that changes nothing; its answer stands once the leader is seen to lead still."""

    response: Any


# ---- events
@frozen
class ClockTicked:
    pass


@frozen
class RequestReceived:
    """Another member calls; answered by a `SendReply` with the same `ref`."""

    reply_to: Any
    method: str  # request_vote, append, join, succeed
    body: Any


@frozen
class ResponseReceived:
    """The outcome of a `SendRequest`: a body or a Failure."""

    peer: str
    method: str
    sent_at: float
    context: Any
    body: Any


@frozen
class StatePersisted:
    """The `PersistState` before this is durable, or (`ok` False) may or may not be."""

    succeeded: bool


@frozen
class CommandSubmitted:
    """An order; answered by a `SendReply`: its answer, or a Failure: UNAVAILABLE not begun, EXPIRED never
    to be begun, OUTCOME_UNKNOWN in doubt. `fence` None: it may be begun whenever it comes."""

    reply_to: Any
    command: Any
    fencing_token: FencingToken | None = None


@frozen
class ReadRequested:
    """answered by a `SendReply` with the committed `Snapshot`, or a Failure."""

    reply_to: Any


@frozen
class ShutdownRequested:
    """SIGTERM has come."""


# ---- effects
@frozen
class SendRequest:
    """Call `method` at the member `peer`, with the time-out CALL_TIMEOUT_SECONDS.

    `ResponseReceived` brings `context` back.
    """

    peer: str
    method: str
    body: Any
    context: Any


@frozen
class SendReply:
    reply_to: Any
    body: Any


@frozen
class PersistState:
    """Make these durable, the state first, then feed `StatePersisted`. Always the last effect."""

    vote: PersistentVote | None
    snapshot: Snapshot | None


@frozen
class LogEvent:
    event: EventType
    fields: dict[str, Any]


@frozen
class HandoverComplete:
    """Handed over: the process may end."""
