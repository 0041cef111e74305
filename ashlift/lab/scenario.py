"""A lab scenario: what runs, what load it gets, and what breaks when. Pure: no clock, no socket.

A scenario file is one S-expression, read by the project's own reader (`ashlift.settings.reader`), so that a
fault is told as `FILE:LINE:COLUMN: key: what` like a settings file's. Times are seconds, or with a unit
(`500ms`, `3s`); a bare number is seconds. Ends are `g0`..`gN-1` (gatekeepers), `n0`..`nM-1` (execute nodes),
`counter` and `list` (each gatekeeper's machine list); `n0-n3` names a range, and `rest` in a partition is
every end that no other side names. Faults are read after the rest, so their place in the file is free.

    (scenario
      (name partition-five) (seed 7) (seconds 12)
      (gatekeepers 5) (nodes 12) (work 2ms)
      (firms 4) (rate 20) (quota 10) (burst 20) (allowed 40)
      (arrivals (ramp 10 30))                  ; or poisson: `rate` jobs a second each firm, all the run
      (faults
        (partition 3s 7s (g0 g1 n0-n3) rest)    ; every way between sides is cut both ways
        (drop 1s 2s g2 counter)                 ; g2>counter only: the counter hears nothing of g2
        (cut 1s 2s g3 list) (delay 2s 4s g4 counter 20ms 5ms) (duplicate 0s 1s g0 n1)
        (kill g1 8s) (term g2 9s) (restart g1 9s) (pause g3 4s 6s)))
"""

import re
from dataclasses import dataclass, field
from typing import Literal

from ashlift.gatekeeper.settings.reader import Fault as Flaw
from ashlift.gatekeeper.settings.reader import Items, Spot, Word, read
from ashlift.lab.faults import Fault, FaultError, State, Way, partition

JOBS_MOST = 20_000
SECONDS_MOST = 120.0


class ScenarioError(ValueError):
    """A scenario that cannot be run; the text is `[FILE:LINE:COLUMN: ]key: what`."""


Act = Literal["kill", "term", "restart", "pause"]


@dataclass(frozen=True)
class Scenario:
    """Shapes: times in seconds of the run, rates in jobs (units) a second, `work_ms` a node's time a job."""

    gatekeepers: int = 3
    nodes: int = 4
    seconds: float = 5.0
    seed: int = 1
    firms: int = 4
    rate: float = 20.0  # jobs a second, each firm, over all gatekeepers; the ramp's start
    quota: float = 10.0  # units a second, each firm's plan
    burst: float = 20.0
    work_ms: float = 2.0
    kills: tuple[tuple[int, float], ...] = ()  # (gatekeeper, s): SIGKILL
    restarts: tuple[tuple[int, float], ...] = ()  # (gatekeeper, s): started anew, if it is gone then
    pauses: tuple[tuple[int, float, float], ...] = ()  # (gatekeeper, from s, to s): SIGSTOP, then SIGCONT
    counter_cuts: tuple[tuple[int, float, float], ...] = ()  # (gatekeeper, from s, to s)
    terms: tuple[tuple[int, float], ...] = ()  # (gatekeeper, s): SIGTERM
    faults: tuple[Fault, ...] = ()  # on links, ms of the run
    ramp_to: float | None = None  # the rate at the end, rising evenly from `rate`; None: Poisson at `rate`
    allowed: float | None = None  # units beyond a firm's bucket the checker lets pass; None: twice the burst
    name: str = "lab"

    def __post_init__(self) -> None:
        if not 1 <= self.gatekeepers <= 9 or not 1 <= self.nodes <= 60:
            raise ScenarioError("gatekeepers: 1 to 9, nodes: 1 to 60")
        most = max(self.rate, self.ramp_to or 0.0)
        if not 0 < self.seconds <= SECONDS_MOST or most * self.firms * self.seconds > JOBS_MOST:
            raise ScenarioError(f"seconds: at most {SECONDS_MOST:g} and {JOBS_MOST} jobs in all")
        timed = (*self.kills, *self.restarts, *self.pauses, *self.counter_cuts, *self.terms)
        if any(not 0 <= g < self.gatekeepers for g, *_ in timed):
            raise ScenarioError("kills, restarts, pauses, counter_cuts, terms: no such gatekeeper")
        known = set(self.ends())
        for fault in self.faults:
            for way in fault.ways:
                if way.source not in known or way.target not in known:
                    raise ScenarioError(f"faults: {way}: no such end in this scenario")

    def ends(self) -> list[str]:
        """Every end a link joins: gatekeepers, nodes, the counter and the machine list."""
        return [
            *(f"g{g}" for g in range(self.gatekeepers)),
            *(f"n{n}" for n in range(self.nodes)),
            "counter",
            "list",
        ]

    def all_faults(self) -> list[Fault]:
        """The faults on links, the counter cuts of the command line first."""
        cuts = [
            Fault(
                frozenset({Way(f"g{g}", "counter"), Way("counter", f"g{g}")}),
                a * 1000,
                b * 1000,
                State("cut"),
            )
            for g, a, b in self.counter_cuts
        ]
        return [*cuts, *self.faults]

    def acts(self) -> list[tuple[float, Act, int]]:
        """(s, what, gatekeeper) done to processes, in time order."""
        acts: list[tuple[float, Act, int]] = [(s, "kill", g) for g, s in self.kills]
        acts += [(s, "term", g) for g, s in self.terms]
        acts += [(s, "restart", g) for g, s in self.restarts]
        for g, begin, _ in self.pauses:
            acts.append((begin, "pause", g))
        return sorted(acts)

    def rate_at(self, second: float) -> float:
        """Jobs a second of each firm at `second`."""
        if self.ramp_to is None:
            return self.rate
        return self.rate + (self.ramp_to - self.rate) * min(1.0, second / self.seconds)


