"""The RPC server on real sockets: which requests it executes, what closes a connection, shutdown."""

from contextlib import suppress
from typing import Any
from unittest.mock import patch

import gevent
from gevent import socket
from gevent.event import Event
from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.rpc import server as rpc_server
from ashlift.rpc.client import RpcClient
from ashlift.rpc.framing import (
    MAX_FRAME_BYTES,
    REQUEST_CRC_SEED,
    RESPONSE_CRC_SEED,
    FrameDecoder,
    encode_frame,
)
from ashlift.rpc.messages import encode_request
from ashlift.rpc.server import serve
from ashlift.rpc.sockets import send_all
from tests.support.mutation import mutated_function
from tests.support.rpc_peers import HOST, LONG_SECONDS, OVERDUE, address_of

HEADER_BYTES = 8


@test("rpc server: a response that is not read closes its connection, and delays no other")
def _() -> None:
    server = serve((HOST, 0), {"large": lambda _: b"x" * (MAX_FRAME_BYTES - 100), "echo": lambda body: body})
    accepted: list[socket.socket] = []
    with patch.object(rpc_server, "configure_socket", accepted.append):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(address_of(server))
        with (
            mutated_function(send_all, "SEND_TIMEOUT_SECONDS) ->", "0.05) ->"),
            gevent.Timeout(LONG_SECONDS, OVERDUE),
        ):
            sock.sendall(encode_request(1, "large", None) + encode_request(2, "echo", "two"))
            while not accepted:
                gevent.idle()
            other = RpcClient(address_of(server))
            assert other.call("echo", "three", LONG_SECONDS, connect_timeout=LONG_SECONDS) == "three"
            while accepted[0].fileno() >= 0:
                gevent.idle()
    received = b""
    with suppress(OSError):
        while data := sock.recv(1 << 20):
            received += data
    assert 0 < len(received) < MAX_FRAME_BYTES, "the connection should close in the middle of the response"
    assert not FrameDecoder(RESPONSE_CRC_SEED).feed(received), "the response should be incomplete"
    other.close()
    server.close()


@test("rpc server: an invalid request closes the connection: {what}")
def _(
    what: str = each("repeated number", "lower number", "two fields", "number as text", "method as list"),
) -> None:
    executed: list[Any] = []

    def echo(body: Any) -> Any:
        executed.append(body)
        return body

    server = serve((HOST, 0), {"echo": echo})
    second = {
        "repeated number": [5, "echo", 2],
        "lower number": [4, "echo", 2],
        "two fields": [6, "echo"],
        "number as text": ["6", "echo", 2],
        "method as list": [6, ["echo"], 2],
    }[what]
    sock = socket.create_connection(address_of(server))
    sock.sendall(encode_request(5, "echo", 1))
    assert FrameDecoder(RESPONSE_CRC_SEED).feed(sock.recv(65536)) == [[5, 1]]
    sock.sendall(encode_frame(REQUEST_CRC_SEED, second))
    with gevent.Timeout(LONG_SECONDS, OVERDUE):
        assert sock.recv(65536) == b""
    assert executed == [1]
    sock.close()
    server.close()


@test("rpc: requests and responses at the size limit and above it")
def _() -> None:
    server = serve((HOST, 0), {"echo": lambda body: body, "large": lambda size: b"x" * size})
    client = RpcClient(address_of(server))
    largest_body_bytes = MAX_FRAME_BYTES - 12  # less the number, the method and the length of the body
    assert (
        client.call("echo", b"x" * largest_body_bytes, LONG_SECONDS, connect_timeout=LONG_SECONDS)
        == b"x" * largest_body_bytes
    )
    assert len(encode_request(1, "echo", b"x" * largest_body_bytes)) == MAX_FRAME_BYTES + HEADER_BYTES
    connection = client._connection
    for method, body in (("echo", b"x" * (largest_body_bytes + 1)), ("large", MAX_FRAME_BYTES)):
        failure = client.call(method, body, LONG_SECONDS)
        assert isinstance(failure, Failure), failure
        assert failure.reason == FailureReason.INVALID, failure
    assert client.call("echo", 1, LONG_SECONDS) == 1
    assert client._connection is connection
    assert client.call("nothing", 1, LONG_SECONDS).reason == FailureReason.NOT_FOUND
    client.close()
    server.close()


@test("rpc server: shutdown answers pending and unread requests, and closes idle connections at once")
def _() -> None:
    may_respond = Event()

    def late(body: Any) -> Any:
        may_respond.wait(LONG_SECONDS)
        return body

    server = serve((HOST, 0), {"late": late, "echo": lambda body: body})
    busy, idle = RpcClient(address_of(server)), RpcClient(address_of(server))
    assert idle.call("echo", 1, LONG_SECONDS) == 1
    call = gevent.spawn(busy.call, "late", 2, LONG_SECONDS)
    while not server.requests_in_progress:
        gevent.idle()
    unread = socket.create_connection(address_of(server))  # remains in the listen queue
    unread.sendall(encode_request(1, "echo", 3))
    end = gevent.spawn(server.shut_down, LONG_SECONDS)
    with gevent.Timeout(LONG_SECONDS, OVERDUE):
        assert FrameDecoder(RESPONSE_CRC_SEED).feed(unread.recv(65536)) == [[1, 3]]
        while idle._connection is not None:
            gevent.idle()
        assert not end.ready()
        may_respond.set()
        assert call.get() == 2
        end.join()
    assert isinstance(busy.call("echo", 4, LONG_SECONDS), Failure)


@test("rpc server: shutdown returns after its timeout while a request is still in progress")
def _() -> None:
    may_respond = Event()
    server = serve((HOST, 0), {"late": lambda _: may_respond.wait(LONG_SECONDS)})
    client = RpcClient(address_of(server))
    call = gevent.spawn(client.call, "late", 1, LONG_SECONDS)
    while not server.requests_in_progress:
        gevent.idle()
    with gevent.Timeout(LONG_SECONDS, OVERDUE):
        server.shut_down(0.05)
    assert server.requests_in_progress == 1
    may_respond.set()
    call.join()
    client.close()
