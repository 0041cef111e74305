"""Daily operation: the inherited listener, the operators' door, hand-outs, drains and upgrades."""

import json
import os
import tempfile
from dataclasses import replace
from pathlib import Path

import gevent
import pytest
from gevent import socket

from ashlift.gatekeeper import config as configuration
from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.admission.interface import Server, ServerState
from ashlift.gatekeeper.jobs import Verdict
from ashlift.gatekeeper.net.front.listener import adopt
from ashlift.gatekeeper.operations.admin_request import AdminRequest, RequestError, RequestKind, parse_request
from ashlift.gatekeeper.operations.lifecycle import Lifecycle, PhaseError
from ashlift.gatekeeper.operations.maintenance import MaintenanceFileError, MaintenanceSet, decode, encode
from ashlift.gatekeeper.operations.maintenance_file import MaintenanceFile
from ashlift.gatekeeper.operations.process_count import count_alive
from ashlift.gatekeeper.operations.statsd_metrics import Gauges, format_metrics, outcome_counter
from tests.gatekeeper.play import config, instance, listen
from tests.gatekeeper.standins import Node
from tests.gatekeeper.test_wirehost import FACTS

NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}


def ask_up(address: tuple[str, int]) -> bytes:
    with socket.create_connection(address) as client, gevent.Timeout(10):
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        return bytes(client.recv(65536))


def test_the_inherited_socket_is_accepted_on_and_nothing_is_bound() -> None:
    node, held = Node(), listen()  # the platform's: it outlives both processes
    settings = config(NOWHERE | {"n1": node.address}, {})
    first = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    assert first.start() == held.getsockname()
    assert ask_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    second.start()  # beside the first, on the same address
    first.stop(0.0)
    for _ in range(3):  # what the first left is the second's, and the platform's socket stays open
        assert ask_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second.stop(0.0)
    held.close()
    node.server.stop()


def test_an_inherited_descriptor_that_is_no_listener_is_refused() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # not listening
        spare = os.dup(bound.fileno())
        with pytest.raises(OSError, match="no listening"):
            adopt(spare)
        os.close(spare)  # still open: adopt left it alone
    with open(os.devnull) as file, pytest.raises(OSError):
        adopt(file.fileno())


@pytest.mark.parametrize("value", ["seven", "-1", "2"])
def test_an_inherited_descriptor_that_cannot_be_right_names_its_key(value: str) -> None:
    with pytest.raises(configuration.ConfigError, match="GW_INHERITED_FD"):
        configuration._descriptor("GW_INHERITED_FD", value)


# ---- pure parts


@pytest.mark.parametrize(
    ("method", "target", "kind", "worker"),
    [
        (b"GET", b"/status", RequestKind.STATUS, ""),
        (b"HEAD", b"/status?x=1", RequestKind.STATUS, ""),
        (b"GET", b"/status/metrics", RequestKind.METRICS, ""),
        (b"POST", b"/standby", RequestKind.STANDBY, ""),
        (b"POST", b"/active", RequestKind.ACTIVE, ""),
        (b"POST", b"/maintenance/enter/s-5be2", RequestKind.ENTER, "s-5be2"),
        (b"POST", b"/maintenance/exit/s%2D5", RequestKind.EXIT, "s-5"),
    ],
)
def test_each_call_is_routed(method: bytes, target: bytes, kind: RequestKind, worker: str) -> None:
    assert parse_request(method, target) == AdminRequest(kind, worker)


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        (b"GET", b"/", 404),
        (b"GET", b"/statusx", 404),
        (b"POST", b"/status", 405),
        (b"GET", b"/standby", 405),
        (b"POST", b"/maintenance/enter/", 400),
        (b"POST", b"/maintenance/enter/a/b", 400),
        (b"POST", b"/maintenance/exit/%ff", 400),
        (b"POST", b"/maintenance/exit/%0a", 400),
        (b"GET", b"/maintenance/enter/s1", 405),
        (b"POST", b"/maintenance/", 404),
    ],
)
def test_a_call_that_is_not_taken_gets_its_4xx(method: bytes, target: bytes, status: int) -> None:
    with pytest.raises(RequestError) as raised:
        parse_request(method, target)
    assert raised.value.status == status
    assert raised.value.allow or status != 405


