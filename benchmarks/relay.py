"""CPU a served request, the proxy against a bare relay: `python -m benchmarks.relay --help`.

Both pass small requests (a GET with the users' headers, an answer of 600 bytes) from eight kept connections
of clients to one worker over kept connections, on loopback, with the same httptools and gevent sockets. The
relay reads and writes whole messages and decides nothing. proxy is its real front, desk, gate and links:
route, tenant with a quota, limiter, budget, choice of a worker, answer checked. Its news come from its own
process four times a second, in place of pulls. CPU is user and system time of the process between, over the
requests served. Prints a table; takes some ten seconds; not part of CI.
"""

import argparse
import gc
import random
import statistics
import subprocess
import sys
import time
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import ProxyServer
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.bodies import Process

CONNECTIONS = 8
HOST = ("127.0.0.1", 0)
REQUEST = (
    b"GET /look/2f HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: %016x\r\nX-Time-Remaining: 3000\r\n"
    b"Authorization: Bearer k1\r\nAccept: */*\r\n\r\n"
)
SETTINGS = """
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
InternalPortRange = [7600, 7615]
SeedNodes = ["127.0.0.1:8200"]
Heartbeat = "1500ms"
[Zones]
z1 = "r1"
"""
WORD: dict[str, Any] = {
    "Version": "00000001",
    "Routes/look": {
        "Host": "h.example",
        "PathPrefix": "/look/",
        "RouteType": "idempotent",
        "Timeout": "3000ms",
        "TargetLatency": "800ms",
        "Service": "board",
        "MaxAttempts": 2,
    },
    "Services/board": {"HealthCheck": "/health", "MaxConnections": 100, "Warmup": "3s", "WarmupRateS": 4},
    "Tenants/t1": {"ApiKeys": ["k1"], "RatePerS": 100_000, "BurstSize": 100_000},
}


class Message:
    """One whole request or answer, its bytes as they came."""

    def __init__(self, answers: bool) -> None:
        self.done, self.attempt, self.raw = False, b"", bytearray()
        self._parser: Any = (httptools.HttpResponseParser if answers else httptools.HttpRequestParser)(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-attempt-id":
            self.attempt = value

    def on_message_complete(self) -> None:
        self.done = True

    def read(self, sock: Any) -> bool:
        """Whether one came whole before the end."""
        while not self.done:
            data = sock.recv(65536)
            if not data:
                return False
            self.raw += data
            self._parser.feed_data(data)
        return True


def _listening(serve: Any) -> StreamServer:
    server = StreamServer(HOST, serve, backlog=256)
    server.start()
    print(f"127.0.0.1:{server.server_port}", flush=True)
    return server


def _nodelay(sock: Any) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def worker() -> None:
    body = b"x" * 600

    def serve(sock: Any, _: Any) -> None:
        _nodelay(sock)
        while (asked := Message(False)).read(sock):
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Server-Seal: s\r\n"
                b"Content-Length: %d\r\n\r\n%b" % (asked.attempt, len(body), body)
            )

    _listening(serve).serve_forever()


def relay(address: str) -> None:
    host, _, port = address.rpartition(":")
    idle: list[Any] = []

    def serve(sock: Any, _: Any) -> None:
        _nodelay(sock)
        while (asked := Message(False)).read(sock):
            far = idle.pop() if idle else socket.create_connection((host, int(port)))
            _nodelay(far)
            far.sendall(asked.raw)
            answer = Message(True)
            if not answer.read(far):
                raise ConnectionError("the worker has gone")
            idle.append(far)
            sock.sendall(answer.raw)

    _listening(serve).serve_forever()


