"""Evacuations are executed only if the request was certainly sent recently."""

from typing import Any
from unittest.mock import patch

from ward import each, test

from ashlift.config.settings import Settings
from ashlift.registry.api.connection import ApiConnection
from ashlift.registry.api.evacuation import EvacuationResource
from ashlift.registry.api.server import HttpServer
from ashlift.registry.messages import CommandResult
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool

SETTINGS = Settings(node_name="n", ip="own", internal_ports=(1, 2), seeds=(), zones={"za": "ra"})
POST = b"POST /evacuation/za HTTP/1.1\r\nHost: 10.0.0.4:8200\r\n\r\n"


class Clock:
    """A monotonic clock set by the test."""

    def __init__(self, now: float) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now


class FakeSocket:
    """A connection on which bytes arrive at given times; `sent`: the responses."""

    def __init__(self, clock: Clock, *arrivals: tuple[float, bytes]) -> None:
        self.clock = clock
        self.arrivals = list(arrivals)
        self.sent: list[bytes] = []

    def settimeout(self, _: float) -> None: ...

    def recv(self, _: int) -> bytes:
        if not self.arrivals:
            return b""
        self.clock.now, data = self.arrivals.pop(0)
        return data

    def sendall(self, data: bytes) -> None:
        self.sent.append(data)


class AcceptingStore(StoreClient):
    """Executes every command; `written_after`: `not_written_before` of each."""

    def __init__(self) -> None:
        super().__init__("own", 7600, list, ClientPool())
        self.written_after: list[float | None] = []

    def submit(self, *_: Any, not_written_before: float | None = None, **__: Any) -> Any:
        self.written_after.append(not_written_before)
        return CommandResult(200, {"index": 2})


def arrivals_of(scenario: str) -> list[tuple[float, bytes]]:
    """Arrival times and data; the connection is accepted at 10.0, or at 30.0 after a process pause."""
    match scenario:
        case "fresh":
            return [(10.1, POST)]
        case "delayed":
            return [(30.0, POST)]
        case "after a response":
            return [(10.1, POST), (29.0, POST), (29.1, POST), (29.2, POST + POST)]
        case _:
            return [(30.01, POST)]


@test("an evacuation is executed only if its request is certainly recent, else redirected: {scenario}")
def _(scenario: str = each("fresh", "delayed", "after a response", "the process was paused")) -> None:
    clock = Clock(10.0)
    store = AcceptingStore()
    with (
        patch("ashlift.registry.api.server.time", clock),
        patch("ashlift.registry.api.connection.time", clock),
        patch("ashlift.registry.api.evacuation.time", clock),
    ):
        server = HttpServer(("127.0.0.1", 0), {"evacuation": EvacuationResource(store, lambda: SETTINGS)})
        sock = FakeSocket(clock, *arrivals_of(scenario))
        if scenario == "the process was paused":
            clock.now = 30.0  # it is accepted now, and may have been opened at any time before
        ApiConnection(sock, server)._serve()  # type: ignore[arg-type]
    statuses = [int(response.split(b"\r\n")[0].split()[1]) for response in sock.sent]
    expected_statuses = {"fresh": [200], "after a response": [200, 307, 200, 200, 200]}
    assert statuses == expected_statuses.get(scenario, [307])
    expected_times = {"fresh": [10.0], "after a response": [10.0, 29.0, 29.1, 29.1]}
    assert store.written_after == expected_times.get(scenario, [])
    if 307 in statuses:
        response = sock.sent[statuses.index(307)]
        assert b"\r\nLocation: http://10.0.0.4:8200/evacuation/za\r\n" in response
