"""Stores lab runs in SQLite: description, verdicts, counts per second, and latency as HDR histograms.

Only this module imports `hdrhistogram`. Tables (times in ms of the run, latency in microseconds):

    runs(id, name, began, git, seed, scenario, verdicts, ok, latency, allows)
        latency: an encoded HdrHistogram; allows: jobs per second that the quotas of all firms allow together
    seconds(run, second, gatekeeper, asked, admitted, refused, unanswered)
    faults(run, begin, until, what, ways)
    processes(run, t, gatekeeper, what)

Each run is stored in a single transaction.
"""

import json
import sqlite3
from pathlib import Path
from typing import Final

import attrs
from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ashlift.lab.checker import Verdict
from ashlift.lab.history import History, ProcessEvent, RecordedFault

MAX_LATENCY_MICROSECONDS: Final = 60_000_000  # beyond any timeout of the load driver
SIGNIFICANT_DIGITS: Final = 3
KILLED: Final = "killed"

SCHEMA: Final = """
create table if not exists runs (id integer primary key, name text, began text, git text, seed integer,
    scenario text, verdicts text, ok integer, latency text, allows real);
create table if not exists seconds (run integer, second integer, gatekeeper text, asked integer,
    admitted integer, refused integer, unanswered integer);
create table if not exists faults (run integer, begin real, until real, what text, ways text);
create table if not exists processes (run integer, t real, gatekeeper text, what text);
"""


class ResultsError(LookupError):
    """The run is not in the results."""


@attrs.frozen
class RunDescription:
    """The metadata of a run, saved with its history and verdicts.

    `began`: wall-clock time; `scenario`: its text; `allowed_rate`: jobs per second that the quotas of all
    firms allow together, 0 for no quotas.
    """

    name: str
    began: str
    commit: str
    seed: int
    scenario: str
    allowed_rate: float


@attrs.frozen
class RunSummary:
    """A run as shown by `list` and `compare`; jobs are counted by their first answer."""

    id: int
    name: str
    began: str
    commit: str
    seed: int
    ok: bool
    latency: HdrHistogram
    allowed_rate: float
    sent: int
    admitted: int
    rejected: int
    unanswered: int

    @property
    def admitted_share(self) -> float:
        """The ratio of admitted jobs to all jobs, 0 without jobs."""
        return self.admitted / self.sent if self.sent else 0.0

    def percentile_ms(self, percentile: float) -> float:
        """Return a latency percentile of answered jobs."""
        return float(self.latency.get_value_at_percentile(percentile)) / 1000


@attrs.define
class SecondCounts:
    """Jobs sent to a gatekeeper in one second of the run; admitted is a 2xx, rejected any other answer."""

    second: int
    gatekeeper: str
    sent: int = 0
    admitted: int = 0
    rejected: int = 0
    unanswered: int = 0


@attrs.frozen
class RunDetail:
    """The saved data of a run that its summary does not include."""

    scenario: str
    verdicts: list[Verdict]
    seconds: list[SecondCounts]
    faults: list[RecordedFault]
    process_events: list[ProcessEvent]


def latency_histogram(history: History) -> HdrHistogram:
    """Return the latencies of answered jobs, from sending to the first answer, in microseconds."""
    histogram = HdrHistogram(1, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS)
    for job in history.jobs.values():
        if job.answers:
            latency = round((job.answers[0].at_ms - job.sent_at_ms) * 1000)
            histogram.record_value(max(1, min(MAX_LATENCY_MICROSECONDS, latency)))
    return histogram


