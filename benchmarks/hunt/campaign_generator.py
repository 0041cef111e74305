"""Draws campaigns: days in which each cell of a site occurs a minimum number of times.

Draws are seeded: the same site and seed give the same days, so the order of the draws must not change.
"""

import random
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any, Final

from attrs import evolve

from benchmarks.hunt.campaign_day import CampaignDay, CampaignEntry, ClosingFault
from benchmarks.hunt.fault_kinds import (
    AIMED_CLOSING_KIND,
    AIMED_MODE,
    CLOSING_KINDS,
    CORE,
    EXCLUSIVE_MODE_GROUPS,
    FIELD_RANGES,
    GENERAL_MODES,
    INTEGER_FIELD,
    KINDS_OF_ONE_ZONE,
    KINDS_WITH_ERROR_MODE,
    PARTITION_KINDS,
    SPREAD_MODES,
)
from benchmarks.hunt.site import Cell, Site

MIN_OCCURRENCES: Final = 3  # per cell and campaign
SECOND_MODE_PROBABILITY: Final = 0.35
LONG_PARTITION_PROBABILITY: Final = 0.3
LONG_PARTITION_SECONDS: Final = 21.0  # longer than every lease and timeout
CLOSING_DOWN_SECONDS: Final = (0.5, 2.0)
FIRST_ENTRY_SECONDS: Final = 2.0
LAST_ENTRY_BEFORE_END_SECONDS: Final = 7.0
MAX_PAIR_GAP_SECONDS: Final = 0.4
MAX_SHIFT: Final = 0.8  # relative to the interval between two groups
DAY_SHAPES: Final = 3
PAIRS_SHAPE: Final = 1
REPEATED_SHAPE: Final = 2
ONE_ZONE_ERROR_MODES: Final = ("errors", "shed", "hang", "reset")
ERROR_MODES: Final = ("errors", "hang", "reset")
SMALL_SHARE: Final = (0.05, 0.15)  # of machines removed by an entry, which may occur three times a day
CORE_RESTART_GAP_SECONDS: Final = (
    5.0,
    7.0,
)  # long enough for a core machine to catch up before the next restarts
SLOW_FACTOR: Final = (4.0, 10.0)
SPOT_SECONDS: Final = (1.0, 3.0)


