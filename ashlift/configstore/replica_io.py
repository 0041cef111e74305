"""Events that a replica takes and effects that it asks for; the replica itself does no input or output.

Whoever runs a replica (`replica_runner`, or the simulator) feeds events and executes the effects in their
order. Times are seconds of the process's monotonic clock.
"""

from typing import Any

from attrs import frozen

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.events import EventType


# ---- events: facts
@frozen
class ClockTicked:
    """Time has passed: wanted at `Replica.next_tick_at`, harmless at any other time."""


@frozen
class RequestReceived:
    """Another replica's request; answered by a `SendReply` with the same `reply_to`."""

    reply_to: Any
    method: str
    body: Any


@frozen
class ResponseReceived:
    """The outcome of a `SendRequest`: the body of the response, or a `Failure`."""

    peer: str
    method: str
    sent_at: float
    context: Any
    body: Any


@frozen
class StatePersisted:
    """The last `PersistState` is durable; if not `succeeded`, it may or may not be."""

    succeeded: bool


@frozen
class CommandSubmitted:
    """A command for the leader, answered by a `SendReply`: its response, or a `Failure`.

    UNAVAILABLE: not begun. EXPIRED: not begun, and never will be. OUTCOME_UNKNOWN: it may be executed.
    Without a `fencing_token` the command may be begun however late it comes.
    """

    reply_to: Any
    command: Any
    fencing_token: FencingToken | None = None


@frozen
class ReadRequested:
    """A linearizable read, answered by a `SendReply` with the committed `Snapshot`, or a `Failure`."""

    reply_to: Any


@frozen
class ShutdownRequested:
    """The process was asked to end: transfer the leadership first, if it is held."""


# ---- effects: instructions
@frozen
class SendRequest:
    """Call `method` at the replica `peer`, with CALL_TIMEOUT_SECONDS.

    The outcome is fed as a `ResponseReceived` with the same `context`.
    """

    peer: str
    method: str
    body: Any
    context: Any


@frozen
class SendReply:
    """Answer the request or the client behind `reply_to`."""

    reply_to: Any
    body: Any


@frozen
class PersistState:
    """Make these durable, the snapshot first, then feed `StatePersisted`. Always the last effect."""

    vote: PersistentVote | None
    snapshot: Snapshot | None


@frozen
class LogEvent:
    """Write a numbered log event."""

    event: EventType
    fields: dict[str, Any]


@frozen
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
