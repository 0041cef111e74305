"""Reads the part `run` of docs/capacity/scale.json: measurements of real processes.

A run keeps the map and keys of the file; windows and events that the run did not reach are missing.
"""

from collections.abc import Iterator
from typing import Any, Final

from attrs import frozen

Json = dict[str, Any]
FEW_OBJECTS: Final = "few objects"
IN_PROPORTION: Final = "in proportion"


@frozen
class RecordedRun:
    """One run: its kind (`FEW_OBJECTS`, `IN_PROPORTION` or a trial's name), its size and its record."""

    kind: str
    size: int
    record: Json

    @property
    def simulated_proxies(self) -> int:
        """The number of simulated proxies."""
        return int(self.record["size"]["gatekeepers"]) - int(self.record["real"])

    @property
    def core_machines(self) -> int:
        """The number of core machines."""
        return int(self.record["core"])

    @property
    def windows(self) -> list[Json]:
        """The windows at increasing request rates."""
        return list(self.record.get("windows", []))

    @property
    def idle_window(self) -> Json:
        """The window without updates, before any event; empty if the run did not reach it."""
        first_window: Json = next(iter(self.windows), {})
        return self.record.get("calm") or first_window

    def event(self, key: str) -> Json:
        """The record of an event; empty if the run did not reach it."""
        return self.record.get(key) or {}

    def simulated_pull(self, window: Json, key: str) -> float:
        """A figure of one simulated proxy's pulls in a window; the record has means per process."""
        processes = window["hollow"]["processes"]
        pulls = window["hollow"]["kinds"].get("pull", {})
        return float(pulls.get(key, 0.0) * processes / self.simulated_proxies)


def recorded_runs(recorded: Json, kind_prefix: str = "") -> Iterator[RecordedRun]:
    """The runs of all kinds with this prefix, in the order of the file."""
    for kind, by_size in recorded["run"].items():
        if isinstance(by_size, dict) and kind.startswith(kind_prefix):
            for size, record in by_size.items():
                yield RecordedRun(kind, int(size), record)
