"""Graceful shutdown of a proxy: requests on accepted connections are answered."""

import socket as blocking_socket
import time as blocking_time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
from attrs import evolve
from gevent import socket
from gevent.event import Event
from ward import each, raises, test

from ashlift.config.object_schema import ClientLimits
from ashlift.config.settings import parse_settings
from ashlift.config.settings_file import SettingsFile
from ashlift.invariants import InvariantViolationError, monitor
from ashlift.proxy import client_connection, shutdown
from ashlift.proxy.program import Program
from ashlift.proxy.rejections import RejectionReason
from ashlift.proxy.request_counters import RequestEnd
from ashlift.proxy.shutdown import shutdown_schedule
from tests.proxy.test_registry_client import TEXT
from tests.support.patching import replaced
from tests.support.proxy_history import Request
from tests.support.proxy_site import ProxySite
from tests.support.stub_client import ENOUGH_SECONDS, StubClient
from tests.support.stub_workers import LARGE_BYTES
from tests.support.unread_input import send_unread

TIMER_SECONDS = 0.002
PAST_DUE_SECONDS = 0.05  # long enough for a timer to be due
PARTIAL_BYTES = 3  # the part of a request that is sent later


@contextmanager
def proxy_site() -> Iterator[ProxySite]:
    site = ProxySite()
    try:
        yield site
    finally:
        site.close()


def new_request(site: ProxySite) -> Request:
    return site.history.new_request("/look/0/x", True, b"a body")


def stop_in_same_iteration(site: ProxySite) -> None:
    """Stop accepting in the event loop iteration in which the proxy detects the sent bytes.

    No greenlet may run between sending and this call. The loop finds the bytes and the due timer in one
    iteration, and calls the timer first.
    """
    timer = gevent.get_hub().loop.timer(TIMER_SECONDS)
    timer.start(site.proxy.server.stop_accepting)
    blocking_time.sleep(2 * TIMER_SECONDS)


@test("a request that arrives in the event loop iteration in which the proxy stops accepting is answered")
def _() -> None:
    with proxy_site() as site:
        client, request = keep_alive_client(site)
        send_unread(client.sock, request.to_bytes())
        stop_in_same_iteration(site)
        client.read_response(request)
        ends = site.proxy.request_handler.request_counters.ends
        assert request.status == 200, f"{ends}, runs: {site.history.runs}"


@test("an unread request on a keep-alive connection is answered when the proxy stops accepting")
def _() -> None:
    with proxy_site() as site:
        client, request = keep_alive_client(site)
        send_unread(client.sock, request.to_bytes())
        site.proxy.server.stop_accepting()
        client.read_response(request)
        assert request.status == 200


@test("a connection in the kernel's backlog is served when the proxy stops accepting")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        request = new_request(site)
        send_unread(client.sock, request.to_bytes())
        site.proxy.server.stop_accepting()
        client.read_response(request)
        assert request.status == 200


@test("a connection accepted just before the proxy stops accepting can still send its first request")
def _() -> None:
    with proxy_site() as site:
        client = connected_client(site)
        site.proxy.server.stop_accepting()
        gevent.sleep(2 * TIMER_SECONDS)
        site.proxy.server.close_idle_connections()
        request = new_request(site)
        client.send(request)
        assert request.status == 200
        assert request.response_headers["connection"] == "close"
        wait_for_connections(site, 0)


@test("a connection without a request is closed after the time for its first request")
def _() -> None:
    with proxy_site() as site, replaced(client_connection, FIRST_REQUEST_SECONDS=0.0):
        client = connected_client(site)
        site.proxy.server.stop_accepting()
        assert client.sock.recv(1) == b""


@test("idle connections are closed when the proxy stops accepting, and no request is lost")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        client.send(new_request(site))
        site.proxy.server.stop_accepting()
        assert client.sock.recv(1) == b""
        wait_for_connections(site, 0)
        assert site.proxy.request_handler.request_counters.open_requests == 0


@test("pipelined requests are all answered while draining; only the last response closes the connection")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        requests = [new_request(site) for _ in range(3)]
        site.proxy.server.draining = True
        client.send(*requests)
        assert [request.status for request in requests] == [200, 200, 200]
        closing = [request.response_headers.get("connection") for request in requests]
        assert closing == [None, None, "close"]


