"""The records reported to this registry, and the counter of changes for long polls. Does no I/O."""

from typing import Any

from ashlift.registry.replicated_source import ReplicatedSource


class ChangeCounter:
    """Counts the changes that end long polls: all except those of usage and load."""

    def __init__(self) -> None:
        self.count = 0

    def increment(self) -> None:
        """Count one change."""
        self.count += 1


class LocalRecords:
    """The records reported to this registry; `put` and `drop` count a change."""

    def __init__(self, changes: ChangeCounter) -> None:
        self.source = ReplicatedSource()
        self._changes = changes

    def get(self, key: str) -> Any:
        """The record, or None."""
        return self.source.values.get(key)

    def count_change(self) -> None:
        """Wake what waits for a change that is not in the records yet."""
        self._changes.increment()

    def put(self, key: str, record: Any) -> None:
        """Set a record, and count the change."""
        self.source.put(key, record)
        self._changes.increment()

    def drop(self, key: str) -> None:
        """Remove a record, and count the change; does nothing if it does not exist."""
        if key in self.source.values:
            self.source.drop(key)
            self._changes.increment()
