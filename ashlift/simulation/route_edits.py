"""Edits of single routes by operators, and their outcomes according to the committed map."""

from collections.abc import Mapping
from typing import Any

from attrs import define

from ashlift.config.operator_config import export_configuration
from ashlift.config.routing_table import RoutingTable
from ashlift.route_reconciliation.stored_records import Outcome, outcome_of
from ashlift.simulation import registry_process
from ashlift.simulation.configstore_process import ConfigstoreProcess
from ashlift.simulation.configurations import new_route_specification
from ashlift.simulation.history import ConfigurationChange, History
from ashlift.simulation.operators import Operator
from ashlift.simulation.process import Task
from ashlift.simulation.registry_methods import RegistryMethod
from ashlift.simulation.registry_process import RegistryProcess

CALL_TIMEOUT_SECONDS = 5.0  # the command line's


@define(eq=False)
class EditRecord:
    """An edit of one route, as its operator knows it.

    `text` is None if the route is removed; `status` is that of the last response to the edit or to the
    operator's decision on it, 0 before any response.
    """

    id: str
    name: str
    text: dict[str, Any] | None
    operator: str
    sent: float
    status: int = 0
    acknowledged: float = float("inf")

    def receive_response(self, response: Any, now: float) -> None:
        """Record a registry's response: a status and a value, or a failure."""
        if isinstance(response, tuple):
            self.status = response[0]
            if response[0] == 200 and response[1]["outcome"] == Outcome.APPLIED:
                self.acknowledged = now


def parse_edit(entries: Mapping[str, Any], words: str) -> tuple[str, dict[str, Any] | None]:
    """Return a route's name and its new text, None if the route is removed.

    `hold=bill` changes the service of a route, `r+NAME=SERVICE` adds an idempotent one, `r-NAME` removes one.
    """
    name, _, service = words.removeprefix("r+").removeprefix("r-").partition("=")
    if words.startswith("r-"):
        return name, None
    text = entries.get(f"Routes/{name}")
    if text is None:
        text = new_route_specification(name, service)
        del text["Service"]  # added last: recorded histories depend on the order of the encoded keys
    return name, {**text, "Service": service}


def send_edit(
    operator: Operator, history: History, edit_id: str, words: str, registry: RegistryProcess
) -> None:
    """Read the route at a registry, and send an edit of it to that registry."""
    entries = registry.registry.operator_config.values
    name, text = parse_edit(entries, words)
    record = EditRecord(edit_id, name, text, operator.name, operator.loop.now)
    history.route_edits[edit_id] = record
    base = entries.get(f"Routes/{name}")
    body = {"id": edit_id, "who": operator.name, "name": name, "text": text, "base": base}
    _send(operator, record, registry.name, RegistryMethod.EDIT_ROUTE, body)


def send_decision(
    operator: Operator, history: History, edit_id: str, decision: str, registry: str, overwrite: bool
) -> None:
    """Confirm or reject a pending edit; `overwrite`: even if the route has changed since."""
    body = {"id": edit_id, "who": operator.name, "word": decision, "over": overwrite}
    _send(operator, history.route_edits[edit_id], registry, RegistryMethod.DECIDE_EDIT, body)


def _send(operator: Operator, record: EditRecord, registry: str, method: str, body: dict[str, Any]) -> None:
    record.status = 0

    def call() -> Task:
        response = yield operator.call(registry, registry_process.KIND, method, body, CALL_TIMEOUT_SECONDS)
        record.receive_response(response, operator.loop.now)

    operator.spawn(call())


def committed_entries(stores: list[ConfigstoreProcess]) -> Mapping[str, Any]:
    """Return the latest committed map of any store."""
    snapshots = [store.replica.committed_state.snapshot for store in stores if store.replica]
    if not snapshots:
        return {}
    entries: Mapping[str, Any] = max(snapshots, key=lambda snapshot: snapshot.term_index).entries.map
    return entries


def outcome_in(edit_id: str, stores: list[ConfigstoreProcess]) -> str:
    """Return the outcome of an edit in the committed map, `waits` if it is pending, or `unknown`."""
    record = outcome_of(committed_entries(stores), edit_id)
    if record:
        return str(record["outcome"])
    is_pending = any(store.pending_edits and edit_id in store.pending_edits.pending.edits for store in stores)
    return "waits" if is_pending else "unknown"


def record_outcomes(history: History, entries: Mapping[str, Any]) -> None:
    """Add to the history the version that each applied edit made, according to the committed map.

    An edit that was not applied adds none, so that a request that ran because of it is a violation.
    """
    outcomes = {edit_id: outcome_of(entries, edit_id) or {} for edit_id in history.route_edits}
    for edit_id in sorted(outcomes, key=lambda edit_id: str(outcomes[edit_id].get("version"))):
        outcome = outcomes[edit_id]
        if outcome.get("outcome") == Outcome.APPLIED:
            _add_change(history, history.route_edits[edit_id], outcome["version"])


def _add_change(history: History, edit: EditRecord, version_text: str) -> None:
    version = int(version_text, 16)
    if any(change.version == version for change in history.changes):
        return  # the edit did not change the route
    older = [change for change in history.changes if not change.rejected_status and change.version < version]
    base = max(older, key=lambda change: change.version, default=None)
    if base is None:
        return
    entries = dict(base.entries)
    entries.pop(f"Routes/{edit.name}", None)
    if edit.text is not None:
        entries[f"Routes/{edit.name}"] = edit.text
    entries["Version"] = version_text
    change = ConfigurationChange(
        version,
        version - 1,
        edit.operator,
        edit.sent,
        export_configuration(entries),
        entries,
        RoutingTable.from_entries(entries),
    )
    change.acknowledged = edit.acknowledged
    history.changes.append(change)
