"""Keys and records of route edits in the replicated map, which is stored on disk.

OUTCOME_PREFIX + edit id: the outcome of an edit, `{seq, outcome, version, lost_to}`.
HISTORY_PREFIX + route: `{stamp, id, text, log}`: timestamp, id and specification digest of the newest applied
edit, which are kept after the route is withdrawn, and a log of the route's edits.

The order of keys in these dicts matters: digests of the map are computed over their encoded form.
"""

import json
from collections.abc import Mapping
from enum import StrEnum
from hashlib import blake2b
from typing import Any, Final

from ashlift.route_reconciliation.hybrid_clock import ZERO_TIMESTAMP, HybridTimestamp

Record = dict[str, Any]

ROUTE_PREFIX: Final = "Routes/"  # + route name: its Specification
OUTCOME_PREFIX: Final = "Settled/"
HISTORY_PREFIX: Final = "Edited/"
NEWEST_DROPPED_TIMESTAMP_KEY: Final = "Forgotten"  # holds the newest timestamp of all dropped histories
MAX_OUTCOMES: Final = 256
MAX_HISTORIES: Final = 256
MAX_LOG_ENTRIES: Final = 8  # per route

_DIGEST_BYTES: Final = 8


class Outcome(StrEnum):
    """What became of an edit. The values are stored on disk and sent on the wire."""

    APPLIED = "in force"
    LOST = "lost"  # a newer edit of the route had been applied
    REJECTED = "rejected"  # by an operator
    CONFLICT = "conflict"  # not stored: pending until an operator decides or the map changes
    PENDING = "waits"  # not stored


def route_key(route: str) -> str:
    """Return the key of a route in the map."""
    return ROUTE_PREFIX + route


def outcome_of(entries: Mapping[str, Any], edit_id: str) -> Record | None:
    """Return the outcome of an edit; None if it is pending, or its outcome has been dropped."""
    return entries.get(OUTCOME_PREFIX + edit_id)


def history_of(entries: Mapping[str, Any], route: str) -> Record | None:
    """Return the history of a route; None if no edit of it was decided, or the history was dropped."""
    return entries.get(HISTORY_PREFIX + route)


def newest_timestamp(history: Record) -> HybridTimestamp:
    """Return the timestamp of the newest applied edit; ZERO_TIMESTAMP if there is none."""
    return HybridTimestamp(*history["stamp"])


def newest_edit_id(history: Record) -> str:
    """Return the id of the newest applied edit; empty if there is none."""
    edit_id: str = history["id"]
    return edit_id


def wrote_specification(history: Record, specification: Mapping[str, Any] | None) -> bool:
    """Whether the newest applied edit wrote this specification."""
    return bool(history["text"] == _digest(specification))


def log_of(history: Record | None) -> list[Record]:
    """Return the log of a route's history, oldest entry first."""
    return list(history["log"]) if history else []


def with_newest_edit(
    history: Record | None,
    edit_id: str,
    specification: Mapping[str, Any] | None,
    timestamp: HybridTimestamp,
) -> Record:
    """Return the history of a route after an edit of it was applied."""
    newest = {"stamp": [*timestamp], "id": edit_id, "text": _digest(specification)}
    return {**(history or {"log": []}), **newest}


def with_log_entry(history: Record | None, entry: Record) -> Record:
    """Return the history with `entry` appended to its log, which keeps the last MAX_LOG_ENTRIES."""
    if history is None:  # the first edit of a route, and it was rejected
        history = {"stamp": [*ZERO_TIMESTAMP], "id": "", "text": "", "log": []}
    return {**history, "log": [*history["log"], entry][-MAX_LOG_ENTRIES:]}


def encode_outcome(sequence: int, outcome: Outcome, version: str, lost_to: str) -> Record:
    """Encode an outcome. `version`: the one that contains the edit; `lost_to`: id of the newer edit."""
    return {"seq": sequence, "outcome": outcome.value, "version": version, "lost_to": lost_to}


def outcome_sequence(outcome: Record) -> int:
    """Return the sequence number of an outcome; they rise in the order in which outcomes are stored."""
    sequence: int = outcome["seq"]
    return sequence


def _digest(specification: Mapping[str, Any] | None) -> str:
    text = json.dumps(specification, sort_keys=True)
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
