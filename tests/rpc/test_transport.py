"""Frames on real sockets: whatever befalls them, an answer is its own call's, and no call runs twice."""

from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from typing import Any
from unittest.mock import patch

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test
from ward import each, raises, test

from ashlift.errors import Failure, FailureReason
from ashlift.rpc import server as rpc_server
from ashlift.rpc.addresses import Address
from ashlift.rpc.client import RpcClient
from ashlift.rpc.framing import (
    MAX_FRAME_BYTES,
    REQUEST_CRC_SEED,
    RESPONSE_CRC_SEED,
    FrameDecoder,
    encode_frame,
)
from ashlift.rpc.messages import encode_request, encode_response
from ashlift.rpc.server import serve
from ashlift.rpc.sockets import send_all
from tests.support.between import BACK, CUT, DOUBLE, HALVE, HOLD, HOST, KINDS, RESET, THERE, Between
from tests.support.planted import found, planted

BYTES = 36  # of a small call, and more than its answer has
QUICK_S = 0.03  # a call that nobody answers
ENOUGH_S = 5.0  # for one that is answered, on a busy machine: never waited for
TOO_LONG = AssertionError("it should have come long ago")


def listening(server: StreamServer) -> Address:
    return HOST, server.server_port or 0


HOW = settings(
    max_examples=25,
    stateful_step_count=12,
    deadline=None,
    derandomize=True,
    database=None,
    report_multiple_bugs=False,
    suppress_health_check=list(HealthCheck),
)


class Peer:
    """A process that answers calls, and what it has run over all its lives."""

    def __init__(self) -> None:
        self.ran: Counter[int] = Counter()
        self.gate = Event()
        self._handlers = {"echo": self._echo, "late": self._late, "refuse": self._refuse}
        self._server = serve((HOST, 0), self._handlers)
        self.address = listening(self._server)

    def restart(self) -> None:
        self._server.close()
        self._server = serve(self.address, self._handlers)

    def close(self) -> None:
        self._server.close()

    def _echo(self, body: Any) -> Any:
        self.ran[body[0]] += 1
        return [body[0], body[1]]

    def _late(self, body: Any) -> Any:
        self.ran[body[0]] += 1
        self.gate.wait(ENOUGH_S)
        return [body[0], body[1]]

    def _refuse(self, body: Any) -> Any:
        return Failure(FailureReason.REJECTED, str(body[0]))


class History:
    """Every call with its outcome. A token is its call's own, and is said back by whoever has run it."""

    def __init__(self, peer: Peer, caller: RpcClient) -> None:
        self.peer, self.caller = peer, caller
        self.calls: list[tuple[str, int, bytes, Any]] = []
        self._token = 0

    def call(self, method: str, size: int, within: float) -> Any:
        self._token += 1
        token = self._token
        extra = bytes([token % 251]) * size
        answer = self.caller.call(method, [token, extra], within, connect_timeout=within)
        self.calls.append((method, token, extra, answer))
        return answer

    def check(self) -> None:
        for method, token, extra, answer in self.calls:
            runs = self.peer.ran[token]
            assert runs <= 1, f"{method} {token} ran {runs} times"
            if not isinstance(answer, Failure):
                assert method != "refuse" and answer == [token, extra], f"{method} {token}: {answer!r:.200}"
                assert runs == 1, f"{method} {token} was answered and has not run"
            elif answer.reason == FailureReason.REJECTED:
                assert (method, answer.detail) == ("refuse", str(token)), f"{method} {token}: {answer}"
            else:
                assert answer.reason in (FailureReason.OUTCOME_UNKNOWN, FailureReason.UNREACHABLE), (
                    f"{method} {token}: {answer}"
                )
                assert not runs or answer.reason == FailureReason.OUTCOME_UNKNOWN, (
                    f"{method} {token}: ran, and told as not sent"
                )


