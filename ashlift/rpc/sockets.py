"""TCP sockets of the system's connections: options that detect lost peers, complete writes, orderly ends.

To close a socket on which bytes lie unread resets the connection: the peer loses its request, and perhaps a
response that it has not read yet. `SHUT_RD` is never used: the kernel then reports our own half-close as the
peer's (`POLLRDHUP`).
"""

import contextlib
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

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


def has_unread_input(sock: socket.socket) -> bool:
    """Whether something lies unread on a connection: bytes, its end, or an error."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)  # type: ignore[attr-defined]  # the plain socket does not wait
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def stop_listening(server: StreamServer) -> None:
    """Serve the connections that the kernel has accepted, and accept no more."""
    if not server.started:
        return
    with contextlib.suppress(OSError):  # no descriptors are left: the rest cannot be served
        while (accepted := server.do_read()) is not None:
            server.do_handle(*accepted)
    server.close()


def close_after_last_response(sock: socket.socket, timeout: float) -> None:
    """End a connection in order: what the peer still sends is read and dropped until it closes, too.

    `timeout`: seconds that it has for that.
    """
    with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(timeout):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(RECEIVE_BYTES):
            pass
    sock.close()
