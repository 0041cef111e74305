"""Stand-ins for the services that gatekeepers call: the counter, the machine list and execute nodes.

Each implements the protocol of its service as the gatekeeper's adapters expect it, in the lab process. All
listen on 127.0.0.1 at an ephemeral port (`address`).
"""

import contextlib
import json
from typing import Any, Final

import gevent
from gevent.server import StreamServer

Address = tuple[str, int]
RECEIVE_BYTES: Final = 65536
KEEP_ALIVE_SECONDS: Final = 2.0
ANY_LOOPBACK_PORT: Final[Address] = ("127.0.0.1", 0)
HEAD_END: Final = b"\r\n\r\n"


class StandIn:
    """A server with a greenlet for each connection; subclasses implement `_serve`."""

    def __init__(self) -> None:
        self._server = StreamServer(ANY_LOOPBACK_PORT, self._serve)
        self._server.start()
        self.address: Address = self._server.address  # type: ignore[assignment]

    def _serve(self, sock: Any, _address: Any) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        """Stop listening and close all connections immediately."""
        self._server.stop(0)


class CounterServer(StandIn):
    """The platform's text counter: each line `bump NAME AMOUNT EXPIRE_MS` is answered `ok TOTAL`."""

    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.call_count = 0
        super().__init__()

    def _serve(self, sock: Any, _address: Any) -> None:
        with contextlib.suppress(OSError, ValueError), sock.makefile("rwb") as lines:
            for line in lines:
                _, name, amount, *_ = line.decode().split()
                self.call_count += 1
                total = self.totals.get(name, 0.0) + float(amount)
                self.totals[name] = total
                lines.write(f"ok {total:.0f}\r\n".encode())
                lines.flush()


class MachineListServer(StandIn):
    """The machine list: `GET /discovery/hosts?stream=1&index=N` gets a chunked stream of JSON lines.

    The first line is the whole list; an empty line every KEEP_ALIVE_SECONDS keeps the stream alive.
    """

    def __init__(self, nodes: dict[str, Address]) -> None:
        """`nodes`: addresses of execute nodes, by name."""
        self._nodes = nodes
        super().__init__()

    def _list_line(self) -> bytes:
        instances = [
            {
                "instanceId": name,
                "hostPort": "{}:{}".format(*address),
                "zone": "memphis-dc",
                "machineType": "m",
                "cell": 1,
                "lifecycle": "ready",
                "weight": 1.0,
                "startedAtMs": 0,
            }
            for name, address in sorted(self._nodes.items())
        ]
        return json.dumps({"generation": 1, "reset": True, "instances": instances}).encode() + b"\n"

    def _serve(self, sock: Any, _address: Any) -> None:
        with contextlib.suppress(OSError):
            received = b""
            while HEAD_END not in received:
                data = sock.recv(RECEIVE_BYTES)
                if not data:
                    return
                received += data
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self._list_line()
            while True:
                sock.sendall(b"%x\r\n%b\r\n" % (len(line), line))
                gevent.sleep(KEEP_ALIVE_SECONDS)
                line = b"\n"


class ExecuteNode(StandIn):
    """An execute node that answers every job with 200 after `work_ms` and keeps connections alive."""

    def __init__(self, work_ms: float = 2.0) -> None:
        self.work_ms = work_ms
        self.served_count = 0
        super().__init__()

    def _serve(self, sock: Any, _address: Any) -> None:
        received = b""
        with contextlib.suppress(OSError):
            while data := sock.recv(RECEIVE_BYTES):
                received += data
                while HEAD_END in received:
                    _, received = received.split(HEAD_END, 1)
                    gevent.sleep(self.work_ms / 1000)
                    self.served_count += 1
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
