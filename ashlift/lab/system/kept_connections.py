"""Connections of clients that are kept open and used again until their proxy ends them.

Programs that end must not lose what arrives on such connections, so the lab's clients have many of them.
"""

import time
from collections import defaultdict
from collections.abc import Callable
from typing import Final

from gevent import socket

from ashlift.errors import Failure
from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.lab.system.http_exchange import Address, connect, converse
from ashlift.rpc.sockets import has_unread_input

MAX_IDLE_PER_ADDRESS: Final = 8


class KeptConnections:
    """Idle connections by address; one is used by one exchange at a time."""

    def __init__(self) -> None:
        self._idle: defaultdict[Address, list[socket.socket]] = defaultdict(list)

    def exchange(
        self,
        address: Address,
        request: bytes,
        timeout: float,
        connect_timeout: float,
        on_sent: Callable[[], None],
        use_kept: bool,
    ) -> HttpResponse | Failure:
        """Send a request and return its answer, as `http_exchange.exchange` does.

        `use_kept`: on an idle connection, if there is one. The connection is kept if the answer allows it.
        """
        deadline = time.monotonic() + timeout
        sock = self._take(address) if use_kept else None
        connection = sock or connect(address, min(timeout, connect_timeout))
        if isinstance(connection, Failure):
            return connection
        answer = converse(connection, request, deadline, on_sent)
        if (
            isinstance(answer, HttpResponse)
            and answer.keep_alive
            and len(self._idle[address]) < MAX_IDLE_PER_ADDRESS
        ):
            self._idle[address].append(connection)
        else:
            connection.close()
        return answer

    def _take(self, address: Address) -> socket.socket | None:
        """The connection that was used last and whose peer has not closed it."""
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
