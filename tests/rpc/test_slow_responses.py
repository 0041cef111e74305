"""Waits for slow responses: extended while bytes arrive, up to a limit."""

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer
from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.client import PROGRESS_TIMEOUT_SECONDS, ProgressDeadline, RpcClient
from ashlift.rpc.messages import encode_response
from tests.support.rpc_peers import HOST, LONG_SECONDS, OVERDUE, address_of


@test("rpc client: a wait is extended while bytes arrive, until the hard deadline")
def _() -> None:
    deadline = ProgressDeadline(hard_deadline=5.0)
    assert deadline.extension(0.1, 0) == 0  # no bytes have arrived
    assert deadline.extension(0.1, 300) == PROGRESS_TIMEOUT_SECONDS
    deadline.received_bytes = 300
    assert deadline.extension(0.4, 300) == 0  # no bytes since the wait began
    assert 0 < deadline.extension(4.95, 600) < PROGRESS_TIMEOUT_SECONDS
    assert deadline.extension(5.1, 900) == 0
    assert ProgressDeadline(hard_deadline=0.0).extension(0.1, 300) == 0  # no extension


class SlowServer:
    """Answers the first request of a connection at once, the second byte by byte, up to `sent_bytes`."""

    INTERVAL_SECONDS = 0.05

    def __init__(self, sent_bytes: int) -> None:
        self._sent_bytes = sent_bytes
        self._server = StreamServer((HOST, 0), self._respond)
        self._server.start()
        self.address = address_of(self._server)

    def _respond(self, sock: socket.socket, _: Any) -> None:
        sock.recv(65536)
        sock.sendall(encode_response(1, "quick"))
        sock.recv(65536)
        for byte in encode_response(2, "slow")[: self._sent_bytes]:
            gevent.sleep(self.INTERVAL_SECONDS)
            sock.sendall(bytes([byte]))
        sock.recv(65536)

    def close(self) -> None:
        self._server.stop(0.1)


@test("rpc client: a slow response, {sent_bytes} bytes sent, at most {max_timeout} s: {result} received")
def _(
    sent_bytes: int = each(100, 100, 5),
    max_timeout: float = each(LONG_SECONDS, 0.0, LONG_SECONDS),
    result: str = each("all", "nothing", "nothing"),
) -> None:
    server = SlowServer(sent_bytes)
    client = RpcClient(server.address)
    assert client.call("any", None, LONG_SECONDS, connect_timeout=LONG_SECONDS) == "quick"
    with gevent.Timeout(LONG_SECONDS, OVERDUE):
        response = client.call("any", None, 0.3, max_timeout)
    if result == "all":
        assert response == "slow"
    else:
        assert isinstance(response, Failure)
        assert response.reason == FailureReason.OUTCOME_UNKNOWN
    client.close()
    server.close()
