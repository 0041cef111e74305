"""The member's shelf of edits of routes that wait: no part of the agreed map, and counted by nobody."""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Final, Protocol

import cbor2

from ashlift.configstore import events
from ashlift.errors import Failure, FailureReason
from ashlift.events import WARNING, log_event
from ashlift.route_reconciliation.edits import Book, Edit, join, read_edit
from ashlift.route_reconciliation.merging import CONFLICT, SETTLED

MOST: Final = 256  # edits
NAME: Final = "edits"


class Records(Protocol):
    """A shelf, as `ashlift.configstore.snapshot_storage` has it."""

    def read(self) -> dict[str, bytes] | Failure | None: ...

    def write(self, records: Mapping[str, bytes]) -> Failure | None: ...


class Waiting:
    """The edits that nothing is settled about. Pure."""

    def __init__(self, book: Book) -> None:
        self.book: dict[str, Edit] = dict(book)
        self._told: dict[str, str] = {}  # id -> why it waits, as it was told
        self._tried: tuple[int, frozenset[str]] | None = None  # index and ids of the last attempt

    def with_(self, edits: Iterable[Edit]) -> dict[str, Edit] | Failure:
        """The book joined with these."""
        joined = join(self.book, {edit.id: edit for edit in edits})
        return (
            joined if len(joined) <= MOST else Failure(FailureReason.REJECTED, f"{MOST} edits wait already")
        )

    def without(self, map: Mapping[str, Any]) -> dict[str, Edit]:
        """The book less what the agreed map says is settled."""
        return {id: edit for id, edit in self.book.items() if SETTLED + id not in map}

    def order(self, index: int) -> dict[str, Any] | None:
        """What to submit, the committed map being at `index`; None: all is as at the last attempt."""
        mine = [edit for edit in self.book.values() if edit.auto]
        if not mine or self._tried == (index, frozenset(edit.id for edit in mine)):
            return None
        return {"kind": "merge", "if_match": None, "body": {"edits": [edit.wire() for edit in mine]}}

    def outcomes(self, index: int, found: Mapping[str, Any]) -> list[tuple[Edit, dict[str, Any]]]:
        """Take the leader's answer, given when the map was at `index`: what of it is new to tell."""
        new = []
        for id, outcome in found.items():
            edit = self.book.get(id)
            if edit is None:
                continue
            mark = str(outcome.get("why") or outcome["outcome"])
            if self._told.get(id) != mark:
                self._told[id] = mark
                new.append((edit, outcome))
        self._tried = (index, frozenset(id for id, one in found.items() if one["outcome"] == CONFLICT))
        return new


class Drafts:
    """The shelf of what waits. `map`: index and committed map, as known here."""

    def __init__(
        self,
        shelf: Records,
        map: Callable[[], tuple[int, Mapping[str, Any]]],
        tell: Callable[..., None] = log_event,
    ) -> None:
        self._shelf, self._map, self.tell = shelf, map, tell
        found = shelf.read()
        if isinstance(found, Failure):
            self.tell(events.UNREADABLE, level=WARNING, shelf=NAME, fault=found)
        self.waiting = Waiting(_read(found) if isinstance(found, dict) else {})

    def call(self, body: Any) -> Any:
        """`{add: [edit]}` -> `{edits: [edit]}`: all that wait here, these included, durably; or a Failure."""
        try:
            edits = [read_edit(one) for one in body["add"]]
        except (LookupError, TypeError):
            return Failure(FailureReason.INVALID, "drafts")
        sound = [edit for edit in edits if isinstance(edit, Edit)]
        if len(sound) < len(edits):
            return Failure(FailureReason.INVALID, "an edit that is none")
        fault = self._keep(self.waiting.with_(sound))
        if fault is not None:
            return fault
        for edit in sound:
            self.tell(events.EDIT_KEPT, id=edit.id, route=edit.name, auto=edit.auto, who=edit.who)
        return {"edits": [edit.wire() for edit in self.waiting.without(self._map()[1]).values()]}

    def order(self) -> dict[str, Any] | None:
        """What to submit now, so that what may merge is merged."""
        return self.waiting.order(self._map()[0])

    def answered(self, answer: Any) -> None:
        """The leader's answer to it, None: nothing was asked. What is settled is forgotten here."""
        index, map = self._map()
        if isinstance(answer, dict) and answer.get("status") == 200:
            for edit, outcome in self.waiting.outcomes(index, answer["outcomes"]):
                if outcome["outcome"] == CONFLICT:
                    why = outcome["why"]
                    self.tell(events.EDIT_WAITS, level=WARNING, id=edit.id, route=edit.name, why=why)
                else:
                    self.tell(
                        events.EDIT_SETTLED,
                        id=edit.id,
                        route=edit.name,
                        outcome=outcome["outcome"],
                        version=outcome["version"],
                        lost_to=outcome["lost_to"],
                    )
        self._keep(self.waiting.without(map))

    def _keep(self, book: dict[str, Edit] | Failure) -> Failure | None:
        if isinstance(book, Failure) or book == self.waiting.book:
            return book if isinstance(book, Failure) else None
        fault = self._shelf.write({id: cbor2.dumps(edit.wire()) for id, edit in book.items()})
        if fault is None:
            self.waiting.book = book
        return fault


def _read(records: Mapping[str, bytes]) -> dict[str, Edit]:
    found = (read_edit(cbor2.loads(data)) for data in records.values())
    return {edit.id: edit for edit in found if isinstance(edit, Edit)}
