"""Scenarios: text files with the plan of a world and one event a line.

A file may hold several scenarios; each begins with its title (`# title`). Plan lines set a field of
`plan.Plan`, such as `core 5`, `rate 60`, `homes r1` or `until 20`. Event lines begin with `at` and
the time in seconds. Options in brackets may be left out; `for 2` is a duration in seconds.

MACHINES are names, `*` (all machines that run the programs), `leader`, `others` (all of the core except the
leader), `core` or `edge`. PROGRAMS are `configstore`, `registry`, `proxy`, `core` (the first two) or `all`.

Network faults:
    cut A B | C D [for 2]          block all links between two groups of machines, in both directions
    oneway A | B [for 2]           block the links from the first group to the second
    join                           unblock all links
    loss 0.05                      drop this share of all messages
    torn 0.05                      abort this share of calls while they are written
    reset MACHINES                 reset all connections of these machines
    slow 0.3 MACHINES [for 20]     delay each message from or to these machines by so many seconds
Process, machine and disk faults:
    kill PROGRAMS MACHINES [for 1]                 restart after so many seconds
    freeze PROGRAMS MACHINES [for 2]               suspend as SIGSTOP does
    term PROGRAMS MACHINES                         send SIGTERM
    power MACHINES [for 2]                         cut the power
    wipe MACHINES [for 2]                          cut the power and erase the disks
    start MACHINES                                 power on, and start programs that do not run
    spoil MACHINES                                 corrupt the stored state
    disk hang|refuse|well MACHINES [for 2]         writes hang, fail, or work again
    disk slow MACHINES 0.8 [for 2]                 writes take so many seconds longer
    clock core-4 3                                 skew the wall clock by so many seconds
    closing                                        start of the final fault, after which RECOVER is checked
Clients and workers:
    load 3 | hot t1 5              multiply the plan's request rate, or the rate of one tenant
    ask KEY 4 [after 2]            send 4 requests a second with this key, once version 2 is acknowledged
    add fleet z1 [cold 3] [as fleet-2]   start a worker, in slow start for 3 s, at the address of another
    crash|drain fleet-1            end a worker at once, or after draining
    leave fleet-1 [at core-1] [on 8] [late 7]
                                   deregister a worker that has not drained; it serves for 8 s more and ends;
                                   its last heartbeat reaches another registry 7 s after it was sent
    chill fleet-1 3                put a worker into slow start for so many seconds
    sick fleet-1 0.2               lose this share of its responses
    grey fleet-1 0.3               answer this share of requests with 500
    break fleet-1 0.2              break the connection of this share of requests after they have run
    forget fleet-1 0.3             drop connections that were idle for so many seconds, without closing them
Operators:
    put|patch 2 [on 1] [by B] [at core-2] look=desk k-t1-a ...
                                   send version 2, with words of `configurations.edit_configuration`; its base
                                   is the newest version not rejected, with `on acked` the newest acknowledged
    evacuate|restore z1 [at core-2] [once]         `once`: do not retry
    read                           read the configuration
    orders 8 40 [core-2 ...]       start 8 operators that send commands until 40 s, to these machines first
    seeds core-4 core-5            replace the seed list
    edit ID hold=bill|r+NAME=SERVICE|r-NAME at core-2 [by B]     edit one route
    confirm|reject ID [over] at core-2 [by B]      decide on a pending edit
Expectations (`expect ...`); [*] counts since the last [*] or since `mark`:
    version N [at PROXY]           all running proxies, or this one, have this version
    acked N | refused N            all changes of this version were acknowledged, or rejected
    one N                          exactly one of different changes of this version was acknowledged
    served S                       at least this share of operations succeeded [*]
    sure KEY S                     at least this share of all operations with this key succeeded
    swift S                        each command was answered within so many seconds [*]
    crew                           all proxies know the workers that run, and no others
    evacuated z1                   an evacuation of the zone was acknowledged
    leader                         there is a leader that has committed an entry in its term
    idle|busy WORKER               the worker received no requests, or some [*]
    told ID STATUS                 the last response to an edit had this status
    edit ID in-force|lost|rejected|waits           the edit has this outcome
    alike                          all proxies have the committed routes
"""

from pathlib import Path

from attrs import define, evolve, fields

from ashlift.simulation.plan import Plan


@define(frozen=True)
class ScenarioEvent:
    """An event at a time in seconds, as the words of its line."""

    at: float
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"at {self.at:g} {' '.join(self.words)}"


@define(frozen=True)
class Scenario:
    """The plan of a world and the events in it, ordered by time."""

    title: str
    plan: Plan
    events: tuple[ScenarioEvent, ...]

    def shortened(self, until: float) -> "Scenario":
        """Return the scenario without what comes after `until` seconds."""
        plan = evolve(self.plan, until=min(until, self.plan.until))
        return evolve(self, plan=plan, events=tuple(event for event in self.events if event.at <= until))

    def to_text(self) -> str:
        """Return the scenario in the file format."""
        defaults = Plan()
        lines = [f"# {self.title}"]
        for attribute in fields(Plan):
            value = getattr(self.plan, attribute.name)
            if value != getattr(defaults, attribute.name):
                lines.append(f"{attribute.name} {' '.join(value) if isinstance(value, list) else value}")
        return "\n".join([*lines, *map(str, self.events)]) + "\n"


def parse_scenarios(text: str) -> list[Scenario]:
    """Return the scenarios of a text. Raises ValueError for an invalid line."""
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
    """Set the field named by the first word; returns whether there is such a field."""
    name, *values = words
    types = {attribute.name: attribute.type for attribute in fields(Plan)}
    if name not in types:
        return False
    field_type = types[name]
    setattr(plan, name, field_type(values[0]) if field_type in (int, float) else values)
    return True


def read_scenarios(path: str | Path) -> list[Scenario]:
    """Return the scenarios of a file. Raises ValueError for an invalid line."""
    return parse_scenarios(Path(path).read_text())
