"""Stand-ins for the measurements, each a process of its own: an execute node, a bare relay, bulk clients.

    python -m benchmarks.peers node | relay TARGET | down ADDRESS BYTES RATE WINDOW | up ADDRESS BYTES RATE

Servers print their address and run until they are killed; clients print one line of JSON.
"""

import itertools
import json
import os
import socket as plain
import sys
import time
from urllib.parse import parse_qs, urlsplit

import gevent
from gevent import socket
from gevent.server import StreamServer

SLICE = 256 << 10
LOAD = memoryview(bytes(range(256)) * (SLICE // 256))
numbers = itertools.count()


def step(rate: float, left: int) -> int:
    """Bytes to move at once at that rate (0: as many as there are): twenty steps a second."""
    return min(left, SLICE if rate <= 0 else min(SLICE, max(512, int(rate / 20))))


def head(method: str, path: str, extra: str = "") -> bytes:
    """A request of the platform's form."""
    kind = path.split("?")[0].split("/")[1]
    return (
        f"{method} {path} HTTP/1.1\r\nHost: bench\r\nX-Trace-Id: t{os.getpid()}-{next(numbers)}\r\n"
        f"X-Qos: {kind}\r\nApi-Plan: basic\r\nApi-Customer: 07\r\nX-Expires-In: 30\r\n{extra}\r\n"
    ).encode()


def read_head(sock: plain.socket) -> tuple[int, dict[str, str], bytes]:
    """Status, headers and what came behind them."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            raise ConnectionError(f"ended within a head: {data[:80]!r}")
        data += more
    text, _, rest = data.partition(b"\r\n\r\n")
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines)
    return int(first.split(" ")[1]), headers, rest


# ---- the node


def _query(path: str) -> dict[str, str]:
    return {key: values[0] for key, values in parse_qs(urlsplit(path).query).items()}


def _send(sock: socket.socket, size: int, rate: float) -> None:
    began, sent = time.monotonic(), 0
    while sent < size:
        now = step(rate, size - sent)
        sock.sendall(LOAD[:now])
        sent += now
        if rate > 0:
            gevent.sleep(max(0.0, began + sent / rate - time.monotonic()))


def _serve(sock: socket.socket, _: object) -> None:
    """`bytes` long answers at `rate`; `stall=head`, or a number of bytes after which nothing more comes."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    buffer = memoryview(bytearray(SLICE))
    try:
        while True:
            data = b""
            while b"\r\n\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    return
                data += more
            text, _, rest = data.partition(b"\r\n\r\n")
            first, *lines = text.decode("latin-1").split("\r\n")
            headers = dict(line.lower().split(": ", 1) for line in lines)
            asked = _query(first.split(" ")[1])
            left = int(headers.get("content-length", 0)) - len(rest)
            rate, began, got = float(asked.get("take", 0)), time.monotonic(), 0
            while left > 0:
                size = sock.recv_into(buffer, step(rate, left))
                if size == 0:
                    return
                left, got = left - size, got + size
                if rate > 0:
                    gevent.sleep(max(0.0, began + got / rate - time.monotonic()))
            gevent.sleep(float(asked.get("delay", 0)))
            if asked.get("stall") == "head":
                gevent.sleep(3600)
            size, stall = int(asked.get("bytes", 5)), int(asked.get("stall", -1))
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nContent-Length: %d\r\n\r\n" % size)
            _send(sock, size if stall < 0 else stall, float(asked.get("rate", 0)))
            if stall >= 0:
                gevent.sleep(3600)
    except OSError:
        pass


def node() -> None:
    """Serve for ever."""
    server = StreamServer(("127.0.0.1", 0), _serve, backlog=1024)
    server.start()
    print("{}:{}".format(*server.address), flush=True)
    server.serve_forever()


# ---- the baseline: what gevent itself moves


def _pump(source: socket.socket, sink: socket.socket) -> None:
    buffer = memoryview(bytearray(SLICE))
    try:
        while size := source.recv_into(buffer):
            sink.sendall(buffer[:size])
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        pass


def relay(target: str) -> None:
    """Pass bytes both ways between each client and the target, for ever."""
    host, _, port = target.rpartition(":")

    def serve(sock: socket.socket, _: object) -> None:
        with socket.create_connection((host, int(port))) as other:
            for one in (sock, other):
                one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.joinall([gevent.spawn(_pump, sock, other), gevent.spawn(_pump, other, sock)])

    server = StreamServer(("127.0.0.1", 0), serve, backlog=1024)
    server.start()
    print("{}:{}".format(*server.address), flush=True)
    server.serve_forever()


# ---- clients, without gevent: they are not what is measured


def connect(address: str, window: int = 0) -> plain.socket:
    """A connection; `window` bounds what the kernel takes in unread, as a modem's path would."""
    host, _, port = address.rpartition(":")
    sock = plain.socket()
    sock.settimeout(30)  # guards against a measurement that never ends
    if window:
        sock.setsockopt(plain.SOL_SOCKET, plain.SO_RCVBUF, window)
        sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_MAXSEG, 536)  # loopback's 64 KiB would hide progress
    sock.connect((host, int(port)))
    sock.setsockopt(plain.IPPROTO_TCP, plain.TCP_NODELAY, 1)
    return sock


def down(address: str, size: int, rate: float, window: int, more: str = "") -> dict[str, float]:
    """Ask for a long answer and read it at `rate` (0: as fast as it comes)."""
    began = time.monotonic()
    buffer = memoryview(bytearray(SLICE))
    with connect(address, window) as sock:
        sock.sendall(head("GET", f"/availability-report/x?bytes={size}{more}"))
        status, _, rest = read_head(sock)
        got = len(rest)
        while got < size:
            now = sock.recv_into(buffer, step(rate, SLICE))
            if now == 0:
                break
            got += now
            if rate > 0:
                time.sleep(max(0.0, began + got / rate - time.monotonic()))
    return {"status": status, "got": got, "s": time.monotonic() - began}


def up(address: str, size: int, rate: float, more: str = "") -> dict[str, float]:
    """Send a long request at `rate` and read its answer."""
    began, sent = time.monotonic(), 0
    with connect(address) as sock:
        sock.sendall(head("POST", f"/availability-report/x?{more}", f"Content-Length: {size}\r\n"))
        while sent < size:
            now = step(rate, size - sent)
            sock.sendall(LOAD[:now])
            sent += now
            if rate > 0:
                time.sleep(max(0.0, began + sent / rate - time.monotonic()))
        status, _, _ = read_head(sock)
    return {"status": status, "got": sent, "s": time.monotonic() - began}


if __name__ == "__main__":
    kind, *rest = sys.argv[1:]
    if kind == "node":
        node()
    elif kind == "relay":
        relay(rest[0])
    elif kind == "down":
        print(json.dumps(down(rest[0], int(rest[1]), float(rest[2]), int(rest[3]), *rest[4:])))
    elif kind == "up":
        print(json.dumps(up(rest[0], int(rest[1]), float(rest[2]), *rest[3:])))