@dataclass
class _Form:
    """What a file says, gathered before a Scenario is made of it."""

    values: dict[str, object] = field(default_factory=dict)
    faults: list[Fault] = field(default_factory=list)
    acts: dict[str, list[tuple[float, ...]]] = field(default_factory=dict)


NUMBERS = {
    "gatekeepers": int,
    "nodes": int,
    "seed": int,
    "firms": int,
    "rate": float,
    "quota": float,
    "burst": float,
    "allowed": float,
}
TIMES = {"seconds": 1.0, "work": 1000.0}  # key -> factor from seconds to the field's unit
FIELD = {"work": "work_ms"}
KINDS = {"cut", "drop", "delay", "duplicate", "reorder"}


def seconds(word: Word | Items, key: str) -> float:
    """`3s`, `500ms` or `2.5`, in seconds; raises ScenarioError at the word."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s)?", word.text) if isinstance(word, Word) else None
    if found is None:
        raise _at(word.spot, key, "wants a time: 3s, 500ms or 2.5")
    return float(found[1]) / (1000.0 if found[2] == "ms" else 1.0)


def load(text: str, name: str = "scenario") -> Scenario:
    """The scenario of a file's text; raises ScenarioError that names `name`, line, column and key."""
    top = read(text)
    if isinstance(top, Flaw):
        raise ScenarioError(top.tell(name))
    try:
        return _scenario(top)
    except ScenarioError as error:
        raise ScenarioError(f"{name}:{error}") from None


def _scenario(top: Items) -> Scenario:
    if not top.items or _word(top.items[0]) != "scenario":
        raise _at(top.spot, "", "wants (scenario ...)")
    form = _Form()
    faults: list[Word | Items] = []
    for item in top.items[1:]:
        key, args = _entry(item)
        if key == "faults":
            faults += args
        elif key == "arrivals":
            _arrivals(form, args, item.spot)
        elif key in NUMBERS or key in TIMES or key == "name":
            if len(args) != 1 or not isinstance(args[0], Word):
                raise _at(item.spot, key, "wants one value")
            form.values[FIELD.get(key, key)] = _value(key, args[0])
        else:
            raise _at(item.spot, key, "no such key in a scenario")
    if "gatekeepers" not in form.values:
        raise _at(top.spot, "gatekeepers", "is missing")
    try:
        ends = Scenario(**form.values).ends()  # type: ignore[arg-type]
    except ScenarioError as error:
        raise _at(top.spot, "", str(error)) from None
    for fault in faults:
        _fault(form, fault, ends)
    acts = {key: tuple(value) for key, value in form.acts.items()}
    try:
        return Scenario(**form.values, **acts, faults=tuple(form.faults))  # type: ignore[arg-type]
    except ScenarioError as error:
        raise _at(top.spot, "", str(error)) from None


def _value(key: str, word: Word) -> object:
    if key == "name":
        return word.text
    if key in TIMES:
        return seconds(word, key) * TIMES[key]
    try:
        number = NUMBERS[key](word.text)
    except ValueError:
        raise _at(word.spot, key, f"wants a number, has {word.text!r}") from None
    if number < 0:
        raise _at(word.spot, key, "wants 0 or more")
    return number


