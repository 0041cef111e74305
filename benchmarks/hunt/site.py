"""The properties of a site that a campaign depends on, from the site file and `fleetbench kinds SITE`."""

import re
import tomllib
from collections.abc import Iterator
from typing import Any

from attrs import frozen

from benchmarks.hunt.fault_kinds import (
    BUSY_MODE,
    CLOSING_MODES,
    EXCLUDED_MODES,
    EXCLUSIVE_MODE_GROUPS,
    FIELD_RANGES,
    GENERAL_MODES,
    KINDS_WITH_OWN_GENERAL_MODES,
    KINDS_WITHOUT_PLAIN_FORM,
    MACHINE_CLASSES,
    NO_MACHINE_CLASS,
    UNLISTED_MODES,
)

Traffic = tuple[dict[str, Any], ...]


class UnknownKindError(ValueError):
    """A site lists kinds that have no entry in FIELD_RANGES; the message names them."""


@frozen
class Cell:
    """The unit of coverage: a kind on a machine class in one mode.

    `machine_class`: "" if the kind has none; `mode`: "" for the plain form.
    """

    kind: str
    machine_class: str
    mode: str


@frozen
class Site:
    """A site; `traffics`: the traffic of each day in the site file."""

    name: str
    modes_by_kind: dict[str, tuple[str, ...]]
    zones: tuple[str, ...]
    day_seconds: float
    traffics: tuple[Traffic, ...] = ()
    closing_modes: tuple[str, ...] = CLOSING_MODES

    def cells(self) -> list[Cell]:
        """Every kind in its plain form and each mode, on each machine class that supports it."""
        return [
            Cell(kind, machine_class, mode)
            for kind in self.modes_by_kind
            for machine_class in MACHINE_CLASSES.get(kind, NO_MACHINE_CLASS)
            for mode in self._modes(kind, machine_class)
        ]

    def _modes(self, kind: str, machine_class: str) -> Iterator[str]:
        general_modes = GENERAL_MODES.get((kind, machine_class), ())
        modes = ["", *self.modes_by_kind[kind], *UNLISTED_MODES.get(kind, ()), *general_modes]
        for mode in dict.fromkeys(modes):
            is_excluded = (kind, mode) in EXCLUDED_MODES.get(machine_class, ())
            if not is_excluded and (mode or kind not in KINDS_WITHOUT_PLAIN_FORM):
                yield mode


def parse_site(site_file: str, kinds_text: str) -> Site:
    """Parse a site file; modes that only its own entries use are included.

    Raises UnknownKindError.
    """
    raw = tomllib.loads(site_file)
    listed_modes = parse_kinds(kinds_text)
    unknown_kinds = set(listed_modes) - set(FIELD_RANGES)
    if unknown_kinds:
        raise UnknownKindError(f"no field ranges for kinds: {', '.join(sorted(unknown_kinds))}")
    days = raw.get("day", [])
    day_entries = [entry for day in days for entry in day.get("plan", []) + day.get("faults", [])]
    closing_modes = {day["closing"].get("how", "") for day in days if "closing" in day}
    return Site(
        name=raw["name"],
        modes_by_kind=_with_used_modes(listed_modes, raw.get("troubles", []) + day_entries),
        zones=tuple(zone["name"] for zone in raw["zones"]),
        day_seconds=float(raw["length_s"]),
        traffics=tuple(tuple(day["traffic"]) for day in days if "traffic" in day),
        closing_modes=tuple(sorted({*CLOSING_MODES, *closing_modes})),
    )


def parse_kinds(kinds_text: str) -> dict[str, tuple[str, ...]]:
    """The kinds in the output of `fleetbench kinds`, each with the modes in its line."""
    modes_by_kind = {}
    for line in kinds_text.splitlines():
        if match := re.match(r"(\w+): (.*)", line):
            modes_by_kind[match[1]] = tuple(_parse_modes(match[2]))
    return modes_by_kind


def _with_used_modes(
    listed_modes: dict[str, tuple[str, ...]], entries: list[dict[str, Any]]
) -> dict[str, tuple[str, ...]]:
    """The listed modes, followed by other modes in entries that are not general ones."""
    general_modes = {BUSY_MODE}.union(*EXCLUSIVE_MODE_GROUPS)
    modes_by_kind = {kind: list(modes) for kind, modes in listed_modes.items()}
    for entry in entries:
        kind = entry["kind"]
        modes = modes_by_kind.get(kind, [])
        for mode in entry.get("how", "").split():
            is_own = mode not in general_modes or kind in KINDS_WITH_OWN_GENERAL_MODES
            if is_own and mode not in modes:
                modes.append(mode)
    return {kind: tuple(modes) for kind, modes in modes_by_kind.items()}


def _parse_modes(line: str) -> Iterator[str]:
    """The words after `how:` up to a semicolon, and WORD in `how WORD:`; ignores text in parentheses."""
    line = re.sub(r"\((how: [^)]*)\)", r"; \1;", line)
    while (without_brackets := re.sub(r"\([^()]*\)", "", line)) != line:
        line = without_brackets
    for words in re.findall(r"how: ([^;]*)", line):
        yield from re.findall(r"\w+", words)
    yield from re.findall(r"how (\w+):", line)
