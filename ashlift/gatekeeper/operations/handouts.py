"""Execute nodes taken out by hand, and how they are shown to everyone else. No input or output.

A node out by hand is shown as draining, whatever the machine list says of it, until it is put back. One put
back is shown as started at that moment unless the list tells of a later start: it was restarted while out,
and comes back cold. What is out is handed to a successor in a file of this format.
"""

import json
import math
from dataclasses import dataclass, field, replace
from typing import Any

from ashlift.gatekeeper.admission.interface import Server, ServerState

FORMAT = 1  # of the file; one of another format is not read


class StateError(ValueError):
    """A file that cannot be taken: the text says why."""


@dataclass(slots=True)
class HandOuts:
    """Which nodes are out by hand (id and when, Unix ms), and which came back when."""

    out: dict[str, float] = field(default_factory=dict)
    back: dict[str, float] = field(default_factory=dict)

    def enter(self, worker: str, now: float) -> bool:
        """Take a node out; whether that changed anything. A second call changes nothing."""
        if worker in self.out:
            return False
        self.out[worker] = now
        self.back.pop(worker, None)
        return True

    def exit(self, worker: str, now: float) -> bool:
        """Put a node back, however often it was taken out; whether it was out."""
        if self.out.pop(worker, None) is None:
            return False
        self.back[worker] = now
        return True

    def shown(self, told: Server) -> Server:
        """What the module and the claims are to see of a node that the list tells of so."""
        if told.state is ServerState.GONE:
            return told
        if told.name in self.out:
            return replace(told, state=ServerState.DRAINING)
        back = self.back.get(told.name, -math.inf)
        if told.ready_at_ms < back:
            return replace(told, ready_at_ms=back)
        self.back.pop(told.name, None)  # the list knows of a start since: that one counts
        return told

    def forget(self, listed: set[str]) -> None:
        """Drop what is kept of returns of nodes that are not listed any more. What is out stays out."""
        self.back = {worker: at for worker, at in self.back.items() if worker in listed}

    def adopt(self, out: dict[str, float], now: float) -> tuple[set[str], set[str]]:
        """Take what another process wrote; the ids that went out and that came back."""
        went, came = set(out) - set(self.out), set(self.out) - set(out)
        for worker in came:
            self.exit(worker, now)
        for worker in went:
            self.out[worker] = out[worker]
            self.back.pop(worker, None)
        return went, came


def encode(gatekeeper: str, out: dict[str, float], now: float) -> bytes:
    """The file's bytes."""
    return json.dumps(
        {"format": FORMAT, "gatekeeper": gatekeeper, "written_ms": now, "out_by_hand": out}, sort_keys=True
    ).encode()


def decode(data: bytes, gatekeeper: str) -> dict[str, float]:
    """What is out, from a file's bytes; raises StateError where the file is spoilt, of another format or of
    another gatekeeper."""
    try:
        found: Any = json.loads(data)
    except ValueError as error:
        raise StateError(f"not JSON: {error}") from None
    if not isinstance(found, dict):
        raise StateError("not a JSON object")
    if found.get("format") != FORMAT:
        raise StateError(f"format {found.get('format')!r}, not {FORMAT}")
    if found.get("gatekeeper") != gatekeeper:
        raise StateError(f"of gatekeeper {found.get('gatekeeper')!r}, not {gatekeeper!r}")
    out = found.get("out_by_hand")
    if not isinstance(out, dict) or not all(
        isinstance(worker, str) and isinstance(at, int | float) and not isinstance(at, bool)
        for worker, at in out.items()
    ):
        raise StateError("out_by_hand is no table of ids and times")
    return {worker: float(at) for worker, at in out.items()}
