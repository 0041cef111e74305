"""Commands with faults between registry and stores: each response belongs to its command."""

import itertools
import json
from collections import Counter
from typing import Any

import gevent
from gevent import socket
from ward import each, test

from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.config import ConfigResource
from ashlift.registry.api.server import HttpServer
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool
from ashlift.rpc.server import serve
from tests.support.fault_proxy import FAULT_KINDS, HOST, TO_CLIENT, TO_SERVER, FaultProxy
from tests.support.stub_client import ENOUGH_SECONDS, TIMED_OUT

FAULT_STEP_BYTES = 11  # between fault positions; tests/rpc/test_client.py tries every one
MAX_FAULT_POSITION = 150  # beyond the end of a request and its response
OPERATORS = 3
COMMANDS_PER_OPERATOR = 2
RECEIVE_BYTES = 65536


class Stores:
    """Two stores behind fault proxies; the first does not lead, so that commands go on to the second."""

    def __init__(self) -> None:
        self.executed: Counter[str] = Counter()
        handlers = (self._reject, self._submit)
        self._servers = [serve((HOST, 0), {"submit": handler}) for handler in handlers]
        self.fault_proxies = [FaultProxy((HOST, server.server_port or 0)) for server in self._servers]
        self._turn = itertools.count()

    def _reject(self, body: Any) -> Any:
        return Failure(FailureReason.UNAVAILABLE, "leads not")

    def _submit(self, body: Any) -> Any:
        name = body["body"]["name"]
        self.executed[name] += 1
        for _ in range(next(self._turn) % 3):  # responses are not in the order of their requests
            gevent.idle()
        return {"status": 412, "reason": f"it was {name}"}

    def close(self) -> None:
        for fault_proxy, server in zip(self.fault_proxies, self._servers, strict=True):
            fault_proxy.close()
            server.close()


class ClientsThroughFaults(ClientPool):
    """Connects to each store through its fault proxy."""

    def __init__(self, stores: Stores) -> None:
        super().__init__()
        addresses = (fault_proxy.address for fault_proxy in stores.fault_proxies)
        self._addresses = {f"store-{number}": address for number, address in enumerate(addresses)}

    def client(self, address: tuple[str, int]) -> Any:
        return super().client(self._addresses[address[0]])


def send_commands(address: tuple[str, int], names: list[str]) -> list[tuple[int, str]]:
    """Send pipelined commands; returns status and error of each response received."""
    sock = socket.create_connection(address)
    bodies = [json.dumps({"name": name}).encode() for name in names]
    head = b"PUT /config HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b"
    sock.sendall(b"".join(head % (len(body), body) for body in bodies))
    responses: list[tuple[int, str]] = []
    received = b""
    with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
        while len(responses) < len(names) and (data := sock.recv(RECEIVE_BYTES)):
            received += data
            while (complete := split_response(received)) is not None:
                response, received = complete
                responses.append(response)
    sock.close()
    return responses


def split_response(received: bytes) -> tuple[tuple[int, str], bytes] | None:
    """Status and error of the first response, and the remaining bytes; None if it is incomplete."""
    head, end, rest = received.partition(b"\r\n\r\n")
    if not end:
        return None
    size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
    if len(rest) < size:
        return None
    return (int(head.split()[1]), json.loads(rest[:size])["error"]), rest[size:]


def run_fault(kind: str, direction: str, store_number: int, position: int) -> None:
    """A fault between the registry and one store while three operators send two commands each."""
    stores = Stores()
    clients = ClientsThroughFaults(stores)
    store = StoreClient("store-0", 7600, lambda: ["store-0", "store-1"], clients)
    server = HttpServer((HOST, 0), {"config": ConfigResource(store)})
    server.start()
    address = HOST, server._server.server_port or 0
    stores.fault_proxies[store_number].inject(direction, position, kind)
    names = [
        [f"w{operator}{number}" for number in range(COMMANDS_PER_OPERATOR)] for operator in range(OPERATORS)
    ]
    runs = [gevent.spawn(send_commands, address, own_names) for own_names in names]
    gevent.joinall(runs, raise_error=True)
    for own_names, run in zip(names, runs, strict=True):
        responses = run.get()
        assert len(responses) == len(own_names)
        for name, (status, error) in zip(own_names, responses, strict=True):
            executed = stores.executed[name]
            assert executed <= 1, f"{name} was executed {executed} times"
            assert status in (412, 503), error
            assert status == 503 or (error == f"it was {name}" and executed), f"{name}: {error}"
    server.shut_down()
    stores.close()


@test("commands: the connection to a store is {kind}, {direction}")
def _(
    kind: str = each(*FAULT_KINDS, *FAULT_KINDS),
    direction: str = each(*[TO_SERVER] * 5, *[TO_CLIENT] * 5),
) -> None:
    pool = [
        gevent.spawn(run_fault, kind, direction, store_number, position)
        for store_number in (0, 1)
        for position in range(0, MAX_FAULT_POSITION, FAULT_STEP_BYTES)
    ]
    gevent.joinall(pool, raise_error=True)
