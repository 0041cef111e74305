"""Scenes: small text files, one line an event.

# title                     one file may hold several scenes
core 5 | edge 11 | rate 60 | seed 1 | workers 6 | quota 200 | homes r1 ...      what is built (world.Plan)
until 20
at 3.0 cut core-1 | core-2 core-3 [for 2]     both ways; `oneway A | B`: none from A to B; `join`: all
at 4 kill proxy * [for 1]        configstore, registry, proxy, core, all; WHO: names, `*`, `leader`, `others`
at 4 freeze all WHO for 2 | term proxy WHO
at 4 power WHO [for 2] | wipe WHO [for 2] | start WHO | spoil WHO      machines; spoil: the disk reads no more
at 4 disk hang WHO [for 2] | disk refuse WHO [for 2] | disk slow WHO 0.8 [for 2] (s more a write)
at 4 closing                     what comes now is the closing fault
at 5 loss 0.05 | load 3 | hot t1 5      calls that get no answer; clients' rate, of all, and of one tenant
at 5 torn 0.05                   calls that are given up in the middle of being written
at 5 ask KEY 4 [after 2]         clients with this key ask so often a second; once version 2 is acknowledged
at 5 put|patch 2 [on 1] [by B] [at core-2] look=desk k-t1-a ...  the operator (people.edited); on the
                                 newest not refused if left out, `on acked`: on the newest acknowledged
at 5 evacuate z1 [at core-2] [once] | restore z1 | read    once: given up after one call
at 5 orders 8 40 [core-2 ...]    so many operators, each with an order under way until 40 (callers), there
at 5 reset WHO | slow 0.3 WHO for 20      its connections break; each message from or to it takes so much more
at 5 add fleet z1 [cold 3] [as fleet-2] | crash fleet-1 | drain fleet-1 | chill fleet-1 3 | sick fleet-1 0.2
at 5 grey fleet-1 0.3 | forget fleet-1 0.3    share of 500; s of rest after which a connection is forgotten
at 5 break fleet-1 0.2           share of requests that run, and whose connection breaks then
at 5 seeds core-4 core-5
at 5 edit ID hold=bill|r+NAME=SERVICE|r-NAME at core-2 [by B]     one route (clerks); clock core-4 3
at 5 confirm|reject ID [over] at core-2 [by B]                    the operator's word on it
at 8 expect WHAT                 version N everywhere|at GATE | acked N | refused N | served S (share since
                                 the last) | crew (all know the workers) | evacuated z1 | leader | runs N
                                 | idle WORKER (nothing since the last `expect` of its kind, or `mark`)
                                 | busy WORKER | told ID STATUS | edit ID in-force|lost|rejected|waits
                                 | alike (all gatekeepers hold the routes agreed on, byte for byte)
                                 | busy WORKER | sure KEY S (share served of all wanted with it)
                                 | one N (one order of that version is acknowledged, by whoever sent it)
                                 | swift S (every order since the last had its clear answer within so long)
"""

import gc
import math
from collections.abc import Callable
from pathlib import Path

from attrs import define, evolve, fields

from ashlift.config.routing_table import RoutingTable
from ashlift.simulation import clerks
from ashlift.simulation.checkers.rules import first_violation
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.people import Operator, Want, change, edited, patched
from ashlift.simulation.world import ROUTES, Plan, World, first_configuration

RARELY = (200_000, 50, 1000)  # of gc.set_threshold
FIRST_S = 0.5  # the operator sends the first configuration so long after the start


@define(frozen=True)
class Line:
    at: float
    words: tuple[str, ...]

    def __str__(self) -> str:
        return f"at {self.at:g} {' '.join(self.words)}"


@define(frozen=True)
class Scene:
    title: str
    plan: Plan
    lines: tuple[Line, ...]

    def shortened(self, until: float) -> "Scene":
        """The same scene with its end at `until` seconds at the latest, without the events after that."""
        plan = evolve(self.plan, until=min(until, self.plan.until))
        return evolve(self, plan=plan, lines=tuple(line for line in self.lines if line.at <= until))

    def text(self) -> str:
        """As a scene file has it."""
        usual = Plan()
        told = [f"# {self.title}"]
        for one in fields(Plan):
            value = getattr(self.plan, one.name)
            if value != getattr(usual, one.name):
                told.append(f"{one.name} {' '.join(value) if isinstance(value, list) else value}")
        return "\n".join([*told, *map(str, self.lines)]) + "\n"


