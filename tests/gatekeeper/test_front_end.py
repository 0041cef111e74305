"""Requests that arrive during shutdown: those on accepted connections are answered."""

from collections.abc import Iterator

import gevent
import pytest
from gevent import socket
from gevent.queue import SimpleQueue

from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.jobs import JobAbandoned
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.front import connection
from ashlift.gatekeeper.net.front.listener import Front
from tests.gatekeeper.play import config
from tests.support.unread_input import read_to_end, send_unread

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
ENOUGH_S = 5.0
TICK_S = 0.002


class RunningFront:
    """A front that answers `/up`; `inbox` collects its messages to the owner."""

    def __init__(self) -> None:
        self.inbox: SimpleQueue[object] = SimpleQueue()
        names = config({"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}, {}).request_schema
        self.front = Front(names, 100, 100, lambda: True, UnixClock(), self.inbox, Metrics())
        self.listener = self.front.listen(("127.0.0.1", 0))
        self.running = gevent.spawn(self.front.run, self.listener)

    def connect(self) -> socket.socket:
        return socket.create_connection(self.listener.getsockname())

    def end(self) -> None:
        """Shut down as Gatekeeper.stop does."""
        self.front.accept_backlog(self.listener)
        self.listener.close()
        self.front.close()


@pytest.fixture
def running() -> Iterator[RunningFront]:
    front = RunningFront()
    with gevent.Timeout(ENOUGH_S):
        yield front
    front.running.kill()


def test_a_request_that_is_unread_at_shutdown_is_answered(running: RunningFront) -> None:
    sock = running.connect()
    sock.sendall(UP)
    assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    send_unread(sock, UP)
    running.end()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_in_the_backlog_at_shutdown_is_served(running: RunningFront) -> None:
    sock = running.connect()
    send_unread(sock, UP)
    running.end()
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_accepted_just_before_shutdown_may_send_a_request(running: RunningFront) -> None:
    sock = running.connect()
    while not running.front.open_count:
        gevent.sleep(TICK_S)
    running.end()
    gevent.sleep(TICK_S)
    running.front.close_idle()
    sock.sendall(UP)
    assert read_to_end(sock).startswith(b"HTTP/1.1 200 ")


def test_a_connection_without_a_request_is_closed_at_shutdown(
    running: RunningFront, monkeypatch: pytest.MonkeyPatch
) -> None:
    sock = running.connect()
    while not running.front.open_count:
        gevent.sleep(TICK_S)
    monkeypatch.setattr(connection, "MIN_SILENT_MS", 0.0)
    running.end()
    assert read_to_end(sock) == b""


def test_a_request_after_the_last_response_is_not_processed(running: RunningFront) -> None:
    """Guards against a job whose client never gets a response, as its connection closes."""
    sock = running.connect()
    sock.sendall(UP.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    assert sock.recv(65536).startswith(b"HTTP/1.1 200 ")
    sock.sendall(b"GET /availability-check HTTP/1.1\r\nX-Trace-Id: t\r\nX-Qos: gold\r\n\r\n")
    assert read_to_end(sock) == b""
    assert not any(isinstance(event, JobAbandoned) for event in running.inbox.queue)
    assert running.inbox.empty()
