"""Races, timeouts, settings and signals of the gatekeeper, which recorded exchanges do not cover."""

import json
import os
import signal
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import gevent
import pytest
from gevent import socket
from gevent.queue import SimpleQueue

from ashlift.gatekeeper import config as configuration
from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.admission.control import Gateway
from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.admission.wirehost import WireError
from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.jobs import Answer, Job, Verdict
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net import machine_list
from ashlift.gatekeeper.net.front import connection
from ashlift.gatekeeper.net.machine_list import Machine, MachineList
from ashlift.gatekeeper.net.nodes import Limits, NodePool, UpstreamRequest
from ashlift.gatekeeper.owner import Owner
from tests.gatekeeper.play import config, instance, listen
from tests.gatekeeper.standins import ManualClock, Node
from tests.gatekeeper.test_wirehost import FACTS

NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}


def job(number: int = 1) -> Job:
    upstream_request = UpstreamRequest(b"GET", b"/availability-check", b"t%d" % number)
    return Job(0, 0, "aa", 900.0, 0.0, lambda answer: None, upstream_request, number=number)


class DrainedDuringConnect(MachineList):
    """A machine list that reports a drain during the connect of an attempt."""

    lookups = 0

    def ready(self, name: str) -> Machine | None:
        self.lookups += 1
        return super().ready(name) if self.lookups == 1 else None


def pool(
    list_class: type[MachineList], node: Node, max_connections: int = 8
) -> tuple[NodePool, SimpleQueue[Any], Metrics]:
    inbox: SimpleQueue[Any] = SimpleQueue()
    machines, metrics = list_class(("127.0.0.1", 9), (), inbox, Metrics()), Metrics()
    machines.apply_update({"generation": 1, "instances": [instance("n1", node.address)]})
    inbox.get()
    return (
        NodePool(machines, Limits(2000.0, 15_000.0, max_connections), UnixClock(), inbox, metrics),
        inbox,
        metrics,
    )


def test_an_attempt_is_not_sent_to_a_node_that_starts_to_drain_during_the_connect() -> None:
    node = Node()
    nodes, inbox, metrics = pool(DrainedDuringConnect, node)
    nodes.start(job(), 0, "n1", 900.0)
    assert inbox.get(timeout=10).result is Result.NOT_SENT
    assert metrics.counts["claims.withdrawn"] == 1 and node.traces == []
    node.server.stop()


def test_connections_to_nodes_are_limited() -> None:
    silent = listen()
    node = Node()
    node.address = "{}:{}".format(*silent.getsockname())
    nodes, inbox, _ = pool(MachineList, node, max_connections=1)
    nodes.start(job(1), 0, "n1", 20_000.0)
    nodes.start(job(2), 0, "n1", 20_000.0)
    refused = inbox.get(timeout=10)
    assert (refused.number, refused.result) == (2, Result.NOT_SENT)
    nodes.cancel(1, 0)
    assert inbox.get(timeout=10).result is Result.CANCELLED
    silent.close()
    node.server.stop()


def test_idle_connections_are_dropped_before_the_node_closes_them() -> None:
    node, clock = Node(), ManualClock()
    nodes, inbox, metrics = pool(MachineList, node)
    nodes._clock = clock
    for number in (1, 2):
        nodes.start(job(number), 0, "n1", 9_000.0)
        assert inbox.get(timeout=10).result is Result.OK
    assert metrics.counts["nodes.dialled"] == 1 and nodes._open_count == 1
    clock.advance(14_000.0)
    nodes.close_stale_connections()
    assert nodes._open_count == 0
    node.server.stop()


