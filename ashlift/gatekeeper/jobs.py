"""What the core takes in and gives back, and the ports through which it acts. No input or output here."""

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
    PASSED = "passed"  # it may pass; it asked for nothing more
    REFUSED = "refused"  # not served; asking again is harmless
    FAILED = "failed"  # not served, and nothing is promised


@dataclass(frozen=True, slots=True)
class Answer:
    """The one final answer of a job."""

    verdict: Verdict
    body: bytes = b""
    retry_after_ms: float = 0.0
    opening: Any = field(default=None, repr=False)  # of a body that is passed on as it arrives
    cause: Any = None  # why the last claim failed, in the words of the adapters


@dataclass(slots=True, eq=False)
class Job:
    """One request for the core, whichever front or record it came from.

    `cargo` is what an execute node is to be sent, known to the node adapter alone; a job without any asks
    only whether it may pass.
    """

    request_class: int  # class, as the settings number it
    plan: int
    customer: str
    time_left_ms: float  # counted from `came_ms`
    received_ms: float
    reply: Callable[[Answer], None] = field(repr=False)
    upstream_request: Any = field(default=None, repr=False)
    units: float = 1.0
    gateway_count: int = 1
    retry: bool = False
    streamed: bool = False  # its bodies are passed on as they arrive
    number: int = -1  # given by the owner
    attempts: int = 0  # started so far
    response_started: bool = (
        False  # its answer's head has gone to the client: there is no other answer any more
    )
    cause: Any = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class JobAbandoned:
    """The client of this job is gone."""

    job: Job


@dataclass(frozen=True, slots=True)
class AttemptFinished:
    """How one claim ended; the body counts only where the result is OK."""

    number: int
    attempt: int
    server: str
    result: Result
    elapsed_ms: float  # of a streamed answer: to its head
    body: bytes = field(default=b"", repr=False)
    cause: Any = None


@dataclass(frozen=True, slots=True)
class RequestBodyStarted:
    """The first byte of this job's body is about to leave in this claim: it cannot be sent again."""

    number: int
    attempt: int


class Opening(Protocol):
    """The head of an answer, and the body that comes behind it."""

    def withdraw(self) -> None:
        """Nobody waits for it any more."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of this claim's answer has come; the claim ends when the body has."""

    number: int
    attempt: int
    opening: Opening = field(repr=False)


@dataclass(frozen=True, slots=True)
class ResponseDelivered:
    """The body of this job's answer has gone to its client, to its end or not."""

    job: Job
    complete: bool


@dataclass(frozen=True, slots=True)
class Command:
    """A call of the operators' door; `reply` is given the door's answer, once."""

    call: Any  # an `operations.calls.Call`
    reply: Callable[[Any], Any] = field(repr=False)


@dataclass(frozen=True, slots=True)
class ManualDrainsChanged:
    """Another process wrote which execute nodes are out by hand: ids and since when, Unix ms."""

    out: dict[str, float]


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
    """The queue through which everything reaches the owner."""

    def put(self, item: Message, /) -> Any:
        """Append; never blocks."""


class Nodes(Protocol):
    """Carries claims to execute nodes. Each start ends in one ClaimEnded."""

    def start(self, job: Job, attempt_index: int, server: str, timeout_ms: float) -> None:
        """Begin a claim; returns at once."""

    def cancel(self, number: int, attempt_index: int) -> None:
        """Close the claim's connection before returning."""


class Counter(Protocol):
    """The shared quota counter. Each call ends in one CounterCallEnded, by the give-up time at the latest."""

    def add(self, key: int, amount: float, ttl_ms: float) -> None:
        """Begin a call; returns at once."""


class Clock(Protocol):
    """One clock for all times of the module, and timers by it."""

    def now(self) -> float:
        """Milliseconds."""

    def call_later(self, delay_ms: float, callback: Callable[..., Any], *args: Any) -> Any:
        """Call in so many ms; the returned timer has `close()`."""
