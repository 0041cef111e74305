"""Opens the sockets that a program listens on, also when their addresses become available only later.

At a start the predecessor may still hold an address while it ends, or the machine may not have its address
yet. Both pass, so the program waits; ending would only have it started again.
"""

import errno
from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.baseserver import BaseServer

from ashlift.errors import Failure, FailureReason
from ashlift.events import ADDRESS_UNAVAILABLE, CONNECTION_NOT_ACCEPTED, WARNING, log_event
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import listen

RETRY_SECONDS: Final = 0.1
REPORT_EVERY_ATTEMPTS: Final = 100
TEMPORARY_ERRORS: Final = (errno.EADDRINUSE, errno.EADDRNOTAVAIL)

ErrorHandler = Callable[[Any, Any, Any, Any], None]  # context, type, exception and traceback


def open_listener(
    address: Address, backlog: int, is_cancelled: Callable[[], bool] = lambda: False
) -> socket.socket | Failure:
    """Return a socket that listens at `address`; waits while another process holds the address.

    A Failure: REJECTED if the address can never be had, UNAVAILABLE if the wait was cancelled.
    """
    attempts = 0
    while not is_cancelled():
        try:
            return listen(address, backlog)
        except OSError as error:
            if error.errno not in TEMPORARY_ERRORS:
                return Failure(FailureReason.REJECTED, f"{_text(address)}: {error}")
            if attempts % REPORT_EVERY_ATTEMPTS == 0:
                log_event(ADDRESS_UNAVAILABLE, level=WARNING, address=_text(address), error=error)
        attempts += 1
        gevent.sleep(RETRY_SECONDS)
    return Failure(FailureReason.UNAVAILABLE, f"{_text(address)}: cancelled")


def _text(address: Address) -> str:
    host, port = address
    return f"{host}:{port}"


def log_accept_errors() -> None:
    """Log a connection that could not be accepted as an event; gevent tries again after a pause.

    Too many open descriptors are a matter of load, not a bug.
    """
    hub: Any = gevent.get_hub()
    handle_other_error: ErrorHandler = hub.handle_error

    def handle_error(context: Any, kind: Any, value: Any, traceback: Any) -> None:
        if isinstance(context, BaseServer) and isinstance(value, OSError):
            log_event(CONNECTION_NOT_ACCEPTED, level=WARNING, error=value)
        else:
            handle_other_error(context, kind, value, traceback)

    hub.handle_error = handle_error
