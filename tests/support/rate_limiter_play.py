"""Plays a scene of the limiter: gatekeepers, pegboards that sum, clients, on simulated time.

A scene is a text file, a line a word and its figures:
  gatekeepers N | pegboards N | rate R BURST | usual R | seconds S | skew A (0 even) | clump N (at once)
  wave SHARE PERIOD_S | hot AT FOR X | cut AT FOR COUNT | kill AT DOWN_S SHARE | quota AT R BURST
  split AT FOR COUNT (so many pegboards are cut from the others) | dark AT FOR (no registry; then all anew)
Figures of a play: the worst window over the bound, the share refused while calm, hot let in over rate, and
let in in the first second of it over rate.
"""

import math
import random
from dataclasses import dataclass, field
from pathlib import Path

from ashlift.traffic.rate_limiter import RateLimiter, UsageByTenant

TICK = 0.02
EVENTS = ("hot", "cut", "kill", "quota", "split", "dark")
SCENES = Path(__file__).parent.parent / "scenarios"
LEASE, FENCE, PULL = 2.0, 5.0, 0.25


@dataclass(frozen=True)
class Bounds:
    quota_window: float = 5.0
    quota_overrun: float = 0.1
    quota_slack: float = 20.0


@dataclass
class Gatekeeper:
    """One life of a gatekeeper, and the adds it waits to hear of."""

    limiter: RateLimiter
    weight: float
    pull_at: float
    asked: UsageByTenant = field(default_factory=dict)
    told: dict[str, UsageByTenant] = field(default_factory=dict)
    down_until: float = -1.0
    cut_until: float = -1.0
    heard_at: float = -math.inf
    seen_at: float = -math.inf


@dataclass
class Figures:
    worst: float  # worst window x bound
    refused: float  # share of requests refused while calm
    hot: float  # let in while hot x rate
    onset: float  # let in in the first second of it x rate


def read(name: str) -> list[tuple[str, list[float]]]:
    lines = [line.split("#")[0].split() for line in (SCENES / name).read_text().splitlines()]
    return [(words[0], [float(word) for word in words[1:]]) for words in lines if words]


def _poisson(rng: random.Random, mean: float) -> int:
    if mean <= 0:
        return 0
    limit, count, product = math.exp(-mean), 0, rng.random()
    while product > limit:
        count, product = count + 1, product * rng.random()
    return count


