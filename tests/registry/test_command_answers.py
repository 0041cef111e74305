"""Orders from operators' sockets to stores and back, troubles in between: each answer is its own order's."""

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

STEP = 11  # bytes between two tries of a trouble: tests/rpc/test_client.py tries each
MOST = 150  # and some more than a call and its answer have


class Stores:
    """Two stores behind stand-ins; the first leads not, so that orders go on to the second."""

    def __init__(self) -> None:
        self.ran: Counter[str] = Counter()
        self._servers = [serve((HOST, 0), {"submit": one}) for one in (self._unready, self._submit)]
        self.ways = [FaultProxy((HOST, one.server_port or 0)) for one in self._servers]
        self._turn = itertools.count()

    def _unready(self, body: Any) -> Any:
        return Failure(FailureReason.UNAVAILABLE, "leads not")

    def _submit(self, body: Any) -> Any:
        word = body["body"]["word"]
        self.ran[word] += 1
        for _ in range(next(self._turn) % 3):  # answers do not keep the order of their calls
            gevent.idle()
        return {"status": 412, "reason": f"it was {word}"}

    def close(self) -> None:
        for way, server in zip(self.ways, self._servers, strict=True):
            way.close()
            server.close()


class Way(ClientPool):
    """To each store by the address of its stand-in."""

    def __init__(self, stores: Stores) -> None:
        super().__init__()
        self._at = {f"store-{number}": way.address for number, way in enumerate(stores.ways)}

    def client(self, address: tuple[str, int]) -> Any:
        return super().client(self._at[address[0]])


def asked(address: tuple[str, int], words: list[str]) -> list[tuple[int, str]]:
    """Orders, one behind the other on a connection: status and reason of each answer, as many as come."""
    sock = socket.create_connection(address)
    bodies = [json.dumps({"word": word}).encode() for word in words]
    head = b"PUT /config HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b"
    sock.sendall(b"".join(head % (len(one), one) for one in bodies))
    found, data = list[tuple[int, str]](), b""
    with gevent.Timeout(ENOUGH_SECONDS, TIMED_OUT):
        while len(found) < len(words) and (got := sock.recv(65536)):
            data += got
            while b"\r\n\r\n" in data:
                head, _, rest = data.partition(b"\r\n\r\n")
                size = int(head.partition(b"Content-Length: ")[2].split(b"\r\n")[0])
                if len(rest) < size:
                    break
                found.append((int(head.split()[1]), json.loads(rest[:size])["error"]))
                data = rest[size:]
    sock.close()
    return found


def played(kind: str, way: str, which: int, at: int) -> None:
    """A trouble on the way to one store while three operators give two orders each."""
    stores = Stores()
    store = StoreClient("store-0", 7600, lambda: ["store-0", "store-1"], Way(stores))
    door = HttpServer((HOST, 0), {"config": ConfigResource(store)})
    door.start()
    address = HOST, door._server.server_port or 0
    stores.ways[which].inject(way, at, kind)
    words = [[f"w{operator}{number}" for number in range(2)] for operator in range(3)]
    runs = [gevent.spawn(asked, address, one) for one in words]
    gevent.joinall(runs, raise_error=True)
    for mine, run in zip(words, runs, strict=True):
        answers = run.get()
        assert len(answers) == len(mine)
        for word, (status, reason) in zip(mine, answers, strict=True):
            assert stores.ran[word] <= 1, f"{word} was given to stores {stores.ran[word]} times"
            assert status in (412, 503), reason
            assert status == 503 or (reason == f"it was {word}" and stores.ran[word]), f"{word}: {reason}"
    door.shut_down()
    stores.close()


@test("orders: the way to a store is {kind}, {way}")
def _(
    kind: str = each(*FAULT_KINDS, *FAULT_KINDS), way: str = each(*[TO_SERVER] * 5, *[TO_CLIENT] * 5)
) -> None:
    pool = [gevent.spawn(played, kind, way, which, at) for which in (0, 1) for at in range(0, MOST, STEP)]
    gevent.joinall(pool, raise_error=True)