def proxy(address: str) -> None:
    settings = parse_settings(SETTINGS, "bench")
    assert isinstance(settings, Settings), settings
    gate = RequestRouter(settings, random.Random(1), time.monotonic())
    front = ProxyServer(RequestHandler(gate), ClientLimits)
    record = {
        "service": "board",
        "zone": "z1",
        "address": address,
        "capacity": 64,
        "seq": 1,
        "warm": 0.0,
        "state": "ready",
    }
    records = {"w/w1": record, "g/edge-1": {"ready": True}}

    def news() -> None:
        version, sums = 0, [0, 0]
        while True:
            now, version = time.monotonic(), version + 1
            counts = gate.rate_limiter.take_new_counts()
            total, declined = counts.get("t1", (0, 0))
            sums = [sums[0] + total, sums[1] + declined]
            first = version == 1
            told = {
                OPERATOR_SOURCE: {"version": 1, "full": first, "set": WORD if first else {}, "gone": []},
                "p#1": {
                    "version": version,
                    "full": first,
                    "gone": [],
                    "set": {**(records if first else {}), "c/t1": sums},
                },
            }
            answer = {"sources": told, "alive": ["p#1"], "age": 0.1, "held": 0.0}
            gate.rate_limiter.confirm_counts(counts)
            gate.apply_change(now, gate.cluster.apply(now, now, PullResponse.from_wire(answer)))
            gate.rate_limiter.record_usage_totals(
                now,
                gate.cluster.usage_totals(),
                gate.cluster.source_coverage(),
                gate.cluster.registries_started_at(),
            )
            gevent.sleep(0.25)

    gevent.spawn(news)
    gevent.sleep(0)
    front.listen(HOST)
    server = front._server
    assert server is not None
    gc.freeze()
    print(f"127.0.0.1:{server.server_port}", flush=True)
    gevent.sleep(3600)


def client(address: str, requests: int) -> None:
    """Ask over some connections, each waiting for its answers; print how many were served, and s taken."""
    host, _, port = address.rpartition(":")
    served = [0]
    numbers = iter(range(1, requests + 1))

    def ask() -> None:
        sock = socket.create_connection((host, int(port)))
        _nodelay(sock)
        for number in numbers:
            sock.sendall(REQUEST % number)
            answer = Message(True)
            if not answer.read(sock):
                return
            served[0] += answer.raw.startswith(b"HTTP/1.1 200") and answer.attempt == b"%016x" % number

    began = time.monotonic()
    gevent.joinall([gevent.spawn(ask) for _ in range(CONNECTIONS)], raise_error=True)
    print(served[0], time.monotonic() - began, flush=True)


def measured(process: Process, address: str, requests: int) -> tuple[float, float]:
    """us of CPU a served request, requests a second."""
    before = process.cpu()
    command = [sys.executable, "-m", "benchmarks.relay", "client", address, str(requests)]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, check=True)
    served, took = done.stdout.split()
    if int(served) != requests:
        raise SystemExit(f"{served} of {requests} served")
    return 1e6 * (process.cpu() - before) / requests, requests / float(took)


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.relay", description=__doc__)
    parser.add_argument("--requests", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=5)
    told = parser.parse_args()
    far = Process("benchmarks.relay", "worker")
    started = [far]
    try:
        node = far.address()
        between = {}
        for name in ("relay", "proxy"):
            process = Process("benchmarks.relay", name, node)
            started.append(process)
            between[name] = process, process.address()
            measured(*between[name], 500)  # connections and caches
        found: dict[str, list[tuple[float, float]]] = {name: [] for name in between}
        for _ in range(told.rounds):
            for name, one in between.items():
                found[name].append(measured(*one, told.requests))
    finally:
        for process in started:
            process.end()
    for name, rows in found.items():
        cpu, rate = ([row[at] for row in rows] for at in (0, 1))
        print(
            f"{name:6} {min(cpu):6.0f} {statistics.median(cpu):6.0f} {max(cpu):6.0f} us a request, "
            f"{statistics.median(rate):6.0f} requests/s"
        )
    ratios = [ours[0] / bare[0] for ours, bare in zip(found["proxy"], found["relay"], strict=True)]
    print(f"proxy over relay, by round: {min(ratios):.2f} {statistics.median(ratios):.2f} {max(ratios):.2f}")
    return 0


if __name__ == "__main__":
    match sys.argv[1:]:
        case ["worker"]:
            worker()
        case ["relay", address]:
            relay(address)
        case ["proxy", address]:
            proxy(address)
        case ["client", address, number]:
            client(address, int(number))
        case _:
            sys.exit(main())
