"""Claims on execute nodes: one HTTP exchange each, over connections that are kept and used again."""

import errno
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import gevent
from gevent import socket

from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.jobs import ClaimEnded, Clock, Inbox, Job
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.links import quiet
from ashlift.gatekeeper.net.machine_list import MachineList
from ashlift.gatekeeper.net.replies import Reply, SpoiltAnswerError
from ashlift.gatekeeper.operations.statsd_metrics import RELAYED_COUNTER

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.passage import Desk, Passage

IDLE_EACH = 64  # idle connections kept to one node
SWEEP_S = 1.0
IDLE_SHARE = 0.6  # of the time after which a node closes an idle connection: ours goes well before that


@dataclass(frozen=True, slots=True)
class Cargo:
    """What of a job an execute node gets unchanged."""

    method: bytes
    target: bytes
    trace: bytes
    body: bytes = b""
    passage: "Passage | None" = None  # of a job whose bodies are passed on as they arrive


# Node and address: guards against a connection to a node that has gone being used for a new one there.
End = tuple[str, tuple[str, int]]


@dataclass(slots=True, eq=False)
class Link:
    sock: socket.socket
    end: End
    idle_at: float = 0.0


@dataclass(slots=True, eq=False)
class Claim:
    job: Job
    attempt: int
    server: str
    timeout_ms: float
    sock: socket.socket | None = None
    cancelled: bool = False
    written: bool = False  # its last byte is
    waited_ms: float | None = None  # to the head of an answer that is streamed
    began: float = 0.0  # ms
    cause: Any = None  # why it failed, for the front's words

    def end(self) -> None:
        """Close its connection: whoever waits there wakes."""
        if self.sock is not None:
            self.sock.close()


@dataclass(slots=True)
class Limits:
    """Bounds of the node connections."""

    dial_ms: float
    idle_ms: float
    links: int  # open connections to all nodes together


