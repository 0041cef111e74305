"""Streams: the pure parts over any sequence of events, and any body in any cuts through a pipe."""

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
from ashlift.gatekeeper.net.stream_claim import StreamReply
from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES, Streaming
from ashlift.gatekeeper.streams import pump
from ashlift.gatekeeper.streams.budget import Budget, Share
from ashlift.gatekeeper.streams.faults import Fault
from ashlift.gatekeeper.streams.heads import Body, Framing, FramingError, body_of
from ashlift.gatekeeper.streams.pace import Lag, Pace
from ashlift.gatekeeper.streams.passage import Desk
from ashlift.gatekeeper.streams.pipe import Pipe, Pool
from tests.gatekeeper.helpers import Driver, answers, sends
from tests.gatekeeper.play import config, listen

numbers = itertools.count()
NOWHERE = {"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": "127.0.0.1:9"}
OWN = "(streaming (enabled true) (class availability-check (head 200ms) {}))"


# ---- the budget


@settings(max_examples=300, deadline=None)
@given(st.integers(2, 12), st.lists(st.tuples(st.integers(0, 11), st.integers(0, 1 << 19), st.booleans())))
def test_the_budget_stays_within_its_bound_and_ends_at_zero(
    count: int, events: list[tuple[int, int, bool]]
) -> None:
    total = (count + 3) * MIN_LEASE_BYTES
    budget = Budget(total, count)
    shares = [Share(window=8 * MIN_LEASE_BYTES) for _ in range(count)]
    leases: dict[Share, list[int]] = {share: [] for share in shares}
    for at, want, gives in events:
        share = shares[at % count]
        if gives and leases[share]:
            budget.give(share, leases[share].pop())
        elif size := budget.ask(share, want):
            assert size <= max(want, MIN_LEASE_BYTES)
            leases[share].append(size)
        else:
            assert share.held > 0  # one that holds nothing always gets something
        assert sum(share.held for share in shares) == budget.held <= total
        assert all(share.held <= share.window for share in shares)
    for share in shares:
        while leases[share]:
            budget.give(share, leases[share].pop())
    assert budget.held == budget.busy == 0
    assert all(budget.ask(share, 1) for share in shares)


def test_slow_readers_cannot_fill_the_budget_together() -> None:
    budget = Budget(64 * MIN_LEASE_BYTES, 8)
    greedy = [Share(64 * MIN_LEASE_BYTES) for _ in range(4)]
    for _ in range(100):
        for share in greedy:
            budget.ask(share, 4 * MIN_LEASE_BYTES)
    held = [share.held for share in greedy]
    late = Share(64 * MIN_LEASE_BYTES)
    assert budget.ask(late, 4 * MIN_LEASE_BYTES) >= 2 * MIN_LEASE_BYTES  # and not the least alone
    assert max(held) <= 2 * min(held)  # fair shares


def test_a_share_stops_at_the_high_watermark_and_goes_on_at_the_low_one() -> None:
    budget, share = Budget(1 << 20, 2), Share(8 * MIN_LEASE_BYTES)
    while budget.ask(share, MIN_LEASE_BYTES):
        pass
    assert share.held == 8 * MIN_LEASE_BYTES
    assert budget.give(share, MIN_LEASE_BYTES) == [] and budget.ask(share, MIN_LEASE_BYTES) == 0
    while share.held > 5 * MIN_LEASE_BYTES:
        assert budget.give(share, MIN_LEASE_BYTES) == []
    assert budget.give(share, MIN_LEASE_BYTES) == [share] and budget.ask(share, MIN_LEASE_BYTES)
    with pytest.raises(ValueError, match="given back"):
        budget.give(share, 1 << 20)


def test_a_budget_too_small_for_its_shares_is_refused() -> None:
    with pytest.raises(ValueError, match="too few"):
        Budget(8 * MIN_LEASE_BYTES, 8)


# ---- the pace


