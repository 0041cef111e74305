"""Messages to the owner of the admission gateway, its answers, and the interfaces of its adapters. No I/O."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Protocol

from ashlift.gatekeeper.admission.interface import (
    CounterCallEnded,
    ProcessCountChanged,
    Result,
    ServerList,
    Timer,
)


class Verdict(Enum):
    """How a job ended."""

    SERVED = "served"  # an execute node answered it
    PASSED = "passed"  # admitted; the job asked only for admission
    REFUSED = "refused"  # not run; can be retried safely
    FAILED = "failed"  # not served; may have run


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a job."""

    verdict: Verdict
    body: bytes = b""
    retry_after_ms: float = 0.0
    opening: Any = field(default=None, repr=False)  # set if the body is forwarded as it arrives
    cause: Any = None  # why the last attempt failed: a streams.faults.Fault, if known


@dataclass(slots=True, eq=False)
class Job:
    """One request for admission, from the HTTP front or the rate limit service.

    `upstream_request` is the request to send to an execute node, and is used by the node adapter only. A job
    without one asks only whether it is admitted.
    """

    request_class: int  # index in the settings
    plan: int
    customer: str
    time_left_ms: float  # until the client stops waiting, counted from `received_ms`
    received_ms: float
    reply: Callable[[Answer], None] = field(repr=False)
    upstream_request: Any = field(default=None, repr=False)
    units: float = 1.0
    gateway_count: int = 1
    retry: bool = False
    streamed: bool = False  # bodies are forwarded as they arrive
    number: int = -1  # assigned by the owner
    attempts: int = 0  # started so far
    response_started: bool = False  # a response is being forwarded: it is the final answer
    cause: Any = field(default=None, repr=False)  # why the last attempt failed


@dataclass(frozen=True, slots=True)
class JobAbandoned:
    """The client of this job has disconnected or has given up."""

    job: Job


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How an attempt ended; `body` is valid only if the result is OK."""

    number: int
    attempt: int
    server: str
    result: Result
    elapsed_ms: float  # of a streamed response: until its head arrived
    body: bytes = field(default=b"", repr=False)
    cause: Any = None


@dataclass(frozen=True, slots=True)
class RequestBodyStarted:
    """The request body is about to be sent in this attempt, and cannot be sent again."""

    number: int
    attempt: int


class PendingResponse(Protocol):
    """A response whose head has arrived and whose body follows."""

    def discard(self) -> None:
        """Stop receiving it: no client waits for it."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of the response to this attempt has arrived; the attempt ends with the body."""

    number: int
    attempt: int
    opening: PendingResponse = field(repr=False)


@dataclass(frozen=True, slots=True)
class ResponseDelivered:
    """The response of this job has been written to its client, completely or not."""

    job: Job
    complete: bool


@dataclass(frozen=True, slots=True)
class Command:
    """A call of the management interface; `reply` is called once, with the response."""

    call: Any  # an `operations.admin_request.AdminRequest`
    reply: Callable[[Any], Any] = field(repr=False)


@dataclass(frozen=True, slots=True)
class ManualDrainsChanged:
    """Another process has changed which execute nodes operators have drained."""

    out: dict[str, float]  # id of each drained node, and since when in Unix ms


Message = (
    Job
    | JobAbandoned
    | AttemptFinished
    | RequestBodyStarted
    | ResponseStarted
    | ResponseDelivered
    | Command
    | ManualDrainsChanged
    | CounterCallEnded
    | ServerList
    | Timer
    | ProcessCountChanged
)


class Inbox(Protocol):
    """The queue of messages to the owner."""

    def put(self, item: Message, /) -> Any:
        """Append a message without blocking."""


class Nodes(Protocol):
    """Runs attempts at execute nodes. Each `start` leads to one AttemptFinished."""

    def start(self, job: Job, attempt_index: int, server: str, timeout_ms: float) -> None:
        """Start an attempt without waiting for it."""

    def cancel(self, number: int, attempt_index: int) -> None:
        """Close the connection of the attempt before returning."""


class Counter(Protocol):
    """The shared quota counter. Each call leads to one CounterCallEnded, after its timeout at the latest."""

    def add(self, key: int, amount: float, ttl_ms: float) -> None:
        """Start a call without waiting for it."""


class Clock(Protocol):
    """The clock that all times come from, and its timers."""

    def now(self) -> float:
        """Current time in milliseconds."""

    def call_later(self, delay_ms: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call `callback` after a delay; the returned timer has `close()`."""
