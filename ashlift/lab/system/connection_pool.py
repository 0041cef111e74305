"""A pool of keep-alive connections, reused until the proxy closes them.

A proxy that shuts down must not lose requests on keep-alive connections; the clients of the lab test this.
"""

import time
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from gevent import socket

from ashlift.errors import Failure
from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.lab.system.http_exchange import Address, connect, exchange_on
from ashlift.rpc.sockets import has_unread_input

MAX_IDLE_PER_ADDRESS: Final = 8


class ConnectionPool:
    """Idle connections by address; a connection serves one exchange at a time."""

    def __init__(self) -> None:
        self._idle: defaultdict[Address, list[socket.socket]] = defaultdict(list)

    def exchange(
        self,
        address: Address,
        request: bytes,
        timeout: float,
        connect_timeout: float,
        on_sent: Callable[[], None],
        reuse: bool,
    ) -> HttpResponse | Failure:
        """Send a request and return its answer, as `http_exchange.exchange` does.

        `reuse`: use an idle connection if there is one. The connection is returned to the pool if the answer
        allows keep-alive.
        """
        deadline = time.monotonic() + timeout
        sock = self._take_idle(address) if reuse else None
        connection = sock or connect(address, min(timeout, connect_timeout))
        if isinstance(connection, Failure):
            return connection
        answer = exchange_on(connection, request, deadline, on_sent)
        if (
            isinstance(answer, HttpResponse)
            and answer.keep_alive
            and len(self._idle[address]) < MAX_IDLE_PER_ADDRESS
        ):
            self._idle[address].append(connection)
        else:
            connection.close()
        return answer

    def has_open(self, address: Address) -> bool:
        """Whether there is an idle connection to that address that its peer has not closed."""
        return any(not has_unread_input(sock) for sock in self._idle[address])

    def _take_idle(self, address: Address) -> socket.socket | None:
        """Return the most recently used connection that its peer has not closed, None if there is none."""
        idle = self._idle[address]
        while idle:
            sock = idle.pop()
            if not has_unread_input(sock):
                return sock
            sock.close()
        return None

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            while idle:
                idle.pop().close()
