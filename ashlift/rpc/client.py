"""The client side of RPC: one connection to each peer, with many requests in flight on it.

A write that is abandoned halfway through a frame closes the connection, and so does an invalid frame that is
read. The outcome of the requests in flight is then unknown, and the next request opens a new connection.
"""

import time
from typing import Any, Final

import gevent
from gevent import socket
from gevent.event import AsyncResult
from gevent.lock import Semaphore

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.addresses import Address
from ashlift.rpc.framing import RESPONSE_CRC_SEED, FrameDecoder
from ashlift.rpc.messages import decode_response, encode_request
from ashlift.rpc.sockets import RECEIVE_BYTES, configure_socket, send_all

CONNECT_TIMEOUT_SECONDS: Final = 0.5
PROGRESS_TIMEOUT_SECONDS: Final = 0.3  # an extended wait ends if no bytes arrive for this long


class ProgressDeadline:
    """Extends the wait for a response while bytes arrive, until the hard deadline.

    `hard_deadline`: monotonic time, s. `received_bytes`: what the connection had received when the current
    wait began.
    """

    def __init__(self, hard_deadline: float) -> None:
        self.hard_deadline = hard_deadline
        self.received_bytes = 0

    def extension(self, now: float, received_bytes: int) -> float:
        """Return how many more seconds to wait; 0: give up."""
        if received_bytes <= self.received_bytes:
            return 0.0
        return max(0.0, min(PROGRESS_TIMEOUT_SECONDS, self.hard_deadline - now))


class Connection:
    """One connection to a peer and the requests in flight on it, which fail when it closes.

    Closing it also ends the greenlet that reads from it.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.in_flight: dict[int, AsyncResult[Any]] = {}  # by request number
        self.received_bytes = 0

    def close(self) -> None:
        """Close the connection and fail its requests: whether they were executed is unknown."""
        self.sock.close()
        in_flight = self.in_flight
        self.in_flight = {}
        for response in in_flight.values():
            response.set(Failure(FailureReason.OUTCOME_UNKNOWN, "the connection broke"))


class _RequestInFlight:
    """A request of one caller; `connection` is None as long as no part of it can have been sent."""

    __slots__ = ("connection", "number", "response")

    def __init__(self) -> None:
        self.connection: Connection | None = None
        self.number = 0
        self.response: AsyncResult[Any] = AsyncResult()


class RpcClient:
    """Sends requests to one peer over one connection, which is opened on demand and reopened after a failure.

    Request numbers rise across connections, so that a response never matches a request of another connection.
    """

    def __init__(self, address: Address) -> None:
        self.address = address
        self._connection: Connection | None = None
        self._last_number = 0
        self._send_lock = Semaphore()  # held while connecting and while writing a frame

    def call(
        self,
        method: str,
        body: Any,
        timeout: float,
        max_timeout: float = 0.0,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> Any:
        """Send a request and wait for its response: the body, or a Failure. Never raises for network errors.

        Failures of the call itself are UNREACHABLE (not sent), OUTCOME_UNKNOWN (it may have been executed, or
        may still be) and INVALID (too large).

        `timeout`: s, of which connecting may take `connect_timeout`. While bytes arrive, the wait is extended
        up to `max_timeout` s in total: otherwise a large response over a slow link would be abandoned and
        requested again.
        """
        timer = gevent.Timeout(timeout)
        timer.start()
        hard_deadline = time.monotonic() + max_timeout
        request = _RequestInFlight()
        try:
            connection = self._send(request, method, body, connect_timeout)
            return _await_response(request, connection, timer, hard_deadline)
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            return Failure(_failure_reason(request), f"{method}: {timeout:g} s")
        except OSError as error:
            return Failure(_failure_reason(request), str(error))
        except ValueError as error:
            return Failure(FailureReason.INVALID, f"{method}: {error}")
        finally:
            timer.close()
            if request.connection is not None:
                request.connection.in_flight.pop(request.number, None)

    def close(self) -> None:
        """Close the connection, if it is open; the next request opens a new one."""
        if self._connection is not None:
            self._disconnect(self._connection)

    def _send(self, request: _RequestInFlight, method: str, body: Any, connect_timeout: float) -> Connection:
        """Assign the request its number, write it to the connection, and return the connection."""
        with self._send_lock:
            number = self._last_number + 1
            frame = encode_request(number, method, body)
            connection = self._connection or self._connect(connect_timeout)
            self._last_number = request.number = number
            request.connection = connection
            connection.in_flight[number] = request.response
            try:
                send_all(connection.sock, frame)
            except BaseException:
                self._disconnect(connection)  # a part of the frame may have been sent
                raise
        return connection

    def _connect(self, timeout: float) -> Connection:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            configure_socket(sock)
            with gevent.Timeout(timeout, OSError("no connection came up")):
                sock.connect(self.address)
        except BaseException:
            sock.close()
            raise
        connection = self._connection = Connection(sock)
        gevent.spawn(self._receive, connection)
        return connection

    def _receive(self, connection: Connection) -> None:
        """Deliver responses until the connection ends or anything but a valid response arrives."""
        decoder = FrameDecoder(RESPONSE_CRC_SEED)
        try:
            while data := connection.sock.recv(RECEIVE_BYTES):
                connection.received_bytes += len(data)
                self._deliver_all(connection, decoder, data)
        except (OSError, ValueError):
            pass
        self._disconnect(connection)

    def _deliver_all(self, connection: Connection, decoder: FrameDecoder, data: bytes) -> None:
        """Pass on all responses that `data` completes, and keep none of them."""
        for value in decoder.feed(data):
            self._deliver(connection, value)

    def _deliver(self, connection: Connection, value: Any) -> None:
        """Pass a response to its caller, if it still waits. Raises ValueError for a number not yet used."""
        number, result = decode_response(value)
        if number > self._last_number:
            raise ValueError(f"response to request {number}, which was not sent")
        waiting = connection.in_flight.pop(number, None)
        if waiting is not None:
            waiting.set(result)

    def _disconnect(self, connection: Connection) -> None:
        if self._connection is connection:
            self._connection = None
        connection.close()


def _failure_reason(request: _RequestInFlight) -> FailureReason:
    return FailureReason.OUTCOME_UNKNOWN if request.connection else FailureReason.UNREACHABLE


def _await_response(
    request: _RequestInFlight, connection: Connection, timer: gevent.Timeout, hard_deadline: float
) -> Any:
    """Return the response. While bytes arrive, the wait goes on after `timer`, until `hard_deadline`.

    Raises `timer` if the response does not arrive.
    """
    deadline = ProgressDeadline(hard_deadline)
    deadline.received_bytes = connection.received_bytes
    try:
        return request.response.get()
    except gevent.Timeout as expired:
        if expired is not timer:
            raise
        while extension := deadline.extension(time.monotonic(), connection.received_bytes):
            deadline.received_bytes = connection.received_bytes
            request.response.wait(extension)
            if request.response.ready():
                return request.response.get()
        raise


class ClientPool:
    """Keeps one RpcClient per address."""

    def __init__(self) -> None:
        self._clients: dict[Address, RpcClient] = {}

    def client(self, address: Address) -> RpcClient:
        """Return the client of an address, created on first use; it connects with its first request."""
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = RpcClient(address)
        return client
