"""TCP sockets of the system's connections: options that detect lost peers, and complete writes."""

from typing import Final

import gevent
from gevent import socket

UNACKNOWLEDGED_TIMEOUT_MS: Final = 2000  # TCP_USER_TIMEOUT: unacknowledged bytes for so long end a connection
SEND_TIMEOUT_SECONDS: Final = UNACKNOWLEDGED_TIMEOUT_MS / 1000  # a write that makes no progress is given up
RECEIVE_BYTES: Final = 65536  # read from a socket at once
KEEPALIVE_OPTIONS: Final = {
    socket.TCP_KEEPIDLE: 10,  # s without traffic before the first probe
    socket.TCP_KEEPINTVL: 5,  # s between probes
    socket.TCP_KEEPCNT: 3,  # probes without an acknowledgement that end the connection
}


def configure_socket(sock: socket.socket) -> None:
    """Send without delay, and detect peers that disappeared without closing the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def send_all(sock: socket.socket, data: bytes, timeout: float = SEND_TIMEOUT_SECONDS) -> None:
    """Write all of `data`.

    Raises OSError where the connection broke or the peer accepted nothing for `timeout` s. After any
    exception a part of `data` may have been sent: nothing else may be written to this connection.
    """
    remaining = memoryview(data)
    while remaining:
        with gevent.Timeout(timeout, OSError("the other side takes nothing")):
            remaining = remaining[sock.send(remaining) :]
