"""Computes digests of all observable events of one simulated scenario, grouped in sections.

Only values are recorded, never the names of classes, attributes or programs, so that these can be renamed.
"""

import hashlib
from collections.abc import Mapping
from typing import Any, Final, TextIO

import cbor2

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE as EDITS
from ashlift.errors import Failure
from ashlift.simulation.history import FaultInterval, History
from ashlift.simulation.observer import Observer
from ashlift.simulation.process import Process
from ashlift.simulation.scenario_player import ScenarioPlayer

# Methods whose names and bodies are part of a wire protocol. All others represent HTTP requests and exist
# only in the simulator: their names are replaced by numbers, and the keys of their bodies are left out.
WIRE_METHODS: Final = frozenset(
    ["append", "drafts", "join", "pull", "read", "request_vote", "submit", "succeed", "swap", "watch"]
)
SECTIONS: Final = ("calls", "faults", "disks", "tries", "requests", "operators", "workers", "machines", "end")

Summary = dict[str, dict[str, int | str]]  # section -> `count` and `sha256` of its entries


def without_keys(body: Any) -> Any:
    """Return the values of a body without the keys of its mappings."""
    if isinstance(body, Mapping):
        return [without_keys(value) for value in body.values()]
    if isinstance(body, list | tuple):
        return [without_keys(value) for value in body]
    return body


class NameNumbers:
    """Numbers names in the order of their first use."""

    def __init__(self) -> None:
        self._known: dict[str, int] = {}

    def number_of(self, name: str) -> int:
        """Return the number of the name, starting with 0."""
        return self._known.setdefault(name, len(self._known))


