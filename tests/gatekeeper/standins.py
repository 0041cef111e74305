"""Fakes of the clock, of an execute node and of both kinds of counter."""

import threading
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import gevent
import grpc
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from gevent.event import Event
from gevent.server import StreamServer

from ashlift.gatekeeper.ratelimit.messages import is_negative


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.time = 1_900_000_000_000.0
        self._due: list[_ManualTimer] = []

    def now(self) -> float:
        return self.time

    def call_later(self, delay_ms: float, call: Callable[..., Any], *args: Any) -> "_ManualTimer":
        timer = _ManualTimer(self.time + delay_ms, lambda: call(*args))
        self._due.append(timer)
        return timer

    def advance(self, ms: float) -> None:
        self.time += ms
        due = sorted((timer for timer in self._due if timer.at <= self.time), key=lambda timer: timer.at)
        self._due = [timer for timer in self._due if timer.at > self.time]
        for timer in due:
            if not timer.closed:
                timer.ring()


class _ManualTimer:
    def __init__(self, at: float, ring: Callable[[], Any]) -> None:
        self.at, self.ring, self.closed = at, ring, False

    def close(self) -> None:
        self.closed = True


class Node:
    """An execute node that serves every request once `go` is set, and records the trace ids in order."""

    def __init__(self) -> None:
        self.traces: list[str] = []
        self.go = Event()
        self.go.set()
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = "{}:{}".format(*self.server.address)

    def _serve(self, sock: Any, _: Any) -> None:
        data = b""
        while more := sock.recv(65536):
            data += more
            while b"\r\n\r\n" in data:
                head, data = data.split(b"\r\n\r\n", 1)
                self.traces.append(head.split(b"X-Trace-Id: ")[1].split(b"\r\n")[0].decode())
                self.go.wait()
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")


class TextCounts:
    """A fake of the platform's text counter."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.server = StreamServer(("127.0.0.1", 0), self._serve)
        self.server.start()
        self.address = "{}:{}".format(*self.server.address)

    def _serve(self, sock: Any, _: Any) -> None:
        with sock.makefile("rwb") as lines:
            for line in lines:
                _, name, amount, _ = line.decode().split()
                self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                lines.write(f"ok {self.totals[name]:.0f}\r\n".encode())
                lines.flush()

    def stop(self) -> None:
        self.server.stop()


class GrpcCounts(rls_pb2_grpc.RateLimitServiceServicer):  # type: ignore[misc]
    """A fake rate limit service, which can be set to be slow, over its limit or failing."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.over = self.limitless = False
        self.error: grpc.StatusCode | None = None
        self.go = threading.Event()
        self.go.set()
        self._lock = threading.Lock()
        self._server = grpc.server(ThreadPoolExecutor(8))
        rls_pb2_grpc.add_RateLimitServiceServicer_to_server(self, self._server)
        self.address = f"127.0.0.1:{self._server.add_insecure_port('127.0.0.1:0')}"
        self._server.start()

    def ShouldRateLimit(self, request: Any, context: Any) -> Any:  # noqa: N802
        self.go.wait(30)
        if self.error is not None:
            context.abort(self.error, "as told")
        (one,) = request.descriptors
        name = one.entries[0].value
        with self._lock:
            amount = one.hits_addend.value * (-1 if is_negative(one) else 1)
            total = self.totals[name] = self.totals.get(name, 0.0) + amount
        code = rls_pb2.RateLimitResponse.OVER_LIMIT if self.over else rls_pb2.RateLimitResponse.OK
        response = rls_pb2.RateLimitResponse(overall_code=code)
        status = response.statuses.add(code=code)
        if not self.limitless:
            status.current_limit.requests_per_unit = one.limit.requests_per_unit
            status.limit_remaining = 0 if self.over else one.limit.requests_per_unit - int(total)
        return response

    def stop(self) -> None:
        self.go.set()
        self._server.stop(0)


def in_thread(call: Callable[..., Any], *args: Any, **kwargs: Any) -> Any:
    """Make a blocking call of a gRPC client without blocking the event loop."""
    with gevent.Timeout(20):
        return gevent.get_hub().threadpool.apply(call, args, kwargs)
