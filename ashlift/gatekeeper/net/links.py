"""What both sides' connections have in common."""

import select

from gevent import socket

from ashlift.rpc.sockets import has_unread_input

HUNG_UP = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def hung_up(sock: socket.socket) -> bool:
    """Whether the peer has closed, though bytes of it may still lie unread."""
    poll = select.poll()
    poll.register(sock.fileno(), HUNG_UP)
    return bool(poll.poll(0))


def quiet(sock: socket.socket) -> bool:
    """Whether nothing lies unread on a connection: neither a byte nor an end nor an error."""
    return not has_unread_input(sock)
