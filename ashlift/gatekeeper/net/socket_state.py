"""Checks of a connected socket that do not read from it."""

from gevent import socket

from ashlift.rpc.sockets import has_unread_input


def has_no_input(sock: socket.socket) -> bool:
    """Whether there is nothing to read: no data, no end of the stream and no error."""
    return not has_unread_input(sock)
