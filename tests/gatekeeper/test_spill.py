"""Answers too long to hold on the platform's path: passed on as they come, in bounded memory."""

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


class Taken:
    """A client's side of one answer, off httptools."""

    def __init__(self) -> None:
        self.body, self.done = bytearray(), False
        self.headers: dict[bytes, bytes] = {}

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.done = True


def take(client: socket.socket) -> Taken:
    taken = Taken()
    parser = httptools.HttpResponseParser(taken)
    with gevent.Timeout(20):
        while not taken.done:
            data = client.recv(1 << 20)
            if not data:
                parser.feed_data(b"")  # the end of one that ends with the connection
                break
            parser.feed_data(data)
    return taken


def serve_once(node: socket.socket, answer: bytes) -> None:
    sock = node.accept()[0]
    data = b""
    while b"\r\n\r\n" not in data:
        data += sock.recv(65536)
    sock.sendall(answer)
    sock.close()


def gatekeeper(node: socket.socket) -> tuple[Gatekeeper, tuple[str, int]]:
    address = "{}:{}".format(*node.getsockname())
    gate = Gatekeeper(config({"d": "127.0.0.1:9", "k": "127.0.0.1:9", "n1": address}, {}))
    return gate, gate.start()


def test_a_long_answer_that_ends_with_its_connection_goes_on_in_chunks() -> None:
    node = listen()
    gate, front = gatekeeper(node)
    body = bytes(range(256)) * (2 * MAX_BUFFERED_BYTES // 256 + 7)
    serving = gevent.spawn(serve_once, node, b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n" + body)
    with socket.create_connection(front) as client:
        client.sendall(JOB % (1, b"t1"))
        taken = take(client)
    assert taken.done and bytes(taken.body) == body and taken.headers[b"transfer-encoding"] == b"chunked"
    assert gate.metrics.counts["spill.served"] == 1 and gate.metrics.counts["answers.served"] == 1
    serving.get()
    gate.stop(0.0)
    node.close()


def test_to_a_client_of_http_1_0_a_long_answer_ends_with_the_connection() -> None:
    node = listen()
    gate, front = gatekeeper(node)
    body = b"x" * (MAX_BUFFERED_BYTES + 1)
    serving = gevent.spawn(
        serve_once,
        node,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body),
    )
    with socket.create_connection(front) as client:
        client.sendall(JOB % (0, b"t1"))
        taken = take(client)
        assert client.recv(1) == b""
    assert bytes(taken.body) == body and b"transfer-encoding" not in taken.headers
    serving.get()
    gate.stop(0.0)
    node.close()


def test_short_answers_load_nothing_of_streams() -> None:
    node = listen()
    gate, front = gatekeeper(node)
    serving = gevent.spawn(serve_once, node, b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
    with socket.create_connection(front) as client:
        client.sendall(JOB % (1, b"t1"))
        assert bytes(take(client).body) == b"ok"
    serving.get()
    gate.stop(0.0)
    node.close()
    assert (
        gate.nodes.stream_registry is None and "spill.begun" not in gate.metrics.counts
    )  # no budget was made


def test_a_node_is_judged_by_the_head_of_a_long_answer_not_its_length() -> None:
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
    gevent.sleep(0.3)  # the rest comes late: the node is no slower for it
    sock.sendall(b"q" * (MAX_BUFFERED_BYTES - 1))
    ended = inbox.get(timeout=10)
    assert isinstance(ended, AttemptFinished) and ended.result is Result.OK and ended.elapsed_ms < 250
    opening: Any = headed.opening  # a streams' Opening
    answer, got = opening.stream.download, 0
    assert answer is not None
    while (part := answer.get()) is not None:
        got += part.end - part.start
        answer.release(part)
    assert got == 2 * MAX_BUFFERED_BYTES
    sock.close()
    node.close()
