"""A real gatekeeper on loopback between clients and stand-in workers, and a checker over all that was seen.

The front, desk, gate and links are the program's own; its news are given by hand.
"""

import hashlib
import itertools
import random
import time
import zlib
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

from ashlift.config.object_schema import ClientLimits
from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.request_handler import RequestHandler
from ashlift.proxy.request_reader import ClientRequest, RequestReader
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.server import ProxyServer
from ashlift.rpc.addresses import Address
from ashlift.rpc.sources import OPERATOR_SOURCE
from tests.support.fault_proxy import (
    CLOSE,
    HOST,
    REPEAT,
    RESET,
    RESETTING_LINGER,
    STALL,
    STALL_AND_RESET,
    TO_CLIENT,
    TO_SERVER,
    FaultProxy,
)

LARGE = 12 << 20  # bytes: more than the kernel takes for somebody who does not read
ENOUGH_S = 5.0  # for what is answered, on a busy machine: never waited for
TOO_LONG = AssertionError("it should have come long ago")
BODY = b"a body that must come whole"
# What comes twice in the middle of a request or an answer, nobody can see: HTTP has no check.
WAYS = [
    *((kind, way) for way in (TO_SERVER, TO_CLIENT) for kind in (CLOSE, RESET, STALL, STALL_AND_RESET)),
    (REPEAT, TO_CLIENT),
]
NUMBERS = itertools.count(1)  # of sites: an address may pass to another's worker
PROMISES = (408, 421, 429, 503)
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
[Bounds]
RetrySlack = 100000
"""
# What a worker does with a request. Those that begin with "not" have not run it.
MOODS = (
    "well",
    "not: full",
    "fails",
    "a second answer at once",
    "a second answer later",
    "continue first",
    "closing",
    "no length",
    "short",
    "mute",
    "noise",
    "noise behind",
    "no seal",
    "encoded",
    "a false promise",
    "not: hangs up",
    "ran and resets",
    "not: resets when kept",
    "not: another's id",
)


@dataclass
class Request:
    id: str
    method: str
    path: str
    body: bytes
    repeatable: bool
    chunked: bool = False
    remaining: int = 3000  # ms
    head: bytes = b""  # further lines
    status: int = 0  # 0: no whole answer
    headers: dict[str, str] = field(default_factory=dict)
    answer: bytes = b""

    def wire(self) -> bytes:
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: h.example", f"X-Attempt-Id: {self.id}"]
        lines.append(f"X-Time-Remaining: {self.remaining}")
        body = self.body
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
            parts = [body[at : at + 7] for at in range(0, len(body), 7)]
            body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts) + b"0\r\n\r\n"
        elif self.body:
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join(lines).encode() + b"\r\n" + self.head + b"\r\n" + body


def sealed(id: str, body: bytes) -> str:
    return f"{id}.{zlib.crc32(body):08x}"


def said(id: str, body: bytes) -> bytes:
    """What a worker answers to a request."""
    return f"{id} {hashlib.sha256(body).hexdigest()[:16]}".encode()


class History:
    """What clients asked and got, and what workers ran."""

    def __init__(self) -> None:
        self.requests: dict[str, Request] = {}
        self.runs: Counter[str] = Counter()
        self.strays: list[str] = []  # came to a worker, or to a client, and nobody had sent it so

    def request(self, path: str, repeatable: bool, body: bytes = b"", **more: Any) -> Request:
        id = f"{len(self.requests) + 1:08x}"
        method = "POST" if body else "GET"
        made = self.requests[id] = Request(id, method, path, body, repeatable, **more)
        return made

    def ran(self, asked: ClientRequest) -> None:
        id = asked.header(b"x-attempt-id").decode()
        self.runs[id] += 1
        sent = self.requests.get(id)
        came = asked.method.decode(), asked.target.decode(), asked.body
        if sent is None or (sent.method, sent.path, sent.body) != came:
            self.strays.append(f"a worker ran {came!r:.100} with id {id}")

    def check(self) -> None:
        assert not self.strays, self.strays
        for id, one in self.requests.items():
            told = f"{one.method} {one.path} {id}: {one.status} {one.headers} {one.answer!r:.80}"
            if 200 <= one.status < 300:
                assert one.headers.get("x-attempt-id") == id, f"another's answer: {told}"
                assert one.headers.get("x-server-seal") == sealed(id, one.answer), f"another's seal: {told}"
                assert one.answer == said(id, one.body), f"another's body: {told}"
                assert self.runs[id], f"nobody ran it: {told}"
            if not one.repeatable:
                assert self.runs[id] <= 1, f"ran {self.runs[id]} times: {told}"
                assert not self.runs[id] or one.status not in PROMISES, f"ran, and was refused: {told}"


class Workers:
    """All stand-in workers at one address; each is known by the id that it is asked for by, and does not run
    what is meant for others. `ids`: what those of theirs begin with."""

    def __init__(self, history: History, ids: str) -> None:
        self.history, self.ids = history, ids
        self.moods: dict[str, str] = {}
        self.saw: Callable[[ClientRequest], Any] = lambda asked: None
        self.kept = 0  # requests that came on a connection that had been used before
        self._server = StreamServer((HOST, 0), self._connection, backlog=1024)
        self._server.start()
        self.address: Address = HOST, self._server.server_port or 0

    def close(self) -> None:
        self._server.close()

    def _connection(self, sock: socket.socket, _: Any) -> None:
        reader, served, behind = RequestReader(), 0, b""
        try:
            while True:
                while not reader.complete:
                    data = sock.recv(65536)
                    if not data or reader.error_status:
                        return
                    reader.feed(data)
                self.kept += served > 0
                if behind:
                    sock.sendall(behind)
                behind = self._serve(sock, reader.complete.pop(0), served)
                served += 1
        except OSError:
            pass
        finally:
            sock.close()

    def _serve(self, sock: socket.socket, asked: ClientRequest, served: int) -> bytes:
        """Answer one request; what is to be sent before the next one's answer. OSError: the end."""
        wanted, id = asked.header(b"x-target-instance").decode(), asked.header(b"x-attempt-id").decode()
        mood = self.moods.get(wanted, "well") if wanted.startswith(self.ids) else "not: meant"
        if mood == "not: resets when kept" and not served:
            mood = "well"
        self.saw(asked)
        if not mood.startswith("not"):
            self.history.ran(asked)
        body = said(id, asked.body)
        whole = answer(200, id, body)
        match mood:
            case "not: full":
                sock.sendall(answer(503, id, b"", "X-Not-Executed: 1"))
            case "not: meant":
                sock.sendall(answer(421, id, b""))
            case "not: another's id":
                sock.sendall(answer(503, "0", b"", "X-Not-Executed: 1"))
            case "fails":
                sock.sendall(answer(500, id, b"failed"))
            case "a second answer at once":
                sock.sendall(whole + whole)
            case "a second answer later":
                sock.sendall(whole)
                return whole
            case "continue first":
                sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n" + whole)
            case "closing":
                sock.sendall(answer(200, id, body, "Connection: close"))
                raise OSError
            case "no length":
                sock.sendall(whole.replace(b"Content-Length", b"X-Length"))
                raise OSError
            case "short":
                sock.sendall(whole[:-3])
                raise OSError
            case "mute":
                sock.recv(1)
                raise OSError
            case "large":
                sock.sendall(answer(200, id, body + bytes(LARGE)))
            case "noise":
                sock.sendall(b"\x00\x01 no answer \r\n\r\n")
            case "noise behind":
                sock.sendall(whole + b"HTTP/1.1 20")
            case "no seal":
                sock.sendall(whole.replace(b"X-Server-Seal", b"X-Other"))
            case "encoded":
                sock.sendall(answer(200, id, body, "Content-Encoding: gzip"))
            case "a false promise":
                sock.sendall(answer(503, id, b""))
            case "ran and resets" | "not: resets when kept":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
                raise OSError
            case "not: hangs up":
                raise OSError
            case _:
                sock.sendall(whole)
        return b""


