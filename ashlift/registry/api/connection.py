"""One client connection to the API: reads requests within size and time limits, and responds in order."""

import contextlib
import time
from typing import Final, Protocol

from gevent import socket

from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.request_parser import RequestParser
from ashlift.rpc.sockets import RECEIVE_BYTES, close_after_last_response, configure_socket, has_unread_input

REQUEST_TIMEOUT_SECONDS: Final = 10.0  # from a request's first byte to its last
IDLE_TIMEOUT_SECONDS: Final = 30.0  # without a request
FIRST_REQUEST_SECONDS: Final = 0.3  # after accepting, for a first request during shutdown
LINGER_SECONDS: Final = 0.5  # for which remaining input is read after the last response
MIN_RECEIVE_TIMEOUT_SECONDS: Final = 0.01
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestServer(Protocol):
    """The server as used by a connection; `is_shutting_down`: connections close after the next response."""

    is_shutting_down: bool

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
            parser.feed(data)
            last_response_at = self._respond_to_requests(not_written_before)
            if last_response_at is None:
                return
            not_written_before = max(not_written_before, last_response_at)
            if parser.error:
                self._send_last_response(parser.error.encode(close=True))
                return
            if parser.expects_continue:
                parser.expects_continue = False
                self._sock.sendall(CONTINUE)

    def _receive(self) -> bytes:
        """The next bytes; empty if the connection has ended or timed out."""
        timeout = IDLE_TIMEOUT_SECONDS
        if self._parser.is_receiving:
            timeout = self._request_began_at + REQUEST_TIMEOUT_SECONDS - time.monotonic()
        self._sock.settimeout(max(MIN_RECEIVE_TIMEOUT_SECONDS, timeout))
        try:
            return self._sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            if has_unread_input(self._sock):  # arrived together with the timeout
                return self._sock.recv(RECEIVE_BYTES)
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
            response = self._server.respond(request._replace(not_written_before=not_written_before))
            keep_alive = keep_alive and not self._closes_after_next_response()
            responded_at = time.monotonic()
            if not keep_alive:
                self._send_last_response(response.encode(close=True))
                return None
            self._sock.settimeout(REQUEST_TIMEOUT_SECONDS)
            self._sock.sendall(response.encode(close=False))
            self._is_responding = False
            self._has_responded = True
        return responded_at

    def _closes_after_next_response(self) -> bool:
        """Whether the server is shutting down and no further input has arrived."""
        if not self._server.is_shutting_down:
            return False
        parser = self._parser
        return not (parser.requests or parser.is_receiving or has_unread_input(self._sock))

    def _send_last_response(self, response: bytes) -> None:
        """Send a response and close, after reading remaining input that would cause a connection reset."""
        self._is_closing = True
        self._sock.settimeout(REQUEST_TIMEOUT_SECONDS)
        self._sock.sendall(response)
        close_after_last_response(self._sock, LINGER_SECONDS)
