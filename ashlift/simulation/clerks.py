"""Operators who edit single routes, and what became of their edits by the agreed map."""

from collections.abc import Mapping
from typing import Any

from attrs import define

from ashlift.config.operator_config import export_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.route_reconciliation.stored_records import Outcome, outcome_of
from ashlift.simulation import board
from ashlift.simulation.board import Board
from ashlift.simulation.history import HOST, ConfigurationChange, History
from ashlift.simulation.people import Operator
from ashlift.simulation.store import Store

CALL_S = 5.0  # the command line's patience


@define(eq=False)
class Errand:
    """One edit; `status`: what was told last, of it or of the operator's word on it (0: nothing yet)."""

    id: str
    name: str
    text: dict[str, Any] | None
    who: str
    sent: float
    status: int = 0
    acknowledged: float = float("inf")

    def heard(self, answer: Any, now: float) -> None:
        if isinstance(answer, tuple):
            self.status = answer[0]
            if answer[0] == 200 and answer[1]["outcome"] == Outcome.IN_FORCE:
                self.acknowledged = now


def wanted(now: Mapping[str, Any], word: str) -> tuple[str, dict[str, Any] | None]:
    """`hold=bill`: that route goes there; `r+NAME=SERVICE`: a new one for look-ups; `r-NAME`: withdrawn."""
    name, _, service = word.removeprefix("r+").removeprefix("r-").partition("=")
    if word.startswith("r-"):
        return name, None
    usual = {
        "Host": HOST,
        "PathPrefix": f"/{name}/",
        "RouteType": "idempotent",
        "Timeout": "3000ms",
        "MaxAttempts": 2,
        "Anonymous": True,
    }
    return name, {**now.get(f"Routes/{name}", usual), "Service": service}


def edit(operator: Operator, history: History, id: str, word: str, at: Board) -> None:
    """Read the route at a core machine, and ask for another text of it there."""
    map = at.registry.operator_config.values
    name, text = wanted(map, word)
    errand = Errand(id, name, text, operator.name, operator.loop.now)
    history.route_edits[id] = errand
    body = {"id": id, "who": operator.name, "name": name, "text": text, "base": map.get(f"Routes/{name}")}
    _ask(operator, errand, at.name, "edit", body)


def word(operator: Operator, history: History, id: str, what: str, at: str, over: bool) -> None:
    body = {"id": id, "who": operator.name, "word": what, "over": over}
    _ask(operator, history.route_edits[id], at, "word", body)


def _ask(operator: Operator, errand: Errand, at: str, method: str, body: dict[str, Any]) -> None:
    errand.status = 0

    def steps() -> Any:
        answer = yield operator.call(at, board.KIND, method, body, CALL_S)
        errand.heard(answer, operator.loop.now)

    operator.spawn(steps())


def agreed(stores: list[Store]) -> Mapping[str, Any]:
    """The newest map known to be committed."""
    states = [one.member.committed_state.snapshot for one in stores if one.member]
    found: Mapping[str, Any] = max(states, key=lambda state: state.term_index).entries.map if states else {}
    return found


def outcome(id: str, stores: list[Store]) -> str:
    """What the agreed map says of an edit; `waits`, or `unknown` where no store holds it either."""
    done = outcome_of(agreed(stores), id)
    if done:
        return str(done["outcome"])
    waits = any(one.pending_edits and id in one.pending_edits.pending.edits for one in stores)
    return "waits" if waits else "unknown"


def settle(history: History, map: Mapping[str, Any]) -> None:
    """Tell the checkers what the agreed map says of each edit: the version that it made, or that it was
    never in force, so that whatever ran by it is a breach."""
    ends = {id: outcome_of(map, id) or {} for id in history.route_edits}
    for id in sorted(ends, key=lambda id: str(ends[id].get("version"))):
        errand, end = history.route_edits[id], ends[id]
        made = end.get("outcome") == Outcome.IN_FORCE
        version = int(end["version"], 16) if made else 0
        older = [one for one in history.changes if not one.rejected_status and one.version < version]
        base = max(older, key=lambda one: one.version, default=None)
        if not made or base is None or any(one.version == version for one in history.changes):
            continue  # never in force, or the route was as it wanted already
        entries = dict(base.entries)
        entries.pop(f"Routes/{errand.name}", None)
        if errand.text is not None:
            entries[f"Routes/{errand.name}"] = errand.text
        entries["Version"] = end["version"]
        change = ConfigurationChange(
            version,
            version - 1,
            errand.who,
            errand.sent,
            export_configuration(entries),
            entries,
            RoutingTable.from_entries(entries),
        )
        change.acknowledged = errand.acknowledged
        history.changes.append(change)
