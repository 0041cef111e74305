"""Linearizability of the operator's calls: whether one order of all of them explains every answer.

After Wing and Gong, "Testing and verifying concurrent objects" (1993): calls are put in order one by one,
each between its beginning and its end, and what was tried is remembered by (calls placed, register). A call
in doubt may have its effect at any time from its beginning on, or never; one with `until` by then or never.
Pure; times are of one clock, s.
"""

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Any, Final

from attrs import evolve, frozen

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
    """What is in force, the changes that brought it there, and those that were refused for good although the
    version that they build on may still come."""

    version: int = 0
    content: Items = frozenset()
    taken: frozenset[Change] = frozenset()
    refused: frozenset[Change] = frozenset()
    zones: frozenset[str] = frozenset()  # evacuated

    def changed(self, change: Change) -> "Register":
        content = change.set
        if change.gone is not None:
            old = change.gone | {key for key, _ in change.set}
            content |= {one for one in self.content if one[0] not in old}
        return evolve(self, version=change.version, content=content, taken=self.taken | {change})


@frozen
class Call:
    """A change; or `zone`: an evacuation (zone, True) or its end; or a GET, with `seen` as `(version, items)`
    and the evacuated `zones` (None: not seen); those without an answer are left out."""

    begun: float
    ended: float  # infinite: in doubt
    change: Change | None = None
    answer: str | None = DOUBT
    seen: tuple[int, Items] = (0, frozenset())
    zones: frozenset[str] | None = None
    zone: tuple[str, bool] | None = None
    until: float = math.inf
    name: str = ""

    def __str__(self) -> str:
        what = f"GET of version {self.seen[0]}"
        if self.change is not None:
            what = f"version {self.change.version} on {self.change.base}, {self.answer or 'in doubt'}"
        elif self.zone is not None:
            what = f"{'evacuation' if self.zone[1] else 'end of the evacuation'} of {self.zone[0]}"
        elif self.zones:
            what += f" with {', '.join(sorted(self.zones))} evacuated"
        return f"{self.name} {what}, from {self.begun:.3f} to {self.ended:.3f}".strip()

    def after(self, register: Register, again: frozenset[Change] = frozenset()) -> Register | None:
        """The register after this call, had it its place now; None: its answer would be wrong.
        `again`: changes refused in one call that other calls ask for too."""
        change = self.change
        if self.zone is not None:
            name, on = self.zone
            if (name in register.zones) == on:
                return register
            return evolve(register, zones=register.zones | {name} if on else register.zones - {name})
        if change is None:
            fits = self.seen == (register.version, register.content)
            return register if fits and self.zones in (None, register.zones) else None
        if change in register.taken:
            return register if self.answer == TAKEN else None
        fits = change.base == register.version < change.version and change not in register.refused
        if self.answer == STALE:
            if fits or change.base <= register.version or change not in again:
                return None if fits else register  # a base that has passed can never fit again
            return evolve(register, refused=register.refused | {change})
        return register.changed(change) if fits else None


def unexplained(calls: Iterable[Call], most: int = 1_000_000) -> Call | None:
    """None if an order explains all; else the call at which the furthest one fails. Tries at most so many
    places and raises OverflowError beyond."""
    ordered = sorted(calls, key=lambda call: (call.begun, call.ended))
    owed = sum(1 << number for number, call in enumerate(ordered) if call.ended < math.inf)
    refused = {call.change for call in ordered if call.answer == STALE}
    asked = Counter(call.change for call in ordered if call.change)
    again = frozenset(change for change, count in asked.items() if count > 1 and change in refused)
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
            left = open_ or [number for number in range(len(ordered)) if not placed >> number & 1]
            worst = min((ordered[number] for number in left), key=lambda call: call.ended)
        least = min((ordered[number].until for number in open_), default=math.inf)
        for number in open_:
            after = ordered[number].after(register, again)
            if after is None:
                continue
            way = (placed | 1 << number, after)
            if after == register and ordered[number].begun <= least:
                stack.append(way)  # it changes nothing and fits here: no order is lost by placing it now
                break
            if way not in tried:
                if len(tried) >= most:
                    raise OverflowError(f"{most} places tried for {len(ordered)} calls")
                tried.add(way)
                stack.append(way)
    return worst


def _open(ordered: list[Call], placed: int) -> Iterator[int]:
    """The calls that may come next: begun before any of those not placed has ended, and not too late after
    what was placed already."""
    until = math.inf
    newest = ordered[placed.bit_length() - 1].begun if placed else 0.0
    found = []
    first = (~placed & placed + 1).bit_length() - 1  # before it all are placed
    for number in range(first, len(ordered)):
        call = ordered[number]
        if call.begun > until:
            break
        if not placed >> number & 1 and call.until >= newest:
            found.append(number)
            until = min(until, call.ended)
    return (number for number in found if ordered[number].begun <= until)
