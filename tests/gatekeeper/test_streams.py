"""Parts of the streaming: budget, progress, framing, and transfers through a pipe."""

import itertools
import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import gevent
import httptools
import pytest
from gevent import socket
from gevent.event import Event
from hypothesis import given, settings
from hypothesis import strategies as st

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.net.stream_attempt import StreamedResponseReader
from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES, Streaming
from ashlift.gatekeeper.streams import pump
from ashlift.gatekeeper.streams.budget import Budget, Share
from ashlift.gatekeeper.streams.faults import Fault
from ashlift.gatekeeper.streams.heads import Body, Framing, FramingError, declared_body
from ashlift.gatekeeper.streams.pipe import BufferPool, Pipe
from ashlift.gatekeeper.streams.progress import Lag, ProgressMonitor
from ashlift.gatekeeper.streams.stream import StreamRegistry
from tests.gatekeeper.helpers import Driver, answers, sends
from tests.gatekeeper.play import config, listen

numbers = itertools.count()
NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}
OWN = "(streaming (enabled true) (class availability-check (head 200ms) {}))"


# ---- the budget


@settings(max_examples=300, deadline=None)
@given(st.integers(2, 12), st.lists(st.tuples(st.integers(0, 11), st.integers(0, 1 << 19), st.booleans())))
def test_the_budget_stays_within_its_total_and_ends_at_zero(
    count: int, events: list[tuple[int, int, bool]]
) -> None:
    total = (count + 3) * MIN_LEASE_BYTES
    budget = Budget(total, count)
    shares = [Share(window=8 * MIN_LEASE_BYTES) for _ in range(count)]
    leases: dict[Share, list[int]] = {share: [] for share in shares}
    for at, wanted_bytes, releases in events:
        share = shares[at % count]
        if releases and leases[share]:
            budget.release(share, leases[share].pop())
        elif size := budget.acquire(share, wanted_bytes):
            assert size <= max(wanted_bytes, MIN_LEASE_BYTES)
            leases[share].append(size)
        else:
            assert share.held > 0  # a share that holds nothing is always granted bytes
        assert sum(share.held for share in shares) == budget.held <= total
        assert all(share.held <= share.window for share in shares)
    for share in shares:
        while leases[share]:
            budget.release(share, leases[share].pop())
    assert budget.held == budget.busy == 0
    assert all(budget.acquire(share, 1) for share in shares)


def test_slow_readers_cannot_use_up_the_budget_together() -> None:
    budget = Budget(64 * MIN_LEASE_BYTES, 8)
    greedy = [Share(64 * MIN_LEASE_BYTES) for _ in range(4)]
    for _ in range(100):
        for share in greedy:
            budget.acquire(share, 4 * MIN_LEASE_BYTES)
    held = [share.held for share in greedy]
    late = Share(64 * MIN_LEASE_BYTES)
    assert budget.acquire(late, 4 * MIN_LEASE_BYTES) >= 2 * MIN_LEASE_BYTES  # more than the reserved bytes
    assert max(held) <= 2 * min(held)  # fair shares


def test_a_share_stops_at_the_high_watermark_and_resumes_at_the_low_one() -> None:
    budget, share = Budget(1 << 20, 2), Share(8 * MIN_LEASE_BYTES)
    while budget.acquire(share, MIN_LEASE_BYTES):
        pass
    assert share.held == 8 * MIN_LEASE_BYTES
    assert budget.release(share, MIN_LEASE_BYTES) == [] and budget.acquire(share, MIN_LEASE_BYTES) == 0
    while share.held > 5 * MIN_LEASE_BYTES:
        assert budget.release(share, MIN_LEASE_BYTES) == []
    assert budget.release(share, MIN_LEASE_BYTES) == [share] and budget.acquire(share, MIN_LEASE_BYTES)
    with pytest.raises(ValueError, match="given back"):
        budget.release(share, 1 << 20)


def test_a_budget_too_small_for_its_shares_is_refused() -> None:
    with pytest.raises(ValueError, match="too few"):
        Budget(8 * MIN_LEASE_BYTES, 8)


# ---- progress


@given(st.lists(st.tuples(st.floats(0, 500), st.integers(0, 1000))), st.integers(50, 1000))
def test_a_peer_is_stalled_exactly_when_it_moved_no_bytes_for_the_limit(
    waits: list[tuple[float, int]], stall: int
) -> None:
    monitor, idle = ProgressMonitor(stall), 0.0
    for ms, moved in waits:
        monitor.record_bytes(moved)
        idle = (0.0 if moved else idle) + ms
        lag = monitor.record_wait(ms)
        assert (lag is Lag.STALLED) == (idle >= stall)
        if lag:
            return
        assert monitor.max_wait_ms() == max(1.0, stall - idle)


