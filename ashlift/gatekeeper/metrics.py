"""Counters of the gatekeeper."""

import sys
from collections import Counter
from typing import TextIO


class Metrics:
    """Counts by name; printed on SIGUSR1 and at exit."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add(self, name: str, by: int = 1) -> None:
        self.counts[name] += by

    def dump(self, why: str, sink: TextIO | None = None) -> None:
        lines = [f"counters ({why})", *(f"  {name} {count}" for name, count in sorted(self.counts.items()))]
        print("\n".join(lines), file=sink or sys.stderr, flush=True)
