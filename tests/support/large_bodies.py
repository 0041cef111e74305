"""Clients and a worker that send and receive large bodies without holding them."""

import functools
import hashlib
import itertools
import time
from collections.abc import Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, Final

import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from ashlift.rpc.addresses import Address
from tests.support.proxy_history import server_seal

HOST: Final = "127.0.0.1"
PIECE_BYTES: Final = 65536
PIECE: Final = bytes(range(256)) * (PIECE_BYTES // 256)
TIMEOUT_SECONDS: Final = 60.0
USUAL_PATH: Final = "/hold/0/small"
USUAL_BODY_BYTES: Final = 1200
USUAL_INTERVAL_SECONDS: Final = 0.02
USUAL_TIMEOUT_MS: Final = 4000
REQUEST_IDS: Final = itertools.count(1)


def pieces(size: int) -> Iterator[bytes]:
    """A body of `size` bytes, in parts."""
    for offset in range(0, size, PIECE_BYTES):
        yield PIECE[: min(PIECE_BYTES, size - offset)]


def body_digest(size: int) -> str:
    """The digest of a body of `size` bytes, as a worker reports it."""
    digest = hashlib.sha1(usedforsecurity=False)
    for piece in pieces(size):
        digest.update(piece)
    return digest.hexdigest()


@dataclass
class Upload:
    """A request and its response. `status` 0: no complete response. `seconds`: how long both took."""

    path: str
    body_bytes: int = 0
    chunk_bytes: int = 0  # 0: with a length
    bytes_per_second: float = 0.0  # 0: at full speed
    read_bytes_per_second: float = 0.0
    remaining_ms: int = 20_000
    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    response_bytes: int = 0
    response_digest: str = ""
    seconds: float = 0.0
    error: str = ""

    def run(self, address: Address) -> None:
        """Send the request and read the response, on a connection of its own."""
        began = time.monotonic()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if self.read_bytes_per_second:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        try:
            with gevent.Timeout(TIMEOUT_SECONDS, OSError("no response in time")):
                sock.connect(address)
                sender = gevent.spawn(self._send, sock)
                self._read(sock)
                sender.kill()
        except (OSError, httptools.HttpParserError) as error:
            self.error = repr(error)
        finally:
            self.seconds = time.monotonic() - began
            sock.close()

    def _send(self, sock: socket.socket) -> None:
        with suppress(OSError):
            sock.sendall(self._head())
            for piece in pieces(self.body_bytes):
                sock.sendall(self._framed(piece))
                if self.bytes_per_second:
                    gevent.sleep(len(piece) / self.bytes_per_second)
            if self.chunk_bytes:
                sock.sendall(b"0\r\n\r\n")

    def _head(self) -> bytes:
        framing = "Transfer-Encoding: chunked" if self.chunk_bytes else f"Content-Length: {self.body_bytes}"
        lines = [
            f"POST {self.path} HTTP/1.1",
            "Host: h.example",
            f"X-Attempt-Id: {next(REQUEST_IDS):016x}",
            f"X-Time-Remaining: {self.remaining_ms}",
            framing,
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    def _framed(self, piece: bytes) -> bytes:
        return _in_chunks(len(piece), self.chunk_bytes) if self.chunk_bytes else piece

    def _read(self, sock: socket.socket) -> None:
        reader = _ResponseReader()
        parser = httptools.HttpResponseParser(reader)
        while not reader.done:
            data = sock.recv(4096 if self.read_bytes_per_second else PIECE_BYTES)
            if not data:
                self.error = "closed early"
                return
            parser.feed_data(data)
            if self.read_bytes_per_second:
                gevent.sleep(len(data) / self.read_bytes_per_second)
        self.status = parser.get_status_code()
        self.headers = reader.headers
        self.response_bytes = reader.size
        self.response_digest = reader.digest.hexdigest()


@functools.cache
def _in_chunks(size: int, chunk_bytes: int) -> bytes:
    """The first `size` bytes of a piece, in chunks."""
    chunks = (PIECE[at : min(size, at + chunk_bytes)] for at in range(0, size, chunk_bytes))
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


class UsualTraffic:
    """A small request at regular intervals, each on a connection of its own, until `stop`."""

    def __init__(self, address: Address) -> None:
        self.requests: list[Upload] = []
        self._address = address
        self._greenlets: list[Any] = []
        self._loop = gevent.spawn(self._run)

    def stop(self) -> None:
        """Send no more, and wait for the responses."""
        self._loop.kill()
        gevent.joinall(self._greenlets)

    def unserved(self) -> list[Upload]:
        """The requests that were not served in the time that their clients wait."""
        return [one for one in self.requests if one.status != 200 or one.seconds > USUAL_TIMEOUT_MS / 1000]

    def _run(self) -> None:
        while True:
            request = Upload(USUAL_PATH, USUAL_BODY_BYTES, remaining_ms=USUAL_TIMEOUT_MS)
            self.requests.append(request)
            self._greenlets.append(gevent.spawn(request.run, self._address))
            gevent.sleep(USUAL_INTERVAL_SECONDS)


class _ResponseReader:
    """Callbacks of a parser; counts the body."""

    def __init__(self) -> None:
        self.headers: dict[bytes, bytes] = {}
        self.size = 0
        self.digest = hashlib.sha1(usedforsecurity=False)
        self.done = False

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.lower()] = value

    def on_body(self, body: bytes) -> None:
        self.size += len(body)
        self.digest.update(body)

    def on_message_complete(self) -> None:
        self.done = True


class LargeBodyWorkers:
    """Workers that share one address: each reads requests of any size, and answers with what it read.

    `response_bytes`: of the body of a 200, with a length or, if `chunked_responses`, in chunks; usual traffic
    gets an empty one.
    `work_seconds`: between request and response. `received`: path, body size and digest of what has run.
    """

    def __init__(self, count: int = 1) -> None:
        self.response_bytes = 0
        self.chunked_responses = False
        self.breaks_off_after_bytes = 0
        self.refusals = 0  # requests still to be refused, once they have been read
        self.work_seconds = 0.0
        self.received: list[tuple[str, int, str]] = []
        self._server = StreamServer((HOST, 0), self._serve, backlog=1024)
        self._server.start()
        self.address: Address = HOST, self._server.server_port or 0
        self.by_id: dict[str, Address] = {f"i-large-{number}": self.address for number in range(count)}

    def close(self) -> None:
        """Accept no more connections."""
        self._server.close()

    def _serve(self, sock: socket.socket, _: Any) -> None:
        with suppress(OSError):
            while self._serve_request(sock):
                pass
        sock.close()

    def _serve_request(self, sock: socket.socket) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(PIECE_BYTES)
            if not more:
                return False
            data += more
        head, _, rest = data.partition(b"\r\n\r\n")
        request_line, *lines = head.decode("latin-1").split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        left = int(headers.get("content-length", "0")) - len(rest)
        digest = hashlib.sha1(rest, usedforsecurity=False)
        while left > 0:
            more = sock.recv(min(PIECE_BYTES, left))
            if not more:
                return False
            digest.update(more)
            left -= len(more)
        attempt_id = headers["x-attempt-id"]
        path = request_line.split()[1]
        is_usual = path == USUAL_PATH
        if self.refusals and not is_usual:
            self.refusals -= 1
            lines = ["HTTP/1.1 503 Full", f"X-Attempt-Id: {attempt_id}", "X-Not-Executed: 1"]
            sock.sendall("\r\n".join([*lines, "Content-Length: 0", "", ""]).encode())
            return True
        self.received.append((path, int(headers.get("content-length", "0")), digest.hexdigest()))
        gevent.sleep(self.work_seconds)
        return self._respond(sock, attempt_id, 0 if is_usual else self.response_bytes)

    def _respond(self, sock: socket.socket, attempt_id: str, size: int) -> bool:
        framing = "Transfer-Encoding: chunked" if self.chunked_responses else f"Content-Length: {size}"
        seal = server_seal(attempt_id, b"")
        lines = ["HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt_id}", f"X-Server-Seal: {seal}", framing]
        sock.sendall("\r\n".join([*lines, "", ""]).encode())
        sent = 0
        for piece in pieces(size):
            framed = b"%x\r\n%b\r\n" % (len(piece), piece) if self.chunked_responses else piece
            sock.sendall(framed)
            sent += len(piece)
            if self.breaks_off_after_bytes and sent >= self.breaks_off_after_bytes:
                return False
        if self.chunked_responses:
            sock.sendall(b"0\r\n\r\n")
        return True
