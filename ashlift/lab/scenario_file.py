"""Reads a scenario from a file: one S-expression, by the gatekeeper's own reader. Pure.

An error is `FILE:LINE:COLUMN: key: problem`, like a settings file's. Times are seconds, or with a unit
(`500ms`, `3s`); a bare number is seconds. Ends are `g0`..`gN-1` (gatekeepers), `n0`..`nM-1` (execute nodes),
`counter` and `list` (each gatekeeper's machine list); `n0-n3` names a range, and `rest` in a partition is
every end that no other side names. Faults are read after everything else, so their place in the file is
free.

    (scenario
      (name partition-five) (seed 7) (seconds 12)
      (gatekeepers 5) (nodes 12) (work 2ms)
      (firms 4) (rate 20) (quota 10) (burst 20) (allowed 40)
      (arrivals (ramp 10 30))                  ; or poisson: `rate` jobs a second each firm, all the run
      (faults
        (partition 3s 7s (g0 g1 n0-n3) rest)    ; every direction between sides is cut
        (drop 1s 2s g2 counter)                 ; g2>counter only: the counter hears nothing of g2
        (cut 1s 2s g3 list) (delay 2s 4s g4 counter 20ms 5ms) (duplicate 0s 1s g0 n1)
        (kill g1 8s) (term g2 9s) (restart g1 9s) (pause g3 4s 6s)))
"""

import re
from dataclasses import dataclass, field
from typing import Final

from ashlift.gatekeeper.settings.reader import Atom, ListNode, Position, parse
from ashlift.gatekeeper.settings.reader import Problem as SyntaxProblem
from ashlift.lab.link_faults import (
    Direction,
    LinkFault,
    LinkFaultError,
    LinkState,
    LinkStateKind,
    partition_fault,
)
from ashlift.lab.scenario import Scenario, ScenarioError

NUMBER_KEYS: Final = {
    "gatekeepers": int,
    "nodes": int,
    "seed": int,
    "firms": int,
    "rate": float,
    "quota": float,
    "burst": float,
    "allowed": float,
}
TIME_KEYS: Final = {"seconds": 1.0, "work": 1000.0}  # with the factor from seconds to the field's unit
FIELD_NAMES: Final = {"work": "work_ms"}  # of keys that are named otherwise
ACTION_FIELDS: Final = {"kill": "kills", "term": "terms", "restart": "restarts", "pause": "pauses"}
LINK_FAULT_KEYS: Final = ("cut", "drop", "delay", "duplicate", "reorder")
MIN_LINK_FAULT_ARGUMENTS: Final = 4
MIN_SIDES: Final = 2

Item = Atom | ListNode


@dataclass
class _Contents:
    """What a file says, gathered before a Scenario is made of it."""

    values: dict[str, object] = field(default_factory=dict)
    faults: list[LinkFault] = field(default_factory=list)
    actions: dict[str, list[tuple[float, ...]]] = field(default_factory=dict)


def load_scenario(text: str, name: str = "scenario") -> Scenario:
    """Return the scenario of a file's text. Raises ScenarioError with `name`, line, column and key."""
    top = parse(text)
    if isinstance(top, SyntaxProblem):
        raise ScenarioError(top.format(name))
    try:
        return _scenario(top)
    except ScenarioError as error:
        raise ScenarioError(f"{name}:{error}") from None


def _scenario(top: ListNode) -> Scenario:
    if not top.items or not isinstance(top.items[0], Atom) or top.items[0].text != "scenario":
        raise _error(top.position, "", "wants (scenario ...)")
    contents = _Contents()
    faults: list[Item] = []
    for item in top.items[1:]:
        key, arguments = _entry(item)
        if key == "faults":
            faults += arguments
        else:
            _read_entry(contents, key, arguments, item.position)
    if "gatekeepers" not in contents.values:
        raise _error(top.position, "gatekeepers", "is missing")
    ends = _build(top.position, contents).link_ends()
    for fault in faults:
        _read_fault(contents, fault, ends)
    return _build(top.position, contents)


def _build(position: Position, contents: _Contents) -> Scenario:
    actions = {name: tuple(values) for name, values in contents.actions.items()}
    try:
        return Scenario(**contents.values, **actions, faults=tuple(contents.faults))  # type: ignore[arg-type]
    except ScenarioError as error:
        raise _error(position, "", str(error)) from None


def _read_entry(contents: _Contents, key: str, arguments: list[Item], position: Position) -> None:
    if key == "arrivals":
        _read_arrivals(contents, arguments, position)
    elif key in NUMBER_KEYS or key in TIME_KEYS or key == "name":
        if len(arguments) != 1 or not isinstance(arguments[0], Atom):
            raise _error(position, key, "wants one value")
        contents.values[FIELD_NAMES.get(key, key)] = _value(key, arguments[0])
    else:
        raise _error(position, key, "no such key in a scenario")


def _value(key: str, word: Atom) -> object:
    if key == "name":
        return word.text
    if key in TIME_KEYS:
        return _seconds(word, key) * TIME_KEYS[key]
    try:
        number = NUMBER_KEYS[key](word.text)
    except ValueError:
        raise _error(word.position, key, f"wants a number, has {word.text!r}") from None
    if number < 0:
        raise _error(word.position, key, "wants 0 or more")
    return number


def _seconds(item: Item, key: str) -> float:
    """Return `3s`, `500ms` or `2.5` in seconds."""
    match = re.fullmatch(r"(\d+(?:\.\d+)?)(ms|s)?", item.text) if isinstance(item, Atom) else None
    if match is None:
        raise _error(item.position, key, "wants a time: 3s, 500ms or 2.5")
    return float(match[1]) / (1000.0 if match[2] == "ms" else 1.0)