class Recorder(Observer):
    """Updates a digest for each section; each entry is also written to `dump` as a line of text."""

    def __init__(self, dump: TextIO | None = None) -> None:
        self._dump = dump
        self._counts = dict.fromkeys(SECTIONS, 0)
        self._digests = {section: hashlib.sha256() for section in SECTIONS}
        self._programs = NameNumbers()
        self._methods = NameNumbers()

    def add(self, section: str, *entry: Any) -> None:
        """Add an entry of values that cbor2 can encode to a section."""
        data = cbor2.dumps(entry)
        self._counts[section] += 1
        self._digests[section].update(len(data).to_bytes(4, "big") + data)
        if self._dump is not None:
            print(section, hashlib.sha256(data).hexdigest()[:12], *entry, file=self._dump)

    def summary(self) -> Summary:
        """Return the digests of all sections."""
        return {
            section: {"count": self._counts[section], "sha256": self._digests[section].hexdigest()}
            for section in SECTIONS
        }

    # ---- events during the simulation
    def called(self, caller: Process, to: str, kind: str, method: str, body: Any) -> None:
        """Record a call with its body."""
        place = (caller.name, self._programs.number_of(caller.kind), to, self._programs.number_of(kind))
        self.add("calls", caller.loop.now, "call", *place, *self._message(method, body))

    def responded(self, caller: Process, target: Process, method: str, body: Any) -> None:
        """Record an answer; the detail of a failure goes to a section of its own."""
        place = (
            caller.name,
            self._programs.number_of(caller.kind),
            target.name,
            self._programs.number_of(target.kind),
        )
        now = caller.loop.now
        if isinstance(body, Failure):
            self.add("calls", now, "fault", *place, self._method(method), body.reason)
            self.add("faults", now, *place, body.reason, body.detail)
        else:
            self.add("calls", now, "answer", *place, *self._message(method, body))

    def received(self, caller: Process, target: Process, method: str) -> None:
        """Record the arrival of an answer."""
        self.add("calls", caller.loop.now, "received", caller.name, target.name, self._method(method))

    def stored(self, process: Process) -> None:
        """Record the contents of the disk."""
        self._disk(process)

    def attempt_sent(self, proxy: Process, worker: str, request: int, reused: bool) -> None:
        """Record an attempt to have a worker serve a request."""
        self.add("tries", proxy.loop.now, "request", proxy.name, worker, request, reused)

    def worker_responded(self, worker: Process, proxy: Process, request: int, status: int) -> None:
        """Record a worker's answer to an attempt."""
        self.add("tries", worker.loop.now, "answer", worker.name, proxy.name, request, status)

    def _method(self, method: str) -> str | int:
        return method if method in WIRE_METHODS else self._methods.number_of(method)

    def _message(self, method: str, body: Any) -> tuple[Any, Any]:
        return self._method(method), body if method in WIRE_METHODS else without_keys(body)

    def _disk(self, process: Process) -> None:
        """Record the contents of a store's disk: its vote, and the term, index and digest of its map."""
        disk = process.machine.disk
        vote = disk.get("vote")
        state = disk.get("state")
        position = [*state.term_index, state.entries.digest()] if isinstance(state, Snapshot) else None
        self.add(
            "disks",
            process.loop.now,
            process.name,
            [*vote] if isinstance(vote, PersistentVote) else None,
            position,
        )

    # ---- the history at the end
    def ended(self, player: ScenarioPlayer, passed: bool) -> None:
        """Record the player's history, and whether all expectations and checks passed."""
        world = player.world
        self._requests(world.history)
        self._operators(world.history)
        self._workers(world.history)
        self._machines(world.history)
        for process in world.configstores():
            self._disk(process)
            self.add("disks", process.name, process.machine.disk.get(EDITS))
        loop = world.loop
        self.add("end", loop.now, loop.event_count, loop.rng.getrandbits(64), passed)

    def _requests(self, history: History) -> None:
        for request in history.requests:
            self.add(
                "requests",
                request.id,
                request.path,
                request.key,
                request.zone,
                request.sent,
                request.proxy,
                request.proxy_incarnation,
                request.received,
                request.status,
                request.cause,
                request.ended,
                request.connection_broken,
                request.pool_exhausted_count,
                [
                    [run.at, run.worker, run.tenant, run.proxy, run.ran, run.rejection_status]
                    for run in request.arrivals
                ],
            )

    def _operators(self, history: History) -> None:
        for change in history.changes:
            self.add(
                "operators",
                "change",
                change.version,
                change.base,
                change.sent,
                change.valid,
                change.acknowledged,
                change.rejected_status,
                change.ended,
                change.body,
                change.patch,
            )
        for reading in history.configuration_reads:
            self.add("operators", "read", reading.started, reading.ended, reading.version, reading.body)
        for again in history.resends:
            self.add(
                "operators",
                "again",
                again.change.version,
                again.registry,
                again.sent,
                again.ended,
                again.status,
            )
        for order in history.evacuations:
            self.add("operators", "zone", order.zone, order.evacuated, order.sent, order.acknowledged)
        for copy in history.evacuation_calls:
            self.add(
                "operators", "copy", copy.zone, copy.evacuated, copy.sent, copy.effect_deadline, copy.ended
            )
        for edit in history.route_edits.values():
            self.add(
                "operators", "edit", edit.id, edit.name, edit.text, edit.sent, edit.status, edit.acknowledged
            )

    def _workers(self, history: History) -> None:
        for worker in history.workers.values():
            self.add(
                "workers",
                worker.id,
                worker.service,
                worker.zone,
                worker.address,
                worker.started,
                worker.ended,
                worker.warmups,
                worker.draining_acknowledged,
                worker.draining_registry,
                worker.deregistered,
            )

    def _machines(self, history: History) -> None:
        for machine, intervals in history.faults.items():
            self.add("machines", machine, _spans(intervals), history.terminations.get(machine, []))
        self.add("machines", _spans(history.core_unstable), history.final_fault_at, history.end)


def _spans(intervals: list[FaultInterval]) -> list[list[float]]:
    return [[interval.started, interval.ended] for interval in intervals]