class NodePool:
    """Starts claims, each in a greenlet of its own, and owns every connection to a node."""

    def __init__(
        self,
        machines: MachineList,
        limits: Limits,
        clock: Clock,
        inbox: Inbox,
        metrics: Metrics,
        desk: "Desk | None" = None,
        spill_bytes: int = 8 << 20,
    ) -> None:
        self._machines, self._limits, self._clock = machines, limits, clock
        self._inbox, self._metrics = inbox, metrics
        self._idle: dict[End, deque[Link]] = {}
        self._open = 0
        self._claims: dict[tuple[int, int], Claim] = {}
        self.desk = desk  # where long answers get their places; made at the first where none is given
        self._spill_bytes = spill_bytes  # the budget of such a desk

    def _spill_desk(self) -> "Desk":
        if self.desk is None:
            from ashlift.gatekeeper.settings.model import Streaming
            from ashlift.gatekeeper.streams.passage import Desk

            most = self._spill_bytes
            self.desk = Desk(
                Streaming(enabled=True, buffer_bytes=most, stream_buffer_bytes=min(256 << 10, most // 8)), {}
            )
        return self.desk

    def start(self, job: Job, attempt: int, server: str, timeout_ms: float) -> None:
        claim = Claim(job, attempt, server, timeout_ms)
        self._claims[job.number, attempt] = claim
        gevent.spawn(self._run, claim)

    def cancel(self, number: int, attempt: int) -> None:
        """Guards against two claims out at once: the connection is closed before this returns."""
        claim = self._claims.get((number, attempt))
        if claim is not None:
            claim.cancelled = True
            claim.end()

    def _run(self, claim: Claim) -> None:
        began = claim.began = self._clock.now()
        body = b""
        try:
            result, body = self._exchange(claim)
        except Exception as error:  # whatever breaks in one claim is that claim's end and no other's
            if claim.cancelled:
                result = Result.CANCELLED
            elif isinstance(error, (OSError, gevent.Timeout)):
                result = Result.RESET if claim.written else Result.CONNECT_FAILED
            elif isinstance(error, SpoiltAnswerError):
                self._metrics.add("claims.spoilt")
                result = Result.RESET
            else:
                self._metrics.add("claims.faults")
                result = Result.RESET
        finally:
            del self._claims[claim.job.number, claim.attempt]
        waited = self._clock.now() - began if claim.waited_ms is None else claim.waited_ms
        number = claim.job.number
        self._inbox.put(ClaimEnded(number, claim.attempt, claim.server, result, waited, body, claim.cause))

    def _exchange(self, claim: Claim) -> tuple[Result, bytes]:
        machine = self._machines.ready(claim.server)
        if claim.cancelled:
            return Result.CANCELLED, b""
        if machine is None or (claim.timeout_ms < 0):
            return Result.NOT_SENT, b""
        timer = gevent.Timeout(claim.timeout_ms / 1000 if claim.timeout_ms > 0 else None)
        timer.start()
        link: Link | None = None
        keep = False
        began = self._clock.now()
        try:
            link = self._take((claim.server, machine.address)) or self._dial(claim, machine.address)
            if link is None:
                return Result.NOT_SENT, b""
            claim.sock = link.sock
            # A drain told while the connection was coming up counts: looked at again before the first byte.
            still = self._machines.ready(claim.server)
            if still is None or still.address != machine.address:
                self._metrics.add("claims.withdrawn")
                keep = True
                return Result.NOT_SENT, b""
            left = claim.timeout_ms - (self._clock.now() - began)
            if claim.job.cargo.passage is not None:
                from ashlift.gatekeeper.net.stream_claim import StreamClaim  # loaded where there are streams

                streaming = StreamClaim(claim, link.sock, timer, self._clock, self._inbox, self._metrics)
                result, keep = streaming.run(machine.address, left)
                return result, b""
            link.sock.sendall(self._request(claim, machine.address, left))
            claim.written = True
            self._metrics.add(RELAYED_COUNTER)
            result, body, keep = self._read(claim, link.sock, timer)
            return result, body
        except gevent.Timeout as over:
            if over is not timer:
                raise
            return (Result.TIMEOUT if claim.written else Result.CONNECT_FAILED), b""
        finally:
            timer.close()
            claim.sock = None
            if link is not None:
                self._give(link) if keep and not claim.cancelled else self._close(link)

    def _request(self, claim: Claim, address: tuple[str, int], left_ms: float) -> bytes:
        cargo: Cargo = claim.job.cargo
        length = b"Content-Length: %d\r\n" % len(cargo.body) if cargo.body or cargo.method != b"GET" else b""
        return b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nX-Trace-Id: %b\r\nX-Expires-In: %.3f\r\n%b\r\n%b" % (
            cargo.method,
            cargo.target,
            address[0].encode(),
            address[1],
            cargo.trace,
            max(0.001, left_ms / 1000),
            length,
            cargo.body,
        )

    def _read(self, claim: Claim, sock: socket.socket, timer: gevent.Timeout) -> tuple[Result, bytes, bool]:
        """Result, body, and whether the connection may be used again. An answer too long to hold passes on
        as it comes, and its body is not returned."""
        reply = Reply()
        while not reply.done:
            data = sock.recv(65536)
            if not data:
                if reply.ended():
                    break  # an answer that ends with its connection
                return Result.RESET, b"", False
            reply.feed(data)
            if reply.long:
                from ashlift.gatekeeper.net.spill import pass_on  # loaded with the first answer that needs it

                # Guards against a node that looks slow for the length of its answer: what counts is its head.
                claim.waited_ms = self._clock.now() - claim.began
                desk = self._spill_desk()
                result, keep = pass_on(claim, sock, reply, timer, desk, self._inbox, self._metrics)
                return result, b"", keep
        if reply.status == 200:
            return Result.OK, b"".join(reply.parts), reply.keep
        if reply.status in (503, 504) and reply.never_ran:
            return Result.OVERLOADED, b"", reply.keep
        return Result.ERROR, b"", reply.keep

    # ---- connections

    def _take(self, end: End) -> Link | None:
        """The idle connection used last, if it still stands.

        Guards against writing to a connection that the node has closed meanwhile: that would be a reset, and
        the job might have run. Such a connection is readable, with an end or an error in it.
        """
        links = self._idle.get(end)
        while links:
            link = links.pop()
            if self._clock.now() - link.idle_at < IDLE_SHARE * self._limits.idle_ms and quiet(link.sock):
                return link
            self._close(link)
        return None

    def _dial(self, claim: Claim, address: tuple[str, int]) -> Link | None:
        if self._open >= self._limits.links and not self._drop_oldest():
            self._metrics.add("nodes.no_room")
            return None
        self._open += 1
        self._metrics.add("nodes.dialled")
        sock = claim.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        link = Link(sock, (claim.server, address))
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with gevent.Timeout(self._limits.dial_ms / 1000, OSError(errno.ETIMEDOUT, "dial")):
                sock.connect(address)
        except BaseException:
            self._close(link)
            raise
        return link

    def _drop_oldest(self) -> bool:
        idle = [links for links in self._idle.values() if links]
        if not idle:
            return False
        self._close(min(idle, key=lambda links: links[0].idle_at).popleft())
        return True

    def _give(self, link: Link) -> None:
        links = self._idle.setdefault(link.end, deque())
        link.idle_at = self._clock.now()
        links.append(link)
        if len(links) > IDLE_EACH:
            self._close(links.popleft())

    def _close(self, link: Link) -> None:
        self._open -= 1
        link.sock.close()

    def sweep(self) -> None:
        """Close what has stood idle long, or leads to a node that is not on the list (any more)."""
        wanted = {(name, machine.address) for name, machine in self._machines.machines.items()}
        for end, links in list(self._idle.items()):
            oldest = self._clock.now() - IDLE_SHARE * self._limits.idle_ms
            while links and (links[0].idle_at < oldest or end not in wanted):
                self._close(links.popleft())
            if not links:
                del self._idle[end]

    def run(self) -> None:
        """Sweep for ever."""
        while True:
            gevent.sleep(SWEEP_S)
            self.sweep()