def read(text: str) -> list[Scene]:
    """Raises ValueError for a line that is none."""
    found: list[tuple[str, Plan, list[Line]]] = []
    kinds = {one.name: one.type for one in fields(Plan)}
    for raw in text.splitlines():
        if raw.startswith("# "):
            found.append((raw[2:].strip(), Plan(), []))
            continue
        words = raw.partition("#")[0].split()
        if not words:
            continue
        _, plan, lines = found[-1]
        if words[0] == "at":
            lines.append(Line(float(words[1]), tuple(words[2:])))
        elif words[0] in kinds:
            kind = kinds[words[0]]
            setattr(plan, words[0], words[1:] if kind not in (int, float) else kind(words[1]))
        else:
            raise ValueError(raw)
    return [
        Scene(title, plan, tuple(sorted(lines, key=lambda line: line.at))) for title, plan, lines in found
    ]


def read_file(path: str | Path) -> list[Scene]:
    return read(Path(path).read_text())


@define(frozen=True)
class Failed:
    """An `expect` that did not hold."""

    at: float
    what: str

    def __str__(self) -> str:
        return f"expected at {self.at:g}: {self.what}"


def options(words: list[str], *names: str) -> tuple[list[str], dict[str, str]]:
    """Words, and those that follow one of the names taken out."""
    rest, found = [], {}
    at = 0
    while at < len(words):
        if words[at] in names and at + 1 < len(words):
            found[words[at]] = words[at + 1]
            at += 2
        else:
            rest.append(words[at])
            at += 1
    return rest, found


