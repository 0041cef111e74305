"""What a lab run recorded: one JSON object a line, in the order the load driver saw it.

Shapes (times `t` in ms of the run, units as the platform's `X-Units`):

    {"kind": "plan", "name": "basic", "rate": 20.0, "burst": 40.0}            quota: units a second, and burst
    {"kind": "asked", "t": 12.5, "job": "j1", "firm": "f1", "plan": "basic", "units": 1, "gatekeeper": "g1"}
    {"kind": "answered", "t": 14.0, "job": "j1", "status": 200, "retry_after": null}
    {"kind": "killed", "t": 900.0, "gatekeeper": "g1"}                        a process that got SIGKILL
    {"kind": "process", "t": 950.0, "gatekeeper": "g1", "what": "restarted"}   or paused, resumed, terminated
    {"kind": "fault", "t": 500.0, "until": 3500.0, "what": "cut", "ways": ["g1>counter", "counter>g1"]}
    {"kind": "seen", "way": "g1>counter", "what": "refused", "count": 3}    what the proxy did, at the end

A line that cannot be right raises `HistoryError` naming its line number and key; nothing after it is guessed.
"""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field


class HistoryError(ValueError):
    """A line of a history that cannot be taken: `where` is "LINE: key"."""


@dataclass(frozen=True)
class Plan:
    name: str
    rate: float  # units a second
    burst: float  # units


@dataclass
class Job:
    job: str
    firm: str
    plan: str
    units: float
    gatekeeper: str
    asked_at: float  # ms
    # (ms, status, Retry-After in seconds or None), in the order recorded
    answers: list[tuple[float, int, float | None]] = field(default_factory=list)


@dataclass
class History:
    plans: dict[str, Plan] = field(default_factory=dict)
    jobs: dict[str, Job] = field(default_factory=dict)
    killed: dict[str, float] = field(default_factory=dict)  # gatekeeper -> ms of its first kill
    faults: list[tuple[float, float, str, tuple[str, ...]]] = field(
        default_factory=list
    )  # (from, until, what, ways)
    seen: dict[tuple[str, str], int] = field(default_factory=dict)  # (way, what) -> count
    processes: list[tuple[float, str, str]] = field(default_factory=list)  # (ms, gatekeeper, what)
    strays: list[tuple[int, str]] = field(default_factory=list)  # (line, job) answers of no job asked


def _get(line: int, row: dict[str, object], key: str, kind: type | tuple[type, ...]) -> object:
    value = row.get(key)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise HistoryError(f"{line}: {key}: wants {getattr(kind, '__name__', 'a number')}, has {value!r}")
    return value


def read(lines: Iterable[str]) -> History:
    """Read a history from its lines; blank lines are passed over."""
    history, number = History(), (int, float)
    for at, text in enumerate(lines, 1):
        if not text.strip():
            continue
        try:
            row = json.loads(text)
        except json.JSONDecodeError as error:
            raise HistoryError(f"{at}: not JSON ({error.msg})") from None
        if not isinstance(row, dict):
            raise HistoryError(f"{at}: not a JSON object")
        kind = _get(at, row, "kind", str)
        if kind == "plan":
            name = str(_get(at, row, "name", str))
            history.plans[name] = Plan(
                name,
                float(_get(at, row, "rate", number)),  # type: ignore[arg-type]
                float(_get(at, row, "burst", number)),  # type: ignore[arg-type]
            )
            continue
        if kind == "seen":
            way, what = str(_get(at, row, "way", str)), str(_get(at, row, "what", str))
            history.seen[way, what] = int(_get(at, row, "count", int))  # type: ignore[call-overload]
            continue
        t = float(_get(at, row, "t", number))  # type: ignore[arg-type]
        if kind == "asked":
            job = str(_get(at, row, "job", str))
            if job in history.jobs:
                raise HistoryError(f"{at}: job: {job!r} was asked before")
            plan = str(_get(at, row, "plan", str))
            if plan not in history.plans:
                raise HistoryError(f"{at}: plan: {plan!r} is no plan named before it")
            history.jobs[job] = Job(
                job,
                str(_get(at, row, "firm", str)),
                plan,
                float(_get(at, row, "units", number)),  # type: ignore[arg-type]
                str(_get(at, row, "gatekeeper", str)),
                t,
            )
        elif kind == "answered":
            job = str(_get(at, row, "job", str))
            status = int(_get(at, row, "status", int))  # type: ignore[call-overload]
            after = row.get("retry_after")
            if after is not None and (not isinstance(after, number) or isinstance(after, bool) or after < 0):
                raise HistoryError(f"{at}: retry_after: wants seconds or null, has {after!r}")
            if job in history.jobs:
                history.jobs[job].answers.append((t, status, None if after is None else float(after)))
            else:
                history.strays.append((at, job))
        elif kind == "killed":
            history.killed.setdefault(str(_get(at, row, "gatekeeper", str)), t)
        elif kind == "process":
            what = str(_get(at, row, "what", str))
            if what not in ("paused", "resumed", "restarted", "terminated"):
                raise HistoryError(f"{at}: what: {what!r} is none of paused, resumed, restarted, terminated")
            history.processes.append((t, str(_get(at, row, "gatekeeper", str)), what))
        elif kind == "fault":
            until = float(_get(at, row, "until", number))  # type: ignore[arg-type]
            ways = row.get("ways", [])
            if not isinstance(ways, list) or not all(isinstance(way, str) for way in ways):
                raise HistoryError(f"{at}: ways: wants a list of ways as text, has {ways!r}")
            history.faults.append((t, until, str(_get(at, row, "what", str)), tuple(ways)))
        else:
            raise HistoryError(
                f"{at}: kind: {kind!r} is none of plan, asked, answered, killed, process, fault, seen"
            )
    return history