@test("bytes received after the last request do not reset the connection before its response is read")
def _() -> None:
    with proxy_site() as site:
        client = StubClient(site.history, site.proxy.address)
        site.proxy.server.draining = True
        request = new_request(site)
        request.extra_head = b"Connection: close\r\n"
        client.sock.sendall(request.to_bytes())
        while not site.proxy.request_handler.request_counters.ends[RequestEnd.ANSWERED]:
            gevent.sleep(TIMER_SECONDS)
        for _ in range(3):
            client.sock.sendall(b"more of what nobody asked for")  # fails after a reset
            gevent.sleep(TIMER_SECONDS)
        client.read_response(request)
        assert request.status == 200


@test("a request with a deadline after the end of the shutdown is rejected with 503")
def _() -> None:
    with proxy_site() as site:
        client = connected_client(site)
        site.proxy.request_handler.serve_until = blocking_time.monotonic() + 1.0
        site.proxy.server.stop_accepting()
        request = site.history.new_request("/hold/0/x", False, b"a body", remaining_ms=3000)
        client.send(request)
        assert request.status == 503
        assert site.proxy.request_handler.responses == {RejectionReason.STOPPING.value: 1}
        assert not site.history.runs


@test("a request with a deadline before the end of the shutdown is served")
def _() -> None:
    with proxy_site() as site:
        client = connected_client(site)
        site.proxy.request_handler.serve_until = blocking_time.monotonic() + 5.0
        site.proxy.server.stop_accepting()
        request = site.history.new_request("/hold/0/x", False, b"a body", remaining_ms=3000)
        client.send(request)
        assert request.status == 200


@test("at the end of Grace a request in flight at a worker gets 504")
def _() -> None:
    with proxy_site() as site:
        worker_id = next(iter(site.routes["0"]))
        site.workers.behaviours[worker_id] = "no response"
        client = StubClient(site.history, site.proxy.address)
        request = site.history.new_request("/hold/0/x", False, b"a body")
        client.sock.sendall(request.to_bytes())
        while not site.history.runs:
            gevent.sleep(TIMER_SECONDS)
        site.proxy.server.stop_accepting()
        site.proxy.request_handler.end_open_requests()
        client.read_response(request)
        assert request.status == 504


@test("at the end of Grace a partly received request gets 503")
def _() -> None:
    with proxy_site() as site:
        client, request = partial_client(site)
        site.proxy.server.stop_accepting()
        site.proxy.server.refuse_partial_requests()
        client.read_response(request)
        assert request.status == 503
        assert not site.history.runs


@test("a request that is found in the same turn of the event loop as the idle time-out is answered")
def _() -> None:
    idle_seconds = 0.3
    with proxy_site() as site:
        site.proxy.server.limits = lambda: ClientLimits(idle_timeout=idle_seconds)
        client, request = keep_alive_client(site)
        gevent.sleep(0.0)
        blocking_time.sleep(idle_seconds + PAST_DUE_SECONDS)
        send_unread(client.sock, request.to_bytes())
        client.read_response(request)
        assert request.status == 200


@test("a client that reads slowly gets its complete response")
def _() -> None:
    with proxy_site() as site, replaced(client_connection, WRITE_TIMEOUT_SECONDS=0.2):
        worker_id = next(iter(site.routes["0"]))
        site.workers.behaviours[worker_id] = "large body"
        client = StubClient(site.history, site.proxy.address)
        client.sock.sendall(new_request(site).to_bytes())
        received, started_at = 0, blocking_time.monotonic()
        while data := client.sock.recv(1 << 20):
            received += len(data)
            if received > LARGE_BYTES:
                break
            gevent.sleep(0.05)
        assert received > LARGE_BYTES
        assert blocking_time.monotonic() - started_at > 0.2


@test("closing a connection during a request violates the invariant request_answered")
def _() -> None:
    with proxy_site() as site:
        connection = client_connection.ClientConnection(
            socket.socket(), site.proxy.request_handler, ClientLimits, lambda: True
        )
        connection._closed_by_proxy = True
        with raises(InvariantViolationError):
            connection._record_end(connection._unanswered_end())
        monitor.violations["request_answered"] = 0