def _arrivals(form: _Form, args: list[Word | Items], spot: Spot) -> None:
    if len(args) == 1 and _word(args[0]) == "poisson":
        return
    if len(args) == 1 and isinstance(args[0], Items):
        key, ends = _entry(args[0])
        if key == "ramp" and len(ends) == 2:
            form.values["rate"], form.values["ramp_to"] = (_value("rate", _plain(e)) for e in ends)
            return
    raise _at(spot, "arrivals", "wants poisson or (ramp FROM TO), in jobs a second each firm")


def _fault(form: _Form, item: Word | Items, ends: list[str]) -> None:
    key, args = _entry(item)
    where = f"faults.{key}"
    if key in ("kill", "term", "restart", "pause"):
        if len(args) != (3 if key == "pause" else 2):
            raise _at(item.spot, where, "wants G AT" + (" UNTIL" if key == "pause" else ""))
        who = _gatekeeper(args[0], where, ends)
        times = tuple(seconds(arg, where) for arg in args[1:])
        field_name = {"kill": "kills", "term": "terms", "restart": "restarts", "pause": "pauses"}[key]
        form.acts.setdefault(field_name, []).append((who, *times))
        return
    if key != "partition" and key not in KINDS:
        raise _at(
            item.spot,
            where,
            "no such fault: partition, cut, drop, delay, duplicate, reorder, kill, term, restart, pause",
        )
    if len(args) < 4:
        raise _at(item.spot, where, "wants FROM UNTIL and what it is between")
    begin, end = (seconds(arg, where) * 1000 for arg in args[:2])
    try:
        if key == "partition":
            form.faults.append(partition(_sides(args[2:], where, ends), begin, end))
            return
        a, b = (_end(arg, where, ends) for arg in args[2:4])
        ways = {Way(a, b)} if key == "drop" else {Way(a, b), Way(b, a)}
        state = State(key)  # type: ignore[arg-type]
        if key == "delay":
            if len(args) not in (5, 6):
                raise _at(item.spot, where, "wants FROM UNTIL A B MS [JITTER]")
            jitter = seconds(args[5], where) * 1000 if len(args) == 6 else 0.0
            state = State("delay", seconds(args[4], where) * 1000, jitter)
        elif len(args) != 4:
            raise _at(item.spot, where, "wants FROM UNTIL A B")
        form.faults.append(Fault(frozenset(ways), begin, end, state))
    except FaultError as error:
        raise _at(item.spot, where, str(error)) from None


def _sides(args: list[Word | Items], where: str, ends: list[str]) -> list[set[str]]:
    sides: list[set[str]] = []
    rest = False
    for arg in args:
        if isinstance(arg, Word) and arg.text == "rest":
            rest = True
        elif isinstance(arg, Items):
            sides.append(
                {
                    _end(Word(end, False, word.spot), where, ends)
                    for word in arg.items
                    for end in _range(_plain(word), where)
                }
            )
        else:
            raise _at(arg.spot, where, "a side is (END ...) or rest")
    if rest:
        sides.append(set(ends) - set().union(*sides))
    if len(sides) < 2:
        raise _at(args[0].spot, where, "wants two sides at least")
    return sides


def _end(item: Word | Items, where: str, ends: list[str]) -> str:
    word = _plain(item)
    if word.text not in ends:
        raise _at(word.spot, where, f"{word.text}: no such end in this scenario")
    return word.text


def _range(word: Word, where: str) -> list[str]:
    found = re.fullmatch(r"([gn])(\d+)-\1?(\d+)", word.text)
    if found is None:
        return [word.text]
    low, high = int(found[2]), int(found[3])
    if low > high:
        raise _at(word.spot, where, f"{word.text}: a range runs upwards")
    return [f"{found[1]}{at}" for at in range(low, high + 1)]


def _gatekeeper(word: Word | Items, where: str, ends: list[str]) -> int:
    found = re.fullmatch(r"g(\d+)", _end(word, where, ends))
    if found is None:
        raise _at(word.spot, where, "wants a gatekeeper: g0, g1, ...")
    return int(found[1])


def _entry(item: Word | Items) -> tuple[str, list[Word | Items]]:
    if not isinstance(item, Items) or not item.items or not isinstance(item.items[0], Word):
        raise _at(item.spot, "", "wants (key value ...)")
    return item.items[0].text, list(item.items[1:])


def _word(item: Word | Items) -> str | None:
    return item.text if isinstance(item, Word) else None


def _plain(item: Word | Items) -> Word:
    if not isinstance(item, Word):
        raise _at(item.spot, "", "wants a word here, not a list")
    return item


def _at(spot: Spot, key: str, what: str) -> ScenarioError:
    return ScenarioError(Flaw(spot, key, what).tell("").removeprefix(":"))
