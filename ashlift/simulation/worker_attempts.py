"""Attempts of proxies to send requests to workers."""

from typing import TYPE_CHECKING, Protocol

from ashlift.proxy.attempts import AttemptOutcome
from ashlift.proxy.load_balancer import WorkerState

if TYPE_CHECKING:
    from ashlift.simulation.proxy_process import ProxyRequest


class WorkerTransport(Protocol):
    """Carries attempts to workers."""

    def send(self, attempt: "WorkerAttempt", reused: bool, connect_timeout: float) -> None:
        """Send the request on a `reused` connection, or on a new one with this connect timeout in seconds."""

    def close(self, attempt: "WorkerAttempt") -> None:
        """Tell the worker that the proxy has closed the attempt's connection."""


class WorkerAttempt:
    """One attempt in flight to a worker. Times are in seconds since the start of the run."""

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
        """`remaining`: seconds until the request's deadline."""
        self.proxy_request = proxy_request
        self.worker = worker
        self.remaining = remaining
        self.proxy_incarnation = proxy_request.proxy.incarnation
        self.started = 0.0
        self.idle_seconds = 0.0  # how long its reused connection was idle
        self.cancelled = False
        self.sent = False
        self.ended = False

    @property
    def is_closed(self) -> bool:
        """Whether the proxy has closed its connection."""
        if self.cancelled or self.ended:
            return True
        return self.proxy_request.proxy.incarnation != self.proxy_incarnation

    def finish(self, outcome: AttemptOutcome, keep_connection: bool = False) -> None:
        """Report the outcome to the proxy, unless the attempt has ended or the proxy has restarted."""
        proxy = self.proxy_request.proxy
        if not self.ended and proxy.incarnation == self.proxy_incarnation:
            self.ended = True
            proxy.release_connection(self.worker.record.id, keep_connection and not self.cancelled)
            self.proxy_request.attempt_ended(self, outcome)
