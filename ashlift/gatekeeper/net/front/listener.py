"""Accepts client connections within their bounds, and knows every open one."""

import contextlib
import errno
from collections.abc import Callable
from typing import TYPE_CHECKING

import gevent
from gevent import socket
from gevent.event import Event

from ashlift.gatekeeper.config import RequestSchema
from ashlift.gatekeeper.jobs import Clock, Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front.connection import Connection

if TYPE_CHECKING:
    from ashlift.gatekeeper.streams.passage import Desk

FULL_S = 0.02  # when all places are taken by jobs, one is looked for so often
BACKLOG = 1024


def adopt(descriptor: int) -> socket.socket:
    """The listening socket behind an inherited descriptor. Guards against accepting on whatever else the
    number may stand for: an IPv4 TCP socket that listens, or OSError."""
    sock = socket.socket(fileno=descriptor)
    try:
        kind = sock.getsockopt(socket.SOL_SOCKET, socket.SO_TYPE)
        listening = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        if sock.family != socket.AF_INET or kind != socket.SOCK_STREAM or not listening:
            raise OSError(errno.ENOTSOCK, f"descriptor {descriptor} is no listening TCP socket of IPv4")
    except OSError:
        sock.detach()  # not ours to close
        raise
    return sock


class Front:
    """Listens, and knows every open client connection. `desk` is None where nothing is streamed."""

    def __init__(
        self,
        names: RequestSchema,
        most: int,
        idle_most: int,
        ready: Callable[[], bool],
        clock: Clock,
        inbox: Inbox,
        metrics: Metrics,
        desk: "Desk | None" = None,
    ) -> None:
        self.names, self.ready, self.clock, self.inbox, self.metrics = names, ready, clock, inbox, metrics
        self.closing = False
        self.traces: set[bytes] = set()  # of open jobs
        self.idle: dict[Connection, None] = {}  # connections that are owed nothing, the longest idle first
        self._most, self._idle_most = most, idle_most
        self._freed = Event()
        self._connections: set[Connection] = set()
        self._new: Callable[[socket.socket], Connection] = lambda sock: Connection(self, sock)
        if desk is not None:  # loaded only where the settings turn it on
            from ashlift.gatekeeper.net.front.streaming import StreamConnection

            here = desk
            self._new = lambda sock: StreamConnection(self, sock, here)

    @property
    def open(self) -> int:
        return len(self._connections)

    def listen(self, address: tuple[str, int], inherited: int | None = None) -> socket.socket:
        """Bind and listen; or accept on the socket that descriptor `inherited` already is, which the
        platform holds for this process and its successor alike. Raises OSError where that is no listening TCP
        socket."""
        if inherited is not None:
            return adopt(inherited)
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)
        sock.listen(BACKLOG)
        return sock

    def run(self, listener: socket.socket) -> None:
        """Accept for ever, within the bound of connections."""
        while True:
            if len(self.idle) > self._idle_most:
                # Guards against clients that are kept from asking by others who only stay: all that clients
                # hold counts towards what they may hold.
                self._put_one_out()
            while self.open >= self._most:
                self._put_one_out()
                self._freed.clear()
                self._freed.wait(FULL_S)
            try:
                sock, _ = listener.accept()
            except OSError as error:
                if error.errno == errno.EBADF:
                    return  # closed at the end
                self.metrics.add("clients.accept_failed")
                gevent.sleep(0.01)  # out of descriptors: some come free soon
                continue
            self._accept(sock)

    def accept_backlog(self, listener: socket.socket) -> None:
        """Serve the clients that the kernel has accepted: to close the listener would reset them."""
        listener.settimeout(0.0)
        with contextlib.suppress(OSError):  # there are no more
            while True:
                sock, _ = listener.accept()
                self._accept(sock)

    def _accept(self, sock: socket.socket) -> None:
        self.metrics.add("clients.accepted")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = self._new(sock)
        self._connections.add(connection)
        gevent.spawn(self._serve, connection)

    def _put_one_out(self) -> None:
        """Guards against places held by those who ask nothing while others wait: the longest idle connection
        ends, if there is one that may."""
        now = self.clock.now()
        spare = next((connection for connection in self.idle if connection.spare(now)), None)
        if spare is not None:
            self.metrics.add("clients.put_out")
            spare.put_out()

    def _serve(self, connection: Connection) -> None:
        try:
            connection.read()
        finally:
            self._connections.discard(connection)
            self.idle.pop(connection, None)
            self._freed.set()

    def standby(self, on: bool) -> None:
        """Drain, or end the drain: while on, connections end after their answers, and those at rest now."""
        self.closing = on
        if on:
            self.rest()

    def close(self) -> None:
        """From now on connections end between requests: those at rest now, the others with their answer."""
        self.closing = True
        self.rest()

    def rest(self) -> None:
        """End the connections on which nothing is asked."""
        for connection in list(self._connections):
            connection.rest()

    def cut(self) -> None:
        """End what the drain has not ended, so that its clients can tell."""
        for connection in list(self._connections):
            connection.cut()
