"""The operator's configuration as a proxy holds it, and how fresh it is known to be. Pure."""

import math
from typing import Any, Final

from ashlift.config.routing_table import RoutingTable
from ashlift.proxy.pull_messages import SourceUpdate

EVACUATIONS: Final = "Evacuations/"  # kinds of entries: the operator's words
CORE_MACHINES: Final = "Members/"
VERSION: Final = "Version"  # the entry that every complete configuration has


class ConfigurationState:
    """The newest configuration received. It never goes back to an older one within a process's life."""

    def __init__(self) -> None:
        self.entries: dict[str, Any] = {}
        self.version = 0  # the store's index of the last change applied
        self.routing_table: RoutingTable | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.core_machines: dict[str, Any] = {}  # zone and region, by IP
        self.confirmed_at = -math.inf  # steady time at which this was the newest configuration, or later

    def age(self, now: float) -> float:
        """Seconds since this configuration was confirmed to be the newest."""
        return now - self.confirmed_at

    def confirm(self, confirmed_at: float) -> None:
        """A registry says that what is held was the newest at `confirmed_at`, or later."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def apply(self, update: SourceUpdate) -> bool:
        """Apply an update; whether it was newer than what is held."""
        if update.version <= self.version:
            return False
        removed = update.removed
        if update.full:
            removed = [key for key in self.entries if key not in update.entries]
        self.entries = {**self.entries, **update.entries}
        for key in removed:
            self.entries.pop(key, None)
        self.version = update.version
        self.evacuated_zones = frozenset(self._entries_of_kind(EVACUATIONS))
        self.core_machines = self._entries_of_kind(CORE_MACHINES)
        if VERSION in self.entries:
            if self.routing_table is None:
                self.routing_table = RoutingTable.from_entries(self.entries)
            else:
                self.routing_table = self.routing_table.updated(update.entries, removed)
        return True

    def _entries_of_kind(self, kind: str) -> dict[str, Any]:
        """The entries of a kind, by name."""
        return {key[len(kind) :]: value for key, value in self.entries.items() if key.startswith(kind)}
