"""The inherited listening socket, the admin server, maintenance of nodes, drains and upgrades."""

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
from ashlift.gatekeeper.net.front.listener import adopt_listener
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


def request_up(address: tuple[str, int]) -> bytes:
    with socket.create_connection(address) as client, gevent.Timeout(10):
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        return bytes(client.recv(65536))


def test_an_inherited_listening_socket_is_shared_by_two_processes() -> None:
    node, held = Node(), listen()  # the platform's socket, which outlives both processes
    settings = config(NOWHERE | {"n1": node.address}, {})
    first = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    assert first.start() == held.getsockname()
    assert request_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    second.start()  # while the first runs, on the same address
    first.stop(0.0)
    for _ in range(3):  # the second serves, and the platform's socket stays open
        assert request_up(held.getsockname()).startswith(b"HTTP/1.1 200")
    second.stop(0.0)
    held.close()
    node.server.stop()


def test_an_inherited_descriptor_that_is_not_a_listening_socket_is_rejected() -> None:
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # not listening
        spare = os.dup(bound.fileno())
        with pytest.raises(OSError, match="no listening"):
            adopt_listener(spare)
        os.close(spare)  # adopt_listener did not close it
    with open(os.devnull) as file, pytest.raises(OSError):
        adopt_listener(file.fileno())


@pytest.mark.parametrize("value", ["seven", "-1", "2"])
def test_an_invalid_inherited_descriptor_is_reported_with_its_variable(value: str) -> None:
    with pytest.raises(configuration.ConfigError, match="GW_INHERITED_FD"):
        configuration._descriptor("GW_INHERITED_FD", value)


# ---- modules without I/O


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
def test_admin_requests_are_parsed(method: bytes, target: bytes, kind: RequestKind, worker: str) -> None:
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
def test_an_invalid_admin_request_gets_a_4xx_status(method: bytes, target: bytes, status: int) -> None:
    with pytest.raises(RequestError) as raised:
        parse_request(method, target)
    assert raised.value.status == status
    assert raised.value.allow or status != 405


def test_the_counters_of_every_class_are_reported_even_if_0() -> None:
    report = format_metrics({"svc.fulfilled.b": 3, "svc.relayed": 5}, ["a", "b:c"], Gauges(4, 12, 2)).decode()
    assert report.splitlines() == [
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


def test_a_node_in_maintenance_is_draining_until_its_first_exit() -> None:
    maintenance, listed = MaintenanceSet(), Server("s1", ready_at_ms=100.0)
    # The second call has no effect.
    assert maintenance.enter("s1", 1000.0) and not maintenance.enter("s1", 1500.0)
    assert maintenance.effective(listed).state is ServerState.DRAINING
    assert maintenance.effective(replace(listed, state=ServerState.GONE)).state is ServerState.GONE
    assert maintenance.exit("s1", 2000.0) and not maintenance.exit("s1", 2500.0)
    returned = maintenance.effective(listed)
    assert returned.state is ServerState.READY and returned.ready_at_ms == 2000.0  # cold since its return
    assert maintenance.effective(replace(listed, ready_at_ms=3000.0)).ready_at_ms == 3000.0
    assert maintenance.effective(listed).ready_at_ms == 100.0 and not maintenance.left


def test_maintenance_written_by_another_process_is_adopted() -> None:
    maintenance = MaintenanceSet()
    maintenance.enter("s1", 1.0)
    entered, left = maintenance.adopt({"s2": 5.0}, 10.0)
    assert (
        (entered, left) == ({"s2"}, {"s1"})
        and maintenance.entered == {"s2": 5.0}
        and maintenance.left == {"s1": 10.0}
    )


def test_a_process_does_not_reload_its_own_write(tmp_path: Path) -> None:
    own, other = MaintenanceFile(tmp_path / "h.json", "g1"), MaintenanceFile(tmp_path / "h.json", "g1")
    own.save({"s1": 5.0}, 9.0)
    assert (
        own.load_if_changed() is None
        and other.load_if_changed() == {"s1": 5.0}
        and other.load_if_changed() is None
    )


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"{", "not JSON"),
        (b"[]", "not a JSON object"),
        (b'{"format": 2}', "format 2"),
        (b'{"format": 1, "gatekeeper": "other"}', "of gatekeeper"),
        (b'{"format": 1, "gatekeeper": "g1", "out_by_hand": {"s1": "x"}}', "no table"),
        (b'{"format": 1, "gatekeeper": "g1", "out_by_hand": {"s1": true}}', "no table"),
    ],
)
def test_an_invalid_maintenance_file_is_reported_with_the_reason(data: bytes, reason: str) -> None:
    with pytest.raises(MaintenanceFileError, match=reason):
        decode(data, "g1")
    assert decode(encode("g1", {"s1": 5.0}, 9.0), "g1") == {"s1": 5.0}


