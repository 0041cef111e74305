"""Scenarios: small text files, a line for each event.

# title                     one file may hold several scenarios
core 5 | edge 11 | rate 60 | seed 1 | workers 6 | quota 200 | homes r1 ...      what is built (world.Plan)
until 20
at 3.0 cut core-1 | core-2 core-3 [for 2]     both ways; `oneway A | B`: none from A to B; `join`: all
at 4 kill PROGRAMS WHO [for 1] | freeze PROGRAMS WHO [for 2] | term PROGRAMS WHO
                                 PROGRAMS: configstore, registry, proxy, core (the first two), all
                                 WHO: names of machines, `*`, `leader`, `others`; `kill proxy edge-1 for 2`
at 4 power WHO [for 2] | wipe WHO [for 2] | start WHO | spoil WHO      machines; spoil: the disk reads no more
at 4 disk hang WHO [for 2] | disk refuse WHO [for 2] | disk slow WHO 0.8 [for 2] (s more a write)
at 4 closing                     what comes now is the closing fault
at 5 loss 0.05 | load 3 | hot t1 5      calls that get no answer; clients' rate, of all, and of one tenant
at 5 torn 0.05                   calls that are given up in the middle of being written
at 5 ask KEY 4 [after 2]         clients with this key ask so often a second; once version 2 is acknowledged
at 5 put|patch 2 [on 1] [by B] [at core-2] look=desk k-t1-a ...  the operator (configurations.py); on the
                                 newest not refused if left out, `on acked`: on the newest acknowledged
at 5 evacuate z1 [at core-2] [once] | restore z1 | read    once: given up after one call
at 5 orders 8 40 [core-2 ...]    so many operators, each with an order under way until 40, there
at 5 reset WHO | slow 0.3 WHO for 20      its connections break; each message from or to it takes so much more
at 5 add fleet z1 [cold 3] [as fleet-2] | crash fleet-1 | drain fleet-1 | chill fleet-1 3 | sick fleet-1 0.2
at 5 grey fleet-1 0.3 | forget fleet-1 0.3    share of 500; s of rest after which a connection is forgotten
at 5 break fleet-1 0.2           share of requests that run, and whose connection breaks then
at 5 seeds core-4 core-5
at 5 edit ID hold=bill|r+NAME=SERVICE|r-NAME at core-2 [by B]     one route; clock core-4 3
at 5 confirm|reject ID [over] at core-2 [by B]                    the operator's word on it
at 8 expect WHAT                 version N everywhere|at PROXY | acked N | refused N | served S (share since
                                 the last) | crew (all know the workers) | evacuated z1 | leader | runs N
                                 | idle WORKER (nothing since the last `expect` of its kind, or `mark`)
                                 | busy WORKER | told ID STATUS | edit ID in-force|lost|rejected|waits
                                 | alike (all proxies hold the routes agreed on, byte for byte)
                                 | busy WORKER | sure KEY S (share served of all wanted with it)
                                 | one N (one order of that version is acknowledged, by whoever sent it)
                                 | swift S (every order since the last had its clear answer within so long)
"""

from pathlib import Path

from attrs import define, evolve, fields

from ashlift.simulation.plan import Plan


@define(frozen=True)
class ScenarioEvent:
    """What happens at a time, as the words of its line."""

    at: float
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"at {self.at:g} {' '.join(self.words)}"


@define(frozen=True)
class Scenario:
    """What is built, and what happens then, in the order of time."""

    title: str
    plan: Plan
    events: tuple[ScenarioEvent, ...]

    def shortened(self, until: float) -> "Scenario":
        """Return the scenario with its end at `until` seconds at the latest, without later events."""
        plan = evolve(self.plan, until=min(until, self.plan.until))
        return evolve(self, plan=plan, events=tuple(event for event in self.events if event.at <= until))

    def to_text(self) -> str:
        """Return the scenario as a file has it."""
        defaults = Plan()
        lines = [f"# {self.title}"]
        for attribute in fields(Plan):
            value = getattr(self.plan, attribute.name)
            if value != getattr(defaults, attribute.name):
                lines.append(f"{attribute.name} {' '.join(value) if isinstance(value, list) else value}")
        return "\n".join([*lines, *map(str, self.events)]) + "\n"


def parse_scenarios(text: str) -> list[Scenario]:
    """Return the scenarios of a text. Raises ValueError for a line that has no meaning."""
    parsed: list[tuple[str, Plan, list[ScenarioEvent]]] = []
    for line in text.splitlines():
        if line.startswith("# "):
            parsed.append((line[2:].strip(), Plan(), []))
            continue
        words = line.partition("#")[0].split()
        if not words:
            continue
        _, plan, events = parsed[-1]
        if words[0] == "at":
            events.append(ScenarioEvent(float(words[1]), tuple(words[2:])))
        elif not _set_plan_field(plan, words):
            raise ValueError(line)
    return [
        Scenario(title, plan, tuple(sorted(events, key=lambda event: event.at)))
        for title, plan, events in parsed
    ]


def _set_plan_field(plan: Plan, words: list[str]) -> bool:
    """Set the field that the first word names; whether there is one."""
    name, *values = words
    types = {attribute.name: attribute.type for attribute in fields(Plan)}
    if name not in types:
        return False
    field_type = types[name]
    setattr(plan, name, field_type(values[0]) if field_type in (int, float) else values)
    return True


def read_scenarios(path: str | Path) -> list[Scenario]:
    """Return the scenarios of a file. Raises ValueError for a line that has no meaning."""
    return parse_scenarios(Path(path).read_text())
