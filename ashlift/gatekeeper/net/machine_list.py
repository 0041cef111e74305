"""The machine list: a watch on discovery, and what it last said of each execute node."""

import json
import logging
import time
from dataclasses import dataclass
from typing import Any

import gevent
import httptools
from gevent import socket
from gevent.event import Event

from ashlift.gatekeeper.admission.interface import Server, ServerList, ServerState
from ashlift.gatekeeper.jobs import Inbox
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.operations.maintenance import MaintenanceSet

log = logging.getLogger("ashlift.machine_list")
SILENT_S = 5.0  # without even an empty line, which come every 2 s: the watch is dead though nobody said so
CONNECT_S = 2.0
BACKOFF_S = (0.1, 3.0)  # first and longest pause before a new watch
STOOD_S = 1.0  # a watch that stood for so long was a good one: the next is begun soon
WATCH_ENDS = (OSError, gevent.Timeout, httptools.HttpParserError)
LINE_MOST = 4 << 20  # bytes of one unfinished line


@dataclass(frozen=True, slots=True)
class Machine:
    """One execute node as last told, and as shown: out by hand it is draining, whatever discovery said."""

    address: tuple[str, int]
    server: Server  # as shown to the module and the claims
    told: Server | None = None  # as discovery told it, where that differs


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class MachineList:
    """Keeps the list for the node adapter and tells the owner of changes."""

    def __init__(
        self, discovery: tuple[str, int], zones: tuple[str, ...], inbox: Inbox, metrics: Metrics
    ) -> None:
        self._discovery, self._zones, self._inbox, self._metrics = discovery, zones, inbox, metrics
        self._index = 0
        self._watching: gevent.Greenlet[..., None] | None = None
        self._moved = Event()
        self.machines: dict[str, Machine] = {}
        self.hands = MaintenanceSet()

    def ready(self, name: str) -> Machine | None:
        """The node, if new work may go to it."""
        machine = self.machines.get(name)
        return machine if machine is not None and machine.server.state is ServerState.READY else None

    def take(self, news: dict[str, Any]) -> None:
        """Take one message of discovery. The table changes here and now, ahead of the owner's queue, so that
        a claim about to be written sees a drain that the module has not heard of."""
        entries = [self._shown(self._entry(row)) for row in news["instances"]]
        index, complete = int(news["generation"]), bool(news.get("reset", False))
        if complete:
            self.machines.clear()
        for machine in entries:
            if machine.server.state is ServerState.GONE:
                self.machines.pop(machine.server.name, None)
            else:
                self.machines[machine.server.name] = machine
        self.hands.forget_unlisted(set(self.machines))
        self._index = index
        self._metrics.add("machine_list.news")
        self._inbox.put(ServerList(tuple(machine.server for machine in entries), complete))

    def _shown(self, machine: Machine) -> Machine:
        told = machine.told or machine.server
        shown = self.hands.effective(told)
        return Machine(machine.address, shown, told if shown is not told else None)

    def set_maintenance(self, worker: str, entered: bool, now: float) -> list[Server] | None:
        """Take a node out by hand or put it back, here and now; what the module is to see anew. None where
        the id is neither listed nor out: nobody can tell what it names."""
        if worker not in self.machines and worker not in self.hands.entered:
            return None
        if entered:
            self.hands.enter(worker, now)
        else:
            self.hands.exit(worker, now)
        return self._show_anew({worker})

    def adopt(self, entered: dict[str, float], now: float) -> list[Server]:
        """What another process wrote of nodes out by hand holds from now on."""
        went, came = self.hands.adopt(entered, now)
        return self._show_anew(went | came)

    def in_maintenance(self) -> dict[str, float]:
        return dict(self.hands.entered)

    def listed(self) -> bool:
        return bool(self.machines)

    def _show_anew(self, workers: set[str]) -> list[Server]:
        changed = []
        for worker in workers:
            machine = self.machines.get(worker)
            if machine is not None:
                self.machines[worker] = shown = self._shown(machine)
                changed.append(shown.server)
        return changed

    def _entry(self, row: dict[str, Any]) -> Machine:
        state = ServerState(row["lifecycle"])
        zone = self._zones.index(row["zone"]) if row.get("zone") in self._zones else 0
        address = ("", 0) if state is ServerState.GONE else parse_address(row["hostPort"])
        # Size is left at 1: the settings say that weights tell nothing. `startedAtMs` is Unix time, and so
        # is the module's clock.
        server = Server(
            row["instanceId"],
            state,
            int(row.get("cell") or 0),
            zone,
            ready_at_ms=float(row.get("startedAtMs") or 0.0),
        )
        return Machine(address, server)

    def move(self, discovery: tuple[str, int]) -> None:
        """Watch there from now on, at once. The list stays as it is until that address tells of changes."""
        if discovery != self._discovery:
            self._discovery = discovery
            self._moved.set()
            if self._watching is not None:
                self._watching.kill(block=False)

    def run(self) -> None:
        """Watch for ever; one that ends or falls silent is begun anew, with growing pauses."""
        pause = BACKOFF_S[0]
        while True:
            began = time.monotonic()
            self._moved.clear()
            self._watching = gevent.spawn(self._watch)
            self._watching.join()
            self._metrics.add("machine_list.watches_ended")
            stood = self._moved.is_set() or time.monotonic() - began > STOOD_S
            pause = BACKOFF_S[0] if stood else min(BACKOFF_S[1], 2 * pause)
            self._moved.wait(pause)  # guards against a pause before the first watch at a new address

    def _watch(self) -> None:
        try:
            self._follow()
        except (*WATCH_ENDS, ValueError, KeyError, TypeError) as error:
            log.warning("watch ended: %s: %s", type(error).__name__, error)

    def _follow(self) -> None:
        with gevent.Timeout(CONNECT_S):
            sock = socket.create_connection(self._discovery)
        with sock:
            host, port = self._discovery
            path = f"/discovery/hosts?stream=1&index={self._index}"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            reader = _Lines()
            parser = httptools.HttpResponseParser(reader)
            while not reader.ended:
                with gevent.Timeout(SILENT_S):
                    data = sock.recv(65536)
                if not data:
                    return
                parser.feed_data(data)
                if reader.lines and parser.get_status_code() != 200:
                    raise ValueError(f"discovery answers {parser.get_status_code()}")
                lines, reader.lines = reader.lines, []
                for line in lines:
                    if line.strip():
                        self.take(json.loads(line))


class _Lines:
    """Cuts a chunked answer into lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.rest = b""
        self.ended = False

    def on_body(self, body: bytes) -> None:
        *lines, self.rest = (self.rest + body).split(b"\n")
        self.lines += lines
        if len(self.rest) > LINE_MOST:
            raise ValueError("a line of the machine list does not end")

    def on_message_complete(self) -> None:
        self.ended = True