class Calls(RuleBasedStateMachine):
    """Calls to one peer through a stand-in that brings trouble about."""

    def __init__(self) -> None:
        super().__init__()
        self.peer = Peer()
        self.between = Between(self.peer.address)
        self.caller = RpcClient(self.between.address)
        self.history = History(self.peer, self.caller)

    @rule(way=st.sampled_from((THERE, BACK)), at=st.integers(0, 200), kind=st.sampled_from(KINDS))
    def trouble(self, way: str, at: int, kind: str) -> None:
        self.between.arm(way, at, kind)

    @rule(
        methods=st.lists(st.sampled_from(("echo", "echo", "refuse", "late")), min_size=1, max_size=4),
        size=st.sampled_from((0, 30, 70_000)),
    )
    def calls(self, methods: list[str], size: int) -> None:
        quiet = not self.between.troubles and "late" not in methods
        within = ENOUGH_S if quiet and self.between.struck == 0 else QUICK_S
        calls = [gevent.spawn(self.history.call, one, size, within) for one in methods]
        gevent.joinall(calls, raise_error=True)
        self.history.check()

    @rule()
    def late_answers(self) -> None:
        self.peer.gate.set()
        gevent.idle()
        self.peer.gate.clear()

    @rule()
    def calm(self) -> None:
        self.between.release()

    @rule()
    def reset(self) -> None:
        self.between.reset()

    @rule()
    def restart(self) -> None:
        self.peer.restart()
        self.between.reset()

    @rule()
    def closed_here(self) -> None:
        self.caller.close()

    def teardown(self) -> None:
        self.peer.gate.set()
        self.between.release()
        answers = [self.history.call("echo", 10, QUICK_S) for _ in range(2)]
        if all(isinstance(one, Failure) for one in answers):  # what was held may still have been on its way
            self.caller.close()
            answers.append(self.history.call("echo", 10, ENOUGH_S))
        self.history.check()
        assert not all(isinstance(one, Failure) for one in answers), f"all is well, and calls fail: {answers}"
        self.caller.close()
        self.between.close()
        self.peer.close()


def play() -> None:
    run_state_machine_as_test(Calls, settings=HOW)


def play_once() -> None:
    """The same, and no search for a shorter case."""
    run_state_machine_as_test(Calls, settings=settings(HOW, phases=[Phase.generate]))


@test("frames: calls through any troubles, one after the other and beside each other")
def _() -> None:
    play()


def struck(way: str, at: int, kind: str) -> int:
    """Three calls, the trouble in the first two; how many were answered."""
    peer = Peer()
    between = Between(peer.address)
    history = History(peer, RpcClient(between.address))
    between.arm(way, at, kind)
    peer.gate.set()
    answers = [history.call("echo", 8, 0.25) for _ in range(2)]
    between.release()
    history.caller.close()
    answers.append(history.call("echo", 8, ENOUGH_S))
    history.check()
    assert not isinstance(answers[-1], Failure), f"{kind} {way} at {at}: {answers}"
    history.caller.close()
    between.close()
    peer.close()
    return sum(not isinstance(one, Failure) for one in answers)


@test("frames: a connection {kind} at every byte of two calls and answers, {way}")
def _(
    kind: str = each(CUT, RESET, HOLD, HALVE, DOUBLE, CUT, RESET, HOLD, HALVE, DOUBLE),
    way: str = each(*[THERE] * 5, *[BACK] * 5),
) -> None:
    runs = [gevent.spawn(struck, way, at, kind) for at in range(BYTES)]
    gevent.joinall(runs, raise_error=True)
    assert min(run.get() for run in runs) >= 1


class Deaf:
    """A peer that accepts and reads only when told; what comes is kept by connection."""

    def __init__(self) -> None:
        self.heard: list[bytearray] = []
        self.reads = Event()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((HOST, 0))
        listener.listen(8)
        self._server = StreamServer(listener, self._take)
        self._server.start()
        self.address = listening(self._server)

    def _take(self, sock: socket.socket, _: Any) -> None:
        kept = bytearray()
        self.heard.append(kept)
        self.reads.wait()
        while data := sock.recv(65536):
            kept += data

    def close(self) -> None:
        self._server.stop(1.0)


def given_up_midway() -> list[list[Any]]:
    """Calls to a peer that does not read, then reads; the frames that it found, by connection."""
    deaf = Deaf()
    caller = RpcClient(deaf.address)
    first = caller.call("echo", [0, b"a" * (12 << 20 >> 1)], QUICK_S)
    assert isinstance(first, Failure) and first.reason == FailureReason.OUTCOME_UNKNOWN
    deaf.reads.set()
    for token in range(1, 12):
        caller.call("echo", [token, bytes([token]) * 1_400_000], 0.3 if token < 4 else 0.01)
    caller.close()
    deaf.close()
    found = []
    for kept in deaf.heard:
        frames: list[Any] = []
        cutter = FrameDecoder(REQUEST_CRC_SEED)
        try:
            for begin in range(0, len(kept), 65536):
                frames += cutter.feed(bytes(kept[begin : begin + 65536]))
        except ValueError:
            frames.append(None)
        found.append(frames)
    return found