@given(st.lists(st.tuples(st.floats(0, 500), st.integers(0, 1000))), st.integers(50, 1000))
def test_a_side_is_stalled_exactly_when_it_moved_nothing_for_the_limit(
    waits: list[tuple[float, int]], stall: int
) -> None:
    pace, idle = Pace(stall), 0.0
    for ms, moved in waits:
        pace.moved(moved)
        idle = (0.0 if moved else idle) + ms
        lag = pace.waited(ms)
        assert (lag is Lag.STALLED) == (idle >= stall)
        if lag:
            return
        assert pace.allowance() == max(1.0, stall - idle)


def test_the_least_rate_counts_the_time_of_waiting_alone() -> None:
    pace = Pace(1_000, least_rate=1_000, span=2_000)
    for _ in range(10):  # 100 bytes in each 100 ms that it was waited for: just enough
        pace.moved(100)
        assert pace.waited(100) is None
    for _ in range(9):
        pace.moved(90)
        assert pace.waited(100) is None
    pace.moved(90)
    assert pace.waited(100) is Lag.SLOW
    assert pace.allowance() == 900  # of the stall limit


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
def test_a_head_tells_where_its_body_ends(headers: Any, body: Body | None) -> None:
    assert body_of(headers) == body


@pytest.mark.parametrize(
    "headers",
    [
        [(b"content-length", b"1"), (b"content-length", b"2")],
        [(b"content-length", b"+1")],
        [(b"content-length", b"1"), (b"transfer-encoding", b"chunked")],
        [(b"transfer-encoding", b"gzip, chunked")],
    ],
)
def test_a_head_that_says_it_in_two_ways_is_refused(headers: Any) -> None:
    with pytest.raises(FramingError):
        body_of(headers)


# ---- any body in any cuts, through real sockets


def both() -> tuple[Any, Any]:
    listener = listen()
    one = socket.create_connection(listener.getsockname())
    other, _ = listener.accept()
    listener.close()
    return one, other


class Chunks:
    """Reads a chunked answer back, as a client would."""

    def __init__(self) -> None:
        self.body, self.done = b"", False
        self.parser = httptools.HttpResponseParser(self)

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


def encoded(body: bytes, sizes: list[int]) -> bytes:
    """The body in chunks of these sizes and one for the rest, with extensions and a trailer."""
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
def test_any_body_in_any_cuts_arrives_byte_for_byte(
    body: bytes, cuts: list[int], chunks: list[int] | None, chunked: bool, seed: int
) -> None:
    """Through a pipe whose window is far smaller, while source and sink take turns at being slow."""
    chance, pool = random.Random(seed), Pool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)
    source, near = both()
    far, sink = both()
    pipe, got = Pipe(pool), b""
    wire = body if chunks is None else encoded(body, chunks)

    def write() -> None:
        rest, sizes = wire, [*cuts, len(wire) + 1]
        while rest:
            part, rest = rest[: sizes[0]], rest[sizes.pop(0) :]
            source.sendall(part)
            gevent.sleep(0.001 * chance.randrange(2))

    def drain() -> None:
        pump.Sink(far, Pace(10_000)).drain(pipe, chunked)
        far.shutdown(socket.SHUT_WR)

    def carry() -> None:
        into = pump.Source(near, Pace(10_000))
        if chunks is None:
            into.fill(pipe, len(body))
        else:
            reply = StreamReply(b"GET", 1 << 30)
            reply.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")

            def read(view: memoryview) -> tuple[bytes, bool]:
                reply.feed(view)
                return reply.take(), reply.done

            into.fill_parsed(pipe, read)
        pipe.end()

    with gevent.Timeout(20):
        running = [gevent.spawn(part) for part in (write, carry, drain)]
        while more := sink.recv(chance.randrange(1, 20_000)):
            got += more
            assert pool.budget.held <= pool.budget.total
        gevent.joinall(running, raise_error=True)
    for sock in (source, near, far, sink):
        sock.close()
    if chunked:
        read = Chunks()
        read.parser.feed_data(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + got)
        assert read.done
        got = read.body
    assert got == body
    assert pool.budget.held == 0 and not pool.pipes


