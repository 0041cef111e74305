"""Large requests to the registry's API are received within a bound and processed one at a time.

Guards against the related path of docs/incidents/review-2-memory.md: four bodies of 8 MB at once took more
memory than a core machine has.
"""

from collections.abc import Iterator
from contextlib import contextmanager, suppress

import gevent
from gevent import socket
from gevent.event import Event
from ward import test

from ashlift.memory.requests import MAX_MEDIUM_BYTES
from ashlift.registry.api import connection
from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.resource import Resource
from ashlift.registry.api.server import HttpServer
from tests.support.patching import replaced

ENOUGH_SECONDS = 5.0
TICK_SECONDS = 0.001
LARGE_BYTES = 2 * MAX_MEDIUM_BYTES
MEDIUM_BYTES = MAX_MEDIUM_BYTES // 2


class HeldResource(Resource):
    """Responds when `may_answer` is set."""

    max_body_bytes = 8 << 20

    def __init__(self) -> None:
        self.may_answer = Event()
        self.sizes: list[int] = []
        self.response_bytes = 0

    def put(self, request: HttpRequest) -> HttpResponse:
        self.sizes.append(len(request.body))
        self.may_answer.wait(ENOUGH_SECONDS)
        return HttpResponse(200, "x" * self.response_bytes)


class ApiUnderTest:
    """A server with one resource, `/held`."""

    def __init__(self) -> None:
        self.resource = HeldResource()
        self.server = HttpServer(("127.0.0.1", 0), {"held": self.resource})
        self.server.start()
        self.pools = self.server.memory.pools

    def put(self, size: int) -> bytes:
        """Send a body; returns the first line of the response."""
        sock = socket.create_connection(("127.0.0.1", self.server._server.server_port or 0))
        with gevent.Timeout(ENOUGH_SECONDS, AssertionError("no response in time")):
            with suppress(OSError):
                sock.sendall(b"PUT /held HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % size + bytes(size))
            status_line = sock.recv(4096).partition(b"\r\n")[0]
        sock.close()
        return status_line

    def await_requests(self, count: int) -> None:
        """Wait until the resource has got so many requests."""
        with gevent.Timeout(ENOUGH_SECONDS, AssertionError("no request in time")):
            while len(self.resource.sizes) < count:
                gevent.sleep(TICK_SECONDS)


@contextmanager
def running_api() -> Iterator[ApiUnderTest]:
    """An API that is shut down, and holds no memory, at the end."""
    api = ApiUnderTest()
    yield api
    api.resource.may_answer.set()
    with gevent.Timeout(ENOUGH_SECONDS, AssertionError("memory is still held")):
        while any(pool.held_bytes for pool in (*api.pools, api.server.memory.responses)):
            gevent.sleep(TICK_SECONDS)
    api.server.shut_down()


@test("large requests are processed one at a time, medium ones meanwhile")
def _() -> None:
    with running_api() as api:
        large = [gevent.spawn(api.put, LARGE_BYTES) for _ in range(3)]
        api.await_requests(1)
        medium = gevent.spawn(api.put, MEDIUM_BYTES)
        api.await_requests(2)
        assert api.resource.sizes == [LARGE_BYTES, MEDIUM_BYTES]
        api.resource.may_answer.set()
        gevent.joinall([*large, medium])
        assert {one.value for one in [*large, medium]} == {b"HTTP/1.1 200 OK"}


@test("a large request that waits for too long gets a 503, and is not processed")
def _() -> None:
    with running_api() as api, replaced(connection, MAX_MEMORY_WAIT_SECONDS=0.05):
        first = gevent.spawn(api.put, LARGE_BYTES)
        api.await_requests(1)
        assert api.put(LARGE_BYTES) == b"HTTP/1.1 503 Service Unavailable"
        assert api.resource.sizes == [LARGE_BYTES]
        api.resource.may_answer.set()
        assert first.get() == b"HTTP/1.1 200 OK"


@test("many large bodies at once are received within the memory for them")
def _() -> None:
    with running_api() as api, replaced(connection, MAX_MEMORY_WAIT_SECONDS=0.2):
        large = [gevent.spawn(api.put, 7 << 20) for _ in range(8)]
        api.await_requests(1)
        gevent.sleep(0.5)
        assert api.pools.large.peak_bytes <= api.pools.large.capacity_bytes
        api.resource.may_answer.set()
        gevent.joinall(large)
        assert {(one.value or b"")[:12] for one in large} == {b"HTTP/1.1 200", b"HTTP/1.1 503"}


@test("long responses to clients that do not read are bounded: further ones get a 503")
def _() -> None:
    with running_api() as api:
        api.resource.may_answer.set()
        api.resource.response_bytes = 4 << 20
        capacity = api.server.memory.responses.capacity_bytes
        count = capacity // api.resource.response_bytes + 3
        readers = []
        for _ in range(count):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.connect(("127.0.0.1", api.server._server.server_port or 0))
            sock.sendall(b"PUT /held HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}")
            readers.append(sock)
        api.await_requests(count)
        status_lines = [sock.recv(4096).partition(b"\r\n")[0] for sock in readers]
        assert set(status_lines) == {b"HTTP/1.1 200 OK", b"HTTP/1.1 503 Service Unavailable"}
        assert api.server.memory.responses.peak_bytes <= capacity
        for sock in readers:
            sock.close()
