"""Linearizability of `/config`: whether one order of all calls explains every answer.

After Wing and Gong, "Testing and verifying concurrent objects" (1993): calls are put in order one by one,
each between its beginning and its end, and what was tried is remembered by (calls placed, register). A call
in doubt may have its effect at any time from its beginning on, or never. Pure; times are of one clock, s.
"""

import math
from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Any, Final

from attrs import frozen

TAKEN: Final = "taken"  # 200
STALE: Final = "stale"  # 412; whatever else was clearly turned away is left out of the history
DOUBT: Final = None

Items = frozenset[tuple[str, Hashable]]


def items(content: Mapping[str, Any]) -> Items:
    return frozenset(content.items())


@frozen(cache_hash=True)
class Change:
    """What a PUT or PATCH asks for; equal ones are resends of one call. `gone`: None: of all there was."""

    base: int
    version: int
    set: Items
    gone: frozenset[str] | None = None


@frozen(cache_hash=True)
class Register:
    """What is in force, and the changes that brought it there."""

    version: int = 0
    content: Items = frozenset()
    taken: frozenset[Change] = frozenset()

    def changed(self, change: Change) -> "Register":
        content = change.set
        if change.gone is not None:
            old = change.gone | {key for key, _ in change.set}
            content |= {one for one in self.content if one[0] not in old}
        return Register(change.version, content, self.taken | {change})


@frozen
class Call:
    """`change` None: a GET, with `seen` as `(version, items)`; those without an answer are left out."""

    begun: float
    ended: float  # infinite: in doubt
    change: Change | None = None
    answer: str | None = DOUBT
    seen: tuple[int, Items] = (0, frozenset())
    name: str = ""

    def __str__(self) -> str:
        what = f"GET of version {self.seen[0]}"
        if self.change is not None:
            what = f"version {self.change.version} on {self.change.base}, {self.answer or 'in doubt'}"
        return f"{self.name} {what}, from {self.begun:.3f} to {self.ended:.3f}".strip()

    def after(self, register: Register) -> Register | None:
        """The register after this call, had it its place now; None: its answer would be wrong."""
        change = self.change
        if change is None:
            return register if self.seen == (register.version, register.content) else None
        if change in register.taken:
            return register if self.answer == TAKEN else None
        fits = change.base == register.version < change.version
        if self.answer == STALE:
            return None if fits else register
        return register.changed(change) if fits else None


def unexplained(calls: Iterable[Call], most: int = 1_000_000) -> Call | None:
    """None if an order explains all; else the call at which the furthest one fails. Tries at most so many
    places and raises OverflowError beyond."""
    ordered = sorted(calls, key=lambda call: (call.begun, call.ended))
    owed = sum(1 << number for number, call in enumerate(ordered) if call.ended < math.inf)
    start = (0, Register())
    stack, tried = [start], {start}
    furthest, worst = -1, None
    while stack:
        placed, register = stack.pop()
        if placed & owed == owed:
            return None
        open_ = list(_open(ordered, placed))
        count = (placed & owed).bit_count()
        if count > furthest:
            furthest = count
            worst = min((ordered[number] for number in open_), key=lambda call: call.ended)
        for number in open_:
            after = ordered[number].after(register)
            if after is None:
                continue
            way = (placed | 1 << number, after)
            if after == register:  # it changes nothing and fits here: no order is lost by placing it now
                stack.append(way)
                break
            if way not in tried:
                if len(tried) >= most:
                    raise OverflowError(f"{most} places tried for {len(ordered)} calls")
                tried.add(way)
                stack.append(way)
    return worst


def _open(ordered: list[Call], placed: int) -> Iterator[int]:
    """The calls that may come next: begun before any of those not placed has ended."""
    until = math.inf
    found = []
    for number, call in enumerate(ordered):
        if call.begun > until:
            break
        if not placed >> number & 1:
            found.append(number)
            until = min(until, call.ended)
    return (number for number in found if ordered[number].begun <= until)
