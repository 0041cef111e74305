"""Receives the requests of one client connection, no faster than there is memory for them."""

import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event

from ashlift.config.object_schema import ClientLimits
from ashlift.memory.requests import (
    UNCOUNTED_REQUEST_BYTES,
    RequestMemory,
    RequestPools,
    RequestSize,
    RequestTooLargeError,
)
from ashlift.memory.waiting import wait_for_memory
from ashlift.proxy.forwarding import MAX_REMAINING_SECONDS, client_timeout
from ashlift.proxy.rejections import NO_MEMORY
from ashlift.proxy.request_reader import (
    CONTENT_TOO_LARGE_STATUS,
    BadRequestError,
    ClientRequest,
    RequestReader,
)
from ashlift.proxy.responses import ClientResponse, rejection_response
from ashlift.rpc.sockets import has_unread_input, peer_has_closed
from ashlift.rpc.transfer_deadline import TransferDeadline

BODY_TIMEOUT_SECONDS: Final = 10.0  # between two parts of a body
MIN_TIMEOUT_SECONDS: Final = 0.001
MEMORY_WAIT_FRACTION: Final = 0.4  # of the time that the client will still wait
MAX_MEMORY_WAIT_SECONDS: Final = 10.0
REQUEST_TIMEOUT_STATUS: Final = 408
CONTINUE_RESPONSE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestReceiver:
    """The receiving side of a client connection.

    `memory` holds the last request returned by `receive` until it is released. `last_progress_at`: monotonic
    time of the last bytes.
    """

    def __init__(self, sock: socket.socket, pools: RequestPools, write: Callable[[bytes], None]) -> None:
        self.reader = RequestReader()
        self.memory = RequestMemory(pools)
        self._sock = sock
        self._write = write
        self._limits = ClientLimits()
        self._waiting_since = 0.0  # for the first byte of a request, then for the rest of it
        self._client_deadline = 0.0  # of the request whose body is being received; 0: not known yet
        self._is_stopped = False
        self._wake = Event()
        self.last_progress_at = time.monotonic()
        self.is_waiting_for_memory = False

    def stop(self) -> None:
        """Wait no longer for memory: the request has been refused."""
        self._is_stopped = True
        self._wake.set()

    def discard(self) -> None:
        """Hold nothing any more: neither the last request nor the one that is being received."""
        if self.reader.current is not None:
            self.reader.current.body.clear()
        self.memory.release()

    def receive(self, limits: ClientLimits) -> ClientRequest | ClientResponse | None:
        """The next request.

        A response instead is the last one of the connection; None: the connection is to be closed.
        """
        reader = self.reader
        reader.limits = self._limits = limits
        if reader.has_pipelined and peer_has_closed(self._sock):
            return None  # the client no longer waits for its pipelined requests
        if reader.has_pipelined:
            gevent.sleep(0)  # others have their turn before the next request of this client
        reader.parse_next()
        self._waiting_since = time.monotonic()
        self._client_deadline = 0.0
        continue_sent = False
        while not reader.complete:
            if reader.error_status:
                return ClientResponse(reader.error_status)
            reserved = self._reserve_memory()
            if not isinstance(reserved, int):
                return reserved
            if not continue_sent and self._expects_continue():
                self._write(CONTINUE_RESPONSE)
                continue_sent = True
            data = self._receive_part(reserved)
            if not isinstance(data, bytes):
                return data
            self.last_progress_at = time.monotonic()
            if reader.current is None:
                self._waiting_since = time.monotonic()
            reader.feed(data)
            del data  # it would be held while the request waits for memory
            self._set_client_deadline()
            if not reader.complete and reader.current is not None:
                gevent.sleep(0)  # others have their turn, even if this client sends faster than is parsed
        return self._take_complete()

    def _take_complete(self) -> ClientRequest:
        request = self.reader.complete.pop(0)
        self.memory.request_complete(request.received_bytes)
        if self._client_deadline:
            request.receive_seconds = time.monotonic() - self._waiting_since
        return request

    def _expects_continue(self) -> bool:
        request = self.reader.current
        if request is None or not request.head_complete or request.body_bytes:
            return False
        return request.expects_continue

    def _set_client_deadline(self) -> None:
        """Once the head of a request has been received, and its body has not."""
        request = self.reader.current
        if self._client_deadline or request is None or not request.head_complete:
            return
        try:
            timeout = client_timeout(request)
        except BadRequestError:
            timeout = MAX_REMAINING_SECONDS  # the request is rejected once it has been received
        self._client_deadline = self._waiting_since + timeout

    # ---- memory

    def _request_size(self) -> RequestSize:
        limit_bytes = self._limits.max_header_bytes + self._limits.max_body_bytes
        request = self.reader.current
        assert request is not None
        total_bytes = None
        if request.head_complete and request.content_length is not None:
            total_bytes = request.head_bytes + request.content_length
        received_bytes = request.received_bytes + self.reader.unparsed_bytes
        return RequestSize(received_bytes, total_bytes, limit_bytes)

    def _reserve_memory(self) -> int | ClientResponse | None:
        """How many bytes to receive next, after waiting for memory; see `receive` for other results."""
        if self.reader.current is None:
            return UNCOUNTED_REQUEST_BYTES
        size = self._request_size()
        try:
            return self.memory.try_reserve(size) or self._wait_for_memory(size)
        except RequestTooLargeError:
            return ClientResponse(CONTENT_TOO_LARGE_STATUS)

    def _wait_for_memory(self, size: RequestSize) -> int | ClientResponse | None:
        """Receive nothing until others have released memory, so that the client has to wait as well."""
        now = time.monotonic()
        client_waits = (self._client_deadline or now + MAX_REMAINING_SECONDS) - now
        seconds = min(MEMORY_WAIT_FRACTION * client_waits, MAX_MEMORY_WAIT_SECONDS)
        self.is_waiting_for_memory = True
        try:
            reserved = wait_for_memory(self.memory, size, seconds, self._is_abandoned, self._wake)
        finally:
            self.is_waiting_for_memory = False
        if reserved:
            return reserved
        return None if self._is_abandoned() else rejection_response(NO_MEMORY)

    def _is_abandoned(self) -> bool:
        return self._is_stopped or peer_has_closed(self._sock)

    # ---- input

    def _receive_timeout(self) -> float:
        """The timeout for the next bytes, in seconds."""
        now = time.monotonic()
        request = self.reader.current
        if request is not None and request.head_complete:
            min_rate_deadline = TransferDeadline(self._waiting_since).at(request.received_bytes)
            timeout = min(BODY_TIMEOUT_SECONDS, self._client_deadline - now, min_rate_deadline - now)
        else:
            timeout = self._limits.idle_timeout if request is None else self._limits.header_timeout
            timeout -= now - self._waiting_since
        return max(MIN_TIMEOUT_SECONDS, timeout)

    def _receive_part(self, size: int) -> bytes | ClientResponse | None:
        """The next bytes, `size` at most; None: the client closed the connection, or is idle for too long."""
        timer = gevent.Timeout(self._receive_timeout())
        timer.start()
        try:
            return self._sock.recv(size) or None
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
        finally:
            timer.close()
        if has_unread_input(self._sock):  # arrived in the same event loop iteration as the timer
            return self._sock.recv(size) or None
        return ClientResponse(REQUEST_TIMEOUT_STATUS) if self.reader.current is not None else None
