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

    kind: int  # class, as the settings number it
    plan: int
    customer: str
    patience_ms: float  # counted from `came_ms`
    came_ms: float
    reply: Callable[[Answer], None] = field(repr=False)
    cargo: Any = field(default=None, repr=False)
    units: float = 1.0
    set_size: int = 1
    retry: bool = False
    streamed: bool = False  # its bodies are passed on as they arrive
    number: int = -1  # given by the owner
    claims: int = 0  # started so far
    flowing: bool = False  # its answer's head has gone to the client: there is no other answer any more
    cause: Any = field(default=None, repr=False)


@dataclass(frozen=True, slots=True)
class Left:
    """The client of this job is gone."""

    job: Job


@dataclass(frozen=True, slots=True)
class ClaimEnded:
    """How one claim ended; the body counts only where the result is OK."""

    number: int
    attempt: int
    server: str
    result: Result
    waited_ms: float  # of a streamed answer: to its head
    body: bytes = field(default=b"", repr=False)
    cause: Any = None


@dataclass(frozen=True, slots=True)
class BodyBegun:
    """The first byte of this job's body is about to leave in this claim: it cannot be sent again."""

    number: int
    attempt: int


class Opening(Protocol):
    """The head of an answer, and the body that comes behind it."""

    def withdraw(self) -> None:
        """Nobody waits for it any more."""


@dataclass(frozen=True, slots=True)
class Headed:
    """The head of this claim's answer has come; the claim ends when the body has."""

    number: int
    attempt: int
    opening: Opening = field(repr=False)


@dataclass(frozen=True, slots=True)
class Delivered:
    """The body of this job's answer has gone to its client, to its end or not."""

    job: Job
    whole: bool


@dataclass(frozen=True, slots=True)
class Command:
    """A call of the operators' door; `reply` is given the door's answer, once."""

    call: Any  # an `operations.admin_request.AdminRequest`
    reply: Callable[[Any], Any] = field(repr=False)


@dataclass(frozen=True, slots=True)
class HandsWritten:
    """Another process wrote which execute nodes are out by hand: ids and since when, Unix ms."""

    out: dict[str, float]


Message = (
    Job
    | Left
    | ClaimEnded
    | BodyBegun
    | Headed
    | Delivered
    | Command
    | HandsWritten
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

    def start(self, job: Job, attempt: int, server: str, timeout_ms: float) -> None:
        """Begin a claim; returns at once."""

    def cancel(self, number: int, attempt: int) -> None:
        """Close the claim's connection before returning."""


class Counter(Protocol):
    """The shared quota counter. Each call ends in one CounterCallEnded, by the give-up time at the latest."""

    def add(self, name: int, amount: float, expire_ms: float) -> None:
        """Begin a call; returns at once."""


class Clock(Protocol):
    """One clock for all times of the module, and timers by it."""

    def now(self) -> float:
        """Milliseconds."""

    def later(self, in_ms: float, call: Callable[..., Any], *args: Any) -> Any:
        """Call in so many ms; the returned timer has `close()`."""
