"""The program with peers that stall, lag, lie and leave while bodies flow."""

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


# ---- the program, with peers that misbehave


class Peer:
    """A node that answers each connection with a script: bytes to send, seconds to wait, or `close`."""

    def __init__(self, *script: bytes | float | str) -> None:
        self.script, self.closed_after = script, Event()
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
        self.closed_after.set()
        sock.close()


def gate_before(
    node: Peer, more: str = "(stall 200ms)", changes: dict[str, Any] | None = None
) -> tuple[Gatekeeper, tuple[str, int]]:
    found = {"settings.Limits.TryLimit": 1, **(changes or {})}
    gate = Gatekeeper(config(NOWHERE | {"n1": node.address}, found, OWN.format(more)))
    return gate, gate.start()


def client(address: tuple[str, int], more: bytes = b"", method: bytes = b"GET", small: bool = False) -> Any:
    sock = socket.socket()
    if small:  # loopback's large windows and segments would hide that a client takes little
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.connect(address)
    sock.sendall(
        method + b" /availability-check/x HTTP/1.1\r\nX-Trace-Id: t%d\r\nX-Qos: availability-check\r\n"
        b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 20\r\n%b\r\n" % (next(numbers), more)
    )
    return sock


def rest_of(sock: Any) -> tuple[bytes, bool]:
    """All that comes, and whether it ended in good order."""
    got = b""
    try:
        while more := sock.recv(65536):
            got += more
    except ConnectionError:
        return got, False
    return got, True


def at_rest(gate: Gatekeeper) -> bool:
    """Nothing of any stream is left."""
    desk = gate.desk
    assert desk is not None
    return not desk.open and desk.pool.budget.held == 0 and not desk.pool.pipes and not gate.owner.owed


def until(true: Any) -> None:
    while not true():
        gevent.sleep(0.005)


HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n"


