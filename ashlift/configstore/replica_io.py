"""Events that a replica handles and effects that it returns; the replica itself does no input or output.

The driver of a replica (`replica_runner`, or the simulator) feeds events and executes the effects in order.
Times are seconds of the process's monotonic clock. The types are named tuples, which are cheaper to define at
process start than attrs classes; those without fields are plain classes, since an empty tuple is falsy.
"""

from typing import Any, NamedTuple

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.events import EventType


# ---- events
class ClockTicked:
    """Time has passed. Due at `Replica.next_tick_at`, harmless at any other time."""


class RequestReceived(NamedTuple):
    """A request of another replica, answered by a `SendReply` with the same `reply_to`."""

    reply_to: Any
    method: str
    body: Any


class ResponseReceived(NamedTuple):
    """The outcome of a `SendRequest`: the response body, or a `Failure`."""

    peer: str
    method: str
    sent_at: float
    context: Any
    body: Any


class StatePersisted(NamedTuple):
    """The last `PersistState` has completed. Unless it `succeeded`, the state may or may not be durable."""

    succeeded: bool


class CommandSubmitted(NamedTuple):
    """A command for the leader, answered by a `SendReply` with its response or a `Failure`.

    UNAVAILABLE: not executed. EXPIRED: not executed, and never will be. OUTCOME_UNKNOWN: it may be executed.
    A command without a `fencing_token` never expires.
    """

    reply_to: Any
    command: Any
    fencing_token: FencingToken | None = None


class ReadRequested(NamedTuple):
    """A linearizable read, answered by a `SendReply` with the committed `Snapshot`, or a `Failure`."""

    reply_to: Any


class ShutdownRequested:
    """The process was told to terminate; a leader transfers its leadership first."""


# ---- effects
class SendRequest(NamedTuple):
    """Call `method` at the replica `peer` with a time-out of CALL_TIMEOUT_SECONDS.

    The outcome is fed back as a `ResponseReceived` with the same `context`.
    """

    peer: str
    method: str
    body: Any
    context: Any


class SendReply(NamedTuple):
    """Send `body` as the reply to the request identified by `reply_to`."""

    reply_to: Any
    body: Any


class PersistState(NamedTuple):
    """Make both durable, the snapshot first, then feed `StatePersisted`. Always the last effect."""

    vote: PersistentVote | None
    snapshot: Snapshot | None


class LogEvent(NamedTuple):
    """Write a numbered log event."""

    event: EventType
    fields: dict[str, Any]


class HandoverComplete:
    """This replica no longer leads, so the process may exit."""


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
