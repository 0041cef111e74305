"""The records of this registry itself, and a count of changes for those who wait for one. Pure."""

from typing import Any

from ashlift.registry.replicated_source import ReplicatedSource


class ChangeCounter:
    """Rises with every change that somebody may wait for: any but that of usage or load."""

    def __init__(self) -> None:
        self.count = 0

    def increment(self) -> None:
        """Something has changed."""
        self.count += 1


class LocalRecords:
    """What has been reported to this registry; each significant change is counted."""

    def __init__(self, changes: ChangeCounter) -> None:
        self.source = ReplicatedSource()
        self._changes = changes

    def get(self, key: str) -> Any:
        """The record, or None."""
        return self.source.values.get(key)

    def put(self, key: str, record: Any) -> None:
        """Set a record that somebody may wait for."""
        self.source.put(key, record)
        self._changes.increment()

    def drop(self, key: str) -> None:
        """Remove such a record; nothing where there is none."""
        if key in self.source.values:
            self.source.drop(key)
            self._changes.increment()