class Play:
    """One scene with one seed."""

    def __init__(self, scene: list[tuple[str, list[float]]], seed: int) -> None:
        self.rng = random.Random(seed)
        self.steady = {word: figures for word, figures in scene}
        self.events = [(word, f) for word, f in scene if word in EVENTS]
        get = self.steady.get
        self.rate, self.burst = self.steady["rate"]
        skew = get("skew", [0.0])[0]
        count, boards = int(self.steady["gatekeepers"][0]), int(get("pegboards", [3])[0])
        # Sums as a registry knows them, by source.
        self.boards: list[dict[str, UsageByTenant]] = [
            {f"p{at}#0": {} for at in range(boards)} for _ in range(boards)
        ]
        self.life = 0  # of the pegboards
        self.swap_at = [self.rng.random() * PULL for _ in range(boards)]
        self.gates = [
            self._start(0.0, self.rng.gammavariate(1 / skew, skew) if skew else 1.0) for _ in range(count)
        ]
        self.passed: list[float] = []
        self.worst, self.dark_until = 0.0, 0.0
        self.calm = [0, 0]
        self.hot = [0, 0.0]
        self.onset = 0

    def _start(self, now: float, weight: float) -> Gatekeeper:
        limiter = RateLimiter(random.Random(self.rng.random()), Bounds())
        limiter.set_quota("t", self.rate, self.burst)
        limiter.set_proxy_count(now, int(self.steady["gatekeepers"][0]))
        return Gatekeeper(limiter, weight, now + self.rng.random() * PULL)

    def run(self) -> Figures:
        now, end = 0.0, self.steady["seconds"][0]
        while now < end:
            for at in range(len(self.boards)):
                if now >= self.swap_at[at]:
                    self.swap_at[at] = now + PULL + 0.04 * self.rng.random()
                    for other, board in enumerate(self.boards):
                        if not self._apart(now, at, other):
                            source = f"p{other}#{self.life}"
                            self.boards[at][source] = dict(board[source])
            self._happen(now)
            for at, gate in enumerate(self.gates):
                if now >= max(gate.down_until, gate.cut_until, gate.pull_at, self.dark_until):
                    self._pull(now, at, gate)
            self._arrivals(now)
            now += TICK
        return Figures(
            max(self.worst, self._worst()),
            self.calm[1] / max(1, self.calm[0]),
            self.hot[0] / max(1.0, self.hot[1] * self.rate),
            self.onset / self.rate,
        )

    def _happen(self, now: float) -> None:
        for word, figures in self.events:
            if not figures[0] <= now < figures[0] + TICK:
                continue
            live = [gate for gate in self.gates if now >= gate.down_until]
            if word == "cut":
                for gate in self.rng.sample(live, int(figures[2])):
                    gate.cut_until = now + figures[1]
            if word == "dark":
                self.dark_until, self.life = now + figures[1], self.life + 1
                count = len(self.boards)
                self.boards = [{f"p{at}#{self.life}": {} for at in range(count)} for _ in range(count)]
            if word == "kill":
                for gate in self.rng.sample(live, int(figures[2] * len(live))):
                    fresh = self._start(now, gate.weight)
                    gate.limiter, gate.told, gate.asked = fresh.limiter, {}, {}
                    gate.down_until = now + figures[1] * (0.7 + 0.6 * self.rng.random())
                    gate.pull_at, gate.heard_at = gate.down_until + fresh.pull_at - now, -math.inf
            if word == "quota":
                self.worst, self.passed = self._worst(), []
                self.rate, self.burst = figures[1:]
                for gate in self.gates:
                    gate.limiter.set_quota("t", self.rate, self.burst)

    def _pull(self, now: float, at: int, gate: Gatekeeper) -> None:
        """The answer to the last call, and the next call. What was asked was added when the call came."""
        index = at % len(self.boards)
        board, source = self.boards[index], f"p{index}#{self.life}"
        gate.limiter.confirm_counts(gate.asked)
        changed = {
            name: {t: s for t, s in sums.items() if gate.told.get(name, {}).get(t) != s}
            for name, sums in board.items()
            if name not in gate.told or gate.told[name] != sums
        }
        gate.limiter.record_usage_totals(now, changed)
        gate.told = {name: dict(sums) for name, sums in board.items()}
        gate.heard_at = gate.seen_at = now
        gate.limiter.set_proxy_count(
            now, max(1, sum(self._stands(now, at, i) for i in range(len(self.gates))))
        )
        gate.asked = gate.limiter.take_new_counts()
        for tenant, (total, declined) in {**gate.asked, "other": (self.rng.randint(2, 6), 0)}.items():
            old = board[source].get(tenant, (0, 0))
            board[source][tenant] = (old[0] + total, old[1] + declined)
        gate.pull_at = now + PULL + 0.02 + 0.03 * self.rng.random()

    def _stands(self, now: float, at: int, other: int) -> bool:
        """Whether the gatekeeper `at` knows of the other's session."""
        if self._apart(now - FENCE, at, other) and self._apart(now, at, other):
            return False  # its source was dropped
        return self._apart(now, at, other) or now - max(self.dark_until, self.gates[other].seen_at) <= LEASE

    def _apart(self, now: float, at: int, other: int) -> bool:
        """Whether a cut of the core lies between the pegboards of two gatekeepers."""
        boards = len(self.boards)
        splits = [f for word, f in self.events if word == "split" and f[0] <= now < f[0] + f[1]]
        return any((at % boards < f[2]) != (other % boards < f[2]) for f in splits)

    def _fenced(self, now: float, at: int, gate: Gatekeeper) -> bool:
        """Whether it has had no proof from more than half of the core for too long."""
        minor = any(
            word == "split"
            and f[0] + FENCE <= now < f[0] + f[1]
            and (at % len(self.boards) < f[2]) == (f[2] * 2 < len(self.boards))
            for word, f in self.events
        )
        return minor or now - gate.heard_at > FENCE and now >= 2

    def _arrivals(self, now: float) -> None:
        usual = self.steady["usual"][0]
        share, period = self.steady.get("wave", [0.0, 1.0])
        usual *= 1 + share * math.sin(2 * math.pi * now / period)
        clump = int(self.steady.get("clump", [1])[0])
        is_hot, calm, onset = False, now > 2, False
        for word, f in self.events:
            if word == "hot" and f[0] <= now < f[0] + f[1]:
                usual, is_hot, onset = usual * f[2], True, now < f[0] + 1
            if word in ("hot", "quota") and f[0] - 0.1 <= now < f[0] + (f[1] if word == "hot" else 99) + 3:
                calm = False
        live = [
            gate
            for at, gate in enumerate(self.gates)
            if now >= gate.down_until and not self._fenced(now, at, gate)
        ]
        weights = sum(gate.weight for gate in live)
        for gate in live:
            for _ in range(_poisson(self.rng, usual * TICK * gate.weight / weights / (1 + clump) * 2)):
                for _ in range(self.rng.randint(1, clump)):
                    passes = gate.limiter.admit(now, "t") is None
                    if passes:
                        self.passed.append(now)
                    self.calm[0] += calm
                    self.calm[1] += calm and not passes
                    self.hot[0] += is_hot and passes
                    self.onset += onset and passes
        self.hot[1] += TICK * is_hot

    def _worst(self) -> float:
        """The fullest sliding window over the bound. After a new quota all counts anew."""
        bounds = Bounds()
        most = self.rate * bounds.quota_window + self.burst
        most = most * (1 + bounds.quota_overrun) + bounds.quota_slack
        first = worst = 0
        for at, time in enumerate(self.passed):
            while self.passed[first] < time - bounds.quota_window:
                first += 1
            worst = max(worst, at - first + 1)
        return worst / most
