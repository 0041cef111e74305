"""Repeated `GET /config`: each response is the complete newest configuration, or a 503."""

import json
from typing import Any

import gevent
from gevent import socket
from ward import test

from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.config import ConfigResource
from ashlift.registry.api.server import HttpServer
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool
from ashlift.rpc.server import serve

HOST = "127.0.0.1"
READS = 300
FAILING_READS = range(100, 104)
ENOUGH_SECONDS = 20.0
ROUTES = 50


class ChangingStore:
    """A leading store whose configuration changes with each read."""

    def __init__(self) -> None:
        self.version = 0
        self.server = serve((HOST, 0), {"read": self._read})

    def _read(self, _body: Any) -> Any:
        self.version += 1
        if self.version in FAILING_READS:
            return Failure(FailureReason.UNAVAILABLE, "leads not")
        text = f"{self.version:08x}"
        route = {"Host": "h.example", "PathPrefix": f"/{text}/", "Service": "s"}
        objects = {f"Routes/r{number}": route for number in range(ROUTES)}
        return {"version": text, "objects": {"Version": text, **objects}}


class OneStore(ClientPool):
    """Connects every client to this store."""

    def __init__(self, store: ChangingStore) -> None:
        super().__init__()
        self._address = (HOST, store.server.server_port or 0)

    def client(self, address: tuple[str, int]) -> Any:
        return super().client(self._address)


def read_response(sock: socket.socket) -> tuple[int, bytes]:
    received = b""
    while b"\r\n\r\n" not in received:
        received += sock.recv(65536)
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    while len(body) < length:
        body += sock.recv(65536)
    assert len(body) == length
    return int(head.split()[1]), body


@test("repeated GET /config returns the complete, newest configuration, never a cached one")
def _() -> None:
    store = ChangingStore()
    client = StoreClient("a", 1, lambda: ["a"], OneStore(store))
    server = HttpServer((HOST, 0), {"config": ConfigResource(client)})
    server.start()
    sock = socket.create_connection((HOST, server._server.server_port or 0))
    refused = 0
    with gevent.Timeout(ENOUGH_SECONDS):
        for _ in range(READS):
            before = store.version
            sock.sendall(b"GET /config HTTP/1.1\r\nHost: r\r\n\r\n")
            status, body = read_response(sock)
            if status == 503:
                refused += 1
                continue
            configuration = json.loads(body)
            assert status == 200
            assert int(configuration["ConfigVersion"], 16) > before
            paths = {item["Specification"]["PathPrefix"] for item in configuration["Objects"]}
            assert paths == {f"/{configuration['ConfigVersion']}/"}  # all entries are of that version
            assert len(configuration["Objects"]) == ROUTES
    assert 0 < refused < READS / 2
    server.shut_down()
    store.server.close()
