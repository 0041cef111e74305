"""One client connection to the API: reads requests within size and time limits, and responds in order."""

import contextlib
import time
from typing import Final, Protocol

import gevent
from gevent import socket
from gevent.event import Event

from ashlift.memory.requests import MAX_MEDIUM_BYTES, RequestMemory, RequestSize, RequestTooLargeError
from ashlift.memory.waiting import wait_for_memory
from ashlift.registry.api.messages import NO_MEMORY, HttpRequest, HttpResponse, error_response
from ashlift.registry.api.request_memory import MIN_COUNTED_RESPONSE_BYTES, ApiMemory
from ashlift.registry.api.request_parser import RequestParser
from ashlift.rpc.connection_limit import ConnectionLimit
from ashlift.rpc.sockets import (
    close_after_last_response,
    configure_socket,
    has_unread_input,
    peer_has_closed,
)

REQUEST_TIMEOUT_SECONDS: Final = 10.0  # from a request's first byte to its last
IDLE_TIMEOUT_SECONDS: Final = 30.0  # without a request
FIRST_REQUEST_SECONDS: Final = 0.3  # after accepting, for a first request during shutdown
LINGER_SECONDS: Final = 0.5  # for which remaining input is read after the last response
MIN_RECEIVE_TIMEOUT_SECONDS: Final = 0.01
MAX_MEMORY_WAIT_SECONDS: Final = 0.8  # operators' clients try the next registry after 1 s
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestServer(Protocol):
    """The server as used by a connection; `is_shutting_down`: connections close after the next response."""

    is_shutting_down: bool
    memory: ApiMemory
    connection_limit: ConnectionLimit

    def respond(self, request: HttpRequest) -> HttpResponse:
        """The response to a request; may block."""

    def max_body_bytes(self, path: str) -> int:
        """Maximum body size of requests for that path."""

    def earliest_send_time(self, now: float) -> float:
        """Monotonic time before which no request on a connection accepted at `now` was sent."""


