"""What tests of a server's end send and read: bytes that it has not looked at, and all until the end."""

import socket as blocking_socket

from gevent import socket

RECEIVE_BYTES = 65536


def send_unread(sock: socket.socket, data: bytes) -> None:
    """Send without a switch of greenlets: the bytes lie in the kernel, and no server here reads them."""
    blocking_socket.socket.sendall(sock._sock, data)  # type: ignore[attr-defined]


def read_to_end(sock: socket.socket) -> bytes:
    """All that the peer sends until it closes the connection."""
    received = b""
    while data := sock.recv(RECEIVE_BYTES):
        received += data
    return received
