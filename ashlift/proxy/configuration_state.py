"""The operator's configuration held by a proxy, and when it was last confirmed. No I/O."""

import math
from typing import Any, Final

from ashlift.config.routing_table import RoutingTable
from ashlift.proxy.pull_messages import SourceUpdate

# Keys of entries in the operator's configuration; those with a slash are prefixes.
EVACUATIONS: Final = "Evacuations/"
CORE_MACHINES: Final = "Members/"
VERSION: Final = "Version"  # present in every complete configuration


class ConfigurationState:
    """The newest configuration received. It is never replaced by an older one."""

    def __init__(self) -> None:
        self.entries: dict[str, Any] = {}
        self.version = 0  # index of the last applied change in the configuration store
        self.routing_table: RoutingTable | None = None
        self.evacuated_zones: frozenset[str] = frozenset()
        self.core_machines: dict[str, Any] = {}  # zone and region, by IP
        self.confirmed_at = -math.inf  # monotonic time at which this was last known to be the newest

    def age(self, now: float) -> float:
        """Seconds since this configuration was confirmed to be the newest."""
        return now - self.confirmed_at

    def confirm(self, confirmed_at: float) -> None:
        """Record that this configuration was still the newest at `confirmed_at`."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def apply(self, update: SourceUpdate) -> bool:
        """Apply an update if it is newer than `version`; returns whether it was."""
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
        """The entries whose keys begin with `kind`, by the rest of the key."""
        return {key[len(kind) :]: value for key, value in self.entries.items() if key.startswith(kind)}
