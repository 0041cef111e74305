"""Keeps names that no registry lists, while registries are too young to vouch for their absence. Pure.

A registry that has just started has not heard from everybody yet. Registries say how long all of them in
reach have run; once that is longer than a lease, whoever is alive has renewed it with one of them.
"""

from collections.abc import Iterable
from typing import Final

# So long a record that is not named is kept while registries restart again and again.
MAX_RETENTION_SECONDS: Final = 10.0


class Retention:
    """Names that are kept, each with the steady time since when no registry names it."""

    def __init__(self, lease_seconds: float) -> None:
        self._lease_seconds = lease_seconds
        self.missing_since: dict[str, float] = {}

    def update(self, now: float, missing: Iterable[str], registries_uptime: float) -> list[float]:
        """Decide who of the `missing` is kept; since when those were missing that are let go."""
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