def test_the_minimum_rate_counts_only_the_time_waited() -> None:
    monitor = ProgressMonitor(1_000, least_rate=1_000, rate_span_ms=2_000)
    for _ in range(10):  # 100 bytes in 100 ms of waiting: exactly the minimum rate
        monitor.record_bytes(100)
        assert monitor.record_wait(100) is None
    for _ in range(9):
        monitor.record_bytes(90)
        assert monitor.record_wait(100) is None
    monitor.record_bytes(90)
    assert monitor.record_wait(100) is Lag.SLOW
    assert monitor.max_wait_ms() == 900  # of the stall limit


# ---- framing


@pytest.mark.parametrize(
    ("headers", "body"),
    [
        ([], None),
        ([(b"content-length", b"0")], Body(Framing.NONE)),
        ([(b"content-length", b"7")], Body(Framing.LENGTH, 7)),
        ([(b"transfer-encoding", b"Chunked")], Body(Framing.CHUNKED)),
    ],
)
def test_the_framing_of_a_body_is_read_from_its_head(headers: Any, body: Body | None) -> None:
    assert declared_body(headers) == body


@pytest.mark.parametrize(
    "headers",
    [
        [(b"content-length", b"1"), (b"content-length", b"2")],
        [(b"content-length", b"+1")],
        [(b"content-length", b"1"), (b"transfer-encoding", b"chunked")],
        [(b"transfer-encoding", b"gzip, chunked")],
    ],
)
def test_invalid_or_contradictory_framing_is_rejected(headers: Any) -> None:
    with pytest.raises(FramingError):
        declared_body(headers)


# ---- transfers through real sockets


def socket_pair() -> tuple[Any, Any]:
    listener = listen()
    one = socket.create_connection(listener.getsockname())
    other, _ = listener.accept()
    listener.close()
    return one, other


class ChunkedReader:
    """Parses a chunked response."""

    def __init__(self) -> None:
        self.body, self.done = b"", False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


def encode_chunks(body: bytes, sizes: list[int]) -> bytes:
    """Encode a body in chunks of these sizes and one for the rest, with extensions and a trailer."""
    out, rest, sizes = b"", body, [*sizes, len(body) + 1]
    while rest:
        part, rest = rest[: sizes[0]], rest[sizes.pop(0) :]
        out += b"%X;name=value\r\n%b\r\n" % (len(part), part)
    return out + b"0\r\nX-Sum: 1\r\n\r\n"


@settings(max_examples=60, deadline=None)
@given(
    st.binary(max_size=60_000),
    st.lists(st.integers(1, 9_000), max_size=12),
    st.none() | st.lists(st.integers(1, 9_000), max_size=12),
    st.booleans(),
    st.integers(0, 99),
)
def test_any_body_arrives_unchanged_however_it_is_split(
    body: bytes, cuts: list[int], chunks: list[int] | None, chunked: bool, seed: int
) -> None:
    """The window of the pipe is far smaller than the body, and source and sink are slow at random."""
    chance, pool = random.Random(seed), BufferPool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)
    source, near = socket_pair()
    far, sink = socket_pair()
    pipe, received = Pipe(pool), b""
    wire = body if chunks is None else encode_chunks(body, chunks)

    def write() -> None:
        rest, sizes = wire, [*cuts, len(wire) + 1]
        while rest:
            part, rest = rest[: sizes[0]], rest[sizes.pop(0) :]
            source.sendall(part)
            gevent.sleep(0.001 * chance.randrange(2))

    def drain() -> None:
        pump.Sink(far, ProgressMonitor(10_000)).drain(pipe, chunked)
        far.shutdown(socket.SHUT_WR)

    def carry() -> None:
        into = pump.Source(near, ProgressMonitor(10_000))
        if chunks is None:
            into.fill(pipe, len(body))
        else:
            reply = StreamedResponseReader(b"GET", 1 << 30)
            reply.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            def read(view: memoryview) -> tuple[bytes, bool]:
                reply.feed(view)
                return reply.take_body(), reply.done

            into.fill_parsed(pipe, read)
        pipe.end()

    with gevent.Timeout(20):
        running = [gevent.spawn(part) for part in (write, carry, drain)]
        while more := sink.recv(chance.randrange(1, 20_000)):
            received += more
            assert pool.budget.held <= pool.budget.total
        gevent.joinall(running, raise_error=True)
    for sock in (source, near, far, sink):
        sock.close()
    if chunked:
        read = ChunkedReader()
        read.parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + received)
        assert read.done
        received = read.body
    assert received == body
    assert pool.budget.held == 0 and not pool.pipes


