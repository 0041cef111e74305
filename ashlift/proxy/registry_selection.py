"""Which registry a proxy calls next: the nearest that answered lately with a fresh configuration. Pure."""

import random
from collections.abc import Collection, Sequence
from typing import Final

AVOID_SECONDS: Final = 2.0  # a registry that failed, or whose configuration is old, is avoided for so long
_USABLE, _STALE, _FAILED = range(
    3
)  # ranks: those that are avoided come last, those that answer before others


class RegistrySelection:
    """Remembers which registries to avoid, and in which order the last response named them.

    `seeds`: IPs of the settings file, for a proxy that has no configuration yet or reaches none of the core
    machines that it names.
    """

    def __init__(self, seeds: list[str], rng: random.Random) -> None:
        self.seeds = seeds
        self._rng = rng
        self._avoided_until: dict[str, float] = {}  # steady time, by IP
        self._stale: set[str] = set()  # those avoided that do answer, but with an old configuration
        self._current: str | None = None
        self._by_distance: Sequence[str] = []  # IPs, nearest first; unheard ones come last

    def choose(self, now: float, core_machines: Collection[str]) -> str | None:
        """The IP to call, or None if none is known."""
        candidates = sorted(core_machines) if core_machines else list(dict.fromkeys(self.seeds))
        candidates += [
            ip for ip in self.seeds if ip not in core_machines and self._all_avoided(candidates, now)
        ]
        distance = {ip: position for position, ip in enumerate(self._by_distance)}

        def rank(ip: str) -> tuple[int, int, bool, float]:
            return (
                self._health(ip, now),
                distance.get(ip, len(distance)),
                ip != self._current,
                self._rng.random(),
            )

        return min(candidates, key=rank, default=None)

    def record_response(self, ip: str, by_distance: Sequence[str]) -> None:
        """It answered, and names all registries, nearest first."""
        self._current = ip
        self._by_distance = by_distance

    def record_failure(self, ip: str, now: float) -> None:
        """It did not answer."""
        self._avoided_until[ip] = now + AVOID_SECONDS
        self._stale.discard(ip)
        self._current = None

    def record_stale(self, ip: str, now: float) -> None:
        """It answered with a configuration that is too old."""
        self._avoided_until[ip] = now + AVOID_SECONDS
        self._stale.add(ip)

    def _health(self, ip: str, now: float) -> int:
        if self._avoided_until.get(ip, 0.0) <= now:
            return _USABLE
        return _STALE if ip in self._stale else _FAILED

    def _all_avoided(self, ips: Collection[str], now: float) -> bool:
        return all(self._avoided_until.get(ip, 0.0) > now for ip in ips)
