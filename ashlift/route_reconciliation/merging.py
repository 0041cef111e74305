"""What edits make of the agreed map: a majority's word, worked out by the leader on the newest map. Pure.

Besides the configuration's keys the map holds, only where edits were made: `Settled/ID`: how an edit ended,
`{seq, outcome, version, lost_to}`; `Edited/NAME`: `{stamp, id, text, log}`, the newest edit of that name in
force (`text`: digest of what it wrote; kept after a withdrawal) and who did what; `Forgotten`: the newest
stamp of an `Edited` that was dropped.
"""

import json
from collections.abc import Callable, Iterable, Mapping
from hashlib import blake2b
from typing import Any, Final, NamedTuple

from ashlift.config import operator_config
from ashlift.errors import Failure
from ashlift.route_reconciliation.edits import Edit, Text, join, rank, read_edit, same, why_not
from ashlift.route_reconciliation.hybrid_clock import NEVER, Stamp, above

SETTLED: Final = "Settled/"
EDITED: Final = "Edited/"
FORGOTTEN: Final = "Forgotten"
SETTLED_MOST: Final = 256
EDITED_MOST: Final = 256
LOG_MOST: Final = 8  # entries of a route's history

IN_FORCE: Final = "in force"
LOST: Final = "lost"
REJECTED: Final = "rejected"
CONFLICT: Final = "conflict"  # never settled: it waits for an operator, or for the map to change

Order = Mapping[str, Any]


class Made(NamedTuple):
    """What an order sets and takes out (nothing, if it changes nothing), and its answer `{status, ...}`."""

    set: dict[str, Any]
    gone: list[str]
    answer: dict[str, Any]


def decide(current: Mapping[str, Any], order: Order) -> Made:
    """`order`: `{kind, if_match, body}`; `kind`: `edit`, `confirm`, `reject`, `merge`."""
    body = order.get("body")
    if not isinstance(body, dict):
        return _refused(400, "the body is no object")
    if order.get("kind") == "merge":
        found = [read_edit(one) for one in body.get("edits", ())]
        edits = [one for one in found if isinstance(one, Edit)]
        return merge(current, edits) if len(edits) == len(found) else _refused(400, "no edits")
    edit = read_edit(body.get("edit"))
    if isinstance(edit, Failure):
        return _refused(400, edit.detail)
    done = current.get(SETTLED + edit.id)
    if done:
        return Made({}, [], {"status": 200, **done})
    match order.get("kind"):
        case "edit":
            return _placed(current, edit, edit.who, edit.stamp, False)
        case "confirm" | "reject" as kind:
            return _judged(current, edit, kind, order.get("if_match"), body)
    return _refused(400, "no such order")


def merge(current: Mapping[str, Any], edits: Iterable[Edit]) -> Made:
    """Put in force what may be: the answer tells every edit's outcome, `outcomes: {id: {outcome, ...}}`.

    Of each name the newest edit counts. One that cannot be right now may be once another is in force, so
    they are gone through until nothing more comes of it: that makes the order of arrival indifferent.
    """
    draft = _Draft(current)
    book = join({edit.id: edit for edit in edits})
    waiting = [book[id] for id in book if SETTLED + id not in current]
    waiting.sort(key=rank, reverse=True)
    conflicts: dict[str, str] = {}
    moved = True
    while moved:
        moved = False
        for edit in list(waiting):
            why = draft.take(edit) if edit.auto else "kind"
            if why:
                conflicts[edit.id] = why
            else:
                waiting.remove(edit)
                moved = True
    told = {id: draft.map.get(SETTLED + id) or {"outcome": CONFLICT, "why": conflicts[id]} for id in book}
    return draft.made({"status": 200, "outcomes": told})


def _judged(current: Mapping[str, Any], edit: Edit, kind: str, if_match: Any, body: Order) -> Made:
    """An operator's word on a proposal or a conflict. `body`: `{edit, who, stamp, over}`; `over`: whatever
    the route has become. It builds on the version that the operator was shown."""
    now = operator_config.current_version(current)
    who, over = str(body.get("who") or "?"), body.get("over") is True
    if if_match != now:
        return _refused(412, f"builds on {if_match}, and {now} is current")
    if kind == "reject":
        draft = _Draft(current)
        return draft.made({"status": 200, **draft.settle(edit, REJECTED, "", who)})
    try:
        ms, turn, node = body["stamp"]
        stamp = Stamp(int(ms), int(turn), str(node))
    except (LookupError, TypeError, ValueError):
        return _refused(400, "no stamp")
    return _placed(current, edit, who, stamp, over)


def _placed(current: Mapping[str, Any], edit: Edit, who: str, stamp: Stamp, over: bool) -> Made:
    """The edit on top of the newest map, if the route is still what the edit was made on."""
    now: Text = current.get(f"Routes/{edit.name}")
    if not over and not same(now, edit.base):
        both = {"yours": edit.text, "theirs": now, "base": edit.base}
        version = operator_config.current_version(current)
        return _refused(409, "the route has changed since", version=version, **both)
    draft = _Draft(current)
    why = draft.write(edit, above(stamp, draft.edited(edit.name) or NEVER), who)
    return _refused(400, why) if why else draft.made({"status": 200, **draft.map[SETTLED + edit.id]})


