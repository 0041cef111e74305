"""Writes the history of a lab run, in the format of `ashlift.lab.history`."""

import json
import time
from collections import Counter
from typing import Any, TextIO

from ashlift.lab.gatekeeper_settings import PLAN
from ashlift.lab.link_faults import LinkFault
from ashlift.lab.scenario import Scenario


class HistoryWriter:
    """Writes rows with the time in milliseconds since `begin`."""

    def __init__(self, stream: TextIO) -> None:
        self._stream = stream
        self.began = 0.0

    def begin(self) -> None:
        """Start the clock of the run."""
        self.began = time.monotonic()

    def now_ms(self) -> float:
        """Return the milliseconds since `begin`."""
        return (time.monotonic() - self.began) * 1000

    def plan(self, scenario: Scenario) -> None:
        """Record the quota plan, which all firms share."""
        self._write(kind="plan", name=PLAN, rate=scenario.quota, burst=scenario.burst)

    def fault(self, fault: LinkFault) -> None:
        """Record a fault of the schedule."""
        directions = sorted(map(str, fault.directions))
        self._write(
            kind="fault", t=fault.started_ms, until=fault.ended_ms, what=fault.state.kind, ways=directions
        )

    def job_sent(self, job: str, firm: str, gatekeeper: str) -> None:
        """Record that a job of one unit was sent now."""
        self._write(
            kind="asked", t=self.now_ms(), job=job, firm=firm, plan=PLAN, units=1, gatekeeper=gatekeeper
        )

    def job_answered(self, job: str, status: int, retry_after: float | None) -> None:
        """Record an answer that arrived now."""
        self._write(kind="answered", t=self.now_ms(), job=job, status=status, retry_after=retry_after)

    def killed(self, gatekeeper: str) -> None:
        """Record that a gatekeeper was killed and has exited."""
        self._write(kind="killed", t=self.now_ms(), gatekeeper=gatekeeper)

    def process_event(self, gatekeeper: str, text: str) -> None:
        """Record another event of a gatekeeper's process."""
        self._write(kind="process", t=self.now_ms(), gatekeeper=gatekeeper, what=text)

    def proxy_counts(self, counts: Counter[str]) -> None:
        """Record the counts of the proxy of a link."""
        for key, count in sorted(counts.items()):
            direction, action = key.split(" ", 1)
            self._write(kind="seen", way=direction, what=action, count=count)

    def _write(self, **row: Any) -> None:
        if "t" in row:
            row["t"] = round(row["t"], 3)
        self._stream.write(json.dumps(row) + "\n")
