"""End-to-end tests with real sockets: clients, a proxy and workers, with faults on the connections.

Every response must belong to its request. A non-idempotent request must not run twice, nor after a rejection
that guarantees that it has not run.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from ward import each, test

from ashlift.proxy import client_connection
from ashlift.proxy.idle_timeout_estimator import IdleTimeoutEstimator
from ashlift.proxy.request_reader import RequestReader
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import WorkerResponse
from ashlift.proxy.upstream import ConnectionPool
from tests.support.fault_proxy import HOST, REPEAT, FaultProxy
from tests.support.mutation import is_detected, mutated_function
from tests.support.proxy_history import History, expected_body
from tests.support.proxy_site import BODY, FAULTS, ProxySite, ProxyUnderTest
from tests.support.stub_client import ENOUGH_SECONDS, TIMED_OUT, StubClient
from tests.support.stub_workers import BEHAVIOURS, worker_response

STATE_MACHINE_SETTINGS = settings(
    max_examples=15,
    stateful_step_count=10,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


@test("worker: {behaviour}")
def _(behaviour: str = each(*BEHAVIOURS)) -> None:
    site = ProxySite(workers_per_route=2)
    for worker_id in site.routes["0"]:
        site.workers.behaviours[worker_id] = behaviour
    remaining_ms = (
        150 if behaviour in ("no response", "not: wrong attempt id") else 3000
    )  # these two time out
    non_idempotent = [site.send(remaining_ms=remaining_ms) for _ in range(2)]
    idempotent = [site.send(idempotent=True, remaining_ms=remaining_ms) for _ in range(2)]
    site.close()
    statuses = {one.status for one in non_idempotent + idempotent}
    if behaviour in (
        "success",
        "duplicate response at once",
        "100 continue first",
        "connection close",
        "invalid bytes after the response",
    ):
        assert statuses == {200}
    elif behaviour == "duplicate response later":
        assert {one.status for one in idempotent} == {200}
        assert {one.status for one in non_idempotent} <= {200, 504}
    elif behaviour == "not: overloaded":
        assert statuses == {503}
        assert not site.history.runs
    elif behaviour == "server error":
        assert statuses == {500}
    elif behaviour == "not: resets reused connections":
        assert statuses <= {200, 504}
    else:
        assert statuses <= {502, 504}


def age_connections(site: ProxySite) -> None:
    """Make every idle connection to a worker one second older."""
    for connection in site.proxy.idle_connections():
        connection.idle_since -= 1.0


# The source of this class seeds the derandomized test: changing any name in it changes the sequences tried.
class ProxyStateMachine(RuleBasedStateMachine):
    """Requests of three clients to two workers, faults on each connection, behaviours of each worker."""

    def __init__(self) -> None:
        super().__init__()
        self.site = ProxySite(workers_per_route=2)
        self.ways = [*self.site.fault_proxies.values(), FaultProxy(self.site.proxy.address)]
        self.clients: list[StubClient | None] = [None] * 3

    @rule(which=st.integers(0, 2), fault=st.sampled_from(FAULTS), at=st.integers(0, 250))
    def fault(self, which: int, fault: tuple[str, str], at: int) -> None:
        kind, way = fault
        if (which, kind) != (2, REPEAT):
            self.ways[which].inject(way, at, kind)

    @rule(which=st.integers(0, 1), behaviour=st.sampled_from(BEHAVIOURS))
    def behaviour(self, which: int, behaviour: str) -> None:
        self.site.workers.behaviours[[*self.site.routes["0"]][which]] = behaviour

    @rule(
        which=st.integers(0, 2),
        many=st.integers(1, 3),
        idempotent=st.booleans(),
        chunked=st.booleans(),
        cuts=st.lists(st.integers(0, 300), max_size=3),
    )
    def ask(self, which: int, many: int, idempotent: bool, chunked: bool, cuts: list[int]) -> None:
        client = self.clients[which]
        if client is None or client.ended:
            client = self.clients[which] = StubClient(self.site.history, self.ways[2].address)
        path = "/look/0/x" if idempotent else "/hold/0/x"
        asked = [
            self.site.history.new_request(path, idempotent, BODY, chunked=chunked, remaining_ms=100)
            for _ in range(many)
        ]
        leaving = gevent.spawn_later(0.5, client.hang_up)
        client.send(*asked, cuts=cuts)
        leaving.kill()
        self.site.history.check()

    @rule(which=st.integers(0, 2))
    def leave(self, which: int) -> None:
        client = self.clients[which]
        if client is not None:
            client.close()

    @rule()
    def rest(self) -> None:
        age_connections(self.site)

    @rule()
    def calm(self) -> None:
        self.site.workers.behaviours.clear()
        for way in self.ways:
            way.end_faults()

    def teardown(self) -> None:
        for client in self.clients:
            if client is not None:
                client.close()
        self.calm()
        views = self.site.proxy.router.load_balancer.workers.values()
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while any(view.in_flight for view in views):
                gevent.idle()
        asked = (self.site.send().status for _ in range(5))  # what a worker still owes may spoil the first
        assert 200 in asked, "all is well, and nothing is served"
        self.ways[2].close()
        self.site.close()


def run_state_machine() -> None:
    run_state_machine_as_test(ProxyStateMachine, settings=STATE_MACHINE_SETTINGS)


@test("random sequences of requests, worker behaviours and network faults")
def _() -> None:
    run_state_machine()


# ---- clients


@test("client: a chunked body, split at every byte")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    request = site.history.new_request("/hold/0/x", False, BODY, chunked=True)
    data = request.to_bytes()
    for at in range(1, len(data)):
        reader = RequestReader()
        reader.feed(data[:at])
        assert not reader.complete
        reader.feed(data[at:])
        assert [bytes(one.body) for one in reader.complete] == [BODY]
        assert not reader.error_status
    client.send(request, cuts=range(len(data)))
    assert request.status == 200
    site.close()


@test("client: pipelined requests are answered in order; after a disconnect no further one runs")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    requests = [site.history.new_request("/hold/0/x", False, BODY) for _ in range(6)]
    client.send(*requests)
    assert [one.status for one in requests] == [200] * 6
    site.workers.behaviours = dict.fromkeys(site.routes["0"], "no response")
    late = [site.history.new_request("/hold/0/x", False, BODY) for _ in range(4)]
    site.workers.on_request = lambda _: client.hang_up()
    client.send(*late)
    site.close()
    assert [site.history.runs[one.id] for one in late] == [1, 0, 0, 0]


@test("client: a half-closed connection counts as disconnected")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    one = site.history.new_request("/hold/0/x", False, BODY)
    client.sock.sendall(one.to_bytes())
    client.sock.shutdown(socket.SHUT_WR)
    client.send()
    with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
        while site.proxy.server.connections:
            gevent.idle()
    assert site.proxy.request_handler.in_flight == 0
    site.close()


@test("client: after a disconnect while its request waits for a configuration, the request does not run")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    one = site.history.new_request("/hold/1/x", False, BODY)  # not in the proxy's configuration
    site.proxy.set_workers(site.routes)
    client.sock.sendall(one.to_bytes())
    handler = site.proxy.request_handler
    with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
        while not handler._awaiting_configuration:
            gevent.idle()
        client.close()
        while handler.in_flight:
            gevent.idle()
    assert not site.history.runs
    assert not handler.responses
    site.close()


@test("client: a response that is not read closes the connection, and is truncated")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    site.workers.behaviours = dict.fromkeys(site.routes["0"], "large body")
    requests = [site.history.new_request("/look/0/x", True, BODY) for _ in range(2)]
    write_timeout = client_connection.WRITE_TIMEOUT_SECONDS
    client_connection.WRITE_TIMEOUT_SECONDS = 0.1  # type: ignore[misc]
    try:
        client.sock.sendall(b"".join(one.to_bytes() for one in requests))
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while not site.history.runs or site.proxy.server.connections:
                gevent.idle()
    finally:
        client_connection.WRITE_TIMEOUT_SECONDS = write_timeout  # type: ignore[misc]
    client.expected_responses = 2
    client.read_response(requests[0])
    client.read_response(requests[1])
    client.close()
    site.close()
    assert [one.status for one in requests] == [0, 0]
    assert site.history.runs[requests[1].id] == 0


@test("client: a request that repeats the id of the preceding one is neither run nor answered")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    one = site.history.new_request("/hold/0/x", False, BODY)
    client.send(one, one)
    client.close()
    site.close()
    assert one.status == 200
    assert client.ended


@test("client: hop-by-hop headers in two lines are not forwarded, and the request succeeds")
def _() -> None:
    site = ProxySite()
    head = b"Connection: keep-alive\r\nConnection: x-own\r\nX-Own: 1\r\n"
    seen: list[Any] = []
    site.workers.on_request = lambda request: seen.append([name.lower() for name, _ in request.headers])
    assert site.send(extra_head=head).status == 200
    assert b"x-own" not in seen[0]
    assert b"connection" not in seen[0]
    assert site.proxy.router.load_balancer.workers
    assert not site.proxy.router.load_balancer.in_flight()
    site.close()


@test("client: an upgrade request gets a response, and the connection is closed")
def _() -> None:
    site = ProxySite()
    client = StubClient(site.history, site.proxy.address)
    one = site.history.new_request("/look/0/x", True, extra_head=b"Connection: upgrade\r\nUpgrade: other\r\n")
    client.send(one)
    assert one.status == 200
    assert one.response_headers["connection"] == "close"
    site.close()


# ---- workers


class EarlyRespondingWorker:
    """A worker that responds as soon as it has read the head of a request."""

    def __init__(self) -> None:
        self.connection_count = 0
        self._server = StreamServer((HOST, 0), self._connection)
        self._server.start()
        self.address = HOST, self._server.server_port or 0

    def _connection(self, sock: socket.socket, _: Any) -> None:
        self.connection_count += 1
        with suppress(OSError):
            while data := sock.recv(65536):
                if b"X-Attempt-Id: " in data:
                    attempt_id = data.partition(b"X-Attempt-Id: ")[2][:8].decode()
                    body = expected_body(attempt_id, b"early")
                    sock.sendall(worker_response(200, attempt_id, body))

    def close(self) -> None:
        self._server.close()


def check_early_response() -> None:
    worker = EarlyRespondingWorker()
    history = History()
    proxy = ProxyUnderTest({"0": {"i-early": worker.address}})
    for _ in range(2):
        one = history.new_request("/hold/0/x", False, bytes(12 << 20))
        client = StubClient(history, proxy.address)
        client.send(one)
        client.close()
        assert one.status in (200, 504)
    assert worker.connection_count == 2
    proxy.close()
    worker.close()


@test("worker: after a response to a request that was read only in part, the connection is not reused")
def _() -> None:
    check_early_response()


@test("worker: after a restart at another address, connections to the old address are not reused")
def _() -> None:
    site = ProxySite()
    assert site.send().status == 200
    before = site.fault_proxies[0, 0]
    after = FaultProxy(site.workers.address)
    site.proxy.set_workers({"0": {worker_id: after.address for worker_id in site.routes["0"]}})
    assert site.send().status == 200
    assert (before.connection_count, after.connection_count, site.workers.reused_connections) == (1, 1, 0)
    after.close()
    site.close()


@test("worker: requests sent to an address that now belongs to another worker are not run")
def _() -> None:
    site, other = ProxySite(), ProxySite()
    site.proxy.set_workers({"0": {worker_id: other.workers.address for worker_id in site.routes["0"]}})
    assert [site.send().status, site.send(idempotent=True).status] == [503, 503]
    assert not site.history.runs
    assert not other.history.runs
    assert not other.history.unexpected
    site.close()
    other.close()


def check_dropped_connections() -> None:
    """Workers reset idle connections: after one reset, non-idempotent requests do not reuse any."""
    site = ProxySite()
    site.workers.behaviours = dict.fromkeys(site.routes["0"], "not: resets reused connections")
    assert site.send().status == 200
    age_connections(site)
    # On a busy machine a reset takes longer than the limit.
    with mutated_function(
        IdleTimeoutEstimator.record_reset, "elapsed > MAX_RESET_DELAY_SECONDS", "elapsed > 5"
    ):
        site.send(idempotent=True)
    assert site.send().status == 200
    age_connections(site)
    last = site.send()
    site.close()
    assert last.status == 200, "an old connection was used again after a reset"


@test("worker: after a reset, no idle connection is reused for a non-idempotent request")
def _() -> None:
    check_dropped_connections()


# ---- mutations


def check_behaviour(behaviour: str) -> Callable[[], None]:
    def run() -> None:
        site = ProxySite(workers_per_route=2)
        site.workers.behaviours = dict.fromkeys(site.routes["0"], behaviour)
        for _ in range(3):
            site.send()
        site.close()

    return run


MUTATIONS: dict[str, tuple[Callable[..., Any], str, str, Callable[[], None]]] = {
    "idle connection reused after a reset for a non-idempotent request": (
        IdleTimeoutEstimator.max_idle_seconds,
        "if idempotent else ESTIMATE_LIFETIME_SECONDS",
        "if idempotent else 0.0",
        check_dropped_connections,
    ),
    "non-idempotent request retried although it may have run": (
        RequestRouter._may_retry,
        "not request.retry_forbidden",
        "True",
        check_behaviour("executes and resets"),
    ),
    "attempt id of a response not compared": (
        ConnectionPool._receive_response,
        "response.header(ATTEMPT_ID_HEADER) == attempt_id",
        "True",
        check_behaviour("duplicate response later"),
    ),
    "503 although the request may have run": (
        RequestRouter.final_rejection,
        "request.may_have_run or request.attempts_in_flight",
        "False",
        check_behaviour("executes and resets"),
    ),
    "worker's own 503 relayed": (
        WorkerResponse.is_relayable,
        "or status in NOT_RUN_STATUSES",
        "",
        check_behaviour("503 after execution"),
    ),
    "response without X-Server-Seal relayed": (
        WorkerResponse.is_relayable,
        "bool(self.header(SERVER_SEAL_HEADER)) and ",
        "",
        check_behaviour("no server seal"),
    ),
    "truncated response relayed": (
        ConnectionPool._receive_response,
        "    return None\n            response.feed",
        "    response.status, response.done = response.head_status, True\n"
        "                break\n            response.feed",
        check_behaviour("truncated body"),
    ),
    "connection reused after an early response": (
        ConnectionPool._send,
        "connection.may_be_reused = False  # the worker",
        "pass  # the worker",
        check_early_response,
    ),
}


@test("mutation: {name}: detected")
def _(name: str = each(*MUTATIONS)) -> None:
    function, old, new, check = MUTATIONS[name]
    with mutated_function(function, old, new):
        assert is_detected(check)
