"""What the door's calls do, once they reach the owner's greenlet: the answer, and news for the module.

Runs in the owner's greenlet only, between two of the module's events; it changes the machine list's view
and the phase, and reads figures, but decides nothing of jobs. The store writes the file of what is out.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from ashlift.gatekeeper.admission.interface import Server
from ashlift.gatekeeper.operations.calls import Call, Kind
from ashlift.gatekeeper.operations.figures import Gauges, lines
from ashlift.gatekeeper.operations.life import Life, PhaseError

JSON = "application/json"
TEXT = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class Said:
    """The door's answer to one call."""

    status: HTTPStatus
    body: bytes
    kind: str = JSON  # of the body
    allow: tuple[str, ...] = ()  # methods, with 405


class Rotation(Protocol):
    """The machine list, as far as nodes out by hand go."""

    def hand(self, worker: str, out: bool, now: float) -> list[Server] | None:
        """Take a node out or put it back; what the module is to see anew, or None for an unknown id."""

    def adopt(self, out: dict[str, float], now: float) -> list[Server]:
        """Take what another process wrote of nodes out by hand; what the module is to see anew."""

    def out_by_hand(self) -> dict[str, float]:
        """Ids and since when."""

    def listed(self) -> bool:
        """Whether some node is named."""


class Store(Protocol):
    def save(self, out: dict[str, float], now: float) -> None:
        """Have it written soon; returns at once."""


class Operator:
    """Answers the door's calls. `drain(True)` turns the front to a drain, `drain(False)` back."""

    def __init__(
        self,
        name: str,
        classes: Iterable[str],
        life: Life,
        rotation: Rotation,
        store: Store | None,
        drain: Callable[[bool], None],
        counts: Callable[[], dict[str, int]],
    ) -> None:
        self._name, self._classes, self.life, self._rotation = name, tuple(classes), life, rotation
        self._store, self._drain, self._counts = store, drain, counts

    def call(self, call: Call, now: float, gauges: Gauges) -> tuple[Said, list[Server]]:
        """The answer, and the nodes that the module is to hear of before anything else."""
        match call.kind:
            case Kind.STATUS:
                ready = self.life.ready(self._rotation.listed())
                status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
                return self._said(status, ready=ready, **self._status(gauges)), []
            case Kind.METRICS:
                return Said(HTTPStatus.OK, lines(self._counts(), self._classes, gauges), TEXT), []
            case Kind.ENTER | Kind.EXIT:
                return self._hand(call, now)
            case Kind.STANDBY | Kind.ACTIVE:
                return self._phase(call.kind is Kind.STANDBY), []

    def adopt(self, out: dict[str, float], now: float) -> list[Server]:
        """What the other process wrote of nodes out by hand holds here too."""
        return self._rotation.adopt(out, now)

    def _hand(self, call: Call, now: float) -> tuple[Said, list[Server]]:
        out = call.kind is Kind.ENTER
        changed = self._rotation.hand(call.worker, out, now)
        if changed is None:
            return self._said(HTTPStatus.NOT_FOUND, error=f"no worker {call.worker!r} is known"), []
        if self._store is not None:
            self._store.save(self._rotation.out_by_hand(), now)
        return self._said(HTTPStatus.OK, worker=call.worker, out_by_hand=out), changed

    def _phase(self, standby: bool) -> Said:
        try:
            changed = self.life.standby() if standby else self.life.active()
        except PhaseError as error:
            return self._said(HTTPStatus.CONFLICT, error=str(error))
        if changed:
            self._drain(standby)
        return self._said(HTTPStatus.OK, phase=self.life.phase.value)

    def _status(self, gauges: Gauges) -> dict[str, Any]:
        return {
            "gatekeeper": self._name,
            "phase": self.life.phase.value,
            "out_by_hand": sorted(self._rotation.out_by_hand()),
            "open_requests": gauges.open_requests,
            "registry_entries": gauges.registry_entries,
            "out_of_rotation": gauges.out_of_rotation,
        }

    @staticmethod
    def _said(status: HTTPStatus, **fields: Any) -> Said:
        return Said(status, json.dumps(fields, sort_keys=True).encode() + b"\n")