def _refused(status: int, why: str, **more: Any) -> Made:
    return Made({}, [], {"status": status, "reason": why, **more})


class _Draft:
    """The map while an order is worked out."""

    def __init__(self, current: Mapping[str, Any]) -> None:
        self._current = current
        self.map = dict(current)

    def made(self, answer: dict[str, Any]) -> Made:
        old, new = self._current, self.map
        if new == old:
            return Made({}, [], answer)
        self._trim(SETTLED, SETTLED_MOST, lambda value: value["seq"])
        for dropped in self._trim(EDITED, EDITED_MOST, lambda value: value["stamp"]):
            new[FORGOTTEN] = max(new.get(FORGOTTEN, [*NEVER]), dropped["stamp"])
        changed = {key: value for key, value in new.items() if key not in old or old[key] is not value}
        return Made(changed, [key for key in old if key not in new], answer)

    def _trim(self, kind: str, most: int, rank: Callable[[Any], Any]) -> list[Any]:
        keys = sorted((key for key in self.map if key.startswith(kind)), key=lambda key: rank(self.map[key]))
        return [self.map.pop(key) for key in keys[: max(0, len(keys) - most)]]

    def edited(self, name: str) -> Stamp | None:
        """The stamp of the newest edit of that name that is known to have been in force."""
        known = self.map.get(EDITED + name)
        return Stamp(*known["stamp"]) if known else None

    def take(self, edit: Edit) -> str:
        """Merge one; else why it is a conflict."""
        now: Text = self.map.get(f"Routes/{edit.name}")
        known = self.edited(edit.name)
        if known is not None and edit.stamp < known:
            self.settle(edit, LOST, "", edit.who)
            return ""
        if known is None and [*edit.stamp] <= self.map.get(FORGOTTEN, [*NEVER]):
            return "too old to be told from what came after it"
        stamped = known is not None and self.map[EDITED + edit.name]["text"] == _digest(now)
        if not stamped and not same(now, edit.base):
            if not same(now, edit.text):
                return "text"
            self.settle(edit, IN_FORCE, operator_config.current_version(self.map), edit.who)
            return ""
        why = why_not(self.map, edit.name, edit.text, edit.base)
        return why or self.write(edit, edit.stamp, edit.who)

    def write(self, edit: Edit, stamp: Stamp, who: str) -> str:
        """Put it in force, one version on; else why not."""
        key, version = f"Routes/{edit.name}", operator_config.current_version(self.map)
        if not same(self.map.get(key), edit.text):
            body: dict[str, Any] = {"ConfigVersion": f"{int(version, 16) + 1:08x}"}
            if edit.text is None:
                body["Withdraw"] = {"Routes": [edit.name]}
            else:
                one = {"ObjectType": "Routes", "Metadata": {"Name": edit.name}, "Specification": edit.text}
                body["Upsert"] = {"Objects": [one]}
            change = operator_config.apply_change(self.map, "patch", version, body)
            if isinstance(change, Failure):
                return change.detail
            for gone in change.removed_keys:
                del self.map[gone]
            self.map.update(change.entries)
        record = {"stamp": [*stamp], "id": edit.id, "text": _digest(edit.text)}
        self.map[EDITED + edit.name] = {**self.map.get(EDITED + edit.name, {"log": []}), **record}
        self.settle(edit, IN_FORCE, operator_config.current_version(self.map), who)
        return ""

    def settle(self, edit: Edit, outcome: str, version: str, who: str) -> dict[str, Any]:
        """Remember how it ended, for good."""
        known = self.map.get(EDITED + edit.name)
        lost_to = known["id"] if known and outcome == LOST else ""
        seqs = [value["seq"] for key, value in self.map.items() if key.startswith(SETTLED)]
        done = {"seq": max(seqs, default=0) + 1, "outcome": outcome, "version": version, "lost_to": lost_to}
        self.map[SETTLED + edit.id] = done
        entry = {
            "id": edit.id,
            "outcome": outcome,
            "version": version,
            "on": edit.version,
            "who": edit.who,
            "where": edit.where,
            "by": who,
            "at_ms": edit.stamp.ms,
            "lost_to": lost_to,
        }
        if known is None:  # a rejected edit of a route that no edit has touched: told, and worth no stamp
            known = {"stamp": [*NEVER], "id": "", "text": "", "log": []}
        self.map[EDITED + edit.name] = {**known, "log": [*known["log"], entry][-LOG_MOST:]}
        return done


def _digest(text: Text) -> str:
    return blake2b(json.dumps(text, sort_keys=True).encode(), digest_size=8).hexdigest()
