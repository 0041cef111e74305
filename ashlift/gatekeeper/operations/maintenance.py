"""Execute nodes that operators have put into maintenance, and the format of the file that keeps them. No I/O.

A node in maintenance is treated as draining, whatever the machine list says of it. One that returns is
treated as started at that moment unless the list has a later start: it may have been restarted in
maintenance, so its caches are cold.
"""

import json
import math
from dataclasses import dataclass, field, replace
from typing import Any

from ashlift.gatekeeper.admission.interface import Server, ServerState

FORMAT_VERSION = 1


class MaintenanceFileError(ValueError):
    """The file is corrupt, of another format version or of another gatekeeper."""


@dataclass(slots=True)
class MaintenanceSet:
    """Ids of nodes with the time at which they entered maintenance or left it (Unix ms)."""

    entered: dict[str, float] = field(default_factory=dict)
    left: dict[str, float] = field(default_factory=dict)

    def enter(self, worker: str, now: float) -> bool:
        """Puts a node into maintenance; returns False if it was there already."""
        if worker in self.entered:
            return False
        self.entered[worker] = now
        self.left.pop(worker, None)
        return True

    def exit(self, worker: str, now: float) -> bool:
        """Ends the maintenance of a node; returns False if it was not in maintenance."""
        if self.entered.pop(worker, None) is None:
            return False
        self.left[worker] = now
        return True

    def effective(self, listed: Server) -> Server:
        """The entry to use for a node with this entry in the machine list."""
        if listed.state is ServerState.GONE:
            return listed
        if listed.name in self.entered:
            return replace(listed, state=ServerState.DRAINING)
        returned = self.left.get(listed.name, -math.inf)
        if listed.ready_at_ms < returned:
            return replace(listed, ready_at_ms=returned)
        self.left.pop(listed.name, None)  # the list has a later start
        return listed

    def forget_unlisted(self, listed: set[str]) -> None:
        """Drops the return times of nodes that have left the machine list; nodes stay in maintenance."""
        self.left = {worker: at for worker, at in self.left.items() if worker in listed}

    def adopt(self, entered: dict[str, float], now: float) -> tuple[set[str], set[str]]:
        """Takes over the state that another process wrote; returns the ids that entered and that left."""
        newly_entered, newly_left = set(entered) - set(self.entered), set(self.entered) - set(entered)
        for worker in newly_left:
            self.exit(worker, now)
        for worker in newly_entered:
            self.entered[worker] = entered[worker]
            self.left.pop(worker, None)
        return newly_entered, newly_left


def encode(gatekeeper: str, entered: dict[str, float], now: float) -> bytes:
    """Encodes the file's content."""
    return json.dumps(
        {"format": FORMAT_VERSION, "gatekeeper": gatekeeper, "written_ms": now, "out_by_hand": entered},
        sort_keys=True,
    ).encode()


def decode(data: bytes, gatekeeper: str) -> dict[str, float]:
    """The nodes in maintenance from the file's content; raises MaintenanceFileError."""
    try:
        found: Any = json.loads(data)
    except ValueError as error:
        raise MaintenanceFileError(f"not JSON: {error}") from None
    if not isinstance(found, dict):
        raise MaintenanceFileError("not a JSON object")
    if found.get("format") != FORMAT_VERSION:
        raise MaintenanceFileError(f"format {found.get('format')!r}, not {FORMAT_VERSION}")
    if found.get("gatekeeper") != gatekeeper:
        raise MaintenanceFileError(f"of gatekeeper {found.get('gatekeeper')!r}, not {gatekeeper!r}")
    entered = found.get("out_by_hand")
    if not isinstance(entered, dict) or not all(
        isinstance(worker, str) and isinstance(at, int | float) and not isinstance(at, bool)
        for worker, at in entered.items()
    ):
        raise MaintenanceFileError("out_by_hand is no table of ids and times")
    return {worker: float(at) for worker, at in entered.items()}