def test_a_connection_to_a_gone_node_is_not_used_for_a_new_one_at_its_address() -> None:
    node = Node()
    nodes, inbox, metrics = pool(MachineList, node)
    for number, name in ((1, "n1"), (2, "n2")):
        state = "gone" if number == 2 else "ready"
        rows = [instance("n1", node.address, state), instance(name, node.address)]
        nodes._machines.apply_update({"generation": number, "instances": rows})
        assert inbox.get(timeout=10).servers
        nodes.start(job(number), 0, name, 9_000.0)
        assert inbox.get(timeout=10).result is Result.OK
    assert metrics.counts["nodes.dialled"] == 2
    nodes.close_stale_connections()
    assert nodes._open_count == 1
    node.server.stop()


def test_a_silent_watch_is_restarted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(machine_list, "SILENCE_TIMEOUT_S", 0.05)
    discovery = listen()
    watch = MachineList(discovery.getsockname(), (), SimpleQueue(), Metrics())
    running = gevent.spawn(watch.run)
    with gevent.Timeout(10):
        for _ in range(2):
            assert discovery.accept()[0].recv(9) == b"GET /disc"
    running.kill()
    discovery.close()


def test_an_exception_in_the_gateway_fails_one_job_and_no_other(monkeypatch: pytest.MonkeyPatch) -> None:
    answers: list[Answer] = []
    owner = Owner(Gateway(config(NOWHERE, {}).settings, 1), ManualClock(), Metrics())
    broken = job()
    broken.reply = answers.append
    with monkeypatch.context() as patch:
        patch.setattr(Gateway, "_on_request", lambda *_: 1 / 0)
        owner.handle(broken)
    sound = job(2)
    sound.reply = answers.append
    owner.handle(sound)
    assert [answer.verdict for answer in answers] == [Verdict.FAILED, Verdict.REFUSED]
    assert list(owner._timers) == [0]  # the timer set before the exception is kept


def test_the_time_left_of_a_job_excludes_the_time_it_was_unread() -> None:
    owner = Owner(Gateway(config(NOWHERE, {}).settings, 1), clock := ManualClock(), Metrics())
    late = job()
    late.received_ms, late.time_left_ms = clock.now() - 300.0, 900.0
    assert owner._request_event(late).time_left_ms == 600.0


def test_clocks_of_gatekeepers_agree() -> None:
    # The keys of the shared counter are derived from the clock.
    first = UnixClock()
    gevent.sleep(0.05)
    assert abs(first.now() - UnixClock().now()) < 20


@pytest.mark.parametrize(
    ("path", "value", "named"),
    [
        ("discovery", "nowhere", "GW_DISCOVERY"),
        ("counter", None, "counter"),
        ("seed", "x", "seed"),
        ("limits", {"sockets": 5}, "limits.sockets"),
        ("settings", [], "settings"),
        ("known", [1], "known"),
        ("settings.Plans.0.Name", "", r"Plans\[0\].Name"),
        ("settings.Plans.0.QuotaRate", "x", "QuotaRate"),
        ("settings.Limits.IdleCloseMs", 0, "IdleCloseMs"),
        ("settings.FamilyInfo.MayCount", 1, "MayCount"),
    ],
)
def test_an_invalid_setting_is_reported_with_its_key(path: str, value: Any, named: str) -> None:
    with pytest.raises((configuration.ConfigError, WireError), match=named):
        config(NOWHERE, {path: value})


def test_modules_of_disabled_features_are_not_loaded() -> None:
    off = {"grpc", "lark", "msgspec", "click", "structlog"}
    off |= {"ashlift.gatekeeper.streams", "ashlift.gatekeeper.settings.schema"}
    loaded = f"import sys, ashlift.gatekeeper.__main__; sys.exit(', '.join({off!r} & set(sys.modules)) or 0)"
    ended = subprocess.run([sys.executable, "-c", loaded], check=False, capture_output=True, text=True)
    assert ended.returncode == 0, ended.stderr


