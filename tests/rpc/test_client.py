"""The RPC client on real sockets: whatever faults occur, each response belongs to its request, no request is
executed twice, and none that was executed is reported as not sent.
"""

from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.rpc import server as rpc_server
from ashlift.rpc.client import RpcClient
from ashlift.rpc.framing import REQUEST_CRC_SEED, RESPONSE_CRC_SEED, FrameDecoder, encode_frame
from ashlift.rpc.messages import encode_response
from tests.support.fault_proxy import (
    CLOSE,
    DUPLICATE,
    FAULT_KINDS,
    RESET,
    STALL,
    STALL_AND_RESET,
    TO_CLIENT,
    TO_SERVER,
    FaultProxy,
)
from tests.support.mutation import is_detected, mutated_function
from tests.support.rpc_peers import (
    HOST,
    LONG_SECONDS,
    OVERDUE,
    SHORT_SECONDS,
    CallHistory,
    Peer,
    SilentPeer,
    address_of,
)

SMALL_CALL_BYTES = 36  # size of a small request; its response is smaller
HUGE_BODY_BYTES = 6 << 20  # exceeds the socket buffers of both ends
LARGE_BODY_BYTES = 1_400_000
RUN_SETTINGS = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


class Calls(RuleBasedStateMachine):
    """Calls to one peer through a proxy that injects faults."""

    def __init__(self) -> None:
        super().__init__()
        self.peer = Peer()
        self.proxy = FaultProxy(self.peer.address)
        self.client = RpcClient(self.proxy.address)
        self.history = CallHistory(self.peer, self.client)

    @rule(
        direction=st.sampled_from((TO_SERVER, TO_CLIENT)),
        after_bytes=st.integers(0, 200),
        kind=st.sampled_from(FAULT_KINDS),
    )
    def fault(self, direction: str, after_bytes: int, kind: str) -> None:
        self.proxy.inject(direction, after_bytes, kind)

    @rule(
        methods=st.lists(st.sampled_from(("echo", "echo", "refuse", "late")), min_size=1, max_size=4),
        size=st.sampled_from((0, 30, 70_000)),
    )
    def calls(self, methods: list[str], size: int) -> None:
        is_fault_free = (
            not self.proxy.pending_faults and self.proxy.fault_count == 0 and "late" not in methods
        )
        timeout = LONG_SECONDS if is_fault_free else SHORT_SECONDS
        calls = [gevent.spawn(self.history.call, method, size, timeout) for method in methods]
        gevent.joinall(calls, raise_error=True)
        self.history.check()

    @rule()
    def late_answers(self) -> None:
        self.peer.may_answer.set()
        gevent.idle()
        self.peer.may_answer.clear()

    @rule()
    def end_faults(self) -> None:
        self.proxy.end_faults()

    @rule()
    def reset(self) -> None:
        self.proxy.reset_connections()

    @rule()
    def restart(self) -> None:
        self.peer.restart()
        self.proxy.reset_connections()

    @rule()
    def close_client(self) -> None:
        self.client.close()

    def teardown(self) -> None:
        self.peer.may_answer.set()
        self.proxy.end_faults()
        results = [self.history.call("echo", 10, SHORT_SECONDS) for _ in range(2)]
        # The proxy may have delivered delayed bytes only now: one more attempt on a new connection.
        if all(isinstance(result, Failure) for result in results):
            self.client.close()
            results.append(self.history.call("echo", 10, LONG_SECONDS))
        self.history.check()
        all_failed = all(isinstance(result, Failure) for result in results)
        assert not all_failed, f"all calls fail after the end of all faults: {results}"
        self.client.close()
        self.proxy.close()
        self.peer.close()


def run_random_calls() -> None:
    run_state_machine_as_test(Calls, settings=RUN_SETTINGS)


def run_random_calls_once() -> None:
    """Like `run_random_calls`, without shrinking a failing case."""
    run_state_machine_as_test(Calls, settings=settings(RUN_SETTINGS, phases=[Phase.generate]))


@test("rpc client: sequential and concurrent calls through random faults")
def _() -> None:
    run_random_calls()


def call_with_fault(direction: str, after_bytes: int, kind: str) -> int:
    """Make three calls, the first two with the fault; return how many were answered."""
    peer = Peer()
    proxy = FaultProxy(peer.address)
    history = CallHistory(peer, RpcClient(proxy.address))
    proxy.inject(direction, after_bytes, kind)
    peer.may_answer.set()
    results = [history.call("echo", 8, 0.25) for _ in range(2)]
    proxy.end_faults()
    history.client.close()
    results.append(history.call("echo", 8, LONG_SECONDS))
    history.check()
    assert not isinstance(results[-1], Failure), f"{kind} {direction} at {after_bytes}: {results}"
    history.client.close()
    proxy.close()
    peer.close()
    return sum(not isinstance(result, Failure) for result in results)


@test("rpc client: a connection {kind} at every byte of two requests and responses, {direction}")
def _(
    kind: str = each(
        CLOSE, RESET, STALL, STALL_AND_RESET, DUPLICATE, CLOSE, RESET, STALL, STALL_AND_RESET, DUPLICATE
    ),
    direction: str = each(*[TO_SERVER] * 5, *[TO_CLIENT] * 5),
) -> None:
    runs = [
        gevent.spawn(call_with_fault, direction, after_bytes, kind) for after_bytes in range(SMALL_CALL_BYTES)
    ]
    gevent.joinall(runs, raise_error=True)
    assert min(run.get() for run in runs) >= 1


