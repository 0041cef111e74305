"""Scenarios of the rate limiter, read from text files: settings and events.

A scenario is a text file, a line a key and its numbers:
  proxies N | registries N (3) | quota RATE BURST | usual_rate R | seconds S | skew A (0: proxies get alike)
  batch N (requests at once, at most) | wave SHARE PERIOD_S (of the usual rate)
  overload AT FOR FACTOR | isolate AT FOR PROXIES | kill AT DOWNTIME_S SHARE | set_quota AT RATE BURST
  partition AT FOR REGISTRIES (so many are cut from the others) | outage AT FOR (no registry; all start anew)
  seeds N | expect WORST DECLINED [LEAST_ADMITTED]
"""

from pathlib import Path
from typing import NamedTuple

SCENARIOS = Path(__file__).parent.parent / "scenarios"


class Overload(NamedTuple):
    """Clients ask `factor` times the usual rate."""

    at: float
    seconds: float
    factor: float


class Isolation(NamedTuple):
    """Some proxies reach no registry."""

    at: float
    seconds: float
    proxies: float


class Kill(NamedTuple):
    """A share of the proxies is killed, each for about `downtime_seconds`."""

    at: float
    downtime_seconds: float
    share: float


class QuotaChange(NamedTuple):
    """The operator sets another quota."""

    at: float
    rate: float
    burst: float


class Partition(NamedTuple):
    """The first `registries` are cut from the others."""

    at: float
    seconds: float
    registries: float

    def lasts(self, now: float) -> bool:
        return self.at <= now < self.at + self.seconds


class Outage(NamedTuple):
    """No registry answers; then all start with empty totals."""

    at: float
    seconds: float


Event = Overload | Isolation | Kill | QuotaChange | Partition | Outage
EVENTS: dict[str, type[Event]] = {
    "overload": Overload,
    "isolate": Isolation,
    "kill": Kill,
    "set_quota": QuotaChange,
    "partition": Partition,
    "outage": Outage,
}


class Scenario:
    """The settings of a scenario by key, and its events in the order of the file."""

    def __init__(self, name: str) -> None:
        lines = [line.split("#")[0].split() for line in (SCENARIOS / name).read_text().splitlines()]
        self.settings: dict[str, list[float]] = {}
        self.events: list[Event] = []
        for key, *words in (line for line in lines if line):
            numbers = [float(number) for number in words]
            if key in EVENTS:
                self.events.append(EVENTS[key](*numbers))
            else:
                self.settings[key] = numbers

    def value(self, key: str, default: float = 0.0) -> float:
        return self.settings.get(key, [default])[0]
