"""The HTTP/1.1 server of the API: a greenlet a connection, bounded in size and time. It owns the sockets."""

import time
from collections.abc import Mapping
from typing import Final

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.request_parser import RequestParser
from ashlift.registry.api.resource import DEFAULT_MAX_BODY_BYTES, Resource
from ashlift.registry.api.stall_detector import CHECK_INTERVAL_SECONDS, StallDetector
from ashlift.rpc.addresses import Address
from ashlift.rpc.sockets import configure_socket

REQUEST_TIMEOUT_SECONDS: Final = 10.0  # from a request's first byte to its last
IDLE_TIMEOUT_SECONDS: Final = 30.0  # for which a connection may wait for its next request
LINGER_SECONDS: Final = 0.5  # for which is read what still comes after a last response
MIN_RECEIVE_TIMEOUT_SECONDS: Final = 0.01
RECEIVE_BYTES: Final = 65536
LISTEN_BACKLOG: Final = 1024
CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"


class HttpServer:
    """Listens at one address."""

    def __init__(self, address: Address, resources: Mapping[str, Resource]) -> None:
        """`resources`: by the first segment of the path."""
        self._resources = resources
        self._connections: dict[socket.socket, bool] = {}  # whether a request of it is being answered
        self.is_shutting_down = False
        self._stall_detector = StallDetector(time.monotonic())
        self._server = StreamServer(address, self._serve_socket, backlog=LISTEN_BACKLOG)
        self._server.reuse_addr = 1  # type: ignore[misc]

    def start(self) -> None:
        """Listen. Raises OSError where the address is not to be had."""
        self._server.start()
        gevent.spawn(self._watch_for_stalls)

    def shut_down(self) -> None:
        """Accept no more connections and requests; those being answered are answered."""
        self.is_shutting_down = True
        self._server.close()
        for sock, is_answering in list(self._connections.items()):
            if not is_answering:
                sock.close()

    @property
    def is_answering(self) -> bool:
        """Whether any request is being answered."""
        return any(self._connections.values())

    def _watch_for_stalls(self) -> None:
        while not self.is_shutting_down:
            self._stall_detector.check(time.monotonic())
            gevent.sleep(CHECK_INTERVAL_SECONDS)

    def _resource_at(self, path: str) -> Resource | None:
        return self._resources.get(path.partition("/")[2].partition("/")[0])

    def _max_body_bytes(self, path: str) -> int:
        resource = self._resource_at(path)
        return resource.max_body_bytes if resource else DEFAULT_MAX_BODY_BYTES

    def _respond(self, request: HttpRequest) -> HttpResponse:
        resource = self._resource_at(request.path)
        return (
            resource.handle(request) if resource else error_response(404, f"nothing at {request.path[:100]}")
        )

    def _serve_socket(self, sock: socket.socket, _: Address) -> None:
        self._connections[sock] = False
        try:
            configure_socket(sock)
            self._serve_connection(sock)
        except OSError:
            pass
        finally:
            del self._connections[sock]
            sock.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        """Answer the requests of a connection until it ends.

        A request was not written before the connection was there, nor before the answer to the one before it.
        """
        parser = RequestParser(self._max_body_bytes)
        request_began_at = 0.0
        not_written_before = self._stall_detector.earliest_connect(time.monotonic())
        while not self.is_shutting_down:
            data = self._receive(sock, parser, request_began_at)
            if not data:
                return
            if not parser.is_receiving:
                request_began_at = time.monotonic()
            parser.feed(data)
            self._connections[sock] = True
            last_answer_at = self._answer_requests(sock, parser, not_written_before)
            if last_answer_at is None:
                return
            self._connections[sock] = False
            not_written_before = max(not_written_before, last_answer_at)
            if parser.error:
                self._send_last_response(sock, parser.error)
                return
            if parser.expects_continue:
                parser.expects_continue = False
                sock.sendall(CONTINUE)

    def _receive(self, sock: socket.socket, parser: RequestParser, request_began_at: float) -> bytes:
        """The next bytes; none: the connection has ended, or its client was too slow."""
        timeout = IDLE_TIMEOUT_SECONDS
        if parser.is_receiving:
            timeout = request_began_at + REQUEST_TIMEOUT_SECONDS - time.monotonic()
        sock.settimeout(max(MIN_RECEIVE_TIMEOUT_SECONDS, timeout))
        try:
            return sock.recv(RECEIVE_BYTES)
        except TimeoutError:
            if parser.is_receiving:
                response = error_response(408, f"not whole within {REQUEST_TIMEOUT_SECONDS:g} s")
                self._send_last_response(sock, response)
            return b""

    def _answer_requests(
        self, sock: socket.socket, parser: RequestParser, not_written_before: float
    ) -> float | None:
        """Answer all that is complete; when the last answer was ready (0: nothing was complete).

        None: the connection ends with the last answer.
        """
        answered_at = 0.0
        for request, keep_alive in parser.requests:
            response = self._respond(request._replace(not_written_before=not_written_before))
            keep_alive = keep_alive and not self.is_shutting_down
            sock.settimeout(REQUEST_TIMEOUT_SECONDS)
            answered_at = time.monotonic()
            sock.sendall(response.encode(close=not keep_alive))
            if not keep_alive:
                return None
        parser.requests.clear()
        return answered_at

    @staticmethod
    def _send_last_response(sock: socket.socket, response: HttpResponse) -> None:
        """Send it and close; what still arrives is read first, or closing would reset the connection."""
        sock.settimeout(LINGER_SECONDS)
        sock.sendall(response.encode(close=True))
        sock.shutdown(socket.SHUT_WR)
        deadline = time.monotonic() + LINGER_SECONDS
        while time.monotonic() < deadline and sock.recv(RECEIVE_BYTES):
            pass
