"""What the leader knows of another replica's map, and what it sends to bring it up to date. Pure.

At most one payload is on its way to each replica. One whose state is among those that the leader has held
(`ChangeLog`) gets what differs from it, however many changes that was, as one delta. What is too large for a
request, or goes to a state that is not known, goes by digests over hash ranges: of a range that differs the
keys that changed since it was known, else the whole range. What changes meanwhile goes with the next request,
so a repair ends however steadily changes go on.
"""

from typing import Any, Final, NamedTuple

import cbor2

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.codec import encode_payload
from ashlift.configstore.messages import Delta, RangeUpdate
from ashlift.configstore.persistent_state import Snapshot, TermIndex
from ashlift.configstore.timing import PAYLOAD_CHUNK_BYTES

MIN_PAYLOAD_CHUNK_BYTES: Final = PAYLOAD_CHUNK_BYTES // 16
UNCOMPRESSED_BYTES_PER_PAYLOAD_BYTE: Final = 2  # payloads are compressed to half at least


class SentRange(NamedTuple):
    """A hash range that was sent: of which state of the leader's change log, and its digest then."""

    state_number: int
    digest: bytes


class ReplicaProgress:
    """Another replica's map as the leader knows it."""

    def __init__(self, position: TermIndex | None) -> None:
        self.position = position  # None: nobody knows which state it is
        self.payload_in_flight = False  # a payload, or a request for digests
        self.chunk_bytes = PAYLOAD_CHUNK_BYTES  # about; halved when a payload did not get through in time
        self.last_delta_base: TermIndex | None = None
        self.sent_ranges: dict[int, SentRange] = {}

    def acknowledge(self, position: TermIndex | None) -> None:
        """The replica has said what it holds."""
        if position != self.position:
            self.position = position
            self.sent_ranges.clear()

    def reset(self) -> None:
        """Another incarnation: nothing of what was sent may be there."""
        self.sent_ranges.clear()
        self.last_delta_base = None

    def payload_answered(self, *, carried_payload: bool, got_through: bool) -> None:
        """What was in flight has been answered in time (`got_through`), or has not."""
        self.payload_in_flight = False
        if carried_payload and got_through:
            self.chunk_bytes = min(PAYLOAD_CHUNK_BYTES, self.chunk_bytes * 2)
        elif carried_payload:
            self.chunk_bytes = max(MIN_PAYLOAD_CHUNK_BYTES, self.chunk_bytes // 2)
        if not got_through:
            self.sent_ranges.clear()


class CatchUp:
    """Makes the payloads of one leader."""

    def __init__(self, change_log: ChangeLog) -> None:
        self.change_log = change_log
        # The number of the newest state, and the deltas to it by number of their base; None: too large.
        self._encoded_deltas: tuple[int, dict[int, bytes | None]] = (0, {})

    def next_payload(
        self, progress: ReplicaProgress, newest: Snapshot, range_digests: bytes | None = None
    ) -> bytes | None:
        """The encoded payload that brings the replica on; None: its range digests are needed first."""
        delta_was_refused = range_digests and progress.position == progress.last_delta_base
        if progress.position and not progress.sent_ranges and not delta_was_refused:
            delta = self._delta(progress.position, newest)
            if delta is not None and len(delta) <= progress.chunk_bytes:
                progress.last_delta_base = progress.position
                return delta
        return self._range_update(progress, newest, range_digests) if range_digests else None

    def _delta(self, position: TermIndex, newest: Snapshot) -> bytes | None:
        """All that differs from a state that was held; None: it is not known, or that is too much."""
        base = self.change_log.number_of(position)
        if base is None:
            return None
        if self._encoded_deltas[0] != self.change_log.newest_number:
            self._encoded_deltas = self.change_log.newest_number, {}
        deltas = self._encoded_deltas[1]
        if base not in deltas:
            encoded = self._encode_delta(position, base, newest)
            deltas[base] = encoded if len(encoded) <= PAYLOAD_CHUNK_BYTES else None
        return deltas[base]

    def _encode_delta(self, position: TermIndex, base: int, newest: Snapshot) -> bytes:
        entries = newest.entries.map
        keys = self.change_log.keys_changed_since(base)
        updates = {key: entries[key] for key in keys if key in entries}
        deletions = [key for key in keys if key not in entries]
        return encode_payload(Delta(position, updates, deletions, newest.entries.digest()))

    def _range_update(self, progress: ReplicaProgress, newest: Snapshot, range_digests: bytes) -> bytes:
        """As many of the differing ranges as a request may carry; the response brings the next digests."""
        entries = newest.entries
        base = self.change_log.number_of(progress.position) if progress.position else None
        changed_keys = {} if base is None else self.change_log.keys_changed_since_by_range(base)
        update = RangeUpdate({}, {}, [], entries.digest())
        size_bytes = 0
        for number in entries.differing_ranges(range_digests):
            if size_bytes > UNCOMPRESSED_BYTES_PER_PAYLOAD_BYTE * progress.chunk_bytes:
                break
            sent = progress.sent_ranges.get(number)
            keys: list[str] = []
            if sent is None:
                keys = changed_keys.get(number, [])
            elif sent.digest == entries.range_digest_in(range_digests, number):
                keys = self.change_log.keys_changed_since_by_range(sent.state_number).get(number, [])
            if keys:
                size_bytes += _add_changes(update, entries.map, keys)
            else:
                size_bytes += _add_range(update, newest, number)
            progress.sent_ranges[number] = SentRange(
                self.change_log.newest_number, entries.range_digest(number)
            )
        return encode_payload(update)


def _add_changes(update: RangeUpdate, entries: Any, keys: list[str]) -> int:
    """Add the keys' changes to the update; -> their size in bytes, uncompressed."""
    update.updates.update((key, entries[key]) for key in keys if key in entries)
    update.deletions.extend(key for key in keys if key not in entries)
    return sum(len(cbor2.dumps(entries.get(key))) for key in keys)


def _add_range(update: RangeUpdate, newest: Snapshot, number: int) -> int:
    """Add a whole range to the update; -> its size in bytes, uncompressed."""
    encoded = newest.entries.encoded_range(number)
    update.ranges[number] = encoded
    return len(encoded)
