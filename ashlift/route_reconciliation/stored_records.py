"""What the replicated map holds about edits of routes: its keys and the records under them.

These stand on disk, only where edits were made. Under OUTCOME_PREFIX + edit id: how an edit ended, `{seq,
outcome, version, lost_to}`. Under HISTORY_PREFIX + route: `{stamp, id, text, log}`, that is timestamp, id and
digest of the newest edit that came into force (kept after a withdrawal), and a log of who did what.

Records are plain dicts whose order of keys matters: they are digested as they are encoded.
"""

import json
from collections.abc import Mapping
from enum import StrEnum
from hashlib import blake2b
from typing import Any, Final

from ashlift.route_reconciliation.hybrid_clock import NEVER, HybridTimestamp

Record = dict[str, Any]

ROUTE_PREFIX: Final = "Routes/"  # + name: the route's Specification
OUTCOME_PREFIX: Final = "Settled/"
HISTORY_PREFIX: Final = "Edited/"
DROPPED_HISTORY_TIMESTAMP: Final = "Forgotten"  # the newest timestamp of a history that was dropped
MAX_OUTCOMES: Final = 256
MAX_HISTORIES: Final = 256
MAX_LOG_ENTRIES: Final = 8  # of one route's history

_DIGEST_BYTES: Final = 8


class Outcome(StrEnum):
    """What became of an edit. The values are the words on disk and on the wire."""

    APPLIED = "in force"
    LOST = "lost"  # a newer edit of the route is in force
    REJECTED = "rejected"  # by an operator
    CONFLICT = "conflict"  # never stored: it waits for an operator, or for the map to change
    PENDING = "waits"  # never stored


def route_key(route: str) -> str:
    """The map's key of a route."""
    return ROUTE_PREFIX + route


def outcome_of(entries: Mapping[str, Any], edit_id: str) -> Record | None:
    """How an edit ended; None: it has not, or nothing of it is kept any more."""
    return entries.get(OUTCOME_PREFIX + edit_id)


def history_of(entries: Mapping[str, Any], route: str) -> Record | None:
    """The history of a route; None: no edit of it is known."""
    return entries.get(HISTORY_PREFIX + route)


def newest_timestamp(history: Record) -> HybridTimestamp:
    """Of the newest edit that came into force."""
    return HybridTimestamp(*history["stamp"])


def newest_edit_id(history: Record) -> str:
    """Of the newest edit that came into force; empty: none has."""
    edit_id: str = history["id"]
    return edit_id


def wrote_specification(history: Record, specification: Mapping[str, Any] | None) -> bool:
    """Whether this is what the newest edit in force wrote."""
    return bool(history["text"] == _digest(specification))


def log_of(history: Record | None) -> list[Record]:
    """The log of a route's history, oldest entry first."""
    return list(history["log"]) if history else []


def with_newest_edit(
    history: Record | None,
    edit_id: str,
    specification: Mapping[str, Any] | None,
    timestamp: HybridTimestamp,
) -> Record:
    """The history of a route after an edit came into force."""
    newest = {"stamp": [*timestamp], "id": edit_id, "text": _digest(specification)}
    return {**(history or {"log": []}), **newest}


def with_log_entry(history: Record | None, entry: Record) -> Record:
    """The history of a route with one entry more in its log, the oldest one gone where they are too many."""
    if history is None:  # a rejected edit of a route that no edit has touched
        history = {"stamp": [*NEVER], "id": "", "text": "", "log": []}
    return {**history, "log": [*history["log"], entry][-MAX_LOG_ENTRIES:]}


def encode_outcome(sequence: int, outcome: Outcome, version: str, lost_to: str) -> Record:
    """`version`: in which the edit came into force; `lost_to`: id of the edit that it lost to."""
    return {"seq": sequence, "outcome": outcome.value, "version": version, "lost_to": lost_to}


def outcome_sequence(outcome: Record) -> int:
    """Outcomes are numbered in the order in which they were stored."""
    sequence: int = outcome["seq"]
    return sequence


def _digest(specification: Mapping[str, Any] | None) -> str:
    text = json.dumps(specification, sort_keys=True)
    return blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()