def _read_arrivals(contents: _Contents, arguments: list[Item], position: Position) -> None:
    argument = arguments[0] if len(arguments) == 1 else None
    if isinstance(argument, Atom) and argument.text == "poisson":
        return
    if isinstance(argument, ListNode):
        key, rates = _entry(argument)
        if key == "ramp" and len(rates) == 2:
            contents.values["rate"] = _value("rate", _require_word(rates[0]))
            contents.values["ramp_to"] = _value("rate", _require_word(rates[1]))
            return
    raise _error(position, "arrivals", "wants poisson or (ramp FROM TO), in jobs a second each firm")


# ---- faults
def _read_fault(contents: _Contents, item: Item, ends: list[str]) -> None:
    key, arguments = _entry(item)
    where = f"faults.{key}"
    if key in ACTION_FIELDS:
        action = _process_action(key, arguments, item.position, ends)
        contents.actions.setdefault(ACTION_FIELDS[key], []).append(action)
        return
    if key != "partition" and key not in LINK_FAULT_KEYS:
        known = "partition, cut, drop, delay, duplicate, reorder, kill, term, restart, pause"
        raise _error(item.position, where, f"no such fault: {known}")
    if len(arguments) < MIN_LINK_FAULT_ARGUMENTS:
        raise _error(item.position, where, "wants FROM UNTIL and what it is between")
    started_ms = _seconds(arguments[0], where) * 1000
    ended_ms = _seconds(arguments[1], where) * 1000
    try:
        if key == "partition":
            fault = partition_fault(_sides(arguments[2:], where, ends), started_ms, ended_ms)
        else:
            directions = _directions(key, arguments, where, ends)
            state = _link_state(key, arguments, item.position)
            fault = LinkFault(directions, started_ms, ended_ms, state)
    except LinkFaultError as error:
        raise _error(item.position, where, str(error)) from None
    contents.faults.append(fault)


def _process_action(
    key: str, arguments: list[Item], position: Position, ends: list[str]
) -> tuple[float, ...]:
    """Return the gatekeeper and its times."""
    where = f"faults.{key}"
    if len(arguments) != (3 if key == "pause" else 2):
        raise _error(position, where, "wants G AT" + (" UNTIL" if key == "pause" else ""))
    gatekeeper = _gatekeeper(arguments[0], where, ends)
    return (gatekeeper, *(_seconds(argument, where) for argument in arguments[1:]))


def _directions(key: str, arguments: list[Item], where: str, ends: list[str]) -> frozenset[Direction]:
    source = _end(arguments[2], where, ends)
    target = _end(arguments[3], where, ends)
    if key == "drop":
        return frozenset({Direction(source, target)})
    return frozenset({Direction(source, target), Direction(target, source)})


def _link_state(key: str, arguments: list[Item], position: Position) -> LinkState:
    where = f"faults.{key}"
    if key == "delay":
        if len(arguments) not in (5, 6):
            raise _error(position, where, "wants FROM UNTIL A B MS [JITTER]")
        jitter_ms = _seconds(arguments[5], where) * 1000 if len(arguments) == 6 else 0.0
        return LinkState(LinkStateKind.DELAY, _seconds(arguments[4], where) * 1000, jitter_ms)
    if len(arguments) != MIN_LINK_FAULT_ARGUMENTS:
        raise _error(position, where, "wants FROM UNTIL A B")
    return LinkState(LinkStateKind(key))


def _sides(arguments: list[Item], where: str, ends: list[str]) -> list[set[str]]:
    sides: list[set[str]] = []
    has_rest = False
    for argument in arguments:
        if isinstance(argument, Atom) and argument.text == "rest":
            has_rest = True
        elif isinstance(argument, ListNode):
            sides.append(_side(argument, where, ends))
        else:
            raise _error(argument.position, where, "a side is (END ...) or rest")
    if has_rest:
        sides.append(set(ends) - set().union(*sides))
    if len(sides) < MIN_SIDES:
        raise _error(arguments[0].position, where, "wants two sides at least")
    return sides


def _side(side: ListNode, where: str, ends: list[str]) -> set[str]:
    names: set[str] = set()
    for item in side.items:
        for name in _expand_range(_require_word(item), where):
            names.add(_end(Atom(name, False, item.position), where, ends))
    return names


def _expand_range(word: Atom, where: str) -> list[str]:
    match = re.fullmatch(r"([gn])(\d+)-\1?(\d+)", word.text)
    if match is None:
        return [word.text]
    first = int(match[2])
    last = int(match[3])
    if first > last:
        raise _error(word.position, where, f"{word.text}: a range runs upwards")
    return [f"{match[1]}{number}" for number in range(first, last + 1)]


def _end(item: Item, where: str, ends: list[str]) -> str:
    word = _require_word(item)
    if word.text not in ends:
        raise _error(word.position, where, f"{word.text}: no such end in this scenario")
    return word.text


def _gatekeeper(item: Item, where: str, ends: list[str]) -> int:
    match = re.fullmatch(r"g(\d+)", _end(item, where, ends))
    if match is None:
        raise _error(item.position, where, "wants a gatekeeper: g0, g1, ...")
    return int(match[1])


# ---- items
def _entry(item: Item) -> tuple[str, list[Item]]:
    """Return the key and the arguments of `(key value ...)`."""
    if not isinstance(item, ListNode) or not item.items or not isinstance(item.items[0], Atom):
        raise _error(item.position, "", "wants (key value ...)")
    return item.items[0].text, list(item.items[1:])


def _require_word(item: Item) -> Atom:
    if not isinstance(item, Atom):
        raise _error(item.position, "", "wants a word here, not a list")
    return item


def _error(position: Position, key: str, problem: str) -> ScenarioError:
    return ScenarioError(SyntaxProblem(position, key, problem).format("").removeprefix(":"))
