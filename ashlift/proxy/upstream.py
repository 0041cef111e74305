"""Connections to workers: kept, checked before each use, and closed when anything on them is in doubt."""

import time
from collections import deque
from dataclasses import dataclass

import gevent
from gevent import socket

from ashlift.gatekeeper.net.links import quiet
from ashlift.gatekeeper.net.replies import SpoiltAnswerError
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.idle_connections import IdleConnectionAges
from ashlift.proxy.responses import ATTEMPT_ID_HEADER, WorkerResponse
from ashlift.rpc.addresses import Address

# an idle connection is used again for so long, or as long as `Keep-Alive` says, less a second
MAX_IDLE_SECONDS = 4.0
MAX_IDLE_PER_WORKER = 16  # kept to one worker
# bytes of a request, from which on an answer may come before all of it has been read
MIN_EARLY_RESPONSE_REQUEST_BYTES = 16 << 10


@dataclass(slots=True, eq=False)
class WorkerConnection:
    sock: socket.socket
    address: Address
    usable_until: float = 0.0
    idle_since: float = 0.0  # resting


class Attempt:
    """One try under way; `cancel` closes its connection."""

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.cancelled = self.sent = False

    def cancel(self) -> None:
        self.cancelled = True
        if self.sock is not None:
            self.sock.close()


class ConnectionPool:
    """All connections to workers of this process. A worker is its id: its address may pass to another."""

    def __init__(self) -> None:
        self._idle: dict[str, deque[WorkerConnection]] = {}
        self._open: dict[str, int] = {}
        self._idle_ages = IdleConnectionAges()

    def exchange(
        self,
        one: Attempt,
        worker: str,
        address: Address,
        request: bytes,
        attempt: bytes,
        most: int,
        dial: float,
        left: float,
        repeatable: bool,
    ) -> AttemptOutcome:
        """Send a request and read its answer. `dial`, `left`: s; `most`: connections to this worker."""
        began = time.monotonic()
        rested = 0.0
        timer = gevent.Timeout(left)
        timer.start()
        link: WorkerConnection | None = None
        keep_s = 0.0
        try:
            link = self._take_idle(worker, address, self._idle_ages.max_idle(began, repeatable))
            if link is not None:
                rested = began - link.idle_since
            else:
                if self._open.get(worker, 0) >= most:
                    return AttemptOutcome(AttemptResult.NO_CONNECTION_FREE)
                link = self._connect(worker, address, min(dial, left))
            if one.cancelled:
                keep_s = MAX_IDLE_SECONDS
                return AttemptOutcome(AttemptResult.NOT_RUN)
            one.sock, one.sent = link.sock, True
            link.sock.sendall(request)
            early = len(request) > MIN_EARLY_RESPONSE_REQUEST_BYTES and not quiet(link.sock)
            reply, keep_s = self._read_response(link.sock, attempt)
            if early:
                keep_s = 0.0  # who answers before the end of a request may take the rest of it for another
            waited = time.monotonic() - began
            if reply is None:
                return AttemptOutcome(AttemptResult.CONNECTION_LOST, None, waited)
            return AttemptOutcome(
                AttemptResult.NOT_RUN if reply.not_run else AttemptResult.RESPONSE, reply, waited
            )
        except gevent.Timeout as over:
            if over is not timer:
                raise
            return AttemptOutcome(
                AttemptResult.TIMED_OUT if one.sent else AttemptResult.CONNECT_FAILED,
                None,
                time.monotonic() - began,
            )
        except (OSError, SpoiltAnswerError) as error:
            now = time.monotonic()
            forgotten = isinstance(error, ConnectionError) and self._idle_ages.record_reset(
                now, rested, now - began
            )
            return AttemptOutcome(
                AttemptResult.CONNECTION_LOST if one.sent else AttemptResult.CONNECT_FAILED,
                None,
                now - began,
                forgotten,
            )
        finally:
            timer.close()
            one.sock = None
            if link is not None:
                self._release(worker, link, 0.0 if one.cancelled and one.sent else keep_s)

    @staticmethod
    def _read_response(sock: socket.socket, attempt: bytes) -> tuple[WorkerResponse | None, float]:
        """The answer with our id, and for how long the connection may be used again. An answer with another
        id is a late second one of an earlier request: ours may follow, and then the connection goes."""
        doubted = False
        while True:
            reply = WorkerResponse()
            while not reply.done:
                data = sock.recv(65536)
                if not data:
                    return None, 0.0
                reply.feed(data)
            if reply.header(ATTEMPT_ID_HEADER) == attempt:
                break
            if not reply.keep or doubted:
                return None, 0.0
            doubted = True
        if not (reply.is_valid() or reply.not_run):
            return None, 0.0
        if doubted or not reply.keep or reply.to_close:
            return reply, 0.0
        told = reply.header(b"keep-alive") or b""
        seconds = told.partition(b"timeout=")[2].split(b",")[0].strip()
        return reply, min(MAX_IDLE_SECONDS, int(seconds) - 1.0) if seconds.isdigit() else MAX_IDLE_SECONDS

    def _take_idle(self, worker: str, address: Address, rest: float) -> WorkerConnection | None:
        """The connection used last that still stands, leads to `address` (a worker that starts again with its
        id may have another), on which nothing lies unread, and that has rested for no more than `rest` s."""
        links, now = self._idle.get(worker), time.monotonic()
        while links:
            link = links.pop()
            fresh = now < link.usable_until and now - link.idle_since <= rest
            if fresh and link.address == address and quiet(link.sock):
                return link
            self._close(worker, link)
        return None

    def _connect(self, worker: str, address: Address, within: float) -> WorkerConnection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._open[worker] = self._open.get(worker, 0) + 1
        link = WorkerConnection(sock, address)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with gevent.Timeout(within, OSError("no connection came up")):
                sock.connect(address)
        except BaseException:
            self._close(worker, link)
            raise
        return link

    def _release(self, worker: str, link: WorkerConnection, keep_s: float) -> None:
        if keep_s <= 0:
            return self._close(worker, link)
        link.idle_since = time.monotonic()
        link.usable_until = link.idle_since + keep_s
        links = self._idle.setdefault(worker, deque())
        links.append(link)
        if len(links) > MAX_IDLE_PER_WORKER:
            self._close(worker, links.popleft())

    def _close(self, worker: str, link: WorkerConnection) -> None:
        link.sock.close()
        left = self._open.get(worker, 1) - 1
        if left:
            self._open[worker] = left
        else:
            self._open.pop(worker, None)

    def close_expired(self, wanted: set[str]) -> None:
        """Close what has stood idle too long or leads to a worker that is gone."""
        now = time.monotonic()
        for worker, links in list(self._idle.items()):
            while links and (links[0].usable_until <= now or worker not in wanted):
                self._close(worker, links.popleft())
            if not links:
                del self._idle[worker]
