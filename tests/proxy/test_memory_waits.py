"""Large requests that wait for memory: they go on in time, or are refused with a certain "not run"."""

from collections.abc import Iterator
from contextlib import contextmanager

import gevent
from gevent import socket
from ward import raises, test

from ashlift.memory.pool import MemoryPool, MemoryShare
from ashlift.memory.requests import RequestPools
from tests.support.proxy_history import Request
from tests.support.proxy_site import ProxySite
from tests.support.stub_client import ENOUGH_SECONDS, TIMED_OUT, StubClient

LARGE_BYTES = 2 << 20
POOL_BYTES = 3 << 20


class FullSite(ProxySite):
    """A proxy whose memory for large requests is held by another one, `holder`, until `release`."""

    def __init__(self) -> None:
        super().__init__()
        self.pool = MemoryPool(POOL_BYTES)
        memory = self.proxy.request_handler.memory
        memory.requests = RequestPools(memory.requests.medium, self.pool)
        self.holder: MemoryShare = self.pool.open(POOL_BYTES)
        assert self.pool.try_grow(self.holder, POOL_BYTES)

    def large_request(self, remaining_ms: int = 4000, extra_head: bytes = b"") -> Request:
        """A new request with a large body."""
        body = bytes(LARGE_BYTES)
        return self.history.new_request(
            "/hold/0/x", False, body, remaining_ms=remaining_ms, extra_head=extra_head
        )

    def connect(self) -> StubClient:
        """A new client."""
        return StubClient(self.history, self.proxy.address)

    def await_waiting(self) -> None:
        """Wait until a request waits for memory."""
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while not self.pool.waits:
                gevent.sleep(0.001)

    def release(self) -> None:
        """The other request ends."""
        self.pool.release(self.holder)


@contextmanager
def full_site() -> Iterator[FullSite]:
    """A site that is closed, and whose pool is empty, at the end."""
    site = FullSite()
    yield site
    site.release()
    site.close()
    assert not site.pool.held_bytes
    assert not site.pool._waiting


@test("a large request that waits for memory is served once there is some, and small ones meanwhile")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        large = site.large_request()
        sending = gevent.spawn(client.send, large)
        site.await_waiting()
        assert site.send().status == 200
        assert not sending.ready()
        site.release()
        sending.join(ENOUGH_SECONDS)
        client.close()
        assert large.status == 200


@test("a large request that finds no memory in time gets a 503 with Retry-After, and does not run")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        large = site.large_request(remaining_ms=500)
        client.send(large)
        client.close()
        assert large.status == 503
        assert float(large.response_headers["retry-after"]) > 0
        assert large.response_headers["connection"] == "close"
        assert not site.history.runs
        assert site.proxy.request_handler.responses == {"memory": 1}


@test("a client that leaves while its request waits for memory leaves nothing behind")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        large = site.large_request()
        client.sock.sendall(large.to_bytes()[:300_000])
        site.await_waiting()
        client.hang_up()
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while site.proxy.server.connections:
                gevent.sleep(0.001)
        client.close()
        assert not site.history.runs


@test("a request that waits for memory when the process exits gets a 503")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        large = site.large_request()
        sending = gevent.spawn(client.send, large)
        site.await_waiting()
        site.proxy.server.refuse_partial_requests()
        sending.join(ENOUGH_SECONDS)
        client.close()
        assert large.status == 503
        assert not site.history.runs


@test("a client that expects 100 Continue gets it once there is memory for its body")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        padding = b"X-Padding: " + bytes(5000).replace(b"\0", b"p") + b"\r\n"
        large = site.large_request(extra_head=b"Expect: 100-continue\r\n" + padding)
        head, _, body = large.to_bytes().partition(b"\r\n\r\n")
        client.sock.sendall(head + b"\r\n\r\n")
        site.await_waiting()
        site.release()
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            assert client.sock.recv(100).startswith(b"HTTP/1.1 100 ")
        client.sock.sendall(body)
        client.expected_responses = 1
        client.read_response(large)
        client.close()
        assert large.status == 200


@test("a body that is incomplete when its client no longer waits gets a 408, and does not run")
def _() -> None:
    with full_site() as site:
        site.release()
        client = site.connect()
        large = site.large_request(remaining_ms=300)
        client.sock.sendall(large.to_bytes()[:500_000])
        client.expected_responses = 1
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            assert client.sock.recv(4096).startswith(b"HTTP/1.1 408 ")
        assert site.proxy.server.connections  # it still discards what the client sends
        assert not site.pool.held_bytes
        client.close()
        assert not site.history.runs


@test("the time that a request took to arrive is not left to its worker")
def _() -> None:
    with full_site() as site:
        remaining: list[int] = []
        site.workers.on_request = lambda request: remaining.append(int(request.header(b"x-time-remaining")))
        client = site.connect()
        large = site.large_request(remaining_ms=4000)
        sending = gevent.spawn(client.send, large)
        site.await_waiting()
        gevent.sleep(0.3)
        site.release()
        sending.join(ENOUGH_SECONDS)
        client.close()
        assert large.status == 200
        assert remaining[0] <= 3700


@test("a client of HTTP/1.0 gets a long response without a length, and a reset where it breaks off")
def _() -> None:
    with full_site() as site:
        site.workers.behaviours = dict.fromkeys(site.routes["0"], "long chunked body")
        for behaviour, is_whole in (("long chunked body", True), ("long chunked body, broken off", False)):
            site.workers.behaviours = dict.fromkeys(site.routes["0"], behaviour)
            request = site.history.new_request("/look/0/x", True)
            sock = socket.create_connection(site.proxy.address)
            sock.sendall(request.to_bytes().replace(b"HTTP/1.1", b"HTTP/1.0"))
            received = bytearray()
            with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
                try:
                    while data := sock.recv(65536):
                        received += data
                except ConnectionResetError:
                    assert not is_whole
                else:
                    assert is_whole
            sock.close()
            head, _, body = bytes(received).partition(b"\r\n\r\n")
            assert b"chunked" not in head
            assert (len(body) >= 1 << 20) == is_whole


@test("a connection to a worker is used again after long and short responses, and none is left over")
def _() -> None:
    with full_site() as site:
        client = site.connect()
        for behaviour in ("long chunked body", "success") * 3:
            site.workers.behaviours = dict.fromkeys(site.routes["0"], behaviour)
            request = site.history.new_request("/look/0/x", True)
            if behaviour == "success":
                client.send(request)
                assert request.status == 200
                continue
            client.sock.sendall(request.to_bytes())
            received = b""
            with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
                while not received.endswith(b"\r\n0\r\n\r\n"):
                    received += client.sock.recv(65536)
            assert len(received) > 1 << 20
        client.close()
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while site.proxy.server.connections:
                gevent.sleep(0.001)
        pool = site.proxy.request_handler.connection_pool
        assert site.workers.reused_connections == 5
        assert sum(pool._open_count.values()) == len(list(site.proxy.idle_connections())) == 1


@test("a connection to a worker that breaks off a long response is closed and no longer counted")
def _() -> None:
    with full_site() as site:
        site.workers.behaviours = dict.fromkeys(site.routes["0"], "long chunked body, broken off")
        for _ in range(3):
            request = site.history.new_request("/look/0/x", True)
            sock = socket.create_connection(site.proxy.address)
            sock.sendall(request.to_bytes())
            with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT), raises(ConnectionResetError):
                while sock.recv(65536):
                    pass
            sock.close()
        with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
            while site.proxy.server.connections:
                gevent.sleep(0.001)
        assert not site.proxy.request_handler.connection_pool._open_count
