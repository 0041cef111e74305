"""Reads the recorded history of a lab run: one JSON object per line, in the order of recording.

Formats (`t` is in ms since the start of the run, units are those of the platform's `X-Units`):

    {"kind": "plan", "name": "basic", "rate": 20.0, "burst": 40.0}            units per second, and units
    {"kind": "asked", "t": 12.5, "job": "j1", "firm": "f1", "plan": "basic", "units": 1, "gatekeeper": "g1"}
    {"kind": "answered", "t": 14.0, "job": "j1", "status": 200, "retry_after": null}
    {"kind": "killed", "t": 900.0, "gatekeeper": "g1"}                        a process received SIGKILL
    {"kind": "process", "t": 950.0, "gatekeeper": "g1", "what": "restarted"}   or paused, resumed, terminated
    {"kind": "fault", "t": 500.0, "until": 3500.0, "what": "cut", "ways": ["g1>counter", "counter>g1"]}
    {"kind": "seen", "way": "g1>counter", "what": "refused", "count": 3}    written at the end of the run

An invalid line raises `HistoryError` with its line number and key, and ends the reading.
"""

import json
from collections.abc import Callable, Iterable
from typing import Any, Final

import attrs

NUMBER: Final = (int, float)
PROCESS_EVENTS: Final = ("paused", "resumed", "restarted", "terminated")


class HistoryError(ValueError):
    """An invalid line of a history; the text is `LINE: KEY: problem`."""


@attrs.frozen
class QuotaPlan:
    """A quota: `rate` in units per second, `burst` in units."""

    name: str
    rate: float
    burst: float


@attrs.frozen
class Answer:
    """An answer to a job; `retry_after`: seconds, None without the header."""

    at_ms: float
    status: int
    retry_after: float | None


@attrs.define
class Job:
    """A request of the load driver, with its answers in the order of recording."""

    id: str
    firm: str
    plan: str
    units: float
    gatekeeper: str
    sent_at_ms: float
    answers: list[Answer] = attrs.Factory(list)


@attrs.frozen
class RecordedFault:
    """A fault of the run; `directions` of links as `SOURCE>TARGET`."""

    started_ms: float
    ended_ms: float
    text: str
    directions: tuple[str, ...]


@attrs.frozen
class ProcessEvent:
    """An event of a process, or of another `subject` in a run of the whole system."""

    at_ms: float
    subject: str
    text: str


@attrs.frozen
class StrayAnswer:
    """An answer to a job that was never sent; `line`: its line number in the history."""

    line: int
    job: str


@attrs.define
class History:
    """The parsed history of a run."""

    plans: dict[str, QuotaPlan] = attrs.Factory(dict)
    jobs: dict[str, Job] = attrs.Factory(dict)
    killed_at_ms: dict[str, float] = attrs.Factory(dict)  # time of the first kill, by gatekeeper
    faults: list[RecordedFault] = attrs.Factory(list)
    proxy_counts: dict[tuple[str, str], int] = attrs.Factory(dict)  # by direction and action
    process_events: list[ProcessEvent] = attrs.Factory(list)
    stray_answers: list[StrayAnswer] = attrs.Factory(list)


@attrs.frozen
class _Row:
    """The object of a line, whose values are validated on access."""

    line: int
    values: dict[str, Any]

    def error(self, key: str, problem: str) -> HistoryError:
        return HistoryError(f"{self.line}: {key}: {problem}")

    def text(self, key: str) -> str:
        return str(self._value(key, str))

    def number(self, key: str) -> float:
        return float(self._value(key, NUMBER))

    def integer(self, key: str) -> int:
        return int(self._value(key, int))

    def _value(self, key: str, kind: type | tuple[type, ...]) -> Any:
        value = self.values.get(key)
        if not isinstance(value, kind) or isinstance(value, bool):
            raise self.error(key, f"expected {getattr(kind, '__name__', 'a number')}, got {value!r}")
        return value


def read_history(lines: Iterable[str]) -> History:
    """Parse the lines of a history, ignoring blank ones. Raises HistoryError."""
    history = History()
    for number, line in enumerate(lines, 1):
        if line.strip():
            _add_row(history, _parse_row(number, line))
    return history


def _parse_row(number: int, line: str) -> _Row:
    try:
        values = json.loads(line)
    except json.JSONDecodeError as error:
        raise HistoryError(f"{number}: not JSON ({error.msg})") from None
    if not isinstance(values, dict):
        raise HistoryError(f"{number}: not a JSON object")
    return _Row(number, values)


def _add_row(history: History, row: _Row) -> None:
    kind = row.text("kind")
    if kind in UNTIMED_ROWS:
        UNTIMED_ROWS[kind](history, row)
        return
    at_ms = row.number("t")
    if kind not in TIMED_ROWS:
        raise row.error("kind", f"{kind!r} is not one of plan, asked, answered, killed, process, fault, seen")
    TIMED_ROWS[kind](history, row, at_ms)


def _add_plan(history: History, row: _Row) -> None:
    name = row.text("name")
    history.plans[name] = QuotaPlan(name, row.number("rate"), row.number("burst"))


def _add_proxy_count(history: History, row: _Row) -> None:
    direction = row.text("way")
    action = row.text("what")
    history.proxy_counts[direction, action] = row.integer("count")


def _add_job(history: History, row: _Row, at_ms: float) -> None:
    job = row.text("job")
    if job in history.jobs:
        raise row.error("job", f"duplicate job {job!r}")
    plan = row.text("plan")
    if plan not in history.plans:
        raise row.error("plan", f"no earlier line defines plan {plan!r}")
    firm = row.text("firm")
    history.jobs[job] = Job(job, firm, plan, row.number("units"), row.text("gatekeeper"), at_ms)


def _add_answer(history: History, row: _Row, at_ms: float) -> None:
    job = row.text("job")
    status = row.integer("status")
    retry_after = row.values.get("retry_after")
    if retry_after is not None:
        is_number = isinstance(retry_after, NUMBER) and not isinstance(retry_after, bool)
        if not is_number or retry_after < 0:
            raise row.error("retry_after", f"expected seconds or null, got {retry_after!r}")
        retry_after = float(retry_after)
    if job in history.jobs:
        history.jobs[job].answers.append(Answer(at_ms, status, retry_after))
    else:
        history.stray_answers.append(StrayAnswer(row.line, job))


def _add_kill(history: History, row: _Row, at_ms: float) -> None:
    history.killed_at_ms.setdefault(row.text("gatekeeper"), at_ms)


def _add_process_event(history: History, row: _Row, at_ms: float) -> None:
    text = row.text("what")
    if text not in PROCESS_EVENTS:
        raise row.error("what", f"{text!r} is not one of paused, resumed, restarted, terminated")
    history.process_events.append(ProcessEvent(at_ms, row.text("gatekeeper"), text))


def _add_fault(history: History, row: _Row, at_ms: float) -> None:
    ended_ms = row.number("until")
    directions = row.values.get("ways", [])
    if not isinstance(directions, list) or not all(isinstance(text, str) for text in directions):
        raise row.error("ways", f"expected a list of strings, got {directions!r}")
    history.faults.append(RecordedFault(at_ms, ended_ms, row.text("what"), tuple(directions)))


UNTIMED_ROWS: Final[dict[str, Callable[[History, _Row], None]]] = {
    "plan": _add_plan,
    "seen": _add_proxy_count,
}
TIMED_ROWS: Final[dict[str, Callable[[History, _Row, float], None]]] = {
    "asked": _add_job,
    "answered": _add_answer,
    "killed": _add_kill,
    "process": _add_process_event,
    "fault": _add_fault,
}
