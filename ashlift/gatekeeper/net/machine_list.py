"""The machine list: watches service discovery and keeps the latest entry of each execute node."""

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
SILENCE_TIMEOUT_S = 5.0  # discovery sends an empty line every 2 s
CONNECT_TIMEOUT_S = 2.0
BACKOFF_RANGE_S = (0.1, 3.0)  # first and longest pause before a new watch
STABLE_WATCH_S = 1.0  # a watch that lasted longer resets the pause
WATCH_ERRORS = (OSError, gevent.Timeout, httptools.HttpParserError)
MAX_LINE_BYTES = 4 << 20


@dataclass(frozen=True, slots=True)
class Machine:
    """An execute node. One that an operator has drained is shown as draining, whatever discovery reports."""

    address: tuple[str, int]
    server: Server  # as the gateway and the attempts see it
    reported: Server | None = None  # by discovery, if different


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    return host, int(port)


class MachineList:
    """Keeps the list for the node adapter and reports changes to the owner."""

    def __init__(
        self, discovery: tuple[str, int], zones: tuple[str, ...], inbox: Inbox, metrics: Metrics
    ) -> None:
        self._discovery, self._zones, self._inbox, self._metrics = discovery, zones, inbox, metrics
        self._index = 0
        self._watching: gevent.Greenlet[..., None] | None = None
        self._address_changed = Event()
        self.machines: dict[str, Machine] = {}
        self.maintenance = MaintenanceSet()

    def ready(self, name: str) -> Machine | None:
        """Return the node if it takes new work."""
        machine = self.machines.get(name)
        return machine if machine is not None and machine.server.state is ServerState.READY else None

    def apply_update(self, update: dict[str, Any]) -> None:
        """Apply an update from discovery.

        The list changes before the owner hears of it, so that an attempt about to be sent sees a drain.
        """
        entries = [self._with_manual_drain(self._parse_entry(row)) for row in update["instances"]]
        index, complete = int(update["generation"]), bool(update.get("reset", False))
        if complete:
            self.machines.clear()
        for machine in entries:
            if machine.server.state is ServerState.GONE:
                self.machines.pop(machine.server.name, None)
            else:
                self.machines[machine.server.name] = machine
        self.maintenance.forget_unlisted(set(self.machines))
        self._index = index
        self._metrics.add("machine_list.news")
        self._inbox.put(ServerList(tuple(machine.server for machine in entries), complete))

    def _with_manual_drain(self, machine: Machine) -> Machine:
        reported = machine.reported or machine.server
        shown = self.maintenance.effective(reported)
        return Machine(machine.address, shown, reported if shown is not reported else None)

    def set_maintenance(self, worker: str, entered: bool, now: float) -> list[Server] | None:
        """Drain a node for an operator, or return it to service; returns the changed entries for the gateway.

        None if the id is neither on the list nor drained.
        """
        if worker not in self.machines and worker not in self.maintenance.entered:
            return None
        if entered:
            self.maintenance.enter(worker, now)
        else:
            self.maintenance.exit(worker, now)
        return self._refresh({worker})

    def replace_maintenance(self, entered: dict[str, float], now: float) -> list[Server]:
        """Replace the manual drains by those that another process has stored; returns the changed entries."""
        drained, returned = self.maintenance.adopt(entered, now)
        return self._refresh(drained | returned)

    def in_maintenance(self) -> dict[str, float]:
        return dict(self.maintenance.entered)

    def has_machines(self) -> bool:
        return bool(self.machines)

    def _refresh(self, workers: set[str]) -> list[Server]:
        changed = []
        for worker in workers:
            machine = self.machines.get(worker)
            if machine is not None:
                self.machines[worker] = shown = self._with_manual_drain(machine)
                changed.append(shown.server)
        return changed

    def _parse_entry(self, row: dict[str, Any]) -> Machine:
        state = ServerState(row["lifecycle"])
        zone = self._zones.index(row["zone"]) if row.get("zone") in self._zones else 0
        address = ("", 0) if state is ServerState.GONE else parse_address(row["hostPort"])
        # Weights are ignored, as the settings prescribe. `startedAtMs` is Unix time, like UnixClock.
        server = Server(
            row["instanceId"],
            state,
            int(row.get("cell") or 0),
            zone,
            ready_at_ms=float(row.get("startedAtMs") or 0.0),
        )
        return Machine(address, server)

    def change_address(self, discovery: tuple[str, int]) -> None:
        """Switch to another address at once. The list is kept until an update from there changes it."""
        if discovery != self._discovery:
            self._discovery = discovery
            self._address_changed.set()
            if self._watching is not None:
                self._watching.kill(block=False)

    def run(self) -> None:
        """Watch forever; a watch that ends or goes silent is restarted with exponential backoff."""
        pause_s = BACKOFF_RANGE_S[0]
        while True:
            started_at = time.monotonic()
            self._address_changed.clear()
            self._watching = gevent.spawn(self._watch)
            self._watching.join()
            self._metrics.add("machine_list.watches_ended")
            was_stable = self._address_changed.is_set() or time.monotonic() - started_at > STABLE_WATCH_S
            pause_s = BACKOFF_RANGE_S[0] if was_stable else min(BACKOFF_RANGE_S[1], 2 * pause_s)
            self._address_changed.wait(pause_s)  # a new address is watched without a pause

    def _watch(self) -> None:
        try:
            self._read_updates()
        except (*WATCH_ERRORS, ValueError, KeyError, TypeError) as error:
            log.warning("watch on discovery ended: %s: %s", type(error).__name__, error)

    def _read_updates(self) -> None:
        with gevent.Timeout(CONNECT_TIMEOUT_S):
            sock = socket.create_connection(self._discovery)
        with sock:
            host, port = self._discovery
            path = f"/discovery/hosts?stream=1&index={self._index}"
            sock.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())
            reader = _LineSplitter()
            parser = httptools.HttpResponseParser(reader)
            while not reader.ended:
                with gevent.Timeout(SILENCE_TIMEOUT_S):
                    data = sock.recv(65536)
                if not data:
                    return
                parser.feed_data(data)
                if reader.lines and parser.get_status_code() != 200:
                    raise ValueError(f"discovery responded with status {parser.get_status_code()}")
                lines, reader.lines = reader.lines, []
                for line in lines:
                    if line.strip():
                        self.apply_update(json.loads(line))


class _LineSplitter:
    """Splits the body of a response into lines."""

    def __init__(self) -> None:
        self.lines: list[bytes] = []
        self.rest = b""
        self.ended = False

    def on_body(self, body: bytes) -> None:
        *lines, self.rest = (self.rest + body).split(b"\n")
        self.lines += lines
        if len(self.rest) > MAX_LINE_BYTES:
            raise ValueError("line of the machine list is too long")

    def on_message_complete(self) -> None:
        self.ended = True
