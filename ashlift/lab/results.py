"""Lab runs kept in SQLite (the standard library's): what ran, its verdicts, per-second rows and latency as
HDR histograms (`hdrhistogram`, loaded only here), for `list`, `show`, `compare` and `report`.

Tables (times in ms of the run, latency in microseconds):

    runs(id, name, began, git, seed, scenario, verdicts, ok, latency, allows)
        latency: an encoded HdrHistogram; allows: jobs a second that the quotas allow over all firms
    seconds(run, second, gatekeeper, asked, admitted, refused, unanswered)
    faults(run, begin, until, what, ways)
    processes(run, t, gatekeeper, what)

A run is stored whole in one transaction or not at all. `ResultsError` names the run that is not there.
"""

import json
import sqlite3
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram  # type: ignore[import-untyped]

from ashlift.lab.checker import Verdict
from ashlift.lab.history import History

LATENCY_MOST_US = 60_000_000  # a minute: nothing is answered later
DIGITS = 3

SCHEMA = """
create table if not exists runs (id integer primary key, name text, began text, git text, seed integer,
    scenario text, verdicts text, ok integer, latency text, allows real);
create table if not exists seconds (run integer, second integer, gatekeeper text, asked integer,
    admitted integer, refused integer, unanswered integer);
create table if not exists faults (run integer, begin real, until real, what text, ways text);
create table if not exists processes (run integer, t real, gatekeeper text, what text);
"""


class ResultsError(LookupError):
    """A run that the results do not hold."""


@dataclass(frozen=True)
class Summary:
    """One run as `list` and `compare` show it."""

    id: int
    name: str
    began: str
    git: str
    seed: int
    ok: bool
    asked: int
    admitted: int
    refused: int
    unanswered: int
    latency: HdrHistogram
    allows: float

    def percentile_ms(self, share: float) -> float:
        return float(self.latency.get_value_at_percentile(share)) / 1000


def latency(history: History) -> HdrHistogram:
    """Ask to first answer of each answered job, in microseconds."""
    histogram = HdrHistogram(1, LATENCY_MOST_US, DIGITS)
    for job in history.jobs.values():
        if job.answers:
            taken = round((job.answers[0][0] - job.asked_at) * 1000)
            histogram.record_value(max(1, min(LATENCY_MOST_US, taken)))
    return histogram


def per_second(history: History) -> dict[tuple[int, str], Counter[str]]:
    """(second asked, gatekeeper) -> asked, admitted (a 2xx), refused (any other answer), unanswered."""
    rows: dict[tuple[int, str], Counter[str]] = {}
    for job in history.jobs.values():
        row = rows.setdefault((int(job.asked_at // 1000), job.gatekeeper), Counter())
        row["asked"] += 1
        if not job.answers:
            row["unanswered"] += 1
        else:
            row["admitted" if 200 <= job.answers[0][1] < 300 else "refused"] += 1
    return rows


class Results:
    """One SQLite file of runs."""

    def __init__(self, path: Path) -> None:
        self.db = sqlite3.connect(path)
        self.db.executescript(SCHEMA)

    def close(self) -> None:
        self.db.close()

    def store(
        self,
        history: History,
        verdicts: list[Verdict],
        *,
        name: str,
        began: str,
        git: str,
        seed: int,
        scenario: str,
        allows: float,
    ) -> int:
        """Keeps one run; returns its id."""
        encoded = latency(history).encode().decode("ascii")
        with self.db:
            cursor = self.db.execute(
                "insert into runs (name, began, git, seed, scenario, verdicts, ok, latency, allows) "
                "values (?, ?, ?, ?, ?, ?, ?, ?, ?)",
                (
                    name,
                    began,
                    git,
                    seed,
                    scenario,
                    json.dumps([[v.name, v.ok, v.text] for v in verdicts]),
                    int(all(v.ok for v in verdicts)),
                    encoded,
                    allows,
                ),
            )
            run = int(cursor.lastrowid or 0)
            self.db.executemany(
                "insert into seconds values (?, ?, ?, ?, ?, ?, ?)",
                [
                    (run, second, keeper, row["asked"], row["admitted"], row["refused"], row["unanswered"])
                    for (second, keeper), row in sorted(per_second(history).items())
                ],
            )
            self.db.executemany(
                "insert into faults values (?, ?, ?, ?, ?)",
                [(run, begin, until, what, json.dumps(ways)) for begin, until, what, ways in history.faults],
            )
            self.db.executemany(
                "insert into processes values (?, ?, ?, ?)",
                [(run, t, keeper, what) for t, keeper, what in history.processes]
                + [(run, t, keeper, "killed") for keeper, t in history.killed.items()],
            )
        return run

    def ids(self) -> list[int]:
        return [row[0] for row in self.db.execute("select id from runs order by id")]

    def summary(self, run: int) -> Summary:
        found = self.db.execute(
            "select id, name, began, git, seed, ok, latency, allows from runs where id = ?", (run,)
        ).fetchone()
        if found is None:
            raise ResultsError(f"run {run}: no such run in the results")
        totals = self.db.execute(
            "select coalesce(sum(asked), 0), coalesce(sum(admitted), 0), coalesce(sum(refused), 0), "
            "coalesce(sum(unanswered), 0) from seconds where run = ?",
            (run,),
        ).fetchone()
        number, name, began, git, seed, ok, encoded, allows = found
        asked, admitted, refused, unanswered = totals
        return Summary(
            number,
            name,
            began,
            git,
            seed,
            ok == 1,
            asked,
            admitted,
            refused,
            unanswered,
            HdrHistogram.decode(encoded),
            allows,
        )

    def detail(self, run: int) -> dict[str, Any]:
        """Everything kept of one run: scenario, verdicts, seconds, faults, processes."""
        self.summary(run)
        query = self.db.execute
        scenario, verdicts = query("select scenario, verdicts from runs where id = ?", (run,)).fetchone()
        return {
            "scenario": scenario,
            "verdicts": json.loads(verdicts),
            "seconds": query(
                "select second, gatekeeper, asked, admitted, refused, unanswered from seconds "
                "where run = ? order by second, gatekeeper",
                (run,),
            ).fetchall(),
            "faults": [
                (b, u, w, json.loads(ways))
                for b, u, w, ways in query(
                    "select begin, until, what, ways from faults where run = ?", (run,)
                )
            ],
            "processes": query(
                "select t, gatekeeper, what from processes where run = ? order by t", (run,)
            ).fetchall(),
        }