@test("shutdown with Grace {grace} s: requests are served until the last sixth, exit is before SIGKILL")
def _(grace: float = each(0.5, 3.0, 6.0, 30.0)) -> None:
    schedule = shutdown_schedule(100.0, grace)
    assert 100.0 < schedule.accept_until < schedule.serve_until < schedule.exit_at < 100.0 + grace
    assert schedule.serve_until > 100.0 + 5 / 6 * grace
    assert schedule.accept_until < 103.0
    assert shutdown.FIRST_REQUEST_SECONDS <= 1.0


@test("shutdown waits for the last connection, and ends early without any")
def _() -> None:
    program = short_grace_program(grace=1.0)
    started_at = blocking_time.monotonic()
    assert program._shut_down() == 0
    assert blocking_time.monotonic() - started_at < 0.9  # accepting ends at 0.55
    connection = FakeConnection()
    program = short_grace_program(grace=1.0)
    program.proxy_server.connections.add(connection)  # type: ignore[arg-type]
    gevent.spawn_later(0.7, program.proxy_server.connections.clear)
    started_at = blocking_time.monotonic()
    assert program._shut_down() == 0
    assert 0.7 <= blocking_time.monotonic() - started_at < 0.9
    assert connection.close_requested.is_set()


@test("a connection accepted just before the end of accepting is answered before the process exits")
def _() -> None:
    program = short_grace_program(grace=3.0)
    server = program.proxy_server
    server.listen(("127.0.0.1", 0))
    stop_accepting = server.stop_accepting
    clients: list[blocking_socket.socket] = []

    def connect_and_stop() -> None:
        """Connect and send a request; no other greenlet runs before the listener is closed."""
        assert server._server is not None
        client = blocking_socket.create_connection(("127.0.0.1", server._server.server_port or 0))
        client.sendall(b"GET / HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: 1\r\nX-Time-Remaining: 500\r\n\r\n")
        clients.append(client)
        stop_accepting()

    server.stop_accepting = connect_and_stop  # type: ignore[method-assign]
    assert program._shut_down() == 0
    assert clients[0].recv(65536).startswith(b"HTTP/1.1 503 ")  # it holds no configuration
    clients[0].close()


@test("the rest of a partial request that arrives after its rejection does not run it")
def _() -> None:
    with proxy_site() as site:
        client, request = partial_client(site)
        site.proxy.server.refuse_partial_requests()
        client.sock.sendall(request.to_bytes()[-PARTIAL_BYTES:])
        gevent.sleep(PAST_DUE_SECONDS)  # long enough for the request to reach the worker
        client.read_response(request)
        wait_for_connections(site, 0)
        assert request.status == 503
        assert not site.history.runs


class FakeConnection:
    """An open connection with a request in progress."""

    def __init__(self) -> None:
        self.close_requested = Event()

    def close_if_idle(self, now: float) -> None:
        self.close_requested.set()

    def refuse_partial_request(self) -> None:
        raise AssertionError("partial request rejected before the end of Grace")


def short_grace_program(grace: float) -> Program:
    settings: Any = parse_settings(TEXT)
    settings = evolve(settings, bounds=evolve(settings.bounds, grace=grace))
    return Program(SettingsFile("none"), settings)


def wait_for_connections(site: ProxySite, count: int) -> None:
    with gevent.Timeout(ENOUGH_SECONDS):
        while len(site.proxy.server.connections) != count:
            gevent.sleep(TIMER_SECONDS)


def connected_client(site: ProxySite) -> StubClient:
    """A client whose connection the proxy has accepted."""
    client = StubClient(site.history, site.proxy.address)
    wait_for_connections(site, 1)
    return client


def keep_alive_client(site: ProxySite) -> tuple[StubClient, Request]:
    """A client that has received a response on its connection, and its next request."""
    client = StubClient(site.history, site.proxy.address)
    client.send(new_request(site))
    return client, new_request(site)


def partial_client(site: ProxySite) -> tuple[StubClient, Request]:
    """A client and its request, of which the proxy has read only a part."""
    client, request = StubClient(site.history, site.proxy.address), new_request(site)
    client.sock.sendall(request.to_bytes()[:-PARTIAL_BYTES])
    with gevent.Timeout(ENOUGH_SECONDS):
        while not any(one._reader.current for one in site.proxy.server.connections):
            gevent.sleep(TIMER_SECONDS)
    return client, request
