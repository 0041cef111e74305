"""Retains workers and proxies that no registry lists because the registries have just restarted. No I/O.

A registry that has just started has not received a report from every worker and proxy yet. Once all reachable
registries have run for longer than a lease, every live one has renewed its lease with one of them.
"""

from collections.abc import Iterable
from typing import Final

MAX_RETENTION_SECONDS: Final = 10.0  # even if registries restart repeatedly


class Retention:
    """The retained names, each with the monotonic time since which no registry lists it."""

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self.missing_since: dict[str, float] = {}

    def update(self, now: float, missing: Iterable[str], registries_uptime: float) -> list[float]:
        """Decide which of the `missing` names to retain.

        Returns for each of the others the time since which it has been missing.
        """
        before = self.missing_since
        self.missing_since = {}
        released: list[float] = []
        for name in missing:
            since = before.get(name, now)
            if registries_uptime < self._lease_seconds and now - since < MAX_RETENTION_SECONDS:
                self.missing_since[name] = since
            else:
                released.append(since)
        return released
