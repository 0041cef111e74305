"""A working copy of the replicated map, to which a command about route edits is applied. No I/O."""

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from ashlift.config import operator_config
from ashlift.errors import Failure
from ashlift.route_reconciliation.edits import (
    ConflictReason,
    RouteEdit,
    Specification,
    conflict_reason,
    specifications_equal,
)
from ashlift.route_reconciliation.hybrid_clock import ZERO_TIMESTAMP, HybridTimestamp
from ashlift.route_reconciliation.stored_records import (
    HISTORY_PREFIX,
    MAX_HISTORIES,
    MAX_OUTCOMES,
    NEWEST_DROPPED_TIMESTAMP_KEY,
    OUTCOME_PREFIX,
    Outcome,
    Record,
    encode_outcome,
    history_of,
    newest_edit_id,
    newest_timestamp,
    outcome_sequence,
    route_key,
    with_log_entry,
    with_newest_edit,
    wrote_specification,
)

_TOO_OLD_REASON = "too old to be told from what came after it"


class CommandResult(NamedTuple):
    """The keys that a command sets and removes, none if it changes nothing; its response `{status, ...}`."""

    changed: dict[str, Any]
    removed: list[str]
    response: dict[str, Any]


class MapDraft:
    """A copy of the map's entries that a command modifies; `result` compares it with the original."""

    def __init__(self, current: Mapping[str, Any]) -> None:
        self._current = current
        self.entries = dict(current)

    def result(self, response: dict[str, Any]) -> CommandResult:
        """Return the changes, after dropping the oldest outcomes and histories beyond their limits."""
        if self.entries == self._current:
            return CommandResult({}, [], response)
        self._trim(OUTCOME_PREFIX, MAX_OUTCOMES, outcome_sequence)
        for history in self._trim(HISTORY_PREFIX, MAX_HISTORIES, newest_timestamp):
            dropped = self.entries.get(NEWEST_DROPPED_TIMESTAMP_KEY, [*ZERO_TIMESTAMP])
            self.entries[NEWEST_DROPPED_TIMESTAMP_KEY] = max(dropped, [*newest_timestamp(history)])
        changed = {
            key: value
            for key, value in self.entries.items()
            if key not in self._current or self._current[key] is not value
        }
        removed = [key for key in self._current if key not in self.entries]
        return CommandResult(changed, removed, response)

    def newest_timestamp(self, route: str) -> HybridTimestamp | None:
        """Return the timestamp of the newest applied edit of the route; None without a stored history."""
        history = history_of(self.entries, route)
        return newest_timestamp(history) if history else None

    def merge(self, edit: RouteEdit) -> str | None:
        """Apply an edit, or record that it lost to a newer one; return the reason if it conflicts."""
        current: Specification = self.entries.get(route_key(edit.route))
        history = history_of(self.entries, edit.route)
        if history is not None and edit.timestamp < newest_timestamp(history):
            self.record_outcome(edit, Outcome.LOST, "", edit.author)
            return None
        if history is None and self._is_older_than_dropped(edit):
            return _TOO_OLD_REASON
        written_by_edit = history is not None and wrote_specification(history, current)
        if not written_by_edit and not specifications_equal(current, edit.base_specification):
            if not specifications_equal(current, edit.specification):
                return ConflictReason.SPECIFICATION.value
            version = operator_config.current_version(self.entries)
            self.record_outcome(edit, Outcome.APPLIED, version, edit.author)
            return None
        reason = conflict_reason(self.entries, edit.route, edit.specification, edit.base_specification)
        if reason is not None:
            return reason.value
        return self.apply_edit(edit, edit.timestamp, edit.author)

    def apply_edit(self, edit: RouteEdit, timestamp: HybridTimestamp, operator: str) -> str | None:
        """Write the edit's route as a new configuration version; return the errors if that is not valid."""
        if not specifications_equal(self.entries.get(route_key(edit.route)), edit.specification):
            failure = self._write_route(edit)
            if failure is not None:
                return failure.detail
        history = history_of(self.entries, edit.route)
        self.entries[HISTORY_PREFIX + edit.route] = with_newest_edit(
            history, edit.id, edit.specification, timestamp
        )
        version = operator_config.current_version(self.entries)
        self.record_outcome(edit, Outcome.APPLIED, version, operator)
        return None

    def record_outcome(self, edit: RouteEdit, outcome: Outcome, version: str, operator: str) -> Record:
        """Store the final outcome of an edit and log it in its route's history.

        :param version: the configuration version that contains the edit, empty if it was not applied.
        :param operator: who decided; the edit's author unless an operator confirmed or rejected it.
        """
        history = history_of(self.entries, edit.route)
        lost_to = newest_edit_id(history) if history and outcome == Outcome.LOST else ""
        sequences = [
            outcome_sequence(value) for key, value in self.entries.items() if key.startswith(OUTCOME_PREFIX)
        ]
        record = encode_outcome(max(sequences, default=0) + 1, outcome, version, lost_to)
        self.entries[OUTCOME_PREFIX + edit.id] = record
        log_entry = encode_log_entry(edit, outcome, version=version, operator=operator, lost_to=lost_to)
        self.entries[HISTORY_PREFIX + edit.route] = with_log_entry(history, log_entry)
        return record

    def _is_older_than_dropped(self, edit: RouteEdit) -> bool:
        """Whether a newer edit of the route may have been applied, its history having been dropped."""
        dropped: list[Any] = self.entries.get(NEWEST_DROPPED_TIMESTAMP_KEY, [*ZERO_TIMESTAMP])
        return [*edit.timestamp] <= dropped

    def _write_route(self, edit: RouteEdit) -> Failure | None:
        version = operator_config.current_version(self.entries)
        patch: dict[str, Any] = {"ConfigVersion": f"{int(version, 16) + 1:08x}"}
        if edit.specification is None:
            patch["Withdraw"] = {"Routes": [edit.route]}
        else:
            route = {
                "ObjectType": "Routes",
                "Metadata": {"Name": edit.route},
                "Specification": edit.specification,
            }
            patch["Upsert"] = {"Objects": [route]}
        change = operator_config.apply_change(self.entries, "patch", version, patch)
        if isinstance(change, Failure):
            return change
        for key in change.removed_keys:
            del self.entries[key]
        self.entries.update(change.entries)
        return None

    def _trim(self, prefix: str, max_count: int, age: Callable[[Any], Any]) -> list[Any]:
        """Remove the oldest records under the prefix beyond `max_count`, and return them."""
        keys = [key for key in self.entries if key.startswith(prefix)]
        keys.sort(key=lambda key: age(self.entries[key]))
        return [self.entries.pop(key) for key in keys[: max(0, len(keys) - max_count)]]


def encode_log_entry(
    edit: RouteEdit, outcome: Outcome, *, version: str = "", operator: str = "", lost_to: str = ""
) -> Record:
    """Encode an edit as an entry in the log of its route's history."""
    return {
        "id": edit.id,
        "outcome": outcome.value,
        "version": version,
        "on": edit.base_version,
        "who": edit.author,
        "where": edit.node,
        "by": operator,
        "at_ms": edit.timestamp.wall_ms,
        "lost_to": lost_to,
    }