def start(tmp_path: Path, node: Node, discovery: str = "127.0.0.1:9") -> "subprocess.Popen[str]":
    platform_settings = FACTS | {"Categories": [FACTS["Categories"][0] | {"Name": "availability-check"}]}
    platform_settings = platform_settings | {"Plans": [FACTS["Plans"][0] | {"Name": "basic"}]}
    known = {"generation": 1, "instances": [instance("n1", node.address)]}
    file_content = {
        "settings": platform_settings,
        "counter": "127.0.0.1:9",
        "known": known,
        "discovery": discovery,
    }
    (tmp_path / "config.json").write_text(json.dumps(file_content))
    with socket.socket() as free:
        free.bind(("127.77.0.1", 0))
        listen = f"127.77.0.1:{free.getsockname()[1]}"
    env = {"GW_CONFIG": str(tmp_path / "config.json"), "GW_LISTEN": listen, "GW_DISCOVERY": discovery}
    command = [sys.executable, "-m", "ashlift.gatekeeper"]
    return subprocess.Popen(command, env=os.environ | env, stderr=subprocess.PIPE, text=True)


def read_until(process: "subprocess.Popen[str]", text: str) -> str:
    assert process.stderr is not None
    for line in process.stderr:
        if text in line:
            return line
    raise AssertionError(f"ended before it said {text!r}")


def test_sigterm_answers_open_requests_and_exits_with_0(tmp_path: Path) -> None:
    node = Node()
    node.go.clear()
    process = start(tmp_path, node)
    until_in_thread = gevent.get_hub().threadpool.apply
    with gevent.Timeout(30):
        port = int(until_in_thread(read_until, (process, "listens")).rpartition(":")[2])
        process.send_signal(signal.SIGUSR1)
        until_in_thread(read_until, (process, "counters (SIGUSR1)"))
        client = socket.create_connection(("127.77.0.1", port))
        client.sendall(
            b"GET /availability-check HTTP/1.1\r\nX-Qos: availability-check\r\nX-Trace-Id: t1\r\n"
            b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 25\r\n\r\n"
        )
        while not node.traces:
            gevent.sleep(0.005)
        process.send_signal(signal.SIGTERM)
        gevent.sleep(0.2)
        node.go.set()
        assert client.recv(65536).startswith(b"HTTP/1.1 200 OK")
        assert client.recv(1) == b""  # the connection is closed after the response
        until_in_thread(read_until, (process, "answers.served 1"))
        assert until_in_thread(process.wait) == 0
    node.server.stop()


def test_sighup_changes_the_address_of_discovery_and_ignores_an_invalid_file(tmp_path: Path) -> None:
    node, first, second = Node(), listen(), listen()
    old, new = ("{}:{}".format(*sock.getsockname()) for sock in (first, second))
    process = start(tmp_path, node, old)
    until_in_thread = gevent.get_hub().threadpool.apply
    path = tmp_path / "config.json"
    good = path.read_text()
    with gevent.Timeout(30):
        until_in_thread(read_until, (process, "listens"))
        watch = first.accept()[0]
        for bad, named in (("{", "GW_CONFIG"), (good.replace(old, "nowhere"), "GW_DISCOVERY")):
            path.write_text(bad)
            process.send_signal(signal.SIGHUP)
            assert named in until_in_thread(read_until, (process, "reload: "))
        path.write_text(good.replace(old, new))
        process.send_signal(signal.SIGHUP)
        assert second.accept()[0].recv(9) == b"GET /disc"
        while watch.recv(4096):
            pass  # until the old watch ends
        process.send_signal(signal.SIGTERM)
        until_in_thread(read_until, (process, "reloads 1"))
        assert until_in_thread(process.wait) == 0
    node.server.stop()


def test_new_connections_are_accepted_for_a_grace_period_after_sigterm() -> None:
    node = Node()
    gatekeeper = Gatekeeper(config(NOWHERE | {"n1": node.address}, {}))
    address = gatekeeper.start()
    open_client = socket.create_connection(address)
    open_client.sendall(b"GET /up HTTP/1.1\r\n\r\n")
    assert open_client.recv(65536).startswith(b"HTTP/1.1 200")
    ending = gevent.spawn(gatekeeper.stop, 2.0)
    late = socket.create_connection(address)
    late.sendall(b"GET /up HTTP/1.1\r\n\r\n")
    with gevent.Timeout(30):
        assert late.recv(65536).startswith(b"HTTP/1.1 200")
        assert open_client.recv(1) == late.recv(1) == b""
        ending.get()
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)
    node.server.stop()