def test_every_count_of_every_class_is_told_from_0() -> None:
    told = format_metrics({"svc.fulfilled.b": 3, "svc.relayed": 5}, ["a", "b:c"], Gauges(4, 12, 2)).decode()
    assert told.splitlines() == [
        "svc.fulfilled.a:0|c",
        "svc.throttled.a:0|c",
        "svc.faulted.a:0|c",
        "svc.fulfilled.b_c:0|c",
        "svc.throttled.b_c:0|c",
        "svc.faulted.b_c:0|c",
        "svc.relayed:5|c",
        "svc.open_requests:4|g",
        "svc.registry_entries:12|g",
        "svc.out_of_rotation:2|g",
    ]
    assert outcome_counter(Verdict.PASSED, "b") == "svc.fulfilled.b"
    assert outcome_counter(Verdict.REFUSED, "b") == "svc.throttled.b"


def test_a_node_out_by_hand_is_draining_until_one_call_puts_it_back() -> None:
    hands, told = MaintenanceSet(), Server("s1", ready_at_ms=100.0)
    assert hands.enter("s1", 1000.0) and not hands.enter("s1", 1500.0)  # twice is once
    assert hands.effective(told).state is ServerState.DRAINING
    assert hands.effective(replace(told, state=ServerState.GONE)).state is ServerState.GONE
    assert hands.exit("s1", 2000.0) and not hands.exit("s1", 2500.0)
    back = hands.effective(told)
    assert back.state is ServerState.READY and back.ready_at_ms == 2000.0  # cold from its return
    assert (
        hands.effective(replace(told, ready_at_ms=3000.0)).ready_at_ms == 3000.0
    )  # a later start told counts
    assert hands.effective(told).ready_at_ms == 100.0 and not hands.left


def test_what_another_process_wrote_is_adopted() -> None:
    hands = MaintenanceSet()
    hands.enter("s1", 1.0)
    went, came = hands.adopt({"s2": 5.0}, 10.0)
    assert (went, came) == ({"s2"}, {"s1"}) and hands.entered == {"s2": 5.0} and hands.left == {"s1": 10.0}


def test_a_process_does_not_take_its_own_write_for_news(tmp_path: Path) -> None:
    mine, other = MaintenanceFile(tmp_path / "h.json", "g1"), MaintenanceFile(tmp_path / "h.json", "g1")
    mine.save({"s1": 5.0}, 9.0)
    assert (
        mine.load_if_changed() is None
        and other.load_if_changed() == {"s1": 5.0}
        and other.load_if_changed() is None
    )


@pytest.mark.parametrize(
    ("data", "why"),
    [
        (b"{", "not JSON"),
        (b"[]", "not a JSON object"),
        (b'{"format": 2}', "format 2"),
        (b'{"format": 1, "gatekeeper": "other"}', "of gatekeeper"),
        (b'{"format": 1, "gatekeeper": "g1", "out_by_hand": {"s1": "x"}}', "no table"),
        (b'{"format": 1, "gatekeeper": "g1", "out_by_hand": {"s1": true}}', "no table"),
    ],
)
def test_a_file_that_cannot_be_taken_says_why(data: bytes, why: str) -> None:
    with pytest.raises(MaintenanceFileError, match=why):
        decode(data, "g1")
    assert decode(encode("g1", {"s1": 5.0}, 9.0), "g1") == {"s1": 5.0}


def test_stopping_is_undone_by_nothing() -> None:
    life = Lifecycle()
    assert life.ready(True) and not life.ready(False)
    assert life.standby() and not life.standby() and not life.ready(True)
    assert life.active() and life.ready(True)
    life.stopping()
    with pytest.raises(PhaseError):
        life.active()
    assert not life.ready(True) and life.up(True)


# ---- the door on a running gatekeeper


def door(gate: Gatekeeper, raw: bytes) -> tuple[int, bytes]:
    """One call; the status and the body."""
    assert gate.door_address is not None
    with socket.create_connection(gate.door_address) as caller, gevent.Timeout(10):
        caller.sendall(raw)
        data = b""
        while more := caller.recv(65536):
            data += more
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