def whole(frame: Any) -> bool:
    """Whether it is a call as it was made."""
    if frame is None:
        return False
    _, method, (token, extra) = frame
    return method == "echo" and set(extra) <= {token or ord("a")} and len(extra) in (1_400_000, 6 << 20)


@test("frames: a call given up in the middle of being written ends its connection")
def _() -> None:
    found = given_up_midway()
    assert len(found) > 1, "the connection with half a frame on it was used again"
    assert all(whole(frame) for frames in found for frame in frames)


@test("frames: an answer that nobody takes ends its connection, and holds up no other")
def _() -> None:
    server = serve((HOST, 0), {"large": lambda _: b"x" * (MAX_FRAME_BYTES - 100), "echo": lambda body: body})
    ends: list[socket.socket] = []
    with patch.object(rpc_server, "configure_socket", ends.append):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(listening(server))
        with planted(send_all, "SEND_TIMEOUT_SECONDS) ->", "0.05) ->"), gevent.Timeout(ENOUGH_S, TOO_LONG):
            sock.sendall(encode_request(1, "large", None) + encode_request(2, "echo", "two"))
            while not ends:
                gevent.idle()
            other = RpcClient(listening(server))
            assert other.call("echo", "three", ENOUGH_S, connect_timeout=ENOUGH_S) == "three"
            while ends[0].fileno() >= 0:
                gevent.idle()
    kept = b""
    with suppress(OSError):
        while data := sock.recv(1 << 20):
            kept += data
    assert 0 < len(kept) < MAX_FRAME_BYTES and not FrameDecoder(RESPONSE_CRC_SEED).feed(kept), (
        "half an answer, and then the end"
    )
    other.close()
    server.close()


@test("frames: a frame of two calls, of the wrong direction or of no call is not read")
def _() -> None:
    one, two = encode_request(1, "echo", b"a" * 90), encode_request(2, "echo", b"b" * 90)
    for at in range(1, len(one)):
        with raises(ValueError):
            FrameDecoder(REQUEST_CRC_SEED).feed(one[:at] + two + two)
    for at in range(8, len(one)):
        changed = bytearray(one)
        changed[at] ^= 0x10
        with raises(ValueError):
            FrameDecoder(REQUEST_CRC_SEED).feed(bytes(changed))
    with raises(ValueError):
        FrameDecoder(RESPONSE_CRC_SEED).feed(one)  # a connection that leads back to its own beginning
    assert FrameDecoder(REQUEST_CRC_SEED).feed(one + two) == [[1, "echo", b"a" * 90], [2, "echo", b"b" * 90]]


@test("frames: what cannot be a call ends the connection: {what}")
def _(
    what: str = each("number again", "number below", "two words", "no number", "a list for a method"),
) -> None:
    ran: list[Any] = []

    def echo(body: Any) -> Any:
        ran.append(body)
        return body

    server = serve((HOST, 0), {"echo": echo})
    frames = {
        "number again": [[5, "echo", 1], [5, "echo", 2]],
        "number below": [[5, "echo", 1], [4, "echo", 2]],
        "two words": [[5, "echo", 1], [6, "echo"]],
        "no number": [[5, "echo", 1], ["6", "echo", 2]],
        "a list for a method": [[5, "echo", 1], [6, ["echo"], 2]],
    }[what]
    sock = socket.create_connection(listening(server))
    sock.sendall(encode_frame(REQUEST_CRC_SEED, frames[0]))
    cutter = FrameDecoder(RESPONSE_CRC_SEED)
    assert cutter.feed(sock.recv(65536)) == [[5, 1]]
    sock.sendall(encode_frame(REQUEST_CRC_SEED, frames[1]))
    with gevent.Timeout(ENOUGH_S, TOO_LONG):
        assert sock.recv(65536) == b""
    assert ran == [1]
    sock.close()
    server.close()