@pytest.mark.parametrize(
    ("script", "status", "got", "why"),
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
def test_whatever_a_node_does_there_is_one_final_answer(
    script: Any, status: bytes, got: int, why: str
) -> None:
    node = Peer(*script)
    gate, address = gate_before(node)
    with gevent.Timeout(30):
        sock = client(address, b"Connection: close\r\n")
        answer, _ = rest_of(sock)
        assert answer.startswith(b"HTTP/1.1 " + status) and answer.count(b"HTTP/1.1") == 1
        assert len(answer.partition(b"\r\n\r\n")[2]) == got
        until(lambda: at_rest(gate))
    assert gate.metrics.counts[f"streams.failed.{why}"] == 1
    assert sum(n for key, n in gate.metrics.counts.items() if key.startswith("streams.")) == 1
    assert gate.metrics.counts["answers.failed"] == 1
    gate.stop(0.0)
    node.server.stop()


def test_a_client_that_stalls_while_it_writes_gets_408_and_the_node_an_end() -> None:
    node = Peer()
    gate, address = gate_before(node)
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 100\r\n", b"POST")
        sock.sendall(b"x" * 50)
        answer, _ = rest_of(sock)
        assert answer.startswith(b"HTTP/1.1 408") and answer.count(b"HTTP/1.1") == 1
        node.closed_after.wait()
        until(lambda: at_rest(gate))
    assert gate.metrics.counts["streams.failed.client_stalled"] == 1
    gate.stop(0.0)
    node.server.stop()


def test_a_client_that_takes_nothing_is_reset_and_the_node_is_let_go() -> None:
    node = Peer(b"HTTP/1.1 200 OK\r\nContent-Length: 99000000\r\n\r\n", *[b"x" * 1_000_000] * 99)
    gate, address = gate_before(node)
    with gevent.Timeout(30):
        sock = client(address, small=True)
        until(lambda: gate.metrics.counts["streams.failed.client_stalled"])
        assert rest_of(sock)[1] is False
        node.closed_after.wait()
        until(lambda: at_rest(gate))
    gate.stop(0.0)
    node.server.stop()


def test_a_client_that_leaves_while_the_node_holds_its_body_up_ends_the_nodes_leg_at_once() -> None:
    node = Peer(30.0)  # takes nothing
    gate, address = gate_before(node, "(stall 20s)")
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 90000000\r\n", b"POST")
        sock.settimeout(0.2)
        with pytest.raises(OSError):
            sock.sendall(b"x" * 90_000_000)  # until all between here and the node is full
        began = time.monotonic()
        # Its end in good order would stand behind its unsent bytes, where nobody can see it.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
        until(lambda: at_rest(gate))
        assert time.monotonic() - began < 5.0  # 0.1 s on an idle machine; far below the stall limit
    assert gate.metrics.counts["streams.left"] == 1
    gate.stop(0.0)
    node.server.stop()


def test_an_upload_ends_in_overtime_however_alive_it_is() -> None:
    node = Peer()
    gate, address = gate_before(node, "(stall 200ms) (total 500ms)")
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 9000\r\n", b"POST")
        answer = gevent.spawn(rest_of, sock)
        while not answer.ready():
            gevent.sleep(0.05)
            try:
                sock.sendall(b"x")
            except OSError:
                break
        assert answer.get()[0].startswith(b"HTTP/1.1 504")
        until(lambda: at_rest(gate))
    assert gate.metrics.counts["streams.failed.overtime"] == 1
    gate.stop(0.0)
    node.server.stop()


def test_sigterm_lets_short_streams_end_and_cuts_the_others_so_that_it_shows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("ashlift.gatekeeper.__main__.DRAIN_S", 0.6)
    node = Peer(HEAD, b"x" * 50, 0.1, b"x" * 50)
    endless = Peer(HEAD, *(step for _ in range(90) for step in (b"x", 0.05)))
    for peer, size, counted in ((node, 100, "streams.served"), (endless, None, "streams.failed.shutdown")):
        gate, address = gate_before(peer)
        with gevent.Timeout(30):
            sock = client(address)
            answer = gevent.spawn(rest_of, sock)
            until(lambda gate=gate: gate.metrics.counts["claims.sent"])
            gevent.sleep(0.05)
            gate.stop(0.0)
            got = len(answer.get()[0].partition(b"\r\n\r\n")[2])
            assert got == size if size else 0 < got < 100
        assert gate.metrics.counts[counted] == 1 and gate.owner.owed == 0
        peer.server.stop()


def test_a_stream_of_a_firm_beyond_its_ceiling_is_refused_before_its_body() -> None:
    node = Peer(HEAD, b"x" * 100)
    plan = {"settings.Plans.0.CeilingRate": 0.001, "settings.Plans.0.HardBurst": 1.0}
    gate, address = gate_before(node, changes=plan)
    with gevent.Timeout(30):
        sock = client(address, b"Content-Length: 100000000\r\n", b"POST")
        assert sock.recv(65536).startswith(b"HTTP/1.1 429")
        until(lambda: at_rest(gate))
    assert gate.metrics.counts["claims.sent"] == 0 and gate.metrics.counts["streams.refused"] == 1
    gate.stop(0.0)
    node.server.stop()


def test_a_body_that_is_turned_away_behind_an_answer_is_not_collected() -> None:
    node = Peer(HEAD, b"x" * 50, 0.4, b"x" * 50)
    gate, address = gate_before(node, "(stall 5s)) (most-streams 1) (class other")
    with gevent.Timeout(30):
        sock = client(address)
        until(lambda: gate.metrics.counts["claims.sent"])
        sock.sendall(
            b"POST /availability-check/x HTTP/1.1\r\nX-Trace-Id: b\r\nContent-Length: 2000000\r\n\r\n"
            + b"x" * 2_000_000
        )
        until(lambda: gate.metrics.counts["streams.turned_away"])
        (connection,) = gate.front._connections
        read = connection._reader.asked
        assert read is not None and read.size < 200_000
        assert rest_of(sock)[0].count(b"HTTP/1.1 503") == 1
        until(lambda: at_rest(gate))
    gate.stop(0.0)
    node.server.stop()


def test_clients_that_leave_at_any_moment_leave_nothing_behind() -> None:
    chance = random.Random(5)
    node = Peer(HEAD, b"x" * 30, 0.02, b"x" * 30, 0.02, b"x" * 40)
    gate, address = gate_before(node)
    with gevent.Timeout(60):
        for _ in range(40):
            upload = chance.random() < 0.5
            more, method = (b"Content-Length: 90000\r\n", b"POST") if upload else (b"", b"GET")
            sock = client(address, more, method)
            gevent.sleep(chance.choice((0, 0.001, 0.01, 0.03, 0.06)))
            if upload:
                sock.sendall(b"x" * chance.randrange(1, 89_000))
                gevent.sleep(chance.choice((0, 0.001, 0.01)))
            if chance.random() < 0.5:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.close()
        until(lambda: at_rest(gate) and not gate.front.open)
    counts = gate.metrics.counts
    assert (
        counts["streams.left"]
        + counts["streams.served"]
        + counts["streams.refused"]
        + sum(n for key, n in counts.items() if key.startswith("streams.failed."))
        == counts["jobs.taken"]
    )
    assert not gate.nodes._claims
    gate.stop(0.0)
    node.server.stop()


# ---- what is told


def test_the_end_of_a_stream_is_one_event_with_its_trace(capsys: pytest.CaptureFixture[str]) -> None:
    root = logging.getLogger()
    before = (root.handlers[:], root.level)
    node = Peer(HEAD, b"x" * 100)
    try:
        logs.configure(Logging(form="json"))
        gate, address = gate_before(node)
        with gevent.Timeout(30):
            sock = client(address, b"Connection: close\r\n")
            rest_of(sock)
            gate.stop(0.0)
    finally:
        root.handlers[:], root.level = before
    lines = [json.loads(line) for line in capsys.readouterr().err.splitlines()]
    (ended,) = (line for line in lines if line["event"] == "stream.ended")
    assert (ended["how"], ended["reason"], ended["up"], ended["down"]) == ("served", "-", 0, 100)
    assert ended["trace"].startswith("t") and ended["logger"] == "ashlift.streams"
    node.server.stop()
