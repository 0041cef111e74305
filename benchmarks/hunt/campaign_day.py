"""The days of a campaign and their TOML form, which the users' bench reads."""

from collections.abc import Iterator
from typing import Any, Final

from attrs import field, frozen

from benchmarks.hunt.fault_kinds import PLANNED_WORK_KINDS
from benchmarks.hunt.site import Cell, Traffic

CLOSING_PREFIX: Final = "closing "  # marks the kind in the cell of a closing fault


@frozen
class CampaignEntry:
    """A fault or planned work, with modes and fields as in the day file.

    `at_seconds`: time since the start of the traffic.
    """

    kind: str
    machine_class: str = ""
    modes: tuple[str, ...] = ()
    fields: dict[str, Any] = field(factory=dict)
    at_seconds: float = 0.0

    def cells(self) -> Iterator[Cell]:
        """The cells that the entry covers."""
        for mode in self.modes or ("",):
            yield Cell(self.kind, self.machine_class, mode)

    def to_table(self) -> dict[str, Any]:
        """The entry as a table of the day file."""
        table: dict[str, Any] = {"at": round(self.at_seconds, 2), "kind": self.kind}
        if self.machine_class:
            table["on"] = self.machine_class
        return {**table, "how": " ".join(self.modes), **self.fields}

    @classmethod
    def from_table(cls, table: dict[str, Any]) -> "CampaignEntry":
        """Parse a table of the day file, without its fields."""
        modes = tuple(table["how"].split())
        return cls(table["kind"], table.get("on", ""), modes, {}, table["at"])


@frozen
class ClosingFault:
    """The fault at the end of a day, after which all machines are down for `down_seconds`."""

    kind: str
    mode: str
    down_seconds: float

    def cell(self) -> Cell:
        """The cell that the fault covers."""
        return Cell(CLOSING_PREFIX + self.kind, "", self.mode)


@frozen
class CampaignDay:
    """One day of a campaign; `seed`: the seed passed to the bench."""

    name: str
    seed: int
    entries: tuple[CampaignEntry, ...]
    closing: ClosingFault | None = None
    traffic: Traffic = ()

    def cells(self) -> Iterator[Cell]:
        """The cells that the day covers, with repetitions."""
        for entry in self.entries:
            yield from entry.cells()
        if self.closing:
            yield self.closing.cell()

    def to_toml(self) -> str:
        """The text of the day file."""
        lines = ["[[day]]", f'name = "{self.name}"', 'slot = "trouble"', f"seed = {self.seed}", "labels = []"]
        if self.closing:
            lines.append(
                f'closing = {{ kind = "{self.closing.kind}", down_s = {self.closing.down_seconds}, '
                f'how = "{self.closing.mode}" }}'
            )
        planned_work = [entry for entry in self.entries if entry.kind in PLANNED_WORK_KINDS]
        faults = [entry for entry in self.entries if entry.kind not in PLANNED_WORK_KINDS]
        lines += _toml_array("plan", [entry.to_table() for entry in planned_work])
        lines += _toml_array("faults", [entry.to_table() for entry in faults])
        if self.traffic:
            lines += _toml_array("traffic", self.traffic)
        return "\n".join(lines) + "\n"


def closing_kind(cell_kind: str) -> str:
    """The kind of a cell under its name in the bench, without the prefix of closing faults."""
    return cell_kind.removeprefix(CLOSING_PREFIX)


def _toml_array(name: str, tables: list[dict[str, Any]] | Traffic) -> list[str]:
    return [f"{name} = [", *(f"  {_toml_value(table)}," for table in tables), "]"]


def _toml_value(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_toml_value(item)}" for key, item in value.items()) + " }"
    return f'"{value}"' if isinstance(value, str) else str(value)
