"""Pending route edits, stored on the local disk until the leader has merged or rejected them.

They are not part of the replicated map. `PendingEdits` holds the logic without input or output;
`PendingEditStorage` makes the edits durable and logs their outcomes.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, Protocol

import cbor2

from ashlift.configstore import events
from ashlift.configstore.requests import PENDING_EDITS, encode_merge
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE
from ashlift.errors import Failure, FailureReason
from ashlift.events import WARNING, log_event
from ashlift.response_status import OK
from ashlift.route_reconciliation.edit_codec import decode_edit, encode_edit
from ashlift.route_reconciliation.edit_sets import EditsById, decode_edits, join_edits
from ashlift.route_reconciliation.edits import RouteEdit
from ashlift.route_reconciliation.stored_records import Outcome, outcome_of

MAX_PENDING_EDITS: Final = 256
MERGE_INTERVAL_SECONDS: Final = 1.0  # between two merge attempts

CommittedMap = tuple[int, Mapping[str, Any]]  # index and entries
OutcomeAnswer = Mapping[str, Any]  # the leader's answer for one edit: `{outcome, why?, version?, lost_to?}`


class RecordStorage(Protocol):
    """Durable records by name; implemented by `snapshot_storage.SnapshotStorage`."""

    def read(self) -> dict[str, bytes] | Failure | None:
        """All records; None if none were ever written."""

    def write(self, records: Mapping[str, bytes]) -> Failure | None:
        """Replace all records."""


class PendingEdits:
    """The edits, by id, whose outcome is not committed yet."""

    def __init__(self, edits: EditsById) -> None:
        self.edits: dict[str, RouteEdit] = dict(edits)
        self._logged_outcomes: dict[str, str] = {}  # by id, so that each is logged once
        self._last_attempt: tuple[int, frozenset[str]] | None = None  # index, and ids in conflict then

    def with_edits(self, edits: Iterable[RouteEdit]) -> dict[str, RouteEdit] | Failure:
        """The pending edits together with the given ones, or a Failure if there would be too many."""
        joined = join_edits(self.edits, {edit.id: edit for edit in edits})
        if len(joined) > MAX_PENDING_EDITS:
            return Failure(FailureReason.REJECTED, f"{MAX_PENDING_EDITS} edits wait already")
        return joined

    def without_resolved(self, entries: Mapping[str, Any]) -> dict[str, RouteEdit]:
        """The pending edits without those whose outcome is in the committed map."""
        return {edit_id: edit for edit_id, edit in self.edits.items() if outcome_of(entries, edit_id) is None}

    def merge_request(self, index: int) -> dict[str, Any] | None:
        """The merge to submit while the committed map is at `index`.

        None if no edit may be merged automatically, or nothing has changed since the last attempt.
        """
        automatic = [edit for edit in self.edits.values() if edit.automatic]
        if not automatic or self._last_attempt == (index, frozenset(edit.id for edit in automatic)):
            return None
        return encode_merge([encode_edit(edit) for edit in automatic])

    def record_outcomes(
        self, index: int, outcomes: Mapping[str, OutcomeAnswer]
    ) -> list[tuple[RouteEdit, OutcomeAnswer]]:
        """Record the leader's outcomes of a merge at `index`, and return those not recorded before."""
        new_outcomes = []
        for edit_id, outcome in outcomes.items():
            edit = self.edits.get(edit_id)
            if edit is None:
                continue
            summary = str(outcome.get("why") or outcome["outcome"])
            if self._logged_outcomes.get(edit_id) != summary:
                self._logged_outcomes[edit_id] = summary
                new_outcomes.append((edit, outcome))
        conflicting = (
            edit_id for edit_id, outcome in outcomes.items() if outcome["outcome"] == Outcome.CONFLICT
        )
        self._last_attempt = index, frozenset(conflicting)
        return new_outcomes


class PendingEditStorage:
    """The pending edits on the local disk.

    `committed_map` returns the newest committed map known here.
    """

    def __init__(
        self,
        storage: RecordStorage,
        committed_map: Callable[[], CommittedMap],
        log_event: Callable[..., None] = log_event,
    ) -> None:
        self._storage = storage
        self._committed_map = committed_map
        self.log_event = log_event
        records = storage.read()
        if isinstance(records, Failure):
            self.log_event(
                events.STORAGE_UNREADABLE, level=WARNING, storage=PENDING_EDIT_STORAGE, error=records
            )
        self.pending = PendingEdits(_decode_records(records) if isinstance(records, dict) else {})

    def handle_request(self, body: Any) -> dict[str, Any] | Failure:
        """Add edits durably. Takes `{add: [edit]}` and returns `{edits: [edit]}` with all pending edits."""
        try:
            decoded = [decode_edit(value) for value in body["add"]]
        except (LookupError, TypeError):
            return Failure(FailureReason.INVALID, PENDING_EDITS)
        edits = [edit for edit in decoded if isinstance(edit, RouteEdit)]
        if len(edits) < len(decoded):
            return Failure(FailureReason.INVALID, "an edit that is none")
        failure = self._replace(self.pending.with_edits(edits))
        if failure is not None:
            return failure
        for edit in edits:
            self.log_event(
                events.EDIT_PENDING,
                id=edit.id,
                route=edit.route,
                automatic=edit.automatic,
                author=edit.author,
            )
        _, entries = self._committed_map()
        return {"edits": [encode_edit(edit) for edit in self.pending.without_resolved(entries).values()]}

    def merge_request(self) -> dict[str, Any] | None:
        """The merge to submit now, if any."""
        index, _ = self._committed_map()
        return self.pending.merge_request(index)

    def finish_merge(self, response: Any) -> None:
        """Handle the leader's response to a merge (None: none was submitted), and drop resolved edits."""
        index, entries = self._committed_map()
        if isinstance(response, dict) and response.get("status") == OK:
            for edit, outcome in self.pending.record_outcomes(index, response["outcomes"]):
                self._log_outcome(edit, outcome)
        self._replace(self.pending.without_resolved(entries))

    def _log_outcome(self, edit: RouteEdit, outcome: OutcomeAnswer) -> None:
        if outcome["outcome"] == Outcome.CONFLICT:
            self.log_event(
                events.EDIT_CONFLICT, level=WARNING, id=edit.id, route=edit.route, reason=outcome["why"]
            )
            return
        self.log_event(
            events.EDIT_RESOLVED,
            id=edit.id,
            route=edit.route,
            outcome=outcome["outcome"],
            version=outcome["version"],
            lost_to=outcome["lost_to"],
        )

    def _replace(self, edits: dict[str, RouteEdit] | Failure) -> Failure | None:
        if isinstance(edits, Failure):
            return edits
        if edits == self.pending.edits:
            return None
        failure = self._storage.write(
            {edit_id: cbor2.dumps(encode_edit(edit)) for edit_id, edit in edits.items()}
        )
        if failure is None:
            self.pending.edits = edits
        return failure


def _decode_records(records: Mapping[str, bytes]) -> dict[str, RouteEdit]:
    return decode_edits(cbor2.loads(data) for data in records.values())
