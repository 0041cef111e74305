"""Linearizability checker for the operators' calls to the configuration store.

Follows Wing and Gong, "Testing and verifying concurrent objects" (1993): a depth-first search places calls
one by one, each between its start and its end, and memoizes pairs of placed calls and register. A call with
an unknown outcome may take effect at any time from its start until its `effect_deadline`, or never.

The module has no side effects. All times are in seconds of a single clock.
"""

import math
from collections import Counter
from collections.abc import Hashable, Iterable, Iterator, Mapping
from typing import Any, Final

from attrs import evolve, frozen

ACKNOWLEDGED: Final = "acknowledged"  # 200
CONFLICT: Final = "conflict"  # 412; calls rejected with another status are not part of the history
IN_DOUBT: Final = None

MAX_PLACEMENTS: Final = 1_000_000

Items = frozenset[tuple[str, Hashable]]


def items_of(content: Mapping[str, Any]) -> Items:
    """Return the entries of a mapping as a hashable value."""
    return frozenset(content.items())


@frozen(cache_hash=True)
class ConfigurationWrite:
    """The content of a PUT or PATCH; equal writes are resends of the same call.

    `removed_keys` are the keys that a PATCH removes; None stands for a PUT, which replaces the content.
    """

    base: int
    version: int
    upserts: Items
    removed_keys: frozenset[str] | None = None


@frozen(cache_hash=True)
class Register:
    """State of the configuration, and the writes that determine the answers to resends.

    `rejected` are writes that got a conflict while their base version was still in the future.
    """

    version: int = 0
    content: Items = frozenset()
    applied: frozenset[ConfigurationWrite] = frozenset()
    rejected: frozenset[ConfigurationWrite] = frozenset()
    evacuated_zones: frozenset[str] = frozenset()

    def apply(self, write: ConfigurationWrite) -> "Register":
        """Return the register after this write."""
        content = write.upserts
        if write.removed_keys is not None:
            overwritten = write.removed_keys | {key for key, _ in write.upserts}
            content |= {item for item in self.content if item[0] not in overwritten}
        return evolve(self, version=write.version, content=content, applied=self.applied | {write})

    def evacuate(self, zone: str, evacuated: bool) -> "Register":
        """Return the register after the evacuation of a zone, or after its end."""
        if (zone in self.evacuated_zones) == evacuated:
            return self
        zones = self.evacuated_zones | {zone} if evacuated else self.evacuated_zones - {zone}
        return evolve(self, evacuated_zones=zones)


@frozen
class Call:
    """One call of an operator: a `write`, an `evacuation` or its end, or, with neither, a read.

    `evacuation` is the zone and whether it is evacuated afterwards. `observed` is the version and the items
    that a read returned, `evacuated_zones` the zones that it returned as evacuated (None: not recorded).
    Reads without an answer are not part of the history.
    """

    started: float
    ended: float  # infinite if the outcome is unknown
    write: ConfigurationWrite | None = None
    answer: str | None = IN_DOUBT
    observed: tuple[int, Items] = (0, frozenset())
    evacuated_zones: frozenset[str] | None = None
    evacuation: tuple[str, bool] | None = None
    effect_deadline: float = math.inf
    operator: str = ""

    def __str__(self) -> str:
        return f"{self.operator} {self._description()}, from {self.started:.3f} to {self.ended:.3f}".strip()

    def _description(self) -> str:
        if self.write is not None:
            return f"version {self.write.version} on {self.write.base}, {self.answer or 'in doubt'}"
        if self.evacuation is not None:
            zone, evacuated = self.evacuation
            return f"{'evacuation' if evacuated else 'end of the evacuation'} of {zone}"
        zones = f" with {', '.join(sorted(self.evacuated_zones))} evacuated" if self.evacuated_zones else ""
        return f"GET of version {self.observed[0]}{zones}"

    def apply_to(
        self, register: Register, resent_rejected: frozenset[ConfigurationWrite] = frozenset()
    ) -> Register | None:
        """Return the register after this call takes effect, or None if that contradicts its answer.

        `resent_rejected` are the writes that one call got rejected and other calls repeat.
        """
        if self.evacuation is not None:
            return register.evacuate(*self.evacuation)
        if self.write is None:
            return register if self._observes(register) else None
        return self._apply_write(self.write, register, resent_rejected)

    def _observes(self, register: Register) -> bool:
        if self.observed != (register.version, register.content):
            return False
        return self.evacuated_zones in (None, register.evacuated_zones)

    def _apply_write(
        self,
        write: ConfigurationWrite,
        register: Register,
        resent_rejected: frozenset[ConfigurationWrite],
    ) -> Register | None:
        if write in register.applied:
            return register if self.answer == ACKNOWLEDGED else None
        applicable = write.base == register.version < write.version and write not in register.rejected
        if self.answer != CONFLICT:
            return register.apply(write) if applicable else None
        if applicable:
            return None
        if write.base <= register.version or write not in resent_rejected:
            return register  # versions only grow, so its base cannot become current again
        return evolve(register, rejected=register.rejected | {write})


