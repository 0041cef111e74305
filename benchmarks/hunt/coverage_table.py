"""The coverage table of campaigns: days by kind and mode, and days with broken rules. No I/O."""

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

from attrs import field, frozen

from benchmarks.hunt.campaign_day import CampaignDay, closing_kind

KEPT: Final = "kept"
VOID: Final = "void"
PLAIN_FORM: Final = "plain"
HEAD: Final = (
    "| kind | days by way | drawn, but not brought about | days with a broken rule |",
    "| --- | --- | --- | --- |",
)


@frozen
class DayOutcome:
    """The outcome of a day.

    `verdict`: `KEPT`, the names of the broken rules, the text of the bench's failure, or `VOID` without a
    report. `occurred_kinds`: the kinds that the bench injected; it skips those that exceed the tolerated
    losses or do not fit into the day.
    """

    verdict: str
    occurred_kinds: frozenset[str] = field(default=frozenset())


@frozen
class _KindKey:
    kind: str
    machine_class: str

    @property
    def title(self) -> str:
        return f"{self.kind} ({self.machine_class})" if self.machine_class else self.kind


def coverage_table(days: Sequence[CampaignDay], outcomes: Mapping[str, DayOutcome]) -> str:
    """The table as Markdown; days without an outcome or with verdict `VOID` are not counted."""
    days_by_mode: dict[_KindKey, Counter[str]] = defaultdict(Counter)
    days_without: Counter[_KindKey] = Counter()
    broken_days: Counter[_KindKey] = Counter()
    for day in days:
        outcome = outcomes.get(day.name)
        if outcome is None or outcome.verdict == VOID:
            continue
        for cell in set(day.cells()):
            has_occurred = closing_kind(cell.kind) in outcome.occurred_kinds
            days_by_mode[_KindKey(cell.kind, cell.machine_class)][cell.mode or PLAIN_FORM] += has_occurred
        kinds = {_KindKey(cell.kind, cell.machine_class) for cell in day.cells()}
        days_without.update(key for key in kinds if closing_kind(key.kind) not in outcome.occurred_kinds)
        if outcome.verdict != KEPT:
            broken_days.update(kinds)
    rows = [
        f"| {key.title} | {_format_modes(modes)} | {days_without[key]} | {broken_days[key]} |"
        for key, modes in sorted(days_by_mode.items(), key=lambda item: (item[0].kind, item[0].machine_class))
    ]
    return "\n".join([*HEAD, *rows])


def _format_modes(days_by_mode: Counter[str]) -> str:
    return ", ".join(f"{mode} {days}" for mode, days in sorted(days_by_mode.items()))