def test_the_clock_of_a_source_stands_while_its_sink_is_what_holds_it_up() -> None:
    """A slow but living client is no stalled node: the sink rests for ten stall limits of the source."""
    source, near = both()
    pipe = Pipe(Pool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4))
    source.sendall(b"x" * 60_000)
    with gevent.Timeout(20):
        filling = gevent.spawn(pump.Source(near, Pace(100)).fill, pipe, 60_000)
        gevent.sleep(1.0)
        assert not filling.ready() and 0 < pipe.held <= 2 * MIN_LEASE_BYTES
        got = 0
        while got < 60_000:
            part = pipe.get()
            assert part is not None
            got += part.end - part.start
            pipe.give(part)
        filling.get()
        # And one that is waited for is judged.
        late = gevent.spawn(pump.Source(near, Pace(100)).fill, pipe, 1)
        with pytest.raises(pump.LagError, match="stalled"):
            late.get()
    assert pipe.held == 0


def test_two_sides_that_rest_in_turn_are_both_alive(monkeypatch: pytest.MonkeyPatch) -> None:
    """Together they rest for far longer than the source's limit; the source alone never does. The rests
    are on a clock of the test's own, so that a busy machine adds nothing to them."""
    now, full = [0.0], Event()
    monkeypatch.setattr(pump, "time", SimpleNamespace(monotonic=lambda: now[0]))
    source, near = both()
    pipe, got = Pipe(Pool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)), 0

    def gone() -> bool:  # asked while there is no room to read
        full.set()
        return False

    with gevent.Timeout(20):
        filling = gevent.spawn(pump.Source(near, Pace(250), gone).fill, pipe, 60_000)
        for turn in range(1, 4):
            gevent.sleep(0.02)
            now[0] += 0.02  # the source's rest
            full.clear()
            source.sendall(b"x" * 20_000)
            full.wait()
            now[0] += 0.4  # the sink's, behind a full window
            while got < 20_000 * turn:
                part = pipe.get()
                assert part is not None
                got += part.end - part.start
                pipe.give(part)
        filling.get()
    assert pipe.held == 0


def test_a_broken_pipe_gives_all_back_and_wakes_both_sides() -> None:
    pool = Pool(16 * MIN_LEASE_BYTES, 2 * MIN_LEASE_BYTES, 4)
    pipe, ends = Pipe(pool), []

    def source() -> None:
        try:
            while True:
                pipe.put(pipe.lease(MIN_LEASE_BYTES), 5)
        except Exception as error:
            ends.append(str(error))

    held = gevent.spawn(source)
    gevent.sleep(0)
    kept = pipe.get()  # in the sink's hand
    assert kept is not None and pool.budget.held > 0
    pipe.break_off(Fault.NODE_RESET)
    pipe.break_off(Fault.CLIENT_LEFT)
    held.join(5)
    pipe.give(kept)
    assert ends == ["node_reset"] and pool.budget.held == 0 and not pool.pipes
    with pytest.raises(Exception, match="node_reset"):
        pipe.get()


def test_a_desk_gives_each_place_once() -> None:
    own = config(NOWHERE, {}, OWN.format("")).features.streaming
    desk = Desk(replace(own, most_streams=2), {b"availability-check": 0})
    terms = desk.terms(b"/availability-check/x?y")
    assert terms is not None and desk.terms(b"/other") is None and desk.terms(b"*") is None
    first, second = (desk.take(terms, Body(Framing.NONE)) for _ in range(2))
    assert first and second and desk.take(terms, Body(Framing.NONE)) is None
    first.close()
    first.close()
    assert desk.take(terms, Body(Framing.NONE)) and desk.take(terms, Body(Framing.NONE)) is None
    assert Desk(Streaming(classes=own.classes), {}).unknown == ["availability-check"]


# ---- the module


def test_a_spent_body_is_not_sent_again_and_its_failure_is_told_as_one() -> None:
    for spent, result, told in (
        (False, i.Result.RESET, i.Send),
        (True, i.Result.RESET, i.Fail),
        (True, i.Result.CONNECT_FAILED, i.Refuse),
    ):
        driver = Driver()
        number, actions = driver.ask(streamed=True)
        server = sends(actions)[0].server
        if spent:
            driver.do(i.StreamStarted(number, 0, request_body_sent=True))
        after = driver.end(number, server, result)
        assert [type(action) for action in after if isinstance(action, i.Send | i.Fail | i.Refuse)] == [told]


def test_a_flowing_body_takes_no_core_and_has_no_deadline() -> None:
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
