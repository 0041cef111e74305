"""The usage that each source has reported lately, for proxies that have just started. Does no I/O.

Totals are cumulative: a proxy that sees them for the first time cannot tell what was admitted within the
window of the rule QUOTA. Times are monotonic, in seconds.
"""

from collections import deque
from collections.abc import Iterable
from typing import Final, NamedTuple

from ashlift.registry.record_keys import PREFIX_LENGTH, USAGE_KIND
from ashlift.registry.replicated_source import ReplicatedSource

SAMPLE_SECONDS: Final = 0.5


class RecentUsage(NamedTuple):
    """Accepted requests by tenant in the last `seconds`."""

    seconds: float
    accepted: dict[str, int]


NO_USAGE: Final = RecentUsage(0.0, {})


class _Sample(NamedTuple):
    at: float
    accepted: dict[str, int]  # by tenant, cumulative


class UsageHistory:
    """Samples of the totals of each source within a window."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._samples: dict[str, deque[_Sample]] = {}  # by source, oldest first
        self._sampled_at = -SAMPLE_SECONDS

    def sample(self, now: float, sources: Iterable[tuple[str, ReplicatedSource]]) -> None:
        """Sample the totals of all sources, at most every `SAMPLE_SECONDS`; forget other sources."""
        if 0.0 <= now - self._sampled_at < SAMPLE_SECONDS:
            return
        self._sampled_at = now
        samples: dict[str, deque[_Sample]] = {}
        for name, source in sources:
            history = samples[name] = self._samples.get(name, deque())
            history.append(_Sample(now, _accepted(source)))
            while len(history) > 1 and history[1].at <= now - self._window_seconds:
                history.popleft()
        self._samples = samples

    def recent(self, now: float, name: str, source: ReplicatedSource, started_at: float) -> RecentUsage:
        """What the source has reported in the window, or for as long as that is known.

        `started_at`: of its registry, whose totals began at 0.
        """
        history = self._samples.get(name)
        if started_at >= now - self._window_seconds:
            return RecentUsage(now - started_at, _accepted(source))
        if not history:
            return NO_USAGE
        oldest = history[0]
        accepted = {
            tenant: count - oldest.accepted.get(tenant, 0) for tenant, count in _accepted(source).items()
        }
        return RecentUsage(
            now - oldest.at, {tenant: count for tenant, count in accepted.items() if count > 0}
        )


def _accepted(source: ReplicatedSource) -> dict[str, int]:
    """Accepted requests by tenant, cumulative."""
    return {
        key[PREFIX_LENGTH:]: counts[0] - counts[1]
        for key, counts in source.values.items()
        if key[0] == USAGE_KIND
    }