def test_a_source_is_not_stalled_while_its_sink_is_slow() -> None:
    """The sink pauses for ten times the stall limit of the source."""
    source, near = socket_pair()
    pipe = Pipe(BufferPool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4))
    source.sendall(b"x" * 60_000)
    with gevent.Timeout(20):
        filling = gevent.spawn(pump.Source(near, ProgressMonitor(100)).fill, pipe, 60_000)
        gevent.sleep(1.0)
        assert not filling.ready() and 0 < pipe.held <= 2 * MIN_LEASE_BYTES
        received = 0
        while received < 60_000:
            part = pipe.get()
            assert part is not None
            received += part.end - part.start
            pipe.release(part)
        filling.get()
        # A source that is waited for does time out.
        late = gevent.spawn(pump.Source(near, ProgressMonitor(100)).fill, pipe, 1)
        with pytest.raises(pump.LagError, match="stalled"):
            late.get()
    assert pipe.held == 0


def test_peers_that_pause_in_turn_are_not_stalled(monkeypatch: pytest.MonkeyPatch) -> None:
    """Together they pause for longer than the source's stall limit, the source alone does not.

    Uses a manual clock, so that a busy machine does not prolong the pauses.
    """
    now, full = [0.0], Event()
    monkeypatch.setattr(pump, "time", SimpleNamespace(monotonic=lambda: now[0]))
    source, near = socket_pair()
    pipe, received = Pipe(BufferPool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)), 0

    def peer_closed() -> bool:  # called while there is no buffer to read into
        full.set()
        return False

    with gevent.Timeout(20):
        filling = gevent.spawn(pump.Source(near, ProgressMonitor(250), peer_closed).fill, pipe, 60_000)
        for bytes_per_turn in range(1, 4):
            gevent.sleep(0.02)
            now[0] += 0.02  # pause of the source
            full.clear()
            source.sendall(b"x" * 20_000)
            full.wait()
            now[0] += 0.4  # pause of the sink, with a full window
            while received < 20_000 * bytes_per_turn:
                part = pipe.get()
                assert part is not None
                received += part.end - part.start
                pipe.release(part)
        filling.get()
    assert pipe.held == 0


def test_an_aborted_pipe_releases_all_buffers_and_wakes_both_sides() -> None:
    pool = BufferPool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)
    pipe, ends = Pipe(pool), []

    def source() -> None:
        try:
            while True:
                pipe.put(pipe.acquire(MIN_LEASE_BYTES), 5)
        except Exception as error:
            ends.append(str(error))

    held = gevent.spawn(source)
    gevent.sleep(0)
    buffer_in_use = pipe.get()  # held by the sink
    assert buffer_in_use is not None and pool.budget.held > 0
    pipe.abort(Fault.NODE_RESET)
    pipe.abort(Fault.CLIENT_DISCONNECTED)
    held.join(5)
    pipe.release(buffer_in_use)
    assert ends == ["node_reset"] and pool.budget.held == 0 and not pool.pipes
    with pytest.raises(Exception, match="node_reset"):
        pipe.get()


def test_a_stream_registry_limits_the_number_of_open_streams() -> None:
    own = config(NOWHERE, {}, OWN.format("")).features.streaming
    registry = StreamRegistry(replace(own, most_streams=2), {b"availability-check": 0})
    policy = registry.policy_for(b"/availability-check/x?y")
    assert policy is not None and registry.policy_for(b"/other") is None and registry.policy_for(b"*") is None
    first, second = (registry.open_stream(policy, Body(Framing.NONE)) for _ in range(2))
    assert first and second and registry.open_stream(policy, Body(Framing.NONE)) is None
    first.close()
    first.close()
    assert (
        registry.open_stream(policy, Body(Framing.NONE))
        and registry.open_stream(policy, Body(Framing.NONE)) is None
    )
    assert StreamRegistry(Streaming(classes=own.classes), {}).unknown_classes == ["availability-check"]


# ---- the admission gateway


def test_a_request_whose_body_was_sent_is_not_retried() -> None:
    for body_sent, result, expected_action in (
        (False, i.Result.RESET, i.Send),
        (True, i.Result.RESET, i.Fail),
        (True, i.Result.CONNECT_FAILED, i.Refuse),
    ):
        driver = Driver()
        number, actions = driver.ask(streamed=True)
        server = sends(actions)[0].server
        if body_sent:
            driver.do(i.StreamStarted(number, 0, request_body_sent=True))
        after = driver.end(number, server, result)
        assert [type(action) for action in after if isinstance(action, i.Send | i.Fail | i.Refuse)] == [
            expected_action
        ]


def test_a_forwarded_response_is_not_in_flight_and_has_no_deadline() -> None:
    driver = Driver()
    number, actions = driver.ask(streamed=True)
    server = sends(actions)[0].server
    assert driver.gateway.in_flight == 1
    driver.do(i.StreamStarted(number, 0))
    assert driver.gateway.in_flight == 0 == driver.gateway.servers[server].in_flight
    assert answers(driver.run(60_000)) == []
    driver.end(number, server, i.Result.TIMEOUT, final=True)
    assert driver.gateway.in_flight == 0 and driver.gateway.servers[server].failures_in_row == 1
    assert number not in driver.gateway.pending
