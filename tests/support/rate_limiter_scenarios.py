"""Rate limiter scenarios, read from text files: settings and events.

Each line of a scenario has a key and its numbers (times in seconds):
  proxies N | registries N (default 3) | quota RATE BURST | usual_rate R | seconds S
  skew A (variance of the proxies' traffic weights; 0: equal) | batch N (most simultaneous requests)
  wave SHARE PERIOD_S (sinusoidal variation of the usual rate)
  overload AT FOR FACTOR | isolate AT FOR PROXIES | kill AT DOWNTIME_S SHARE | set_quota AT RATE BURST
  partition AT FOR REGISTRIES (number separated from the others)
  outage AT FOR (no registry answers, then all restart) | seeds N | expect WORST DECLINED [LEAST_ADMITTED]
"""

from pathlib import Path
from typing import NamedTuple

SCENARIOS = Path(__file__).parent.parent / "scenarios"


class Overload(NamedTuple):
    """Clients send requests at `factor` times the usual rate."""

    at: float
    seconds: float
    factor: float


class Isolation(NamedTuple):
    """`proxies` randomly chosen proxies cannot reach any registry."""

    at: float
    seconds: float
    proxies: float


class Kill(NamedTuple):
    """A share of the proxies is killed; each restarts after about `downtime_seconds`."""

    at: float
    downtime_seconds: float
    share: float


class QuotaChange(NamedTuple):
    """The operator changes the quota."""

    at: float
    rate: float
    burst: float


class Partition(NamedTuple):
    """A network partition separates the first `registries` from the others."""

    at: float
    seconds: float
    registries: float

    def lasts(self, now: float) -> bool:
        return self.at <= now < self.at + self.seconds


class Outage(NamedTuple):
    """No registry answers; afterwards all restart with empty totals."""

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
    """The settings of a scenario by key, and its events in file order."""

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
