"""What both sides' connections have in common."""

from gevent import socket


def quiet(sock: socket.socket) -> bool:
    """Whether nothing lies unread on a connection: neither a byte nor an end nor an error."""
    try:
        sock._sock.recv(1, socket.MSG_PEEK)  # type: ignore[attr-defined]  # the plain socket does not wait
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