class Play:
    """One scene with one seed; `run` gives the first violation or failed expectation, or None."""

    def __init__(
        self,
        scene: Scene,
        seed: int | None = None,
        made: Callable[[Plan], World] = World,
        told: Callable[[Line], None] | None = None,
    ) -> None:
        """`made`: the world of a plan; `told` hears of each line before it is done."""
        self.scene, self._told = scene, told
        plan = scene.plan if seed is None else evolve(scene.plan, seed=seed)
        self.world = made(plan)
        self.bodies = {1: first_configuration(plan)}
        self.failed: Failed | None = None
        self._since = 0.0
        self._put(self.world.operator("A"), 1, 0, None)

    def run(self) -> Violation | Failed | None:
        """Garbage is looked for seldom meanwhile: a fifth of the time goes to that, and little is found."""
        usual = gc.get_threshold()
        gc.set_threshold(*RARELY)
        try:
            return self._run()
        finally:
            gc.set_threshold(*usual)

    def _run(self) -> Violation | Failed | None:
        world = self.world
        for line in self.scene.lines:
            world.run(line.at)
            if self._told is not None:
                self._told(line)
            self.do(list(line.words))
            if self.failed:
                break
        else:
            world.run(max(world.plan.until, world.loop.now))
        if world.history.route_edits:
            clerks.settle(world.history, clerks.agreed(world.stores()))
        return first_violation(world.history, world.bounds) or self.failed

    def _who(self, words: list[str], kind: str = "all") -> list[str]:
        world, leader = self.world, self.world.leader()
        fit = {"proxy": world.edge, "configstore": world.core, "registry": world.core, "core": world.core}
        everyone = fit.get(kind, [*world.core, *world.edge])
        found: list[str] = []
        for word in words:
            match word:
                case "*":
                    found += everyone
                case "leader":
                    found += [leader] if leader else []
                case "others":
                    found += [name for name in world.core if name != leader]
                case "edge" | "core":
                    found += world.edge if word == "edge" else world.core
                case _:
                    found.append(word)
        return found

    def _put(self, operator: Operator, version: int, base: int, at: str | None, patch: bool = False) -> None:
        made = change(version, base, operator.name.rpartition("-")[2], self.bodies[version], 0.0)
        if patch:
            made.patch = patched(self.bodies.get(base, self.bodies[1]), self.bodies[version])
        if version == 1:
            self.world.loop.call_later(FIRST_S, operator.put, made, at)
        else:
            operator.put(made, at)

    def do(self, words: list[str]) -> None:
        world = self.world
        word, *rest = words
        rest, told = options(rest, "for", "at", "by", "on", "cold", "as", "after")
        seconds = float(told["for"]) if "for" in told else None
        operator = world.operator(told.get("by", "A"))
        match word:
            case "kill":
                world.kill(rest[0], self._who(rest[1:], rest[0]), seconds or 0.5)
            case "freeze":
                world.freeze(rest[0], self._who(rest[1:], rest[0]), seconds or 1.0)
            case "term":
                world.term(rest[0], self._who(rest[1:], rest[0]))
            case "power" | "wipe":
                world.power(self._who(rest), seconds, word == "wipe")
            case "start":
                world.start(self._who(rest))
            case "spoil":
                world.spoil(self._who(rest))
            case "disk":
                self._disk(rest, seconds)
            case "cut" | "oneway":
                at = rest.index("|")
                ones, others = self._who(rest[:at]), self._who(rest[at + 1 :])
                world.cut(ones, others, word == "cut")
                if seconds is not None:
                    world.loop.call_later(seconds, world.join, ones, others)
            case "join":
                world.join()
            case "mark":
                self._since = world.loop.now
            case "closing":
                world.history.closing_fault_at = world.loop.now
            case "loss":
                world.lossy(float(rest[0]))
            case "torn":
                world.net.aborted_write_rate = float(rest[0])
            case "load":
                world.load = float(rest[0])
            case "hot":
                self._hot(rest[0], float(rest[1]))
            case "ask":
                self._ask(rest[0], float(rest[1]), int(told.get("after", 0)))
            case "put" | "patch":
                version = int(rest[0])
                on = told.get("on", "newest")
                base = self._newest() if on == "newest" else self._acked() if on == "acked" else int(on)
                old = self.bodies.get(base, self.bodies[1])  # what it builds on may not have been sent yet
                self.bodies[version] = edited(old, version, rest[1:])
                self._put(operator, version, base, told.get("at"), word == "patch")
            case "evacuate" | "restore":
                operator.empty(rest[0], word == "evacuate", told.get("at"), "once" in rest)
            case "edit":
                board = world.board(self._who([told["at"]])[0])
                clerks.edit(operator, world.history, rest[0], rest[1], board)
            case "confirm" | "reject":
                clerks.word(operator, world.history, rest[0], word, told["at"], "over" in rest)
            case "clock":
                world.net.machines[rest[0]].wall_clock_skew = float(rest[1])
            case "read":
                operator.read(told.get("at"))
            case "orders":
                world.callers(int(rest[0]), float(rest[1]), self._who(rest[2:]))
            case "reset":
                world.reset(self._who(rest))
            case "slow":
                world.slow(self._who(rest[1:]), float(rest[0]), seconds or 1.0)
            case "seeds":
                world.seeds = rest
                world.reseed()
            case "add":
                address = world.yard.workers[told["as"]].address if "as" in told else None
                world.worker(rest[0], rest[1], float(told.get("cold", 0.0)), address)
            case "crash" | "drain" | "chill" | "sick" | "grey" | "forget" | "break":
                self._worker(word, rest)
            case "expect":
                what = self._expect(rest, told)
                if what:
                    self.failed = Failed(world.loop.now, f"{' '.join(words[1:])}: {what}")
            case _:
                raise ValueError(" ".join(words))

    def _disk(self, rest: list[str], seconds: float | None) -> None:
        slow = float(rest.pop()) if rest[0] == "slow" else 0.0
        names = self._who(rest[1:])
        self.world.disk(names, rest[0] == "hang", rest[0] == "refuse", slow)
        if seconds is not None:
            self.world.loop.call_later(seconds, self.world.disk, names)

    def _newest(self) -> int:
        return max((one.version for one in self.world.history.changes if not one.rejected_status), default=1)

    def _acked(self) -> int:
        return max(
            (one.version for one in self.world.history.changes if one.acknowledged < math.inf), default=1
        )

    def _hot(self, tenant: str, times: float) -> None:
        for crowd in self.world.crowds:
            for want in crowd.wants:
                if want.key.startswith(f"{tenant}-"):
                    want.rate *= times

    def _ask(self, key: str, rate: float, after: int) -> None:
        """The clients begin; with `after`, once their operator has seen that version acknowledged."""
        world = self.world
        if after and not any(
            one.version == after and one.acknowledged < math.inf for one in world.history.changes
        ):
            return world.loop.call_later(0.001, self._ask, key, rate, after)
        for crowd in world.crowds:
            for name, (_, repeatable) in ROUTES.items():
                crowd.add(Want(f"/{name}/x", repeatable, key, rate / len(ROUTES)))

    def _worker(self, word: str, rest: list[str]) -> None:
        worker = self.world.yard.workers[rest[0]]
        match word:
            case "crash":
                worker.kill()
            case "drain":
                worker.drain()
            case "chill":
                worker.chill(float(rest[1]))
            case "sick":
                worker.lost = float(rest[1])
            case "grey":
                worker.failing = float(rest[1])
            case "forget":
                worker.forgets = float(rest[1])
            case "break":
                worker.breaking = float(rest[1])

    # ---- expectations: what is wrong, or ""
    def _expect(self, rest: list[str], told: dict[str, str]) -> str:
        world = self.world
        history, since = world.history, self._since
        match rest[0]:
            case "version":
                wanted = int(rest[1])
                wrong = [
                    f"{name} has {version}"
                    for name, version in world.versions().items()
                    if told.get("at", name) == name and version != wanted
                ]
                return ", ".join(wrong)
            case "acked" | "refused":
                found = [one for one in history.changes if one.version == int(rest[1])]
                good = all(
                    one.acknowledged < math.inf if rest[0] == "acked" else one.rejected_status
                    for one in found
                )
                if not found:
                    return "it was never sent"
                return (
                    ""
                    if good
                    else ", ".join(
                        f"{one.describe()}: {one.rejected_status or one.acknowledged}" for one in found
                    )
                )
            case "one":
                sent = [one for one in history.changes if one.version == int(rest[1])]
                acked = {one.as_write() for one in sent if one.acknowledged < math.inf}
                return "" if len(acked) == 1 else f"{len(acked)} acknowledged"
            case "swift":
                self._since = world.loop.now
                return self._slow(float(rest[1]), since)
            case "evacuated":
                return (
                    ""
                    if any(one.acknowledged < math.inf for one in history.evacuations if one.zone == rest[1])
                    else "not yet"
                )
            case "served":
                self._since = world.loop.now
                errands = [
                    one
                    for crowd in world.crowds
                    for one in crowd.errands
                    if one.until - one.want.deadline > since
                ]
                over = [one for one in errands if one.over]
                share = sum(one.served for one in over) / max(1, len(over))
                return "" if over and share >= float(rest[1]) else f"{share:.3f} of {len(over)}"
            case "crew":
                return self._crew()
            case "edit":
                found_ = clerks.outcome(rest[1], world.stores())
                return "" if found_ == rest[2].replace("-", " ") else found_
            case "told":
                status = world.history.route_edits[rest[1]].status
                return "" if status == int(rest[2]) else str(status)
            case "alike":
                return self._alike()
            case "sure":
                errands = [
                    one
                    for crowd in world.crowds
                    for one in crowd.errands
                    if one.over and one.want.key == rest[1]
                ]
                share = sum(one.served for one in errands) / max(1, len(errands))
                return "" if errands and share >= float(rest[2]) else f"{share:.3f} of {len(errands)}"
            case "leader":
                return "" if world.leads() else "nobody leads"
            case "idle" | "busy":
                self._since = world.loop.now
                got = sum(
                    one.at > since and one.worker == rest[1]
                    for request in history.requests
                    for one in request.arrivals
                )
                return "" if bool(got) == (rest[0] == "busy") else f"{got} requests"
        raise ValueError(" ".join(rest))

    def _alike(self) -> str:
        """Whether all gatekeepers hold the same routes, byte for byte, and they are those agreed on."""
        map = clerks.agreed(self.world.stores())
        wanted = _routes(RoutingTable.from_entries(map))
        wrong = [
            one.name
            for one in self.world.keepers()
            if one.up
            and (
                one.gate.cluster.configuration.routing_table is None
                or _routes(one.gate.cluster.configuration.routing_table) != wanted
            )
        ]
        return f"others at {', '.join(wrong)}" if wrong else ""

    def _slow(self, most: float, since: float) -> str:
        """The first order sent since then, so long ago at least, whose clear answer took longer."""
        history, now = self.world.history, self.world.loop.now
        spans = [(one.sent, one.ended, one.describe()) for one in history.changes]
        spans += [(one.sent, one.acknowledged, f"{one.zone} {one.evacuated}") for one in history.evacuations]
        found = [one for one in spans if since <= one[0] < now - most]
        late = next((one for one in found if one[1] - one[0] > most), None)
        if late is not None:
            return f"{late[2]} of {late[0]:.2f}: {late[1]:.2f}"
        return "" if found else "no orders"

    def _crew(self) -> str:
        """Whether all gatekeepers know the workers that stand, and no others."""
        world = self.world
        standing = {name: one.state == "ready" for name, one in world.yard.workers.items() if one.up}
        for name, known in world.crews().items():
            lacks = sorted(one for one in standing if one not in known)
            wrong = sorted(one for one in known if known[one] != standing.get(one, False))
            if lacks or wrong:
                return f"{name} lacks {lacks}, and wrongly has {wrong}"
        return ""


def _routes(table: RoutingTable) -> bytes:
    return repr((table.version, sorted((name, str(one)) for name, one in table.routes.items()))).encode()
