"""Streaming through a gatekeeper, with peers that stall, are slow, send invalid data or disconnect."""

import itertools
import json
import logging
import random
import struct
import time
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ashlift.gatekeeper import logs
from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.settings.model import Logging
from tests.gatekeeper.play import config

numbers = itertools.count()
NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}
OWN = "(streaming (enabled true) (class availability-check (head 200ms) {}))"


class ScriptedNode:
    """A node that answers each connection with a script: bytes to send, seconds to wait, or `close`."""

    def __init__(self, *script: bytes | float | str) -> None:
        self.script, self.client_closed = script, Event()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = "{}:{}".format(*self.server.address)

    def _serve(self, sock: Any, _: Any) -> None:
        data = sock.recv(65536)
        while b"\r\n\r\n" not in data:
            data += sock.recv(65536)
        try:
            for step in self.script:
                if isinstance(step, bytes):
                    sock.sendall(step)
                elif isinstance(step, float):
                    gevent.sleep(step)
                else:
                    sock.close()
                    return
            while sock.recv(65536):
                pass
        except OSError:
            pass
        self.client_closed.set()
        sock.close()


def start_gatekeeper(
    node: ScriptedNode, stream_settings: str = "(stall 200ms)", changes: dict[str, Any] | None = None
) -> tuple[Gatekeeper, tuple[str, int]]:
    settings_changes = {"settings.Limits.TryLimit": 1, **(changes or {})}
    gatekeeper = Gatekeeper(
        config(NOWHERE | {"n1": node.address}, settings_changes, OWN.format(stream_settings))
    )
    return gatekeeper, gatekeeper.start()


def client(
    address: tuple[str, int], headers: bytes = b"", method: bytes = b"GET", small: bool = False
) -> Any:
    sock = socket.socket()
    if small:  # the large buffers of the loopback would hide that the client does not read
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.connect(address)
    sock.sendall(
        method + b" /availability-check/x HTTP/1.1\r\nX-Trace-Id: t%d\r\nX-Qos: availability-check\r\n"
        b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 20\r\n%b\r\n" % (next(numbers), headers)
    )
    return sock


def read_all(sock: Any) -> tuple[bytes, bool]:
    """Read to the end; returns the data, and whether the connection was closed without a reset."""
    data = b""
    try:
        while chunk := sock.recv(65536):
            data += chunk
    except ConnectionError:
        return data, False
    return data, True


def is_idle(gatekeeper: Gatekeeper) -> bool:
    """Whether no stream, buffer or job is open."""
    registry = gatekeeper.stream_registry
    assert registry is not None
    return (
        not registry.open_streams
        and registry.pool.budget.held == 0
        and not registry.pool.pipes
        and not gatekeeper.owner.unanswered
    )


def wait_until(condition: Any) -> None:
    while not condition():
        gevent.sleep(0.005)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"


