"""Requests that meet the end of a gatekeeper: who was accepted is answered."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.queue import SimpleQueue

from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.jobs import Left
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front import connection
from ashlift.gatekeeper.net.front.listener import Front
from tests.gatekeeper.play import config
from tests.support.unread_input import read_to_end, send_unread

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
ENOUGH_S = 5.0
TICK_S = 0.002


class RunningFront:
    """A front that answers `/up`; `inbox`: what it asks of the owner."""

    def __init__(self) -> None:
        self.inbox: SimpleQueue[object] = SimpleQueue()
        names = config({"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}, {}).request_schema
        self.front = Front(names, 100, 100, lambda: True, UnixClock(), self.inbox, Metrics())
        self.listener = self.front.listen(("127.0.0.1", 0))
        self.running = gevent.spawn(self.front.run, self.listener)

    def connect(self) -> socket.socket:
        return socket.create_connection(self.listener.getsockname())

    def end(self) -> None:
        """As `Gatekeeper.stop` does it."""
        self.front.accept_backlog(self.listener)
        self.listener.close()
        self.front.close()


@pytest.fixture
def running() -> Iterator[RunningFront]:
    front = RunningFront()
    with gevent.Timeout(ENOUGH_S):
        yield front
    front.running.kill()


def test_a_request_that_lies_unread_at_the_end_is_answered(running: RunningFront) -> None:
    sock = running.connect()
    sock.sendall(UP)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    send_unread(sock, UP)
    running.end()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_in_the_queue_of_the_listener_is_served(running: RunningFront) -> None:
    sock = running.connect()
    send_unread(sock, UP)
    running.end()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_accepted_just_now_has_a_moment_to_ask(running: RunningFront) -> None:
    sock = running.connect()
    while not running.front.open:
        gevent.sleep(TICK_S)
    running.end()
    gevent.sleep(TICK_S)
    running.front.rest()
    sock.sendall(UP)
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_one_that_does_not_ask_is_ended(running: RunningFront, monkeypatch: pytest.MonkeyPatch) -> None:
    sock = running.connect()
    while not running.front.open:
        gevent.sleep(TICK_S)
    monkeypatch.setattr(connection, "SPARE_SILENT_MS", 0.0)
    running.end()
    assert read_to_end(sock) == b""


def test_a_request_behind_the_last_answer_is_not_begun(running: RunningFront) -> None:
    """It was begun and then dropped with the connection: a job that its client never hears of."""
    sock = running.connect()
    sock.sendall(UP.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    sock.sendall(b"GET /availability-check HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: gold\r\n\r\n")
    assert read_to_end(sock) == b""
    assert not any(isinstance(event, Left) for event in running.inbox.queue)
    assert running.inbox.empty()
