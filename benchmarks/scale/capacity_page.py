"""Fills the generated tables of docs/CAPACITY.md from docs/capacity/scale.json, without measuring.

Each table of the page is between `<!-- scale: NAME -->` and `<!-- end -->`.
"""

import re
from pathlib import Path
from typing import Any, Final

from benchmarks.scale.charts import draw_charts
from benchmarks.scale.figure_tables import entries_table, figures_table, limits_table
from benchmarks.scale.markdown import format_list
from benchmarks.scale.recorded_figures import RecordedFigures
from benchmarks.scale.run_tables import (
    broken_table,
    compare_table,
    events_table,
    processes_table,
    rates_table,
)

Json = dict[str, Any]
ROLES: Final = ("gatekeeper", "registry", "store", "client")  # as figures name them
PARTS: Final = ("cores", "compare", "run")
_GENERATED_SECTION: Final = re.compile(r"(<!-- scale: ([a-z ]+) -->\n).*?(<!-- end -->)", re.DOTALL)


def write_page(recorded: Json, docs: Path) -> None:
    """Regenerate the tables and charts of the page in the `docs` folder."""
    page = docs / "CAPACITY.md"
    page.write_text(fill_page(page.read_text(), build_tables(recorded)))
    if "cores" in recorded:
        draw_charts(recorded, docs / "capacity" / "scale.svg")


def build_tables(recorded: Json) -> dict[str, str]:
    """The Markdown tables by name, for the recorded parts."""
    tables = {"measured": _provenance_list(recorded)}
    if "cores" in recorded:
        figures = RecordedFigures(recorded["cores"])
        tables |= {role: figures_table(figures, role) for role in ROLES}
        tables["entries"] = entries_table(figures)
        tables["limits"] = limits_table(figures)
    if "run" in recorded:
        tables["processes"] = processes_table(recorded)
        tables["events"] = events_table(recorded)
        tables["rates"] = rates_table(recorded)
        tables["broken"] = broken_table(recorded)
    if "compare" in recorded:
        tables["compare"] = compare_table(recorded)
    return tables


def fill_page(page: str, tables: dict[str, str]) -> str:
    """Replace the generated tables of a page. Raises ValueError if a section of the page has no table."""
    unknown = {match.group(2) for match in _GENERATED_SECTION.finditer(page)} - set(tables)
    if unknown:
        raise ValueError(f"no table {', '.join(sorted(unknown))}")
    return _GENERATED_SECTION.sub(
        lambda match: match.group(1) + tables[match.group(2)] + match.group(3), page
    )


def _provenance_list(recorded: Json) -> str:
    """A list of the time, sources and machine of each recorded part."""
    measured_parts = [(name, recorded[name]) for name in PARTS if recorded.get(name)]
    return format_list(
        [
            f"`{name}` {part['at']} UTC, sources {part['sources']}, Python {part['python']}, "
            f"{part['cores']} cores, load at its end {', '.join(map(str, part['load']))}"
            for name, part in measured_parts
        ]
    )