def test_stopping_is_final() -> None:
    lifecycle = Lifecycle()
    assert lifecycle.ready(True) and not lifecycle.ready(False)
    assert lifecycle.standby() and not lifecycle.standby() and not lifecycle.ready(True)
    assert lifecycle.active() and lifecycle.ready(True)
    lifecycle.stopping()
    with pytest.raises(PhaseError):
        lifecycle.active()
    assert not lifecycle.ready(True) and lifecycle.up(True)


# ---- the admin server of a running gatekeeper


def send_admin(gate: Gatekeeper, raw: bytes) -> tuple[int, bytes]:
    """Sends a request to the admin server; returns the status and the body."""
    assert gate.door_address is not None
    with socket.create_connection(gate.door_address) as client, gevent.Timeout(10):
        client.sendall(raw)
        data = b""
        while received := client.recv(65536):
            data += received
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split(b" ", 2)[1]), body


def post(path: str) -> bytes:
    return f"POST {path} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode()


def read_metrics(gate: Gatekeeper) -> dict[str, int]:
    status, body = send_admin(gate, b"GET /status/metrics HTTP/1.1\r\n\r\n")
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
def shared_folder(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    """A temporary folder of the test's own, shared by the processes of a gatekeeper."""
    monkeypatch.setattr(tempfile, "tempdir", str(tmp_path))
    return tmp_path


def client_address(gate: Gatekeeper) -> tuple[str, int]:
    assert gate._listener is not None
    host, port = gate._listener.getsockname()
    return host, port


def gatekeeper(node: Node) -> Gatekeeper:
    gate = Gatekeeper(replace(config(NOWHERE | {"n1": node.address}, {}), admin_address=("127.0.0.1", 0)))
    gate.start()
    return gate


def test_a_node_in_maintenance_gets_no_new_requests_until_its_exit(shared_folder: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert send_admin(gate, post("/maintenance/enter/nobody"))[0] == 404  # unknown id
    for _ in range(2):
        assert send_admin(gate, post("/maintenance/enter/n1"))[0] == 200
    assert gate.machines.ready("n1") is None  # checked before an attempt is written
    status, body = send_admin(gate, b"GET /status HTTP/1.1\r\n\r\n")
    assert status == 200 and json.loads(body)["out_by_hand"] == ["n1"]
    assert read_metrics(gate)["svc.out_of_rotation"] == 1
    discovery = {"generation": 9, "reset": True, "instances": [instance("n1", node.address)]}
    gate.machines.apply_update(discovery)  # discovery says ready: it stays in maintenance
    assert gate.machines.ready("n1") is None
    with socket.create_connection(client_address(gate)) as client, gevent.Timeout(10):
        client.sendall(JOB % (b"t1", b"5"))
        assert not client.recv(65536).startswith(b"HTTP/1.1 200")
    assert node.traces == []
    assert send_admin(gate, post("/maintenance/exit/n1"))[0] == 200  # one exit ends both
    machine = gate.machines.ready("n1")
    assert machine is not None and read_metrics(gate)["svc.out_of_rotation"] == 0
    assert machine.server.ready_at_ms >= gate.clock.now() - 5000  # treated as cold
    with socket.create_connection(client_address(gate)) as client, gevent.Timeout(10):
        for number in range(100):  # a cold node gets some requests
            client.sendall(JOB % (b"u%d" % number, b"5"))
            if client.recv(65536).startswith(b"HTTP/1.1 200"):
                break
    assert node.traces
    assert send_admin(gate, post("/maintenance/exit/nobody"))[0] == 404
    gate.stop(0.0)
    node.server.stop()


def test_the_counters_match_the_responses_to_clients(shared_folder: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    with socket.create_connection(client_address(gate)) as client, gevent.Timeout(10):
        for number in range(3):
            client.sendall(JOB % (b"t%d" % number, b"5"))
            assert client.recv(65536).startswith(b"HTTP/1.1 200")
        client.sendall(JOB.replace(b"basic", b"nosuchplan") % (b"t9", b"5"))
        assert client.recv(65536).startswith(b"HTTP/1.1 400")
        node.go.clear()
        client.sendall(JOB % (b"t3", b"5"))
        while not node.traces[3:]:
            gevent.sleep(0.005)
        metrics = read_metrics(gate)
        node.go.set()
        assert client.recv(65536).startswith(b"HTTP/1.1 200")
    assert metrics["svc.open_requests"] == 1 and metrics["svc.registry_entries"] == 1
    metrics = read_metrics(gate)
    assert metrics["svc.fulfilled.availability-check"] == 4 and metrics["svc.relayed"] == 4
    assert metrics["svc.faulted.availability-check"] == 1 and metrics["svc.throttled.availability-check"] == 0
    assert metrics["svc.open_requests"] == 0
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
def test_the_admin_server_answers_malformed_requests_with_a_4xx_status(
    shared_folder: Path, raw: bytes, status: int
) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert send_admin(gate, raw)[0] == status
    assert send_admin(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200  # the server still works
    gate.stop(0.0)
    node.server.stop()


def test_incomplete_admin_requests_do_not_block_others(
    shared_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    node = Node()
    gate = gatekeeper(node)
    assert gate.door_address is not None
    clients = [socket.create_connection(gate.door_address) for _ in range(10)]
    for client in clients[5:]:
        client.sendall(b"GET /sta")
    for _ in range(3):  # others are answered meanwhile
        assert send_admin(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200
    for client in clients:
        with gevent.Timeout(10):
            assert client.recv(65536).startswith(b"HTTP/1.1 408")
            assert client.recv(1) == b""  # closed
        client.close()
    assert gate.admin_server is not None and gate.admin_server.open == 0
    gate.stop(0.0)
    node.server.stop()


def test_standby_drains_client_connections_until_active(shared_folder: Path) -> None:
    node = Node()
    gate = gatekeeper(node)
    idle, busy = (
        socket.create_connection(client_address(gate)),
        socket.create_connection(client_address(gate)),
    )
    for client in (idle, busy):
        client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
        assert client.recv(65536).startswith(b"HTTP/1.1 200")
    node.go.clear()
    busy.sendall(JOB % (b"t1", b"5"))
    while not node.traces:
        gevent.sleep(0.005)
    assert send_admin(gate, post("/standby"))[0] == 200
    with gevent.Timeout(10):
        assert idle.recv(1) == b""  # idle connections are closed
        assert request_up(client_address(gate)).startswith(b"HTTP/1.1 503")
        assert send_admin(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 503
        node.go.set()
        answer = busy.recv(65536)
        assert answer.startswith(b"HTTP/1.1 200") and b"Connection: close" in answer
        assert busy.recv(1) == b""
    assert send_admin(gate, post("/active"))[0] == 200
    assert request_up(client_address(gate)).startswith(b"HTTP/1.1 200")
    assert send_admin(gate, b"GET /status HTTP/1.1\r\n\r\n")[0] == 200
    idle.close()
    busy.close()
    gate.lifecycle.stopping()
    assert send_admin(gate, post("/active"))[0] == 409  # standby and active have no effect after SIGTERM
    gate.stop(0.0)
    node.server.stop()


def test_maintenance_is_shared_between_two_processes(shared_folder: Path) -> None:
    node = Node()
    old = gatekeeper(node)
    assert send_admin(old, post("/maintenance/enter/n1"))[0] == 200
    new = gatekeeper(node)  # runs beside it, with the same temporary folder
    assert new.machines.ready("n1") is None
    assert json.loads(send_admin(new, b"GET /status HTTP/1.1\r\n\r\n")[1])["out_by_hand"] == ["n1"]
    assert send_admin(new, post("/maintenance/exit/n1"))[0] == 200
    with gevent.Timeout(10):
        while old.machines.ready("n1") is None:  # the old process polls the file
            gevent.sleep(0.01)
    old.stop(0.0)
    new.stop(0.0)
    for invalid in (b"{", b'{"format": 1, "gatekeeper": "g1", "out_by_hand": []}'):
        (shared_folder / "ashlift-g1.handouts.json").write_bytes(invalid)
        third = gatekeeper(node)  # ignores the file
        assert third.machines.ready("n1") is not None
        third.stop(0.0)
    node.server.stop()


def test_a_process_with_an_inherited_socket_uses_half_the_limits() -> None:
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


def test_a_liveness_file_untouched_for_a_second_is_of_a_dead_process() -> None:
    assert count_alive([100.0, 99.5, 98.9], 100.0) == 2 and count_alive([], 100.0) == 1


def test_two_processes_of_a_gatekeeper_split_the_ceilings(
    shared_folder: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    node, held = Node(), listen()
    settings = config(NOWHERE | {"n1": node.address}, {})
    old = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    old.start()
    monkeypatch.setattr(os, "getpid", lambda: 1)  # so that its liveness file has another name
    new = Gatekeeper(replace(settings, inherited_fd=os.dup(held.fileno())))
    new.start()
    with gevent.Timeout(10):
        while not old.owner._gateway.process_count == new.owner._gateway.process_count == 2:
            gevent.sleep(0.02)
        old.stop(0.0)
        assert old.liveness_files is not None and not old.liveness_files.path.exists()
        while new.owner._gateway.process_count != 1:  # the old process has removed its file
            gevent.sleep(0.02)
    new.stop(0.0)
    held.close()
    node.server.stop()
