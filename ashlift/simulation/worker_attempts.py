"""Attempts of proxies at workers, on simulated time."""

from typing import TYPE_CHECKING, Protocol

from ashlift.proxy.attempts import AttemptOutcome
from ashlift.proxy.load_balancer import WorkerState

if TYPE_CHECKING:
    from ashlift.simulation.proxy_process import ProxyRequest


class WorkerTransport(Protocol):
    """How attempts come to workers."""

    def send(self, attempt: "WorkerAttempt", reused: bool, connect_timeout: float) -> None:
        """Send the request on a `reused` connection, or on one that comes up within the timeout."""

    def close(self, attempt: "WorkerAttempt") -> None:
        """Tell the worker that the proxy has closed the attempt's connection."""


class WorkerAttempt:
    """One attempt under way at a worker. Times are seconds on the clock of the world."""

    __slots__ = (
        "cancelled",
        "ended",
        "idle_seconds",
        "proxy_incarnation",
        "proxy_request",
        "remaining",
        "sent",
        "started",
        "worker",
    )

    def __init__(self, proxy_request: "ProxyRequest", worker: WorkerState, remaining: float) -> None:
        """`remaining`: until the request's deadline."""
        self.proxy_request = proxy_request
        self.worker = worker
        self.remaining = remaining
        self.proxy_incarnation = proxy_request.proxy.incarnation
        self.started = 0.0
        self.idle_seconds = 0.0  # that its connection was not used before
        self.cancelled = False
        self.sent = False
        self.ended = False

    @property
    def is_closed(self) -> bool:
        """Whether its connection is closed at the proxy's end."""
        if self.cancelled or self.ended:
            return True
        return self.proxy_request.proxy.incarnation != self.proxy_incarnation

    def finish(self, outcome: AttemptOutcome, keep_connection: bool = False) -> None:
        """The outcome has come to the proxy."""
        proxy = self.proxy_request.proxy
        if not self.ended and proxy.incarnation == self.proxy_incarnation:
            self.ended = True
            proxy.release_connection(self.worker.record.id, keep_connection and not self.cancelled)
            self.proxy_request.attempt_ended(self, outcome)
