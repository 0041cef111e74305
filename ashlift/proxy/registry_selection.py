"""Selects the registry to call: the nearest one that responds with a fresh configuration. No I/O."""

import random
from collections.abc import Collection, Sequence
from typing import Final

AVOID_SECONDS: Final = 2.0  # after a failed call, or a response with a stale configuration
# Health ranks, best first.
_USABLE, _STALE, _FAILED = range(3)


class RegistrySelection:
    """Tracks the health of registries, and their order by distance as the last response listed them.

    `seeds`: IPs from the settings file. They are used while there is no configuration, or while none of the
    core machines in it responds.
    """

    def __init__(self, seeds: list[str], rng: random.Random) -> None:
        self.seeds = seeds
        self._rng = rng
        self._avoided_until: dict[str, float] = {}  # monotonic time, by IP
        self._stale: set[str] = set()  # avoided only because of a stale configuration
        self._current: str | None = None
        self._by_distance: Sequence[str] = []  # IPs, nearest first, unreachable ones last

    def choose(self, now: float, core_machines: Collection[str]) -> str | None:
        """The IP to call, or None if none is known."""
        candidates = sorted(core_machines) if core_machines else list(dict.fromkeys(self.seeds))
        candidates += [
            ip for ip in self.seeds if ip not in core_machines and self._all_avoided(candidates, now)
        ]
        distance = {ip: position for position, ip in enumerate(self._by_distance)}

        def rank(ip: str) -> tuple[int, int, bool, float]:
            return (
                self._health_rank(ip, now),
                distance.get(ip, len(distance)),
                ip != self._current,
                self._rng.random(),
            )

        return min(candidates, key=rank, default=None)

    def record_response(self, ip: str, by_distance: Sequence[str]) -> None:
        """Record a response, which lists all registries, nearest first."""
        self._current = ip
        self._by_distance = by_distance

    def record_failure(self, ip: str, now: float) -> None:
        """Record a failed call."""
        self._avoided_until[ip] = now + AVOID_SECONDS
        self._stale.discard(ip)
        self._current = None

    def record_stale(self, ip: str, now: float) -> None:
        """Record a response with a stale configuration."""
        self._avoided_until[ip] = now + AVOID_SECONDS
        self._stale.add(ip)

    def _health_rank(self, ip: str, now: float) -> int:
        if self._avoided_until.get(ip, 0.0) <= now:
            return _USABLE
        return _STALE if ip in self._stale else _FAILED

    def _all_avoided(self, ips: Collection[str], now: float) -> bool:
        return all(self._avoided_until.get(ip, 0.0) > now for ip in ips)
