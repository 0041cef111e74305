"""Runs by chance: faults, orders and workers' fates drawn by a seed; and the shortening of what fails."""

import random
from collections.abc import Callable

from attrs import evolve

from ashlift.simulation.scene import Line, Play, Scene
from ashlift.simulation.world import Plan

CALM_S = 9.0  # at the end of a run: all is well again and what was acknowledged is read back
ZONES = ["z1", "z2", "z3", "z4", "z5", "z6"]


def drawn(seed: int, edge: int = 11, until: float = 30.0) -> Scene:
    """A schedule of faults. At most a minority of the core is away at a time, but for whole kills."""
    chance = random.Random(seed)
    plan = Plan(
        seed=seed,
        edge=edge,
        until=until,
        rate=chance.choice([40.0, 80.0]),
        quota=chance.choice([10.0, 200.0]),
        homes=chance.choice([[], ["r1"]]),
    )
    core = [f"core-{number + 1}" for number in range(plan.core)]
    edges = [f"edge-{number + 1}" for number in range(edge)]
    lines: list[Line] = []
    state = {"version": 1, "base": 1, "free": 0.0}
    evacuated: list[str] = []

    def change(at: float) -> list[str]:
        state["base"], state["version"] = state["version"], state["version"] + 1
        version = int(state["version"])
        words = chance.choice(
            [
                ["look=desk"],
                ["look=fleet"],
                ["bill=desk"],
                ["bill=bill"],
                [f"k-t{version % 4 + 1}-a"],
                [f"r+new{version}=fleet"],
                [f"q:t{version % 4 + 1}=8"],
            ]
        )
        where = ["at", chance.choice(core)] if chance.random() < 0.5 else []
        kind = "patch" if version % 2 else "put"
        return [kind, str(version), "on", str(int(state["base"])), *where, *words]

    def zone(at: float) -> list[str]:
        if evacuated and chance.random() < 0.6:
            return ["restore", evacuated.pop()]
        evacuated.append(chance.choice(ZONES[:5]))
        return ["evacuate", evacuated[-1]]

    def core_fault(at: float) -> list[str]:
        """One core machine at a time, and some seconds for its return."""
        if at < state["free"]:
            return change(at)
        seconds = chance.uniform(0.3, 3.0)
        state["free"] = at + seconds + 4.0
        one = chance.choice([*core, "leader"])
        rest = [name for name in core if name != one]
        span = ["for", f"{seconds:.2f}"]
        return chance.choice(
            [
                ["kill", "core", one, *span],
                ["freeze", "all", one, *span],
                ["power", one, *span],
                ["wipe", one, *span],
                ["cut", one, "|", "core", *span],
                ["oneway", one, "|", "core", *span],
                ["oneway", "core", "|", one, *span],
                ["cut", *core[:2], "|", *core[2:], *span],
                ["kill", "core", "*"],
                ["kill", "registry", "*"],
                ["cut", one, "|", *rest, "edge", *span],
            ]
        )

    def edge_fault(at: float) -> list[str]:
        some = chance.sample(edges, chance.choice([1, 1, 2, max(1, edge // 3)]))
        span = ["for", f"{chance.uniform(0.3, 7.0):.2f}"]
        return chance.choice(
            [
                ["kill", "proxy", *some],
                ["freeze", "proxy", *some, *span],
                ["cut", *some, "|", "core", *span],
                ["oneway", *some, "|", "core", *span],
                ["oneway", "core", "|", *some, *span],
                ["term", "proxy", some[0]],
                ["cut", *some, "|", "workers", *span],
                ["cut", *some, "|", "clients", *span],
            ]
        )

    def worker(at: float) -> list[str]:
        service = chance.choice(["fleet", "desk", "bill"])
        name = f"{service}-{chance.randint(1, plan.workers)}"
        return chance.choice(
            [
                ["crash", name],
                ["drain", name],
                ["chill", name, "3"],
                ["sick", name, "0.2"],
                ["add", service, chance.choice(ZONES), "cold", "3"],
            ]
        )

    makers: list[Callable[[float], list[str]]] = [change, zone, core_fault, edge_fault, worker]
    at = 6.0
    while at < until - CALM_S:
        lines.append(Line(round(at, 2), tuple(chance.choices(makers, [3, 1, 3, 4, 3])[0](at))))
        at += chance.expovariate(1.0)
    if chance.random() < 0.3:
        lines.append(Line(round(at, 2), ("hot", "t1", "10")))
    calm = until - CALM_S
    lines += [Line(calm, ("join",)), Line(calm, ("start", "*")), Line(until - 1.5, ("read",))]
    return Scene(f"by chance {seed}", plan, tuple(sorted(lines, key=lambda line: line.at)))


def shrunk(scene: Scene, seed: int, most: int = 200) -> Scene:
    """The scene without the events that are not needed to fail in the same rule; at most so many plays."""
    scene = evolve(scene, plan=evolve(scene.plan, seed=seed))
    rule = _rule(scene)
    if rule is None:
        return scene
    size, plays = max(1, len(scene.lines) // 2), 0
    while plays < most:
        at, shorter = 0, False
        while at < len(scene.lines) and plays < most:
            trial = evolve(scene, lines=scene.lines[:at] + scene.lines[at + size :])
            plays += 1
            if _rule(trial) == rule:
                scene, shorter = trial, True
            else:
                at += size
        if size == 1 and not shorter:
            break
        size = max(1, size // 2)
    return scene


def _rule(scene: Scene) -> str | None:
    try:
        found = Play(scene).run()
    except (KeyError, ValueError):  # an event that stood on one left out
        return None
    return None if found is None else getattr(found, "rule", "expect")