def post(path: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode()


def figures(gate: Gatekeeper) -> dict[str, int]:
    status, body = door(gate, b"GET /status/metrics HTTP/1.1\r\n\r\n")
    assert status == 200
    return {
        name: int(value.split("|")[0])
        for name, _, value in (line.partition(":") for line in body.decode().splitlines())
    }


JOB = (
    b"GET /availability-check HTTP/1.1\r\nX-Qos: availability-check\r\nX-Trace-Id: %b\r\n"
    b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: %b\r\n\r\n"
)


@pytest.fixture
def kept(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A TMPDIR of the test's own, as two processes of one gatekeeper share it."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    return tmp_path


def front_of(gate: Gatekeeper) -> tuple[str, int]:
    assert gate._listener is not None
    host, port = gate._listener.getsockname()
    return host, port


def gatekeeper(node: Node) -> Gatekeeper:
    gate = Gatekeeper(replace(config(NOWHERE | {"n1": node.address}, {}), admin_address=("127.0.0.1", 0)))
    gate.start()
    return gate


def test_a_node_out_by_hand_gets_nothing_new_until_put_back(kept: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert door(gate, post("/maintenance/enter/nobody"))[0] == 404  # an unknown id is owed a no
    for _ in range(2):
        assert door(gate, post("/maintenance/enter/n1"))[0] == 200
    assert gate.machines.ready("n1") is None  # the claims' last look before a first byte
    status, body = door(gate, b"GET /status HTTP/1.1\r\n\r\n")
    assert status == 200 and json.loads(body)["out_by_hand"] == ["n1"]
    assert figures(gate)["svc.out_of_rotation"] == 1
    discovery = {"generation": 9, "reset": True, "instances": [instance("n1", node.address)]}
    gate.machines.take(discovery)  # discovery says ready: it stays out
    assert gate.machines.ready("n1") is None
    with socket.create_connection(front_of(gate)) as client, gevent.Timeout(10):
        client.sendall(JOB % (b"t1", b"5"))
        assert not client.recv(65536).startswith(b"HTTP/1.1 200")
    assert node.traces == []
    assert door(gate, post("/maintenance/exit/n1"))[0] == 200  # once undoes both
    back = gate.machines.ready("n1")
    assert back is not None and figures(gate)["svc.out_of_rotation"] == 0
    assert back.server.ready_at_ms >= gate.clock.now() - 5000  # restarted while out, it comes back cold
    with socket.create_connection(front_of(gate)) as client, gevent.Timeout(10):
        for number in range(100):  # a cold node gets a share, not nothing
            client.sendall(JOB % (b"u%d" % number, b"5"))
            if client.recv(65536).startswith(b"HTTP/1.1 200"):
                break
    assert node.traces
    assert door(gate, post("/maintenance/exit/nobody"))[0] == 404
    gate.stop(0.0)
    node.server.stop()


def test_the_figures_follow_what_clients_were_answered(kept: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    with socket.create_connection(front_of(gate)) as client, gevent.Timeout(10):
        for number in range(3):
            client.sendall(JOB % (b"t%d" % number, b"5"))
            assert client.recv(65536).startswith(b"HTTP/1.1 200")
        client.sendall(JOB.replace(b"basic", b"nosuchplan") % (b"t9", b"5"))
        assert client.recv(65536).startswith(b"HTTP/1.1 400")
        node.go.clear()
        client.sendall(JOB % (b"t3", b"5"))
        while not node.traces[3:]:
            gevent.sleep(0.005)
        told = figures(gate)
        node.go.set()
        assert client.recv(65536).startswith(b"HTTP/1.1 200")
    assert told["svc.open_requests"] == 1 and told["svc.registry_entries"] == 1
    told = figures(gate)
    assert told["svc.fulfilled.availability-check"] == 4 and told["svc.relayed"] == 4
    assert told["svc.faulted.availability-check"] == 1 and told["svc.throttled.availability-check"] == 0
    assert told["svc.open_requests"] == 0
    gate.stop(0.0)
    node.server.stop()


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (b"GET /nothing HTTP/1.1\r\n\r\n", 404),
        (b"PUT /standby HTTP/1.1\r\n\r\n", 405),
        (b"\x16\x03\x01 not http\r\n\r\n", 400),
        (b"GET /status HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /standby HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 70_000, 413),
        (b"GET /status HTTP/1.1\r\nX: " + b"y" * 9000 + b"\r\n\r\n", 431),
    ],
)
def test_a_bad_call_gets_a_4xx(kept: Path, raw: bytes, status: int) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert door(gate, raw)[0] == status
    assert door(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200  # and the door goes on
    gate.stop(0.0)
    node.server.stop()


def test_callers_who_send_half_a_call_hold_nobody_up(kept: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert gate.door_address is not None
    silent = [socket.create_connection(gate.door_address) for _ in range(10)]
    for half in silent[5:]:
        half.sendall(b"GET /sta")
    for _ in range(3):  # while they stay, others are answered
        assert door(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200
    for caller in silent:
        with gevent.Timeout(10):
            assert caller.recv(65536).startswith(b"HTTP/1.1 408")  # and they are told, and let go
            assert caller.recv(1) == b""
        caller.close()
    assert gate.door is not None and gate.door.open == 0
    gate.stop(0.0)
    node.server.stop()


def test_standby_drains_the_front_and_active_ends_the_drain(kept: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    idle, busy = socket.create_connection(front_of(gate)), socket.create_connection(front_of(gate))
    for client in (idle, busy):
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        assert client.recv(65536).startswith(b"HTTP/1.1 200")
    node.go.clear()
    busy.sendall(JOB % (b"t1", b"5"))
    while not node.traces:
        gevent.sleep(0.005)
    assert door(gate, post("/standby"))[0] == 200
    with gevent.Timeout(10):
        assert idle.recv(1) == b""  # not held idle
        assert ask_up(front_of(gate)).startswith(b"HTTP/1.1 503")
        assert door(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 503
        node.go.set()
        answer = busy.recv(65536)
        assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        assert busy.recv(1) == b""
    assert door(gate, post("/active"))[0] == 200
    assert ask_up(front_of(gate)).startswith(b"HTTP/1.1 200")
    assert door(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200
    idle.close()
    busy.close()
    gate.life.stopping()
    assert door(gate, post("/active"))[0] == 409  # SIGTERM is not undone
    gate.stop(0.0)
    node.server.stop()


def test_what_is_out_by_hand_is_handed_to_the_next_process_and_back(kept: Path) -> None:
    node = Node()
    old = gatekeeper(node)
    assert door(old, post("/maintenance/enter/n1"))[0] == 200
    new = gatekeeper(node)  # beside it, with the same TMPDIR
    assert new.machines.ready("n1") is None
    assert json.loads(door(new, b"GET /status HTTP/1.1\r\n\r\n")[1])["out_by_hand"] == ["n1"]
    assert door(new, post("/maintenance/exit/n1"))[0] == 200
    with gevent.Timeout(10):
        while old.machines.ready("n1") is None:  # the old one reads the new one's file
            gevent.sleep(0.01)
    old.stop(0.0)
    new.stop(0.0)
    for spoilt in (b"{", b'{"format": 1, "gatekeeper": "g1", "out_by_hand": []}'):
        (kept / "ashlift-g1.handouts.json").write_bytes(spoilt)
        third = gatekeeper(node)  # is told and ignored
        assert third.machines.ready("n1") is not None
        third.stop(0.0)
    node.server.stop()


def test_a_process_beside_its_successor_keeps_to_half_the_limits() -> None:
    facts = {
        **FACTS,
        "Categories": [FACTS["Categories"][0] | {"Name": "availability-check"}],
        "Plans": [FACTS["Plans"][0] | {"Name": "basic"}],
    }
    found = {
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:9",
        "counter": "127.0.0.1:9",
        "settings": facts,
        "limits": {"sockets": 384, "memory_mb": 32},
    }
    alone, beside = (configuration.read(found, env) for env in ({}, {"GW_INHERITED_FD": "7"}))
    assert (
        alone.max_client_connections + alone.max_node_connections == 384 - configuration.RESERVED_DESCRIPTORS
    )
    assert (
        beside.max_client_connections + beside.max_node_connections
        == 192 - configuration.RESERVED_DESCRIPTORS
    )
    assert alone.response_buffer_bytes == 4 << 20 and beside.response_buffer_bytes == 2 << 20


def test_a_mark_not_touched_for_a_second_is_of_a_process_that_is_gone() -> None:
    assert count_alive([100.0, 99.5, 98.9], 100.0) == 2 and count_alive([], 100.0) == 1


def test_two_processes_side_by_side_split_the_ceilings(kept: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    node, held = Node(), listen()
    settings = config(NOWHERE | {"n1": node.address}, {})
    old = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    old.start()
    monkeypatch.setattr(os, "getpid", lambda: 1)  # a process of its own, as the marks tell
    new = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    new.start()
    with gevent.Timeout(10):
        while not old.owner._gateway.process_count == new.owner._gateway.process_count == 2:
            gevent.sleep(0.02)
        old.stop(0.0)
        assert old.marks is not None and not old.marks.path.exists()
        while new.owner._gateway.process_count != 1:  # the old one's mark is gone
            gevent.sleep(0.02)
    new.stop(0.0)
    held.close()
    node.server.stop()
