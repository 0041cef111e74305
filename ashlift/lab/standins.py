"""Our own stand-ins for what the gatekeepers meet in a lab run: the counter, the machine list, execute nodes.

Each speaks the published protocol of the part it stands for, as the gatekeeper's adapters read it:

- `Counter`: the platform's text counter, `bump NAME AMOUNT EXPIRE_MS` answered by `ok TOTAL`, one line each.
- `MachineList`: `GET /discovery/hosts?stream=1&index=N` answered by a chunked stream of JSON lines, the whole
  list first, then an empty line every `BEAT_S` so that the watch knows it stands.
- `Node`: an execute node that answers every job with 200 after `work_ms`, keeping connections alive.

All listen on 127.0.0.1 at a port of the kernel's choosing (`address`), in the lab's own process.
"""

import contextlib
import json
from typing import Any

import gevent
from gevent.server import StreamServer

BEAT_S = 2.0


class Counter:
    def __init__(self) -> None:
        self.totals: dict[str, float] = {}
        self.calls = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address: tuple[str, int] = self._server.address  # type: ignore[assignment]

    def _serve(self, sock: Any, _: Any) -> None:
        with contextlib.suppress(OSError, ValueError), sock.makefile("rwb") as lines:
            for line in lines:
                _, name, amount, *_ = line.decode().split()
                self.calls += 1
                self.totals[name] = self.totals.get(name, 0.0) + float(amount)
                lines.write(f"ok {self.totals[name]:.0f}\r\n".encode())
                lines.flush()

    def stop(self) -> None:
        self._server.stop(0)


class MachineList:
    def __init__(self, nodes: dict[str, tuple[str, int]]) -> None:
        self.nodes = nodes
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address: tuple[str, int] = self._server.address  # type: ignore[assignment]

    def listing(self) -> bytes:
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
            for name, address in sorted(self.nodes.items())
        ]
        return json.dumps({"generation": 1, "reset": True, "instances": instances}).encode() + b"\n"

    def _serve(self, sock: Any, _: Any) -> None:
        with contextlib.suppress(OSError):
            data = b""
            while b"\r\n\r\n" not in data:
                more = sock.recv(65536)
                if not more:
                    return
                data += more
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            line = self.listing()
            while True:
                sock.sendall(b"%x\r\n%b\r\n" % (len(line), line))
                gevent.sleep(BEAT_S)
                line = b"\n"

    def stop(self) -> None:
        self._server.stop(0)


class Node:
    def __init__(self, work_ms: float = 2.0) -> None:
        self.work_ms, self.served = work_ms, 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address: tuple[str, int] = self._server.address  # type: ignore[assignment]

    def _serve(self, sock: Any, _: Any) -> None:
        data = b""
        with contextlib.suppress(OSError):
            while more := sock.recv(65536):
                data += more
                while b"\r\n\r\n" in data:
                    _, data = data.split(b"\r\n\r\n", 1)
                    gevent.sleep(self.work_ms / 1000)
                    self.served += 1
                    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def stop(self) -> None:
        self._server.stop(0)