def count_seconds(history: History) -> list[SecondCounts]:
    """Return the counts for each second and gatekeeper with jobs, in order."""
    counts: dict[tuple[int, str], SecondCounts] = {}
    for job in history.jobs.values():
        second = int(job.sent_at_ms // 1000)
        row = counts.setdefault((second, job.gatekeeper), SecondCounts(second, job.gatekeeper))
        row.sent += 1
        if not job.answers:
            row.unanswered += 1
        elif 200 <= job.answers[0].status < 300:
            row.admitted += 1
        else:
            row.rejected += 1
    return [row for _, row in sorted(counts.items())]


class Results:
    """A SQLite file of runs."""

    def __init__(self, path: Path) -> None:
        self._database = sqlite3.connect(path)
        self._database.executescript(SCHEMA)

    def close(self) -> None:
        """Close the database."""
        self._database.close()

    def store(self, history: History, verdicts: list[Verdict], description: RunDescription) -> int:
        """Save a run and return its number."""
        with self._database:
            run = self._insert_run(history, verdicts, description)
            self._insert_rows(run, history)
        return run

    def _insert_run(self, history: History, verdicts: list[Verdict], description: RunDescription) -> int:
        cursor = self._database.execute(
            "insert into runs (name, began, git, seed, scenario, verdicts, ok, latency, allows) "
            "values (?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                description.name,
                description.began,
                description.commit,
                description.seed,
                description.scenario,
                json.dumps([[verdict.name, verdict.ok, verdict.text] for verdict in verdicts]),
                int(all(verdict.ok for verdict in verdicts)),
                latency_histogram(history).encode().decode("ascii"),
                description.allowed_rate,
            ),
        )
        return int(cursor.lastrowid or 0)

    def _insert_rows(self, run: int, history: History) -> None:
        self._database.executemany(
            "insert into seconds values (?, ?, ?, ?, ?, ?, ?)",
            [
                (run, row.second, row.gatekeeper, row.sent, row.admitted, row.rejected, row.unanswered)
                for row in count_seconds(history)
            ],
        )
        self._database.executemany(
            "insert into faults values (?, ?, ?, ?, ?)",
            [
                (run, fault.started_ms, fault.ended_ms, fault.text, json.dumps(fault.directions))
                for fault in history.faults
            ],
        )
        kills = [ProcessEvent(at_ms, name, KILLED) for name, at_ms in history.killed_at_ms.items()]
        self._database.executemany(
            "insert into processes values (?, ?, ?, ?)",
            [(run, event.at_ms, event.subject, event.text) for event in history.process_events + kills],
        )

    def run_ids(self) -> list[int]:
        """Return the numbers of all runs, in order."""
        return [run for (run,) in self._database.execute("select id from runs order by id")]

    def summary(self, run: int) -> RunSummary:
        """Return the summary of a run. Raises ResultsError if it is not saved here."""
        row = self._database.execute(
            "select id, name, began, git, seed, ok, latency, allows from runs where id = ?", (run,)
        ).fetchone()
        if row is None:
            raise ResultsError(f"run {run}: no such run in the results")
        counts = self._database.execute(
            "select coalesce(sum(asked), 0), coalesce(sum(admitted), 0), coalesce(sum(refused), 0), "
            "coalesce(sum(unanswered), 0) from seconds where run = ?",
            (run,),
        ).fetchone()
        number, name, began, commit, seed, ok, latency, allowed_rate = row
        decoded = HdrHistogram.decode(latency)
        return RunSummary(number, name, began, commit, seed, ok == 1, decoded, allowed_rate, *counts)

    def detail(self, run: int) -> RunDetail:
        """Return the details of a run. Raises ResultsError if it is not saved here."""
        self.summary(run)
        query = self._database.execute
        scenario, verdicts = query("select scenario, verdicts from runs where id = ?", (run,)).fetchone()
        seconds = query(
            "select second, gatekeeper, asked, admitted, refused, unanswered from seconds "
            "where run = ? order by second, gatekeeper",
            (run,),
        )
        faults = query("select begin, until, what, ways from faults where run = ?", (run,))
        events = query("select t, gatekeeper, what from processes where run = ? order by t", (run,))
        return RunDetail(
            scenario,
            [Verdict(*verdict) for verdict in json.loads(verdicts)],
            [SecondCounts(*row) for row in seconds],
            [
                RecordedFault(started_ms, ended_ms, text, tuple(json.loads(directions)))
                for started_ms, ended_ms, text, directions in faults
            ],
            [ProcessEvent(*row) for row in events],
        )
