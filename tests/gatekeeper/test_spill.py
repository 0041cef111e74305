"""Responses too long to buffer are forwarded as they arrive, in bounded memory."""

from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.queue import SimpleQueue

from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.admission.interface import Result
from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.jobs import AttemptFinished, Job, ResponseStarted
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.net.http_response import MAX_BUFFERED_BYTES
from ashlift.gatekeeper.net.machine_list import MachineList
from ashlift.gatekeeper.net.nodes import Limits, NodePool, UpstreamRequest
from tests.gatekeeper.play import config, instance, listen

JOB = (
    b"GET /availability-check HTTP/1.%d\r\nX-Qos: availability-check\r\nX-Trace-Id: %b\r\n"
    b"Api-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 5\r\n\r\n"
)


class ParsedResponse:
    """A response as the client receives it."""

    def __init__(self) -> None:
        self.body, self.done = bytearray(), False
        self.headers: dict[bytes, bytes] = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


def read_response(client: socket.socket) -> ParsedResponse:
    parsed = ParsedResponse()
    parser = httptools.HttpResponseParser(parsed)
    with gevent.Timeout(20):
        while not parsed.done:
            data = client.recv(1 << 20)
            if not data:
                parser.feed_data(b"")  # a response that ends with the connection
                break
            parser.feed_data(data)
    return parsed


def serve_once(node: socket.socket, answer: bytes) -> None:
    sock = node.accept()[0]
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    sock.sendall(answer)
    sock.close()


def start_gatekeeper(node: socket.socket) -> tuple[Gatekeeper, tuple[str, int]]:
    address = "{}:{}".format(*node.getsockname())
    gatekeeper = Gatekeeper(config({"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": address}, {}))
    return gatekeeper, gatekeeper.start()


def test_a_long_response_that_ends_with_its_connection_is_forwarded_in_chunks() -> None:
    node = listen()
    gatekeeper, front = start_gatekeeper(node)
    body = bytes(range(256)) * (2 * MAX_BUFFERED_BYTES // 256 + 7)
    serving = gevent.spawn(serve_once, node, b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body)
    with socket.create_connection(front) as client:
        client.sendall(JOB % (1, b"t1"))
        parsed = read_response(client)
    assert parsed.done and bytes(parsed.body) == body and parsed.headers[b"transfer-encoding"] == b"chunked"
    assert gatekeeper.metrics.counts["spill.served"] == 1 and gatekeeper.metrics.counts["answers.served"] == 1
    serving.get()
    gatekeeper.stop(0.0)
    node.close()


def test_a_long_response_to_an_http_1_0_client_ends_with_the_connection() -> None:
    node = listen()
    gatekeeper, front = start_gatekeeper(node)
    body = b"x" * (MAX_BUFFERED_BYTES + 1)
    serving = gevent.spawn(
        serve_once,
        node,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
    )
    with socket.create_connection(front) as client:
        client.sendall(JOB % (0, b"t1"))
        parsed = read_response(client)
        assert client.recv(1) == b""
    assert bytes(parsed.body) == body and b"transfer-encoding" not in parsed.headers
    serving.get()
    gatekeeper.stop(0.0)
    node.close()


def test_short_responses_use_no_stream_registry() -> None:
    node = listen()
    gatekeeper, front = start_gatekeeper(node)
    serving = gevent.spawn(serve_once, node, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    with socket.create_connection(front) as client:
        client.sendall(JOB % (1, b"t1"))
        assert bytes(read_response(client).body) == b"ok"
    serving.get()
    gatekeeper.stop(0.0)
    node.close()
    assert gatekeeper.nodes.stream_registry is None and "spill.begun" not in gatekeeper.metrics.counts


def test_the_elapsed_time_of_a_long_response_ends_with_its_head() -> None:
    node, inbox = listen(), SimpleQueue[Any]()
    machines = MachineList(("127.0.0.1", 9), (), inbox, Metrics())
    machines.apply_update(
        {"generation": 1, "instances": [instance("n1", "{}:{}".format(*node.getsockname()))]}
    )
    inbox.get()
    nodes = NodePool(machines, Limits(2000.0, 15_000.0, 8), UnixClock(), inbox, Metrics())
    job = Job(
        0, 0, "aa", 9000.0, 0.0, lambda answer: None, UpstreamRequest(b"GET", b"/availability-check", b"t1")
    )
    nodes.start(job, 0, "n1", 9000.0)
    sock = node.accept()[0]
    sock.recv(65536)
    sock.sendall(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * MAX_BUFFERED_BYTES)
        + b"p" * (MAX_BUFFERED_BYTES + 1)
    )
    headed = inbox.get(timeout=10)
    assert isinstance(headed, ResponseStarted)
    gevent.sleep(0.3)  # must not count towards the elapsed time
    sock.sendall(b"q" * (MAX_BUFFERED_BYTES - 1))
    ended = inbox.get(timeout=10)
    assert isinstance(ended, AttemptFinished) and ended.result is Result.OK and ended.elapsed_ms < 250
    opening: Any = headed.opening  # a streams.stream.StreamedResponse
    answer, received_bytes = opening.stream.download, 0
    assert answer is not None
    while (part := answer.get()) is not None:
        received_bytes += part.end - part.start
        answer.release(part)
    assert received_bytes == 2 * MAX_BUFFERED_BYTES
    sock.close()
    node.close()
