"""A proxy process stays below the `MemoryMb` of its settings, whatever clients send and workers answer.

Guards against the incident in docs/incidents/review-2-memory.md: two clients that each sent a body of
`MaxBodyBytes` put a proxy over its memory, and the platform killed it. While large messages wait for memory,
small requests are served as usual.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import gevent
from gevent import socket
from ward import each, test

from tests.support.large_bodies import USUAL_PATH, LargeBodyWorkers, Upload, UsualTraffic, body_digest
from tests.support.proxy_process import ProxyProcess

MAX_BODY_BYTES = 64 << 20  # `MaxBodyBytes`
MEBIBYTE = 1 << 20
BYTES_PER_MB = 1_000_000
SMALL_EDGE_MB = 200  # `MemoryMb` of an edge machine of the grown sites
EDGE_MB = 300  # of the other sites
FLOOD_BYTES = 40 << 20


class MemoryBench:
    """A proxy process with a limit of its memory, its worker, and usual traffic beside the large messages."""

    def __init__(self, memory_mb: int) -> None:
        self.memory_mb = memory_mb
        self.workers = LargeBodyWorkers(count=2)
        self.proxy = ProxyProcess(self.workers.by_id, memory_mb)
        self.usual = UsualTraffic(self.proxy.address)

    def run(self, *uploads: Upload) -> None:
        """Send requests at the same time, and wait for all responses."""
        gevent.joinall([gevent.spawn(upload.run, self.proxy.address) for upload in uploads], raise_error=True)

    def check(self) -> None:
        """The process is alive, was never over its memory, and has served the usual traffic."""
        self.usual.stop()
        assert self.proxy.is_running
        assert self.proxy.peak_bytes() < self.memory_mb * BYTES_PER_MB
        assert self.usual.requests
        assert not self.usual.unserved()


@contextmanager
def memory_bench(memory_mb: int) -> Iterator[MemoryBench]:
    """A bench that is checked at the end."""
    bench = MemoryBench(memory_mb)
    try:
        yield bench
        bench.check()
    finally:
        bench.usual.stop()
        bench.proxy.close()
        bench.workers.close()


def check_served(bench: MemoryBench, uploads: list[Upload]) -> None:
    """Every request was served, and arrived unchanged."""
    assert [one.status for one in uploads] == [200] * len(uploads), [one.error for one in uploads]
    arrived = sorted(one for one in bench.workers.received if one[0] != USUAL_PATH)
    assert arrived == sorted((one.path, one.body_bytes, body_digest(one.body_bytes)) for one in uploads)


@test("memory of {memory_mb} MB: {count} bodies of MaxBodyBytes at once, {framing}, are all served")
def _(
    memory_mb: int = each(EDGE_MB, EDGE_MB, SMALL_EDGE_MB, SMALL_EDGE_MB),
    count: int = each(2, 4, 3, 2),
    framing: str = each("with a length", "in chunks", "with a length", "in chunks"),
) -> None:
    with memory_bench(memory_mb) as bench:
        chunk_bytes = 8000 if framing == "in chunks" else 0
        uploads = [Upload("/hold/0/x", MAX_BODY_BYTES, chunk_bytes) for _ in range(count)]
        for _ in range(2):
            bench.workers.received.clear()
            bench.run(*uploads)
            check_served(bench, uploads)


@test("memory of {memory_mb} MB: {count} bodies of {size} bytes at once, {framing}, are all served")
def _(
    memory_mb: int = each(EDGE_MB, EDGE_MB, SMALL_EDGE_MB, SMALL_EDGE_MB, SMALL_EDGE_MB),
    count: int = each(300, 60, 300, 60, 4),
    size: int = each(MEBIBYTE, 8 * MEBIBYTE, MEBIBYTE, 5 * MEBIBYTE, 2_000_000),
    framing: str = each("with a length", "in chunks", "with a length", "in chunks", "in chunks of 2 bytes"),
) -> None:
    chunk_bytes = {"with a length": 0, "in chunks": 8000, "in chunks of 2 bytes": 2}[framing]
    with memory_bench(memory_mb) as bench:
        uploads = [Upload("/hold/0/x", size, chunk_bytes, remaining_ms=50_000) for _ in range(count)]
        bench.run(*uploads)
        check_served(bench, uploads)


@test("memory of {memory_mb} MB: bodies that are sent slowly hold little, and others are served meanwhile")
def _(memory_mb: int = each(EDGE_MB, SMALL_EDGE_MB)) -> None:
    with memory_bench(memory_mb) as bench:
        slow = [
            Upload("/hold/0/slow", MAX_BODY_BYTES, chunk_bytes, bytes_per_second=200_000, remaining_ms=3000)
            for chunk_bytes in (0, 8000)
            for _ in range(100)
        ]
        greenlets = [gevent.spawn(one.run, bench.proxy.address) for one in slow]
        gevent.sleep(0.5)
        large = Upload("/hold/0/x", MAX_BODY_BYTES)
        bench.run(large)
        assert large.status == 200
        gevent.joinall(greenlets)
        # Their time is over before the body is complete: they have certainly not run.
        assert {one.status for one in slow} <= {408, 503}, {one.status: one.error for one in slow}


@test("memory of {memory_mb} MB: {count} responses of {size} bytes at once, {framing}, arrive whole")
def _(
    memory_mb: int = each(EDGE_MB, EDGE_MB, SMALL_EDGE_MB, SMALL_EDGE_MB),
    count: int = each(6, 6, 6, 100),
    size: int = each(MAX_BODY_BYTES, MAX_BODY_BYTES, MAX_BODY_BYTES, MEBIBYTE),
    framing: str = each("with a length", "in chunks", "in chunks", "with a length"),
) -> None:
    with memory_bench(memory_mb) as bench:
        bench.workers.response_bytes = size
        bench.workers.chunked_responses = framing == "in chunks"
        requests = [Upload("/hold/0/x", 10) for _ in range(count)]
        bench.run(*requests)
        expected = (200, size, body_digest(size))
        assert [(one.status, one.response_bytes, one.response_digest) for one in requests] == [
            expected
        ] * count
        assert all((b"content-length" in one.headers) == (framing == "with a length") for one in requests)


@test("memory of {memory_mb} MB: clients that read long responses slowly get them whole")
def _(memory_mb: int = each(EDGE_MB, SMALL_EDGE_MB)) -> None:
    size = 4 * MEBIBYTE
    with memory_bench(memory_mb) as bench:
        bench.workers.response_bytes = size
        slow = [Upload("/hold/0/x", 10, read_bytes_per_second=1.5e6) for _ in range(150)]
        bench.run(*slow)
        expected = (200, body_digest(size))
        assert [(one.status, one.response_digest) for one in slow] == [expected] * len(slow)


@test("a long response that its worker breaks off does not look complete, {framing}")
def _(framing: str = each("with a length", "in chunks")) -> None:
    with memory_bench(EDGE_MB) as bench:
        bench.workers.response_bytes = 4 * MEBIBYTE
        bench.workers.breaks_off_after_bytes = 2 * MEBIBYTE
        bench.workers.chunked_responses = framing == "in chunks"
        request = Upload("/hold/0/x", 10)
        bench.run(request)
        assert request.status == 0
        assert request.error


@test("a large body that a worker refuses is sent to another one, and held once")
def _() -> None:
    with memory_bench(EDGE_MB) as bench:
        bench.workers.refusals = 1
        request = Upload("/hold/0/x", MAX_BODY_BYTES)
        bench.run(request)
        check_served(bench, [request])


@test("memory of {memory_mb} MB: bodies that are sent to two workers at once are held once")
def _(memory_mb: int = each(EDGE_MB, SMALL_EDGE_MB)) -> None:
    with memory_bench(memory_mb) as bench:
        bench.workers.work_seconds = 0.5  # of far more than the target of the route: hedged requests follow
        uploads = [Upload("/look/0/x", MAX_BODY_BYTES // 2) for _ in range(4)]
        bench.run(*uploads)
        assert [one.status for one in uploads] == [200] * len(uploads)
        arrivals = [one for one in bench.workers.received if one[0] == "/look/0/x"]
        assert len(arrivals) > len(uploads)
        assert {one[1:] for one in arrivals} == {(MAX_BODY_BYTES // 2, body_digest(MAX_BODY_BYTES // 2))}


@test("memory of {memory_mb} MB: {count} clients that each sent a part of a small request hold little")
def _(memory_mb: int = each(SMALL_EDGE_MB), count: int = each(1500)) -> None:
    part = b"POST /hold/0/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 10000\r\n\r\n" + bytes(3900)
    with memory_bench(memory_mb) as bench:
        socks = [socket.create_connection(bench.proxy.address) for _ in range(count)]
        for sock in socks:
            sock.sendall(part)
        large = Upload("/hold/0/x", MAX_BODY_BYTES)
        bench.run(large)
        check_served(bench, [large])
        for sock in socks:
            sock.close()


def endless_header(sock: socket.socket) -> None:
    """Send the beginning of a header."""
    sock.sendall(b"GET /look/0/x HTTP/1.1\r\nHost: h.example\r\nX-Long: ")


def endless_trailer(sock: socket.socket) -> None:
    """Send a chunked body, and the beginning of a trailer."""
    sock.sendall(
        b"POST /look/0/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\nx\r\n0\r\nX-Long: "
    )


@test("memory of {memory_mb} MB: {count} clients that never end a {what} are refused")
def _(
    memory_mb: int = each(SMALL_EDGE_MB, SMALL_EDGE_MB),
    count: int = each(20, 20),
    what: str = each("header", "trailer"),
) -> None:
    begin: Callable[[socket.socket], None] = endless_header if what == "header" else endless_trailer

    def flood(address: tuple[str, int]) -> bytes:
        sock = socket.create_connection(address)
        received = b""
        with suppress(OSError):
            begin(sock)
            sent = 0
            while sent < FLOOD_BYTES:
                sent += sock.send(b"a" * 65536)
        with suppress(OSError):
            received = sock.recv(100)
        sock.close()
        return received

    with memory_bench(memory_mb) as bench:
        floods = [gevent.spawn(flood, bench.proxy.address) for _ in range(count)]
        gevent.joinall(floods)
        assert any(b" 431 " in (one.value or b"") for one in floods)
