"""RPC peers on real sockets: one that counts executions, and one that delays reading."""

from collections import Counter
from typing import Any

from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ashlift.errors import Failure, FailureReason
from ashlift.rpc.addresses import Address
from ashlift.rpc.client import RpcClient
from ashlift.rpc.server import serve

HOST = "127.0.0.1"
SHORT_SECONDS = 0.03  # for calls that are expected to time out
LONG_SECONDS = 5.0  # for calls that are answered; generous, for slow machines
OVERDUE = AssertionError(f"no result within {LONG_SECONDS} s")


def address_of(server: StreamServer) -> Address:
    return HOST, server.server_port or 0


class Peer:
    """An RPC server that counts executions of each request, also across restarts."""

    def __init__(self) -> None:
        self.executions: Counter[int] = Counter()  # by token
        self.may_answer = Event()  # the method `late` waits for this
        self._handlers = {"echo": self._echo, "late": self._late, "refuse": self._refuse}
        self._server = serve((HOST, 0), self._handlers)
        self.address = address_of(self._server)

    def restart(self) -> None:
        self._server.close()
        self._server = serve(self.address, self._handlers)

    def close(self) -> None:
        self._server.close()

    def _echo(self, body: Any) -> Any:
        self.executions[body[0]] += 1
        return [body[0], body[1]]

    def _late(self, body: Any) -> Any:
        self.executions[body[0]] += 1
        self.may_answer.wait(LONG_SECONDS)
        return [body[0], body[1]]

    def _refuse(self, body: Any) -> Any:
        return Failure(FailureReason.REJECTED, str(body[0]))


class CallHistory:
    """Calls to a Peer with their outcomes. Each carries a unique token, which its response echoes."""

    def __init__(self, peer: Peer, client: RpcClient) -> None:
        self.peer = peer
        self.client = client
        self._calls: list[tuple[str, int, bytes, Any]] = []
        self._last_token = 0

    def call(self, method: str, size: int, timeout: float) -> Any:
        self._last_token += 1
        token = self._last_token
        padding = bytes([token % 251]) * size
        result = self.client.call(method, [token, padding], timeout, connect_timeout=timeout)
        self._calls.append((method, token, padding, result))
        return result

    def check(self) -> None:
        """Check that no request was executed twice and that each outcome matches the peer's executions."""
        for method, token, padding, result in self._calls:
            call = f"{method} {token}"
            executions = self.peer.executions[token]
            assert executions <= 1, f"{call} was executed {executions} times"
            if not isinstance(result, Failure):
                assert method != "refuse", f"{call}: {result!r:.200}"
                assert result == [token, padding], f"{call}: {result!r:.200}"
                assert executions == 1, f"{call} was answered and not executed"
            elif result.reason == FailureReason.REJECTED:
                assert (method, result.detail) == ("refuse", str(token)), f"{call}: {result}"
            else:
                in_doubt = result.reason == FailureReason.OUTCOME_UNKNOWN
                assert in_doubt or result.reason == FailureReason.UNREACHABLE, f"{call}: {result}"
                assert in_doubt or not executions, f"{call} was executed, and reported as not sent"


class SilentPeer:
    """Accepts connections but reads only once `may_read` is set; `received`: the bytes by connection."""

    def __init__(self) -> None:
        self.received: list[bytearray] = []
        self.may_read = Event()
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        listener.bind((HOST, 0))
        listener.listen(8)
        self._server = StreamServer(listener, self._receive)
        self._server.start()
        self.address = address_of(self._server)

    def _receive(self, sock: socket.socket, _: Any) -> None:
        received = bytearray()
        self.received.append(received)
        self.may_read.wait()
        while data := sock.recv(65536):
            received += data

    def close(self) -> None:
        self._server.stop(1.0)