@pytest.mark.parametrize(
    ("script", "status", "body_size", "label"),
    [
        ((30.0,), b"504", 0, "head_late"),
        ((HEAD, b"x" * 50, 30.0), b"200", 50, "node_stalled"),
        ((HEAD, b"x" * 99, 30.0), b"200", 99, "node_stalled"),
        ((HEAD, b"x" * 50, 0.05, "close"), b"200", 50, "node_reset"),
        ((b"HTTP/1.1 200 OK\r\n\r\nabc", "close"), b"502", 0, "node_spoilt"),
        ((b"nonsense\r\n",), b"502", 0, "node_spoilt"),
        ((b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n",), b"502", 0, "node_error"),
    ],
)
def test_each_fault_of_a_node_gives_one_response(
    script: Any, status: bytes, body_size: int, label: str
) -> None:
    node = ScriptedNode(*script)
    gatekeeper, address = start_gatekeeper(node)
    with gevent.Timeout(30):
        sock = client(address, b"Connection: close\r\n")
        answer, _ = read_all(sock)
        assert answer.startswith(b"HTTP/1.1 " + status) and answer.count(b"HTTP/1.1") == 1
        assert len(answer.partition(b"\r\n\r\n")[2]) == body_size
        wait_until(lambda: is_idle(gatekeeper))
    assert gatekeeper.metrics.counts[f"streams.failed.{label}"] == 1
    assert sum(n for key, n in gatekeeper.metrics.counts.items() if key.startswith("streams.")) == 1
    assert gatekeeper.metrics.counts["answers.failed"] == 1
    gatekeeper.stop(0.0)
    node.server.stop()


def test_a_client_that_stalls_in_its_upload_gets_408_and_the_attempt_ends() -> None:
    node = ScriptedNode()
    gatekeeper, address = start_gatekeeper(node)
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 100\r\n", b"POST")
        sock.sendall(b"x" * 50)
        answer, _ = read_all(sock)
        assert answer.startswith(b"HTTP/1.1 408") and answer.count(b"HTTP/1.1") == 1
        node.client_closed.wait()
        wait_until(lambda: is_idle(gatekeeper))
    assert gatekeeper.metrics.counts["streams.failed.client_stalled"] == 1
    gatekeeper.stop(0.0)
    node.server.stop()


def test_a_client_that_does_not_read_is_reset_and_the_attempt_ends() -> None:
    node = ScriptedNode(b"HTTP/1.1 200 OK\r\nContent-Length: 99000000\r\n\r\n", *[b"x" * 1_000_000] * 99)
    gatekeeper, address = start_gatekeeper(node)
    with gevent.Timeout(30):
        sock = client(address, small=True)
        wait_until(lambda: gatekeeper.metrics.counts["streams.failed.client_stalled"])
        assert read_all(sock)[1] is False
        node.client_closed.wait()
        wait_until(lambda: is_idle(gatekeeper))
    gatekeeper.stop(0.0)
    node.server.stop()


def test_a_client_that_disconnects_from_a_stalled_upload_ends_the_attempt_at_once() -> None:
    node = ScriptedNode(30.0)  # does not read
    gatekeeper, address = start_gatekeeper(node, "(stall 20s)")
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 90000000\r\n", b"POST")
        sock.settimeout(0.2)
        with pytest.raises(OSError):
            sock.sendall(b"x" * 90_000_000)  # until all buffers up to the node are full
        began = time.monotonic()
        # Reset, as a regular end would wait behind the unsent bytes.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        wait_until(lambda: is_idle(gatekeeper))
        assert time.monotonic() - began < 5.0  # far below the stall limit
    assert gatekeeper.metrics.counts["streams.left"] == 1
    gatekeeper.stop(0.0)
    node.server.stop()


def test_an_upload_ends_at_the_total_time_limit_even_if_it_makes_progress() -> None:
    node = ScriptedNode()
    gatekeeper, address = start_gatekeeper(node, "(stall 200ms) (total 500ms)")
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 9000\r\n", b"POST")
        answer = gevent.spawn(read_all, sock)
        while not answer.ready():
            gevent.sleep(0.05)
            try:
                sock.sendall(b"x")
            except OSError:
                break
        assert answer.get()[0].startswith(b"HTTP/1.1 504")
        wait_until(lambda: is_idle(gatekeeper))
    assert gatekeeper.metrics.counts["streams.failed.overtime"] == 1
    gatekeeper.stop(0.0)
    node.server.stop()


def test_sigterm_waits_for_short_streams_and_visibly_truncates_the_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ashlift.gatekeeper.__main__.DRAIN_TIMEOUT_S", 0.6)
    node = ScriptedNode(HEAD, b"x" * 50, 0.1, b"x" * 50)
    endless = ScriptedNode(HEAD, *(step for _ in range(90) for step in (b"x", 0.05)))
    for peer, size, counted in ((node, 100, "streams.served"), (endless, None, "streams.failed.shutdown")):
        gatekeeper, address = start_gatekeeper(peer)
        with gevent.Timeout(30):
            sock = client(address)
            answer = gevent.spawn(read_all, sock)
            wait_until(lambda gatekeeper=gatekeeper: gatekeeper.metrics.counts["claims.sent"])
            gevent.sleep(0.05)
            gatekeeper.stop(0.0)
            body_size = len(answer.get()[0].partition(b"\r\n\r\n")[2])
            assert body_size == size if size else 0 < body_size < 100
        assert gatekeeper.metrics.counts[counted] == 1 and gatekeeper.owner.unanswered == 0
        peer.server.stop()


def test_a_stream_of_a_customer_over_its_ceiling_is_refused_before_its_body() -> None:
    node = ScriptedNode(HEAD, b"x" * 100)
    plan = {"settings.Plans.0.CeilingRate": 0.001, "settings.Plans.0.HardBurst": 1.0}
    gatekeeper, address = start_gatekeeper(node, changes=plan)
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 100000000\r\n", b"POST")
        assert sock.recv(65536).startswith(b"HTTP/1.1 429")
        wait_until(lambda: is_idle(gatekeeper))
    assert gatekeeper.metrics.counts["claims.sent"] == 0 and gatekeeper.metrics.counts["streams.refused"] == 1
    gatekeeper.stop(0.0)
    node.server.stop()


def test_the_body_of_a_rejected_stream_is_not_buffered_behind_a_response() -> None:
    node = ScriptedNode(HEAD, b"x" * 50, 0.4, b"x" * 50)
    gatekeeper, address = start_gatekeeper(node, "(stall 5s)) (most-streams 1) (class other")
    with gevent.Timeout(30):
        sock = client(address)
        wait_until(lambda: gatekeeper.metrics.counts["claims.sent"])
        sock.sendall(
            b"POST /availability-check/x HTTP/1.1\r\nX-Trace-Id: b\r\nContent-Length: 2000000\r\n\r\n"
            + b"x" * 2_000_000
        )
        wait_until(lambda: gatekeeper.metrics.counts["streams.turned_away"])
        (connection,) = gatekeeper.front._connections
        read = connection._reader.request
        assert read is not None and read.size < 200_000
        assert read_all(sock)[0].count(b"HTTP/1.1 503") == 1
        wait_until(lambda: is_idle(gatekeeper))
    gatekeeper.stop(0.0)
    node.server.stop()


def test_clients_that_disconnect_at_any_time_leak_no_streams() -> None:
    chance = random.Random(5)
    node = ScriptedNode(HEAD, b"x" * 30, 0.02, b"x" * 30, 0.02, b"x" * 40)
    gatekeeper, address = start_gatekeeper(node)
    with gevent.Timeout(60):
        for _ in range(40):
            upload = chance.random() < 0.5
            headers, method = (b"Content-Length: 90000\r\n", b"POST") if upload else (b"", b"GET")
            sock = client(address, headers, method)
            gevent.sleep(chance.choice((0, 0.001, 0.01, 0.03, 0.06)))
            if upload:
                sock.sendall(b"x" * chance.randrange(1, 89_000))
                gevent.sleep(chance.choice((0, 0.001, 0.01)))
            if chance.random() < 0.5:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        wait_until(lambda: is_idle(gatekeeper) and not gatekeeper.front.open_count)
    counts = gatekeeper.metrics.counts
    assert (
        counts["streams.left"]
        + counts["streams.served"]
        + counts["streams.refused"]
        + sum(n for key, n in counts.items() if key.startswith("streams.failed."))
        == counts["jobs.taken"]
    )
    assert not gatekeeper.nodes._attempts
    gatekeeper.stop(0.0)
    node.server.stop()


def test_the_end_of_a_stream_is_logged_as_one_event_with_its_trace_id(
    capsys: pytest.CaptureFixture[str],
) -> None:
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    node = ScriptedNode(HEAD, b"x" * 100)
    try:
        logs.configure(Logging(form="json"))
        gatekeeper, address = start_gatekeeper(node)
        with gevent.Timeout(30):
            sock = client(address, b"Connection: close\r\n")
            read_all(sock)
            gatekeeper.stop(0.0)
    finally:
        root.handlers[:], root.level = before
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    (event,) = (line for line in lines if line["event"] == "stream.ended")
    assert (event["how"], event["reason"], event["up"], event["down"]) == ("served", "-", 0, 100)
    assert event["trace"].startswith("t") and event["logger"] == "ashlift.streams"
    node.server.stop()
