"""Worst days by chance: every trouble that the simulator knows, alone, in pairs at close times and repeated.

Beside what `chance` draws: cuts that outlast every lease, disks that hang, refuse or are slow, the whole core
without power in the middle, a disk lost right after an acknowledgement, orders that meet a machine as it
returns, two operators at once there, new seeds while those are cut off, workers that leave or forget
connections. At a time one core machine is lost at most, with `SYNC_S` for its return, as the settings say.
"""

import random
from collections.abc import Callable, Iterator

from ashlift.simulation.chance import CALM_S, ZONES
from ashlift.simulation.scene import Line, Scene
from ashlift.simulation.world import Plan

SYNC_S = 4.0  # a machine counts as lost so long after its return
ACK_S = 6.0  # an operator gives up an evacuation, or its end, after so long
LONG_S = 21.0
Event = tuple[float, list[str]]  # when, words of a line


class Worst:
    """One schedule of a seed; `scene()` gives it."""

    def __init__(self, seed: int, edge: int = 7, until: float = 60.0) -> None:
        self._chance = chance = random.Random(f"worst {seed}")
        self.plan = Plan(
            seed=seed,
            edge=edge,
            until=until,
            rate=chance.choice([30.0, 60.0]),
            quota=chance.choice([10.0, 200.0]),
            loss=chance.choice([0.0, 0.0, 0.01]),
            homes=chance.choice([[], ["r1"]]),
        )
        self._core = [f"core-{number + 1}" for number in range(self.plan.core)]
        self._edge = [f"edge-{number + 1}" for number in range(edge)]
        self._free = 0.0
        self._zones = chance.sample(ZONES[:5], 5)  # each is evacuated once
        self._evacuated: list[tuple[float, str]] = []  # since when
        self._drawers: list[tuple[int, Callable[[float], Iterator[Event]]]] = [
            (3, self._order),
            (2, self._race),
            (1, self._zone),
            (5, self._core_fault),
            (1, self._whole_core),
            (2, self._disk),
            (3, self._edge_fault),
            (2, self._worker),
            (1, self._seeds),
            (1, self._storm),
            (1, self._crowd),
        ]

    def scene(self) -> Scene:
        chance, until = self._chance, self.plan.until - CALM_S
        events: list[Event] = []
        weights, draws = zip(*self._drawers, strict=True)
        at = 6.0
        while at < until:
            draw = chance.choices(draws, weights)[0]
            for _ in range(chance.choice([1, 1, 1, 3])):  # one, or the same kind three times over
                events += draw(at)
                at += chance.choice([0.05, 0.4, 1.5, 3.0])
            at += chance.expovariate(0.8)
        lines = [Line(round(when, 3), tuple(words)) for when, words in self._numbered(events) if when < until]
        rest = [("join",), ("start", "*"), ("disk", "well", "*")]
        lines += [Line(until, words) for words in rest] + [Line(self.plan.until - 1.5, ("read",))]
        return Scene(f"worst {self.plan.seed}", self.plan, tuple(sorted(lines, key=lambda line: line.at)))

    def _numbered(self, events: list[Event]) -> Iterator[Event]:
        """Versions in the order of time, in place of `#`."""
        version = 1
        for when, words in sorted(events, key=lambda event: event[0]):
            version += words[0] in ("put", "patch")
            yield when, [word.replace("#", str(version)) for word in words]

    def _change(self, at: float, *told: str) -> Event:
        """`#` stands for a version that `_numbered` tells."""
        words = self._chance.choice(
            [
                ["look=desk"],
                ["look=fleet"],
                ["bill=desk"],
                ["bill=bill"],
                [f"k-t{self._chance.randint(1, 4)}-a"],
                ["r+new#=fleet"],
                [f"q:t{self._chance.randint(1, 4)}=8"],
            ]
        )
        return at, [self._chance.choice(["put", "patch"]), "#", *told, *words]

    def _order(self, at: float) -> Iterator[Event]:
        told = ["at", self._chance.choice(self._core)] if self._chance.random() < 0.5 else []
        yield self._change(at, *told)

    def _race(self, at: float, where: str = "") -> Iterator[Event]:
        """Both on what was acknowledged last."""
        for name in ("A", "B"):
            told = ["at", where or self._chance.choice(self._core)] if self._chance.random() < 0.7 else []
            yield self._change(at + self._chance.uniform(0.0, 0.05), "on", "acked", "by", name, *told)

    def _zone(self, at: float) -> Iterator[Event]:
        """Taken back only once the order is no more under way: of two at once either may come last."""
        if self._evacuated and at - self._evacuated[0][0] > ACK_S:
            yield at, ["restore", self._evacuated.pop(0)[1]]
        elif self._zones:
            self._evacuated.append((at, self._zones.pop()))
            yield at, ["evacuate", self._evacuated[-1][1]]

    def _core_fault(self, at: float) -> Iterator[Event]:
        """One core machine: lost, and met by an order, two at once, or a worker's leaving as it returns."""
        chance = self._chance
        if at < self._free:
            yield from self._order(at)
            return
        one = chance.choice([*self._core, "leader", "leader"])
        cut = chance.random() < 0.5
        seconds = LONG_S if cut and chance.random() < 0.4 else chance.uniform(0.3, 5.0)
        self._free = at + seconds + SYNC_S
        span = ["for", f"{seconds:.2f}"]
        if cut:
            yield (
                at,
                chance.choice(
                    [
                        ["cut", one, "|", "core", *span],
                        ["oneway", one, "|", "core", *span],
                        ["oneway", "core", "|", one, *span],
                    ]
                ),
            )
        else:
            if chance.random() < 0.4:  # right after it was sent, so near its acknowledgement
                yield self._change(at - chance.uniform(0.005, 0.4))
            yield (
                at,
                chance.choice(
                    [
                        ["kill", "core", one, *span],
                        ["freeze", "all", one, *span],
                        ["power", one, *span],
                        ["wipe", one, *span],
                        ["wipe", one, *span],
                    ]
                ),
            )
        back = at + seconds + chance.uniform(0.0, 0.8)
        where = one if one != "leader" else chance.choice(self._core)
        match chance.choice(["alone", "meet", "race", "drain", "cut"]):
            case "meet":
                yield self._change(back, "at", where)
            case "race":
                yield from self._race(back, where)
            case "drain":
                yield back, ["drain", self._someone()]
            case "cut" if cut:
                yield self._change(at + 0.5, "at", where)

    def _whole_core(self, at: float) -> Iterator[Event]:
        span = ["for", f"{self._chance.uniform(0.4, 1.5):.2f}"]
        if self._chance.random() < 0.6:
            yield self._change(at - self._chance.uniform(0.005, 0.4))
        yield (
            at,
            self._chance.choice(
                [
                    ["kill", "core", "*"],
                    ["kill", "registry", "*"],
                    ["kill", "configstore", "*"],
                    ["kill", "all", "*"],
                    ["power", *self._core, *span],
                    ["power", "*", *span],
                ]
            ),
        )

    def _disk(self, at: float) -> Iterator[Event]:
        chance = self._chance
        if at < self._free:
            yield from self._order(at)
            return
        seconds = chance.uniform(0.5, 6.0)
        self._free = at + seconds + SYNC_S
        one = chance.choice([*self._core, "leader"])
        how = chance.choice([["hang", one], ["refuse", one], ["slow", one, "0.6"]])
        yield at, ["disk", *how, "for", f"{seconds:.2f}"]
        yield self._change(at + 0.2)

    def _edge_fault(self, at: float) -> Iterator[Event]:
        chance = self._chance
        some = chance.sample(self._edge, chance.choice([1, 1, 2, max(1, len(self._edge) // 3)]))
        seconds = LONG_S if chance.random() < 0.25 else chance.uniform(0.3, 7.0)
        span = ["for", f"{seconds:.2f}"]
        yield (
            at,
            chance.choice(
                [
                    ["kill", "proxy", *some],
                    ["kill", "proxy", "*"],
                    ["freeze", "proxy", *some, *span],
                    ["cut", *some, "|", "core", *span],
                    ["oneway", *some, "|", "core", *span],
                    ["oneway", "core", "|", *some, *span],
                    ["term", "proxy", some[0]],
                    ["cut", *some, "|", "workers", *span],
                    ["cut", *some, "|", "clients", *span],
                ]
            ),
        )

    def _storm(self, at: float) -> Iterator[Event]:
        """Changes in quick succession, each on the one before, acknowledged or not; some by two operators."""
        gap = self._chance.choice([0.05, 0.15, 0.3])
        for number in range(self._chance.randint(5, 15)):
            yield self._change(at + number * gap, "by", self._chance.choice(["A", "A", "B"]))

    def _crowd(self, at: float) -> Iterator[Event]:
        """A hot tenant or twice the clients for a while, or a clock that is off."""
        match self._chance.choice(["hot", "load", "clock"]):
            case "hot":
                yield at, ["hot", "t1", "10"]
                yield at + 5.0, ["hot", "t1", "0.1"]
            case "load":
                yield at, ["load", "2"]
                yield at + 5.0, ["load", "1"]
            case _:
                off = str(self._chance.choice([-4, 3, 9]))
                yield at, ["clock", self._chance.choice(self._core), off]

    def _someone(self) -> str:
        service = self._chance.choice(["fleet", "desk", "bill"])
        return f"{service}-{self._chance.randint(1, self.plan.workers)}"

    def _worker(self, at: float) -> Iterator[Event]:
        chance, name = self._chance, self._someone()
        service = name.partition("-")[0]
        yield (
            at,
            chance.choice(
                [
                    ["crash", name],
                    ["drain", name],
                    ["sick", name, "0.2"],
                    ["grey", name, "0.3"],
                    ["forget", name, "0.3"],
                    ["add", service, chance.choice(ZONES), "cold", "3"],
                ]
            ),
        )

    def _seeds(self, at: float) -> Iterator[Event]:
        yield at, ["seeds", *self._chance.sample(self._core, 3)]
        if self._chance.random() < 0.5:
            yield at + 0.1, ["kill", "proxy", *self._chance.sample(self._edge, 2)]


def drawn(seed: int) -> Scene:
    """The scene of a seed."""
    return Worst(seed).scene()
