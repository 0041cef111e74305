"""Stub workers on loopback, each with a behaviour that the test selects."""

from collections.abc import Callable
from typing import Any

from gevent import socket
from gevent.server import StreamServer

from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.rpc.addresses import Address
from tests.support.fault_proxy import HOST, RESETTING_LINGER
from tests.support.proxy_history import History, expected_body, server_seal

LARGE_BYTES = 12 << 20  # more than the kernel buffers for a peer that does not read
# What a worker does with a request. Behaviours that begin with "not" do not execute it.
BEHAVIOURS = (
    "success",
    "not: overloaded",
    "server error",
    "duplicate response at once",
    "duplicate response later",
    "100 continue first",
    "connection close",
    "no content length",
    "truncated body",
    "no response",
    "invalid response",
    "invalid bytes after the response",
    "no server seal",
    "content encoding",
    "503 after execution",
    "not: closes the connection",
    "executes and resets",
    "not: resets reused connections",
    "not: wrong attempt id",
)


class StubWorkers:
    """All stub workers, which share one address and the `id_prefix` of their ids.

    The X-Target-Instance header selects the worker; requests for other ids are rejected as misdirected.
    `behaviours`: by worker id. `reused_connections`: the number of requests on a connection used before.
    """

    def __init__(self, history: History, id_prefix: str) -> None:
        self.history = history
        self.id_prefix = id_prefix
        self.behaviours: dict[str, str] = {}
        self.on_request: Callable[[ClientRequest], Any] = lambda _: None
        self.reused_connections = 0
        self._server = StreamServer((HOST, 0), self._connection, backlog=1024)
        self._server.start()
        self.address: Address = HOST, self._server.server_port or 0

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def _connection(self, sock: socket.socket, _: Any) -> None:
        reader = RequestReader()
        served = 0
        late_bytes = b""
        try:
            while True:
                while not reader.complete:
                    data = sock.recv(65536)
                    if not data or reader.error_status:
                        return
                    reader.feed(data)
                self.reused_connections += served > 0
                if late_bytes:
                    sock.sendall(late_bytes)
                late_bytes = self._serve(sock, reader.complete.pop(0), served)
                served += 1
        except OSError:
            pass
        finally:
            sock.close()

    def _serve(self, sock: socket.socket, request: ClientRequest, served: int) -> bytes:
        """Respond to a request; return bytes to send before the next. OSError ends the connection."""
        worker_id = request.header(b"x-target-instance").decode()
        behaviour = "not: misdirected"
        if worker_id.startswith(self.id_prefix):
            behaviour = self.behaviours.get(worker_id, "success")
        if behaviour == "not: resets reused connections" and not served:
            behaviour = "success"
        self.on_request(request)
        if not behaviour.startswith("not"):
            self.history.record_run(request)
        return self._respond(sock, behaviour, request)

    def _respond(self, sock: socket.socket, behaviour: str, request: ClientRequest) -> bytes:
        request_id = request.header(b"x-attempt-id").decode()
        body = expected_body(request_id, bytes(request.body))
        response = worker_response(200, request_id, body)
        if behaviour in ENDING_RESPONSES:
            sock.sendall(ENDING_RESPONSES[behaviour](request_id, response, body))
            raise OSError
        if behaviour in RESPONSES:
            sock.sendall(RESPONSES[behaviour](request_id, response, body))
            return b""
        match behaviour:
            case "duplicate response later":
                sock.sendall(response)
                return response
            case "no response":
                sock.recv(1)
            case "executes and resets" | "not: resets reused connections":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
            case _:
                assert behaviour == "not: closes the connection", behaviour
        raise OSError


def worker_response(status: int, attempt_id: str, body: bytes, *lines: str) -> bytes:
    """An encoded response with further header lines; a status 200 has an X-Server-Seal header."""
    head = [f"HTTP/1.1 {status} Said", f"X-Attempt-Id: {attempt_id}", *lines, f"Content-Length: {len(body)}"]
    if status == 200:
        head.insert(1, f"X-Server-Seal: {server_seal(attempt_id, body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def chunked_response(attempt_id: str, body: bytes) -> bytes:
    """An encoded 200 response with a body in one long chunk."""
    head = worker_response(200, attempt_id, body).partition(b"\r\n\r\n")[0]
    head = head.replace(b"Content-Length: %d" % len(body), b"Transfer-Encoding: chunked")
    return head + b"\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)


# The response of each behaviour, built from the request id, a complete response, and its body.
RESPONSES: dict[str, Callable[[str, bytes, bytes], bytes]] = {
    "success": lambda _id, response, _body: response,
    "not: overloaded": lambda attempt_id, _response, _body: worker_response(
        503, attempt_id, b"", "X-Not-Executed: 1"
    ),
    "not: misdirected": lambda attempt_id, _response, _body: worker_response(421, attempt_id, b""),
    "not: wrong attempt id": lambda _id, _response, _body: worker_response(
        503, "0", b"", "X-Not-Executed: 1"
    ),
    "server error": lambda attempt_id, _response, _body: worker_response(500, attempt_id, b"failed"),
    "duplicate response at once": lambda _id, response, _body: response + response,
    "100 continue first": lambda _id, response, _body: b"HTTP/1.1 100 Continue\r\n\r\n" + response,
    "large body": lambda attempt_id, _response, body: worker_response(
        200, attempt_id, body + bytes(LARGE_BYTES)
    ),
    "long chunked body": lambda attempt_id, _response, body: chunked_response(
        attempt_id, body + bytes(1 << 20)
    ),
    "invalid response": lambda _id, _response, _body: b"\x00\x01 no answer \r\n\r\n",
    "invalid bytes after the response": lambda _id, response, _body: response + b"HTTP/1.1 20",
    "no server seal": lambda _id, response, _body: response.replace(b"X-Server-Seal", b"X-Other"),
    "content encoding": lambda attempt_id, _response, body: worker_response(
        200, attempt_id, body, "Content-Encoding: gzip"
    ),
    "503 after execution": lambda attempt_id, _response, _body: worker_response(503, attempt_id, b""),
}
# Behaviours that close the connection after the response.
ENDING_RESPONSES: dict[str, Callable[[str, bytes, bytes], bytes]] = {
    "connection close": lambda attempt_id, _response, body: worker_response(
        200, attempt_id, body, "Connection: close"
    ),
    "no content length": lambda _id, response, _body: response.replace(b"Content-Length", b"X-Length"),
    "truncated body": lambda _id, response, _body: response[:-3],
    "long chunked body, broken off": lambda attempt_id, _response, body: chunked_response(
        attempt_id, body + bytes(1 << 20)
    )[: 900 << 10],
}
