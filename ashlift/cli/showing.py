"""What the commands print, as lines. Pure: values in, text out; what an answer lacks is shown as `-`."""

import json
import time
from collections import Counter
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

from ashlift.config.operator_config import current_version

ORDER = ("zone", "service", "node", "id", "ip")
Rows = Sequence[Mapping[str, Any]]


def cell(value: Any) -> str:
    """A value on one line."""
    if value is None or value == "":
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.2f}".rstrip("0").rstrip(".")
    return " ".join((value if isinstance(value, str) else json.dumps(value)).split())


def table(keys: Sequence[str], rows: Rows) -> list[str]:
    """Columns under their keys; one line where there is nothing."""
    if not rows:
        return ["  none"]
    lines = [list(keys), *([cell(row.get(key)) for key in keys] for row in rows)]
    widths = [max(len(line[at]) for line in lines) for at in range(len(keys))]
    padded = ([text.ljust(width) for text, width in zip(line, widths, strict=True)] for line in lines)
    return [f"  {'  '.join(line)}".rstrip() for line in padded]


def rows_of(answer: Mapping[str, Any], key: str) -> Rows:
    found = answer.get(key)
    rows = [row if isinstance(row, dict) else {"ip": row} for row in found] if isinstance(found, list) else []
    return sorted(rows, key=lambda row: [cell(row.get(name)) for name in ORDER])


def status(answer: Mapping[str, Any]) -> list[str]:
    """The state of the system as one core machine sees it, in a few lines."""
    gatekeepers, workers = rows_of(answer, "gatekeepers"), rows_of(answer, "workers")
    age = answer.get("age")
    proof = f"proven current {age:.2f} s ago" if isinstance(age, int | float) else "not proven current"
    ready = sum(row.get("ready") is True for row in gatekeepers)
    lines = [
        f"node           {cell(answer.get('node'))}",
        f"configuration  {cell(answer.get('version'))}, {proof}",
        f"store          leader {cell(answer.get('leader'))}, term {cell(answer.get('term'))}, "
        f"index {cell(answer.get('index'))}, {len(rows_of(answer, 'members'))} members",
        *_sources(answer.get("sources")),
        f"gatekeepers    {len(gatekeepers)}, {ready} ready",
        f"workers        {len(workers)}",
    ]
    for service, states in sorted(_states(workers).items()):
        told = ", ".join(f"{count} {state}" for state, count in sorted(states.items()))
        lines.append(f"  {service}: {told}")
    return lines


def _sources(found: Any) -> list[str]:
    """The other registries that are heard of, and for how long they have been silent."""
    if not isinstance(found, dict) or not found:
        return []
    silent = {name: cell(one.get("silent")) for name, one in found.items() if isinstance(one, dict)}
    return ["registries     " + ", ".join(f"{name} ({age} s ago)" for name, age in sorted(silent.items()))]


def _states(workers: Rows) -> dict[str, Counter[str]]:
    found: dict[str, Counter[str]] = {}
    for row in workers:
        warm = row.get("warm")
        cold = isinstance(warm, int | float) and not isinstance(warm, bool) and warm > 0
        state = f"{cell(row.get('state'))}{' (cold)' if cold else ''}"
        found.setdefault(cell(row.get("service")), Counter())[state] += 1
    return found


def members(answer: Mapping[str, Any]) -> list[str]:
    """Who belongs to the system, each on a line."""
    core, gatekeepers = rows_of(answer, "members"), rows_of(answer, "gatekeepers")
    more = sorted({key for row in core for key in row} - {"ip"})
    return [
        "core",
        *table(["ip", *more], core),
        "gatekeepers",
        *table(["node", "zone", "region", "front", "ready", "since"], gatekeepers),
        "workers",
        *table(["id", "service", "zone", "state", "warm"], rows_of(answer, "workers")),
    ]


def differences(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """What turns the map of one configuration into that of another, a line an object or field."""
    lines = []
    if current_version(old) != current_version(new):
        lines.append(f"~ ConfigVersion: {current_version(old)} -> {current_version(new)}")
    for key in _objects([*old, *(key for key in new if key not in old)]):
        name = key.replace("/", " ", 1)
        if key not in new:
            lines.append(f"- {name}")
        elif key not in old:
            lines.append(f"+ {name}")
        else:
            before, after = old[key], new[key]
            for field in dict.fromkeys([*before, *after]):
                was, now = (json.dumps(one[field]) if field in one else "not told" for one in (before, after))
                if was != now:
                    lines.append(f"~ {name}: {field}: {was} -> {now}")
    return lines


def _objects(keys: Iterable[str]) -> list[str]:
    return [key for key in keys if key.partition("/")[0] in ("Routes", "Services", "Tenants", "Limits")]


# ---- edits of single routes
def _text(text: Any) -> str:
    return "no such route" if text is None else json.dumps(text, sort_keys=True)


def _at(ms: Any) -> str:
    """Milliseconds of the time of day as a text, UTC."""
    return time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(ms / 1000)) if isinstance(ms, int) else "-"


def _known(answer: Mapping[str, Any]) -> str:
    age = answer.get("age")
    proof = f"proven {age:.2f} s ago" if isinstance(age, int | float) else "not proven: no majority in reach"
    reached = ", ".join(map(cell, answer.get("reached") or [])) or "no store"
    return f"version {cell(answer.get('version'))}, {proof}; edits as held at {reached}"


def waits(answer: Mapping[str, Any]) -> list[str]:
    """An edit that was kept, not in force."""
    how = "merges by itself after the rejoin" if answer.get("auto") else "waits for `route confirm`"
    held = ", ".join(map(cell, answer.get("held") or []))
    lines = [f"{cell(answer.get('id'))}: NOT in force; {how}; held at {held}"]
    if answer.get("doubt"):
        lines.append("in doubt: a leader was asked and fell silent; it may come into force, once at most")
    return lines


def both(answer: Mapping[str, Any]) -> list[str]:
    """A route that is not what an edit was made on."""
    shown = [
        f"  {name:<11}{_text(answer.get(key))}"
        for name, key in (("made on", "base"), ("edit", "yours"), ("now", "theirs"))
    ]
    return [f"conflict: {cell(answer.get('reason'))}", *shown]


def proposals(answer: Mapping[str, Any]) -> list[str]:
    lines = [_known(answer)]
    told = {"": "merges by itself", "text": "CONFLICT: the route has changed since"}
    for row in rows_of(answer, "proposals"):
        stamp, why = row.get("stamp"), row.get("why") or ""
        at = _at(stamp[0]) if isinstance(stamp, list) and stamp else "-"
        id, name, who, where, on = (cell(row.get(key)) for key in ("id", "name", "who", "where", "version"))
        lines.append(f"{id}  {name}  by {who} at {where}, {at}, on {on}: {told.get(why, cell(why))}")
        lines += both({"base": row.get("base"), "yours": row.get("text"), "theirs": row.get("now")})[1:]
    return lines if len(lines) > 1 else [*lines, "  none"]


def history(answer: Mapping[str, Any]) -> list[str]:
    found = answer.get("history")
    rows = [{**row, "at": _at(row.get("at_ms"))} for row in found or [] if isinstance(row, dict)]
    keys = ["id", "at", "who", "where", "on", "outcome", "version", "by", "lost_to"]
    return [_known(answer), f"now {_text(answer.get('text'))}", *table(keys, rows)]