class CampaignGenerator:
    """Draws the days of one site."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site = site
        self._rng = random.Random(f"{site.name} {seed}")

    def draw_days(self, count: int, name: str) -> list[CampaignDay]:
        """Draw `count` days, named `NAME-0` and so on.

        Entries are distributed evenly over the days. The shapes of days alternate: single entries, pairs of
        entries at close times, and one entry repeated.
        """
        entries = [self._draw_entry(cell) for cell in self._site.cells() for _ in range(MIN_OCCURRENCES)]
        entries = _without_redundant_entries(entries)
        self._rng.shuffle(entries)
        closings = self._draw_closings(count)
        return [
            CampaignDay(
                f"{name}-{number}",
                self._rng.randrange(1, 1 << 30),
                tuple(self._place_entries(entries[number::count], shape=number % DAY_SHAPES)),
                closings[number],
                self._rng.choice(self._site.traffics) if self._site.traffics else (),
            )
            for number in range(count)
        ]

    def _draw_closings(self, count: int) -> list[ClosingFault | None]:
        """The closing faults of the days: all pairs of kind and mode, or fewer if there are few days."""
        modes = self._site.closing_modes
        combinations = [
            (kind, mode)
            for kind in CLOSING_KINDS
            for mode in modes
            if mode != AIMED_MODE or kind == AIMED_CLOSING_KIND
        ]
        if count >= MIN_OCCURRENCES * len(combinations):
            chosen = combinations * MIN_OCCURRENCES
        else:
            general_modes = [mode for mode in modes if mode != AIMED_MODE]
            chosen = [
                (kind, general_modes[(occurrence + index) % len(general_modes)])
                for occurrence in range(MIN_OCCURRENCES)
                for index, kind in enumerate(CLOSING_KINDS)
            ]
        closings: list[ClosingFault | None] = [
            ClosingFault(kind, mode, round(self._rng.uniform(*CLOSING_DOWN_SECONDS), 2))
            for kind, mode in chosen[:count]
        ]
        closings += [None] * (count - len(closings))
        self._rng.shuffle(closings)
        return closings

    def _draw_entry(self, cell: Cell) -> CampaignEntry:
        modes = self._draw_modes(cell)
        fields = self._draw_fields(cell.kind, cell.machine_class, modes)
        return CampaignEntry(cell.kind, cell.machine_class, tuple(modes), fields)

    def _draw_modes(self, cell: Cell) -> list[str]:
        """The mode of the cell, modes that it requires, and sometimes a general mode of another group."""
        modes = [cell.mode] if cell.mode else []
        general_modes = GENERAL_MODES.get((cell.kind, cell.machine_class), ())
        for group in EXCLUSIVE_MODE_GROUPS:
            candidates = [mode for mode in group if mode in general_modes]
            if not candidates or cell.mode in candidates:
                continue
            is_chosen = (
                self._rng.random() < SECOND_MODE_PROBABILITY
            )  # also drawn for the plain form, which keeps the sequence of draws
            if is_chosen and cell.mode:
                modes.append(self._rng.choice(candidates))
        if cell.mode == "one_zone":
            modes.insert(0, self._rng.choice(ONE_ZONE_ERROR_MODES))
        if cell.mode == "late":
            modes.insert(0, "extra")
        if cell.kind in KINDS_WITH_ERROR_MODE and cell.mode in SPREAD_MODES:
            modes.insert(0, self._rng.choice(ERROR_MODES))
        return modes

    def _draw_fields(self, kind: str, machine_class: str, modes: Sequence[str]) -> dict[str, Any]:
        fields = self._draw_ranges(kind)
        self._fit_to_machines(fields, kind, machine_class, modes)
        self._fit_to_modes(fields, kind, modes)
        if kind in KINDS_OF_ONE_ZONE:
            fields["zone"] = self._rng.choice(self._site.zones)
        return fields

    def _draw_ranges(self, kind: str) -> dict[str, Any]:
        fields: dict[str, Any] = {}
        for name, (low, high) in FIELD_RANGES[kind].items():
            if name == INTEGER_FIELD:
                fields[name] = self._rng.randint(int(low), int(high))
            else:
                fields[name] = round(self._rng.uniform(low, high), 2)
        return fields

    def _fit_to_machines(
        self, fields: dict[str, Any], kind: str, machine_class: str, modes: Sequence[str]
    ) -> None:
        if "remove" in modes:
            fields["share"] = round(self._rng.uniform(*SMALL_SHARE), 2)
        elif machine_class == CORE:
            fields.pop("share", None)
        if machine_class == CORE and kind == "node_kill":
            fields["count"] = 1
        if machine_class == CORE and kind == "roll_term":
            fields["gap_s"] = round(self._rng.uniform(*CORE_RESTART_GAP_SECONDS), 2)

    def _fit_to_modes(self, fields: dict[str, Any], kind: str, modes: Sequence[str]) -> None:
        if kind in PARTITION_KINDS and self._rng.random() < LONG_PARTITION_PROBABILITY:
            fields["for_s"] = LONG_PARTITION_SECONDS
        if kind == "srv_grey" and "slow" in modes:
            fields["x"] = round(self._rng.uniform(*SLOW_FACTOR), 1)
        if "spot" in modes:
            fields["x"] = round(self._rng.uniform(*SPOT_SECONDS), 1)
        if "one_zone" in modes:
            fields["to_zone"] = self._rng.choice(self._site.zones)

    def _place_entries(self, entries: Sequence[CampaignEntry], shape: int) -> list[CampaignEntry]:
        """The entries of a day at drawn times, sorted by time."""
        group_size = 2 if shape == PAIRS_SHAPE else 1
        groups = [entries[first : first + group_size] for first in range(0, len(entries), group_size)]
        if shape == REPEATED_SHAPE and entries:
            groups += [entries[:1], entries[:1]]
        placed_entries = list(self._place_groups(groups))
        return sorted(placed_entries, key=lambda entry: entry.at_seconds)

    def _place_groups(self, groups: Sequence[Sequence[CampaignEntry]]) -> Iterator[CampaignEntry]:
        last_seconds = self._site.day_seconds - LAST_ENTRY_BEFORE_END_SECONDS
        interval = (last_seconds - FIRST_ENTRY_SECONDS) / max(len(groups), 1)
        order = list(range(len(groups)))
        self._rng.shuffle(order)
        for position, index in enumerate(order):
            shift = self._rng.uniform(0.0, interval * MAX_SHIFT)
            group_seconds = FIRST_ENTRY_SECONDS + interval * position + shift
            for entry in groups[index]:
                gap = self._rng.uniform(0.0, MAX_PAIR_GAP_SECONDS)  # also drawn for single entries
                yield evolve(entry, at_seconds=group_seconds + (gap if len(groups[index]) > 1 else 0.0))


def _without_redundant_entries(entries: Sequence[CampaignEntry]) -> list[CampaignEntry]:
    """Drop entries whose cells occur often enough as second modes of other entries."""
    occurrences = Counter(cell for entry in entries for cell in entry.cells())
    needed_entries = []
    for entry in entries:
        if all(occurrences[cell] > MIN_OCCURRENCES for cell in entry.cells()):
            occurrences.subtract(entry.cells())
        else:
            needed_entries.append(entry)
    return needed_entries