def frames_of_abandoned_calls() -> list[list[Any]]:
    """Make calls to a peer that starts to read late, some of which time out.

    Returns the values that the peer received, by connection; None stands for an invalid frame.
    """
    peer = SilentPeer()
    client = RpcClient(peer.address)
    first = client.call("echo", [0, b"a" * HUGE_BODY_BYTES], SHORT_SECONDS)
    assert isinstance(first, Failure)
    assert first.reason == FailureReason.OUTCOME_UNKNOWN
    peer.may_read.set()
    for token in range(1, 12):
        timeout = 0.3 if token < 4 else 0.01
        client.call("echo", [token, bytes([token]) * LARGE_BODY_BYTES], timeout)
    client.close()
    peer.close()
    return [decode_all(bytes(received)) for received in peer.received]


def decode_all(data: bytes) -> list[Any]:
    values: list[Any] = []
    decoder = FrameDecoder(REQUEST_CRC_SEED)
    try:
        for begin in range(0, len(data), 65536):
            values += decoder.feed(data[begin : begin + 65536])
    except ValueError:
        values.append(None)
    return values


def is_as_sent(value: Any) -> bool:
    """Whether a value is an intact request of `frames_of_abandoned_calls`."""
    if value is None:
        return False
    _, method, (token, padding) = value
    right_size = len(padding) in (LARGE_BODY_BYTES, HUGE_BODY_BYTES)
    return method == "echo" and set(padding) <= {token or ord("a")} and right_size


def check_abandoned_calls() -> None:
    assert all(is_as_sent(value) for values in frames_of_abandoned_calls() for value in values)


@test("rpc client: a call that times out while it is written closes its connection")
def _() -> None:
    connections = frames_of_abandoned_calls()
    assert len(connections) > 1, "a connection was reused after an incomplete frame"
    assert all(is_as_sent(value) for values in connections for value in values)


@test("rpc client: after an invalid response, the outcome of all calls is unknown: {what}")
def _(
    what: str = each("unused number", "truncated", "wrong checksum", "request seed", "malformed failure"),
) -> None:
    response = {
        "unused number": encode_response(9, "x"),
        "truncated": encode_response(1, "x")[:-1],
        "wrong checksum": encode_response(1, "x")[:-1] + b"y",
        "request seed": encode_frame(REQUEST_CRC_SEED, [1, "x"]),
        "malformed failure": encode_frame(RESPONSE_CRC_SEED, [1, None, 7, 8]),
    }[what]

    def connection(sock: socket.socket, _: Any) -> None:
        sock.recv(65536)
        sock.sendall(response)
        if what == "truncated":
            sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)

    server = StreamServer((HOST, 0), connection)
    server.start()
    client = RpcClient(address_of(server))
    calls = [
        gevent.spawn(client.call, "echo", number, LONG_SECONDS, connect_timeout=LONG_SECONDS)
        for number in range(2)
    ]
    gevent.joinall(calls, timeout=LONG_SECONDS)
    assert [call.get().reason for call in calls] == [FailureReason.OUTCOME_UNKNOWN] * 2
    server.stop(0.1)


@test("rpc client: a call that times out while another one is written has not been sent")
def _() -> None:
    peer = SilentPeer()
    client = RpcClient(peer.address)
    first = gevent.spawn(client.call, "echo", b"a" * HUGE_BODY_BYTES, LONG_SECONDS)
    gevent.idle()
    second = client.call("echo", 2, SHORT_SECONDS)
    assert isinstance(second, Failure)
    assert second.reason == FailureReason.UNREACHABLE
    first.kill()
    client.close()
    peer.may_read.set()
    peer.close()


@test("rpc client: a call that is killed while it is written closes its connection")
def _() -> None:
    peer = SilentPeer()
    client = RpcClient(peer.address)
    writer = gevent.spawn(client.call, "echo", b"a" * HUGE_BODY_BYTES, LONG_SECONDS)
    with gevent.Timeout(LONG_SECONDS, OVERDUE):
        while client._connection is None:
            gevent.idle()
    writer.kill()
    assert client._connection is None
    peer.may_read.set()
    peer.close()


def duplicate_bytes() -> None:
    for direction in (TO_SERVER, TO_CLIENT):
        runs = [
            gevent.spawn(call_with_fault, direction, after_bytes, DUPLICATE)
            for after_bytes in range(SMALL_CALL_BYTES)
        ]
        gevent.joinall(runs, raise_error=True)


MUTATIONS: dict[str, tuple[Callable[..., Any], str, str, Callable[[], None]]] = {
    "a connection is kept after an incomplete write": (
        RpcClient._send,
        "self._disconnect(connection)  # a part of the frame may have been sent",
        "pass",
        check_abandoned_calls,
    ),
    "a request number may be repeated": (
        rpc_server._ServerConnection._check_number,
        "request.number <= self._last_number",
        "False",
        duplicate_bytes,
    ),
    "a request that was sent is reported as not sent": (
        RpcClient.call,
        'Failure(_failure_reason(request), f"{method}: {timeout:g} s")',
        "Failure(FailureReason.UNREACHABLE, method)",
        run_random_calls_once,
    ),
    "a response is delivered to any caller": (
        RpcClient._deliver,
        "waiting = connection.in_flight.pop(number, None)",
        "waiting = connection.in_flight.popitem()[1] if connection.in_flight else None",
        run_random_calls_once,
    ),
}


@test("rpc client, mutation: {name}: detected")
def _(name: str = each(*MUTATIONS)) -> None:
    where, old, new, check = MUTATIONS[name]
    with mutated_function(where, old, new):
        assert is_detected(check)
