"""TCP socket helpers: options that detect lost peers, complete writes, orderly shutdown.

Closing a socket that has unread input resets the connection: the peer loses its request, and possibly a
response that it has not read yet. `SHUT_RD` is not used, because the kernel would then report `POLLRDHUP`, as
if the peer had closed its side.
"""

import contextlib
import select
import struct
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.rpc.addresses import Address

UNACKNOWLEDGED_TIMEOUT_MS: Final = 2000  # TCP_USER_TIMEOUT: limit for data without an acknowledgement
SEND_TIMEOUT_SECONDS: Final = UNACKNOWLEDGED_TIMEOUT_MS / 1000  # limit for a write without progress
RECEIVE_BYTES: Final = 65536  # per read
RECEIVE_BUFFER_BYTES: Final = 16 << 10  # of the kernel, for each accepted connection
RESETTING_LINGER: Final = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s
CLOSE_EVENTS: Final = select.POLLRDHUP | select.POLLHUP | select.POLLERR
KEEPALIVE_OPTIONS: Final = {
    socket.TCP_KEEPIDLE: 10,  # s without traffic before the first probe
    socket.TCP_KEEPINTVL: 5,  # s between probes
    socket.TCP_KEEPCNT: 3,  # probes without an acknowledgement that end the connection
}


Listener = Address | socket.socket  # an address to bind, or a socket that listens already


def limit_receive_buffer(sock: socket.socket, receive_buffer_bytes: int) -> None:
    """Limit what the kernel holds of a connection's unread input, or of each that a listener accepts.

    The kernel allows about one and a half times as much.
    """
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)


def limit_send_buffer(sock: socket.socket, send_buffer_bytes: int) -> None:
    """Limit what the kernel holds of output that a peer does not read, or of each peer of a listener."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes)


def listen(address: Address, backlog: int) -> socket.socket:
    """Return a socket that listens at `address`. Raises OSError if the address cannot be bound."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        limit_receive_buffer(listener, RECEIVE_BUFFER_BYTES)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def as_listening_socket(listener: Listener, backlog: int) -> socket.socket:
    """Return `listener` if it is a socket, else one that listens at its address. Raises OSError."""
    return listener if isinstance(listener, socket.socket) else listen(listener, backlog)


def configure_socket(sock: socket.socket) -> None:
    """Disable Nagle's algorithm, and detect peers that disappeared without closing the connection."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in KEEPALIVE_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def send_all(sock: socket.socket, data: bytes, timeout: float = SEND_TIMEOUT_SECONDS) -> None:
    """Write all of `data`.

    Raises OSError if the connection fails or the peer accepts no data for `timeout` s. After any exception a
    part of `data` may have been sent, so nothing else may be written to the connection.
    """
    remaining = memoryview(data)
    while remaining:
        with gevent.Timeout(timeout, OSError("the other side takes nothing")):
            remaining = remaining[sock.send(remaining) :]


def has_unread_input(sock: socket.socket) -> bool:
    """Whether there is something to read on a connection: data, its end, or an error."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)  # type: ignore[attr-defined]  # the underlying non-blocking socket
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, even if input from it is still unread."""
    poll = select.poll()
    poll.register(sock.fileno(), CLOSE_EVENTS)
    return bool(poll.poll(0))


def stop_listening(server: StreamServer) -> None:
    """Stop listening, after handling the connections that are in the listen queue."""
    if not server.started:
        return
    with contextlib.suppress(OSError):  # out of file descriptors: the remaining ones cannot be handled
        while (accepted := server.do_read()) is not None:
            server.do_handle(*accepted)
    server.close()


def reset_connection(sock: socket.socket) -> None:
    """Close a connection with a reset, so that the peer can tell that its last response is incomplete."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
    sock.close()


def close_after_last_response(sock: socket.socket, timeout: float) -> None:
    """Close a connection without a reset: half-close it, and discard input until the peer closes it too.

    `timeout`: seconds to wait for the peer.
    """
    with contextlib.suppress(OSError, gevent.Timeout), gevent.Timeout(timeout):
        sock.shutdown(socket.SHUT_WR)
        while sock.recv(RECEIVE_BYTES):
            pass
    sock.close()
