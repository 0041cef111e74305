"""Shutdown of the HTTP API: all accepted requests get their responses."""

import time as blocking_time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent import socket
from gevent.event import Event
from ward import test

from ashlift.registry.api import connection
from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.resource import Resource
from ashlift.registry.api.server import HttpServer
from tests.support.patching import replaced
from tests.support.unread_input import read_to_end, send_unread

REQUEST = b"GET /held/%d HTTP/1.1\r\nHost: r\r\n\r\n"
ENOUGH_SECONDS = 5.0
TICK_SECONDS = 0.002


class HeldResource(Resource):
    """Responds when `may_answer` is set."""

    def __init__(self) -> None:
        self.may_answer = Event()
        self.paths: list[str] = []

    def get(self, request: HttpRequest) -> HttpResponse:
        self.paths.append(request.path)
        self.may_answer.wait(ENOUGH_SECONDS)
        return HttpResponse(200, {"path": request.path})


class ServerUnderTest:
    """A server with one resource, `/held`."""

    def __init__(self) -> None:
        self.resource = HeldResource()
        self.server = HttpServer(("127.0.0.1", 0), {"held": self.resource})
        self.server.start()
        self.address = ("127.0.0.1", self.server._server.server_port or 0)

    def connect(self) -> socket.socket:
        sock = socket.create_connection(self.address)
        while not self.server.has_connections:
            gevent.sleep(TICK_SECONDS)
        return sock

    def ask(self, sock: socket.socket, number: int) -> bytes:
        sock.sendall(REQUEST % number)
        return sock.recv(65536)


@contextmanager
def running_server() -> Iterator[ServerUnderTest]:
    running = ServerUnderTest()
    try:
        with gevent.Timeout(ENOUGH_SECONDS):
            yield running
    finally:
        running.resource.may_answer.set()
        running.server.shut_down()


@test("registry shutdown: a request in progress gets its response")
def _() -> None:
    with running_server() as running:
        sock = running.connect()
        sock.sendall(REQUEST % 1)
        while not running.resource.paths:
            gevent.sleep(TICK_SECONDS)
        running.server.shut_down()
        running.server.close_idle_connections()
        assert running.server.has_connections
        running.resource.may_answer.set()
        answer = read_to_end(sock)
        assert answer.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in answer


@test("registry shutdown: a request still unread in the socket gets its response")
def _() -> None:
    with running_server() as running:
        running.resource.may_answer.set()
        sock = running.connect()
        assert running.ask(sock, 1).startswith(b"HTTP/1.1 200 ")
        send_unread(sock, REQUEST % 2)
        running.server.shut_down()
        assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")
        assert running.resource.paths == ["/held/1", "/held/2"]


@test("registry shutdown: a partially received request gets its response")
def _() -> None:
    with running_server() as running:
        running.resource.may_answer.set()
        sock = running.connect()
        assert running.ask(sock, 1).startswith(b"HTTP/1.1 200 ")
        sock.sendall((REQUEST % 2)[:-5])
        gevent.sleep(5 * TICK_SECONDS)
        running.server.shut_down()
        sock.sendall((REQUEST % 2)[-5:])
        assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


@test("registry shutdown: all pipelined requests get their responses")
def _() -> None:
    with running_server() as running:
        sock = running.connect()
        sock.sendall(REQUEST % 1 + REQUEST % 2 + REQUEST % 3)
        while not running.resource.paths:
            gevent.sleep(TICK_SECONDS)
        running.server.shut_down()
        running.resource.may_answer.set()
        answers = read_to_end(sock)
        assert answers.count(b"HTTP/1.1 200 ") == 3
        assert answers.count(b"Connection: close") == 1


@test("registry shutdown: a connection in the listen backlog is served")
def _() -> None:
    with running_server() as running:
        running.resource.may_answer.set()
        sock = socket.create_connection(running.address)
        send_unread(sock, REQUEST % 1)
        running.server.shut_down()
        assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


@test("registry shutdown: idle connections are closed at once, new ones after a grace period")
def _() -> None:
    with running_server() as running:
        running.resource.may_answer.set()
        idle = running.connect()
        assert running.ask(idle, 1).startswith(b"HTTP/1.1 200 ")
        running.server.shut_down()
        assert read_to_end(idle) == b""
    with running_server() as running:
        new = running.connect()
        running.server.shut_down()
        gevent.sleep(TICK_SECONDS)
        assert running.server.has_connections
        with replaced(connection, FIRST_REQUEST_SECONDS=0.0):
            running.server.close_idle_connections()
        assert read_to_end(new) == b""


@test("a request that is found in the same turn of the event loop as the idle time-out is answered")
def _() -> None:
    idle_seconds = 0.2
    with running_server() as running, replaced(connection, IDLE_TIMEOUT_SECONDS=idle_seconds):
        running.resource.may_answer.set()
        sock = running.connect()
        assert running.ask(sock, 1).startswith(b"HTTP/1.1 200 ")
        gevent.sleep(0.0)
        blocking_time.sleep(idle_seconds + 0.05)  # the idle timer is certainly due
        send_unread(sock, REQUEST % 2)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
