"""Events that a replica takes and effects that it asks for; the replica itself does no input or output.

Whoever runs a replica (`replica_runner`, or the simulator) feeds events and executes the effects in their
order. Times are seconds of the process's monotonic clock. They are named tuples, which cost a start less than
attrs classes; those without fields are plain classes, as an empty tuple is false.
"""

from typing import Any, NamedTuple

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.events import EventType


# ---- events: facts
class ClockTicked:
    """Time has passed: wanted at `Replica.next_tick_at`, harmless at any other time."""


class RequestReceived(NamedTuple):
    """Another replica's request; answered by a `SendReply` with the same `reply_to`."""

    reply_to: Any
    method: str
    body: Any


class ResponseReceived(NamedTuple):
    """The outcome of a `SendRequest`: the body of the response, or a `Failure`."""

    peer: str
    method: str
    sent_at: float
    context: Any
    body: Any


class StatePersisted(NamedTuple):
    """The last `PersistState` is durable; if not `succeeded`, it may or may not be."""

    succeeded: bool


class CommandSubmitted(NamedTuple):
    """A command for the leader, answered by a `SendReply`: its response, or a `Failure`.

    UNAVAILABLE: not begun. EXPIRED: not begun, and never will be. OUTCOME_UNKNOWN: it may be executed.
    Without a `fencing_token` the command may be begun however late it comes.
    """

    reply_to: Any
    command: Any
    fencing_token: FencingToken | None = None


class ReadRequested(NamedTuple):
    """A linearizable read, answered by a `SendReply` with the committed `Snapshot`, or a `Failure`."""

    reply_to: Any


class ShutdownRequested:
    """The process was asked to end: transfer the leadership first, if it is held."""


# ---- effects: instructions
class SendRequest(NamedTuple):
    """Call `method` at the replica `peer`, with CALL_TIMEOUT_SECONDS.

    The outcome is fed as a `ResponseReceived` with the same `context`.
    """

    peer: str
    method: str
    body: Any
    context: Any


class SendReply(NamedTuple):
    """Answer the request or the client behind `reply_to`."""

    reply_to: Any
    body: Any


class PersistState(NamedTuple):
    """Make these durable, the snapshot first, then feed `StatePersisted`. Always the last effect."""

    vote: PersistentVote | None
    snapshot: Snapshot | None


class LogEvent(NamedTuple):
    """Write a numbered log event."""

    event: EventType
    fields: dict[str, Any]


class HandoverComplete:
    """Another replica leads, or can: the process may end."""


Event = (
    ClockTicked
    | RequestReceived
    | ResponseReceived
    | StatePersisted
    | CommandSubmitted
    | ReadRequested
    | ShutdownRequested
)
Effect = SendRequest | SendReply | PersistState | LogEvent | HandoverComplete