class ApiConnection:
    """Serves one connection until the client closes it or the server shuts down."""

    def __init__(self, sock: socket.socket, server: RequestServer) -> None:
        self._sock = sock
        self._server = server
        self._parser = RequestParser(server.max_body_bytes)
        self._memory = RequestMemory(server.memory.pools)
        self._accepted_at = time.monotonic()
        self._request_began_at = 0.0
        self._is_responding = False
        self._has_responded = False
        self._is_closing = False  # the last response is being sent

    def run(self) -> None:
        """Serve the connection, and close it."""
        try:
            with contextlib.suppress(OSError):
                configure_socket(self._sock)
                self._serve()
        finally:
            self._memory.release()
            self._sock.close()

    def evict(self) -> None:
        """Close the connection at once, to make room for another."""
        self._memory.release()
        self._sock.close()

    def close_if_idle(self, now: float) -> None:
        """Close the connection if no request is being received or processed; `now`: monotonic time."""
        if self._is_responding or self._is_closing or self._parser.is_receiving:
            return
        may_be_about_to_send = not self._has_responded and now < self._accepted_at + FIRST_REQUEST_SECONDS
        if not may_be_about_to_send and not has_unread_input(self._sock):
            self._sock.close()

    def _serve(self) -> None:
        """Respond to requests until the connection ends.

        A request cannot have been sent before the connection existed, nor before the previous response.
        """
        parser = self._parser
        not_written_before = self._server.earliest_send_time(time.monotonic())
        while data := self._receive():
            if not parser.is_receiving:
                self._request_began_at = time.monotonic()
            parser.add(data)
            del data  # it would be held while the request waits for memory
            responded_at = 0.0
            while parser.parse_next():
                last_response_at = self._respond_to_requests(not_written_before)
                if last_response_at is None:
                    return
                responded_at = max(responded_at, last_response_at)
                gevent.sleep(0)  # others have their turn before the next request of this client
            not_written_before = max(not_written_before, responded_at)
            if parser.error:
                self._send_last_response(parser.error.encode(close=True))
                return
            if parser.is_receiving:
                gevent.sleep(0)  # others have their turn, even if this client sends faster than is parsed
            if parser.expects_continue:
                parser.expects_continue = False
                self._sock.sendall(CONTINUE)

    def _reserve_memory(self) -> int:
        """How many bytes to receive next, after waiting for memory; 0 if the request has been rejected."""
        size = self._parser.size
        try:
            reserved = self._memory.try_reserve(size) or self._wait_for_memory(size)
        except RequestTooLargeError:
            self._send_last_response(error_response(413, "more than fits in memory").encode(close=True))
            return 0
        if not reserved and not peer_has_closed(self._sock):
            self._send_last_response(NO_MEMORY.encode(close=True))
        return reserved

    def _wait_for_memory(self, size: RequestSize) -> int:
        return wait_for_memory(
            self._memory, size, MAX_MEMORY_WAIT_SECONDS, lambda: peer_has_closed(self._sock), Event()
        )

    def _receive(self) -> bytes:
        """The next bytes; empty if the connection has ended or timed out, or the request was rejected."""
        reserved = self._reserve_memory()
        if not reserved:
            return b""
        timeout = IDLE_TIMEOUT_SECONDS
        if self._parser.is_receiving:
            timeout = self._request_began_at + REQUEST_TIMEOUT_SECONDS - time.monotonic()
        self._sock.settimeout(max(MIN_RECEIVE_TIMEOUT_SECONDS, timeout))
        try:
            return self._sock.recv(reserved)
        except TimeoutError:
            if has_unread_input(self._sock):  # arrived together with the timeout
                return self._sock.recv(reserved)
            if self._parser.is_receiving:
                response = error_response(408, f"not whole within {REQUEST_TIMEOUT_SECONDS:g} s")
                self._send_last_response(response.encode(close=True))
            return b""

    def _respond_to_requests(self, not_written_before: float) -> float | None:
        """Respond to all complete requests; returns when the last response was ready (0: none was complete).

        Returns None if the connection was closed after the last response.
        """
        responded_at = 0.0
        requests = self._parser.requests
        while requests:
            request, keep_alive = requests.pop(0)
            self._is_responding = True
            self._server.connection_limit.set_busy(self)
            self._memory.request_complete(len(request.body))
            response = self._respond(request._replace(not_written_before=not_written_before))
            self._memory.release()
            self._server.connection_limit.set_waiting(self)
            keep_alive = keep_alive and not self._closes_after_next_response()
            responded_at = time.monotonic()
            data = response.encode(close=not keep_alive)
            del request, response  # the client may take long to read
            if not self._send_response(data, keep_alive):
                return None
            self._is_responding = False
            self._has_responded = True
        return responded_at

    def _send_response(self, data: bytes, keep_alive: bool) -> bool:
        """Send a response; returns whether the connection stays open.

        A long one is refused while too many others are being sent to clients that read slowly.
        """
        pool = self._server.memory.responses
        share = pool.open(len(data))
        if len(data) > MIN_COUNTED_RESPONSE_BYTES and not pool.try_grow(share, len(data)):
            data = NO_MEMORY.encode(close=not keep_alive)
        try:
            if not keep_alive:
                self._send_last_response(data)
                return False
            self._sock.settimeout(REQUEST_TIMEOUT_SECONDS)
            self._sock.sendall(data)
            return True
        finally:
            pool.release(share)

    def _respond(self, request: HttpRequest) -> HttpResponse:
        """The response to a request; large ones are parsed and processed one at a time."""
        if len(request.body) <= MAX_MEDIUM_BYTES:
            return self._server.respond(request)
        slot = self._server.memory.large_request_slot
        if not slot.acquire(timeout=MAX_MEMORY_WAIT_SECONDS):
            return NO_MEMORY
        try:
            return self._server.respond(request)
        finally:
            slot.release()

    def _closes_after_next_response(self) -> bool:
        """Whether the server is shutting down and no further input has arrived."""
        if not self._server.is_shutting_down:
            return False
        parser = self._parser
        return not (parser.has_input or parser.is_receiving or has_unread_input(self._sock))

    def _send_last_response(self, response: bytes) -> None:
        """Send a response and close, after reading remaining input that would cause a connection reset."""
        self._is_closing = True
        self._sock.settimeout(REQUEST_TIMEOUT_SECONDS)
        self._sock.sendall(response)
        close_after_last_response(self._sock, LINGER_SECONDS)