def answer(status: int, id: str, body: bytes, *lines: str) -> bytes:
    head = [f"HTTP/1.1 {status} Said", f"X-Attempt-Id: {id}", *lines, f"Content-Length: {len(body)}"]
    if status == 200:
        head.insert(1, f"X-Server-Seal: {sealed(id, body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Gatekeeper:
    """`routes`: of each name, its workers by id with their addresses; /look/NAME/ may be repeated, and
    /hold/NAME/ may not."""

    def __init__(self, routes: dict[str, dict[str, Address]]) -> None:
        settings = parse_settings(SETTINGS, "trial")
        assert isinstance(settings, Settings), settings
        self.gate = RequestRouter(settings, random.Random(1), time.monotonic())
        # A process that stands still on a full machine must not take its own pause for a worker that is away.
        self.gate.connect_timeout = lambda worker: ENOUGH_S  # type: ignore[method-assign]
        self.desk = RequestHandler(self.gate)
        self.front = ProxyServer(self.desk, ClientLimits)
        self.front.listen((HOST, 0))
        server = self.front._server
        assert server is not None
        self.address: Address = HOST, server.server_port or 0
        self.version = 0
        word: dict[str, Any] = {"Version": "00000001"}
        for name in routes:
            shape = {
                "Host": "h.example",
                "Timeout": "9s",
                "TargetLatency": "40ms",
                "Service": f"s-{name}",
                "MaxAttempts": 2,
                "Anonymous": True,
            }
            for kind, repeats in (("look", "idempotent"), ("hold", "non_idempotent")):
                route = {**shape, "PathPrefix": f"/{kind}/{name}/", "RouteType": repeats}
                word[f"Routes/{kind}-{name}"] = route
            word[f"Services/s-{name}"] = {"HealthCheck": "/health", "MaxConnections": 100}
        self._word = word
        self.know(routes)

    def know(self, routes: dict[str, dict[str, Address]]) -> None:
        """News: these workers, and no others."""
        self.version += 1
        records = {
            f"w/{id}": {
                "service": f"s-{name}",
                "zone": "z1",
                "address": f"{host}:{port}",
                "capacity": 64,
                "seq": self.version,
                "warm": 0.0,
                "state": "ready",
            }
            for name, workers in routes.items()
            for id, (host, port) in workers.items()
        }
        told = {
            OPERATOR_SOURCE: {"version": 1, "full": True, "set": self._word, "gone": []},
            "p#1": {
                "version": self.version,
                "full": True,
                "gone": [],
                "set": {**records, "g/edge-1": {"ready": True}},
            },
        }
        now = time.monotonic()
        body = {"sources": told, "alive": ["p#1"], "age": 0.0, "held": 0.0}
        change = self.gate.cluster.apply(now, now, PullResponse.from_wire(body))
        self.gate.apply_change(now, change)

    def close(self) -> None:
        self.front.close()
        for connection in list(self.front.connections):
            with suppress(OSError):
                connection._sock.shutdown(socket.SHUT_RDWR)
        for links in self.desk.connection_pool._idle.values():
            for link in links:
                link.sock.close()


class Client:
    """One connection to a gatekeeper."""

    def __init__(self, history: History, address: Address) -> None:
        self.history = history
        self._got = b""
        self.sock = socket.create_connection(address)
        self.ended, self.owed = False, 0  # answers that are to come

    def ask(self, *requests: Request, pieces: Iterable[int] = ()) -> None:
        """Send requests, one behind the other, cut at `pieces` into several writes; read their answers."""
        data = b"".join(one.wire() for one in requests)
        cuts = [0, *sorted(at for at in set(pieces) if 0 < at < len(data)), len(data)]
        try:
            for begin, end in zip(cuts, cuts[1:], strict=False):
                self.sock.sendall(data[begin:end])
                if end < len(data):
                    gevent.idle()
        except OSError:
            self.ended = True
        self.owed += len(requests)
        for one in requests:
            self._read(one)

    def _more(self) -> bool:
        if self.ended:
            return False
        try:
            with gevent.Timeout(ENOUGH_S, TOO_LONG):
                data = self.sock.recv(65536)
        except OSError:
            data = b""
        self._got += data
        self.ended = not data
        return bool(data)

    def _read(self, request: Request) -> None:
        """Take an answer, if it comes whole."""
        while b"\r\n\r\n" not in self._got:
            if not self._more():
                return
        head, _, rest = self._got.partition(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        size = int(headers.get("content-length", "0"))
        while len(rest) < size:
            if not self._more():
                return
            rest = self._got.partition(b"\r\n\r\n")[2]
        self._got = rest[size:]
        self.owed -= 1
        request.status, request.headers, request.answer = int(first.split()[1]), headers, rest[:size]
        if headers.get("connection") == "close":
            self.close()

    def leave(self) -> None:
        """Hang up, whoever reads here still."""
        with suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        self.ended = True
        self.sock.close()
        if self._got and not self.owed:
            self.history.strays.append(f"a client got {self._got!r:.100}")


class Site:
    """One gatekeeper, and routes 0 .. `most` - 1, each with `each` workers behind a stand-in of its own."""

    def __init__(self, most: int = 1, each: int = 1) -> None:
        self.history = History()
        ids = f"i{next(NUMBERS)}-"
        self.workers = Workers(self.history, ids)
        self.links = {
            (number, place): FaultProxy(self.workers.address)
            for number in range(most)
            for place in range(each)
        }
        self.routes: dict[str, dict[str, Address]] = {str(number): {} for number in range(most)}
        for (number, place), link in self.links.items():
            self.routes[str(number)][f"{ids}{number}-{place}"] = link.address
        self.gatekeeper = Gatekeeper(self.routes)

    def ask(self, number: int = 0, repeatable: bool = False, body: bytes = BODY, **more: Any) -> Request:
        """A request on a connection of its own."""
        client = Client(self.history, self.gatekeeper.address)
        path = f"/{'look' if repeatable else 'hold'}/{number}/x"
        one = self.history.request(path, repeatable, body, **more)
        client.ask(one)
        client.close()
        return one

    def close(self) -> None:
        self.history.check()
        self.gatekeeper.close()
        for link in self.links.values():
            link.close()
        self.workers.close()
