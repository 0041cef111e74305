"""Socket helpers for tests of connection shutdown: unread input, and reading until the peer closes."""

import socket as blocking_socket

from gevent import socket

RECEIVE_BYTES = 65536


def send_unread(sock: socket.socket, data: bytes) -> None:
    """Send without yielding to other greenlets, so that no server in this process reads the bytes yet."""
    blocking_socket.socket.sendall(sock._sock, data)  # type: ignore[attr-defined]


def read_to_end(sock: socket.socket) -> bytes:
    """Read until the peer closes the connection."""
    received = b""
    while data := sock.recv(RECEIVE_BYTES):
        received += data
    return received
