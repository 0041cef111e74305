"""The folder of a campaign: day files, their index (`campaign.json`), and the bench's reports and logs."""

import json
from pathlib import Path
from typing import Any, Final

from benchmarks.hunt.campaign_day import CampaignDay, CampaignEntry, ClosingFault
from benchmarks.hunt.coverage_table import KEPT, VOID, DayOutcome

INDEX_FILE: Final = "campaign.json"


class CampaignFolder:
    """Writes and reads the files of one campaign."""

    def __init__(self, path: Path) -> None:
        self._path = path

    def write(self, site_path: Path, seed: int, days: list[CampaignDay]) -> None:
        """Write the day files and the index."""
        self._path.mkdir(parents=True, exist_ok=True)
        for day in days:
            self.day_path(day.name).write_text(day.to_toml())
        index = {"site": str(site_path), "seed": seed, "days": [_index_of_day(day) for day in days]}
        (self._path / INDEX_FILE).write_text(json.dumps(index, indent=0))

    def site_path(self) -> str:
        """The path of the site file, as passed to `write`."""
        return str(self._read_index()["site"])

    def read_days(self) -> list[CampaignDay]:
        """The days, without seeds, traffic and the fields of entries."""
        return [_day_of_index(day) for day in self._read_index()["days"]]

    def day_path(self, name: str) -> Path:
        """The path of the day file."""
        return self._path / f"{name}.toml"

    def report_path(self, name: str) -> Path:
        """The path of the bench's report; the file exists once the day has finished."""
        return self._path / f"{name}.json"

    def log_path(self, name: str) -> Path:
        """The path of the bench's output; the file exists once the day has started."""
        return self._path / f"{name}.txt"

    def read_outcome(self, name: str) -> DayOutcome:
        """The outcome of a day according to its report."""
        path = self.report_path(name)
        if not path.exists():
            return DayOutcome(VOID)
        report: dict[str, Any] = json.loads(path.read_text())
        events = [_event_kind(event["kind"]) for event in report.get("events", ())]
        return DayOutcome(_verdict(report), frozenset(events))

    def _read_index(self) -> dict[str, Any]:
        index: dict[str, Any] = json.loads((self._path / INDEX_FILE).read_text())
        return index


def _index_of_day(day: CampaignDay) -> dict[str, Any]:
    closing = None
    if day.closing:
        closing = [day.closing.kind, day.closing.mode, day.closing.down_seconds]
    entries = [entry.to_table() for entry in day.entries]
    return {"name": day.name, "closing": closing, "entries": entries}


def _day_of_index(index: dict[str, Any]) -> CampaignDay:
    entries = tuple(CampaignEntry.from_table(table) for table in index["entries"])
    closing = ClosingFault(*index["closing"]) if index["closing"] else None
    return CampaignDay(index["name"], 0, entries, closing)


def _verdict(report: dict[str, Any]) -> str:
    if report.get("fault"):
        return f"fault: {report['fault']}"
    return " ".join(sorted(report["breaks"])) or KEPT


def _event_kind(kind: str) -> str:
    """The kind of an event in a report; for `closing (KIND ...)`, the kind of the closing fault."""
    name, _, details = kind.partition(" ")
    return details.strip("()").partition(" ")[0] if name == "closing" else name