def connect_and_send(address: tuple[str, int], text: bytes = b"GET /up HTTP/1.1\r\n\r\n") -> Any:
    client = socket.create_connection(address)
    client.sendall(text)
    return client


def test_idle_connections_are_evicted_at_the_connection_limit(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(connection, "HEAD_TIMEOUT_S", 30.0)
    node = Node()
    node.go.clear()
    gatekeeper = Gatekeeper(replace(config(NOWHERE | {"n1": node.address}, {}), max_client_connections=3))
    address = gatekeeper.start()
    head = b"GET /availability-check HTTP/1.1\r\nX-Qos: availability-check\r\nX-Trace-Id: t1\r\n"
    with gevent.Timeout(30):
        open_job = connect_and_send(
            address, head + b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 25\r\n\r\n"
        )
        while not node.traces:
            gevent.sleep(0.005)
        idle_client = connect_and_send(address)
        assert idle_client.recv(65536).startswith(b"HTTP/1.1 200")
        other_clients = [
            socket.create_connection(address),
            connect_and_send(address, b"GET /u"),
            connect_and_send(address, head),
        ]
        for _ in range(4):  # the limit is reached each time
            other_clients.append(connect_and_send(address))
            assert other_clients[-1].recv(65536).startswith(b"HTTP/1.1 200")
        assert idle_client.recv(1) == b"" and gatekeeper.front.open_count <= 3
        node.go.set()
        assert open_job.recv(65536).startswith(
            b"HTTP/1.1 200"
        )  # a connection with an open job is never evicted
    gatekeeper.stop(0.0)
    node.server.stop()


def test_idle_connections_are_limited() -> None:
    gatekeeper = Gatekeeper(replace(config(NOWHERE, {}), max_idle_connections=2))
    address = gatekeeper.start()
    with gevent.Timeout(30):
        idle_clients = []
        for _ in range(9):
            idle_clients.append(connect_and_send(address))
            assert idle_clients[-1].recv(65536).startswith(b"HTTP/1.1 200")
        assert idle_clients[0].recv(1) == b""
    assert gatekeeper.metrics.counts["clients.put_out"] >= 5
    gatekeeper.stop(0.0)


@pytest.mark.parametrize(("text", "response"), [(b"", b""), (b"\r\n", b""), (b"GET /u", b"HTTP/1.1 408")])
def test_an_incomplete_request_times_out(
    monkeypatch: pytest.MonkeyPatch, text: bytes, response: bytes
) -> None:
    monkeypatch.setattr(connection, "FIRST_REQUEST_TIMEOUT_S", 0.05)
    monkeypatch.setattr(connection, "HEAD_TIMEOUT_S", 0.05)
    gatekeeper = Gatekeeper(config(NOWHERE, {}))
    with gevent.Timeout(30):
        client = connect_and_send(gatekeeper.start(), text)
        assert client.recv(12) == response
        while client.recv(65536):
            pass  # until the connection is closed
    gatekeeper.stop(0.0)


def test_an_invalid_setting_ends_the_process_with_one_line(tmp_path: Path) -> None:
    (tmp_path / "config.json").write_text('{"settings": 5}')
    env = os.environ | {"GW_CONFIG": str(tmp_path / "config.json")}
    command = [sys.executable, "-m", "ashlift.gatekeeper"]
    ended = subprocess.run(command, env=env, capture_output=True, text=True, check=False)
    assert ended.returncode == 2 and ended.stderr == "ashlift: setting settings is missing or not a table\n"
