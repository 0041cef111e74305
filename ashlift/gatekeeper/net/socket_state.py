"""Checks of a connected socket that do not read from it."""

import select

from gevent import socket

from ashlift.rpc.sockets import has_unread_input

CLOSE_EVENTS = select.POLLRDHUP | select.POLLHUP | select.POLLERR


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed the connection, even if input from it is still unread."""
    poll = select.poll()
    poll.register(sock.fileno(), CLOSE_EVENTS)
    return bool(poll.poll(0))


def has_no_input(sock: socket.socket) -> bool:
    """Whether there is nothing to read: no data, no end of the stream and no error."""
    return not has_unread_input(sock)