def find_unexplained_call(calls: Iterable[Call], max_placements: int = MAX_PLACEMENTS) -> Call | None:
    """Return None if the history is linearizable, else the call at which the longest partial order ends.

    Raises OverflowError after `max_placements` placements.
    """
    return _Search(calls, max_placements).run()


Placement = tuple[int, Register]  # bit set of the placed calls, and the register after them


class _Search:
    """Depth-first search for a linearization that contains all calls with a known outcome."""

    def __init__(self, calls: Iterable[Call], max_placements: int) -> None:
        self._calls = sorted(calls, key=lambda call: (call.started, call.ended))
        self._max_placements = max_placements
        self._required = sum(1 << number for number, call in enumerate(self._calls) if call.ended < math.inf)
        self._resent_rejected = _resent_rejected_writes(self._calls)
        start = (0, Register())
        self._stack: list[Placement] = [start]
        self._tried: set[Placement] = {start}

    def run(self) -> Call | None:
        most_placed = -1
        failing: Call | None = None
        while self._stack:
            placed, register = self._stack.pop()
            if placed & self._required == self._required:
                return None
            candidates = list(self._candidates(placed))
            required_count = (placed & self._required).bit_count()
            if required_count > most_placed:
                most_placed = required_count
                failing = self._first_to_end(candidates or self._unplaced(placed))
            self._extend(placed, register, candidates)
        return failing

    def _extend(self, placed: int, register: Register, candidates: list[int]) -> None:
        """Push every placement with one more call."""
        earliest_deadline = min(
            (self._calls[number].effect_deadline for number in candidates), default=math.inf
        )
        for number in candidates:
            call = self._calls[number]
            register_after = call.apply_to(register, self._resent_rejected)
            if register_after is None:
                continue
            placement = (placed | 1 << number, register_after)
            if register_after == register and call.started <= earliest_deadline:
                # It does not change the register, so no order is lost by placing it first.
                self._stack.append(placement)
                break
            if placement not in self._tried:
                self._remember(placement)
                self._stack.append(placement)

    def _remember(self, placement: Placement) -> None:
        if len(self._tried) >= self._max_placements:
            raise OverflowError(
                f"no result after {self._max_placements} placements of {len(self._calls)} calls"
            )
        self._tried.add(placement)

    def _candidates(self, placed: int) -> Iterator[int]:
        """Return the calls that may be placed next.

        Such a call started before every other unplaced call ended, and its `effect_deadline` is not before
        the start of any placed call.
        """
        earliest_end = math.inf
        newest_start = self._calls[placed.bit_length() - 1].started if placed else 0.0
        found = []
        first_unplaced = (~placed & placed + 1).bit_length() - 1
        for number in range(first_unplaced, len(self._calls)):
            call = self._calls[number]
            if call.started > earliest_end:
                break
            if not placed >> number & 1 and call.effect_deadline >= newest_start:
                found.append(number)
                earliest_end = min(earliest_end, call.ended)
        return (number for number in found if self._calls[number].started <= earliest_end)

    def _unplaced(self, placed: int) -> list[int]:
        return [number for number in range(len(self._calls)) if not placed >> number & 1]

    def _first_to_end(self, numbers: list[int]) -> Call:
        return min((self._calls[number] for number in numbers), key=lambda call: call.ended)


def _resent_rejected_writes(calls: list[Call]) -> frozenset[ConfigurationWrite]:
    """Return the writes that one call got rejected and other calls repeat."""
    rejected = {call.write for call in calls if call.answer == CONFLICT}
    counts = Counter(call.write for call in calls if call.write)
    return frozenset(write for write, count in counts.items() if count > 1 and write in rejected)