@test("frames: what cannot be an answer ends the connection, and all its calls are in doubt: {what}")
def _(what: str = each("of no call yet", "half", "a wrong check", "a call", "words for a fault")) -> None:
    answer = {
        "of no call yet": encode_response(9, "x"),
        "half": encode_response(1, "x")[:-1],
        "a wrong check": encode_response(1, "x")[:-1] + b"y",
        "a call": encode_frame(REQUEST_CRC_SEED, [1, "x"]),
        "words for a fault": encode_frame(RESPONSE_CRC_SEED, [1, None, 7, 8]),
    }[what]

    def connection(sock: socket.socket, _: Any) -> None:
        sock.recv(65536)
        sock.sendall(answer)
        if what == "half":
            sock.shutdown(socket.SHUT_WR)
        sock.recv(65536)

    server = StreamServer((HOST, 0), connection)
    server.start()
    caller = RpcClient(listening(server))
    calls = [gevent.spawn(caller.call, "echo", number, ENOUGH_S, 0.0, ENOUGH_S) for number in range(2)]
    gevent.joinall(calls, timeout=ENOUGH_S)
    assert [call.get().reason for call in calls] == [FailureReason.OUTCOME_UNKNOWN] * 2
    server.stop(0.1)


@test("frames: at the size limit, and beyond")
def _() -> None:
    server = serve((HOST, 0), {"echo": lambda body: body, "large": lambda size: b"x" * size})
    caller = RpcClient(listening(server))
    most = MAX_FRAME_BYTES - 12  # its number, its method, the length of its text
    assert caller.call("echo", b"x" * most, ENOUGH_S, connect_timeout=ENOUGH_S) == b"x" * most
    assert len(encode_request(1, "echo", b"x" * most)) == MAX_FRAME_BYTES + 8
    connection = caller._connection
    for method, body in (("echo", b"x" * (most + 1)), ("large", MAX_FRAME_BYTES)):
        fault = caller.call(method, body, ENOUGH_S)
        assert isinstance(fault, Failure) and fault.reason == FailureReason.INVALID, fault
    assert caller.call("echo", 1, ENOUGH_S) == 1 and caller._connection is connection
    assert caller.call("nothing", 1, ENOUGH_S).reason == FailureReason.NOT_FOUND
    caller.close()
    server.close()


@test("frames: a call that waits for its turn to write, and is given up, has not been sent")
def _() -> None:
    deaf = Deaf()
    caller = RpcClient(deaf.address)
    first = gevent.spawn(caller.call, "echo", b"a" * (6 << 20), ENOUGH_S)
    gevent.idle()
    second = caller.call("echo", 2, QUICK_S)
    assert isinstance(second, Failure) and second.reason == FailureReason.UNREACHABLE
    first.kill()
    caller.close()
    deaf.reads.set()
    deaf.close()


@test("frames: one who is killed while it writes leaves no half frame behind")
def _() -> None:
    deaf = Deaf()
    caller = RpcClient(deaf.address)
    writer = gevent.spawn(caller.call, "echo", b"a" * (6 << 20), ENOUGH_S)
    with gevent.Timeout(ENOUGH_S, TOO_LONG):
        while caller._connection is None:
            gevent.idle()
    writer.kill()
    assert caller._connection is None
    deaf.reads.set()
    deaf.close()


def doubled() -> None:
    for way in (THERE, BACK):
        runs = [gevent.spawn(struck, way, at, DOUBLE) for at in range(BYTES)]
        gevent.joinall(runs, raise_error=True)


def mixed() -> None:
    assert all(whole(frame) for frames in given_up_midway() for frame in frames)


def changed() -> None:
    one, two = encode_request(1, "echo", b"a" * 90), encode_request(2, "echo", b"b" * 90)
    with raises(ValueError):
        FrameDecoder(REQUEST_CRC_SEED).feed(one[:50] + two[50:])


BREACHES: dict[str, tuple[Callable[..., Any], str, str, Callable[[], None]]] = {
    "the connection is kept after a write that was given up": (
        RpcClient._send,
        "self._disconnect(connection)  # a part of the frame may have been sent",
        "pass",
        mixed,
    ),
    "the check is not compared": (
        FrameDecoder.feed,
        "zlib.crc32(payload, self._crc_seed) != checksum",
        "False",
        changed,
    ),
    "a number may come again": (
        rpc_server._ServerConnection._admit,
        "request.number <= self._last_number",
        "False",
        doubled,
    ),
    "sent is told as not sent": (
        RpcClient.call,
        'Failure(_reason_without_response(request), f"{method}: {timeout:g} s")',
        "Failure(FailureReason.UNREACHABLE, method)",
        play_once,
    ),
    "any answer is anybody's": (
        RpcClient._deliver,
        "waiting = connection.in_flight.pop(number, None)",
        "waiting = connection.in_flight.popitem()[1] if connection.in_flight else None",
        play_once,
    ),
}


@test("frames, planted: {name}: found")
def _(name: str = each(*BREACHES)) -> None:
    where, old, new, finds = BREACHES[name]
    with planted(where, old, new):
        assert found(finds)
