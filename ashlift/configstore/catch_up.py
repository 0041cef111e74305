"""Catch-up: the leader's view of another replica's map, and the payloads that bring it up to date.

No input or output. At most one payload is in flight to each replica. A replica whose map is in the leader's
`ChangeLog` gets the difference as one delta. If the delta is too large for a request, or the replica's map is
unknown, the maps are compared by digests of hash ranges: for each differing range, the leader sends the keys
that changed since a known state, or else the whole range. Changes made meanwhile go with the next payload, so
catching up completes under continuous changes.
"""

from typing import Any, Final, NamedTuple

import cbor2

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.codec import encode_payload
from ashlift.configstore.messages import Delta, RangeUpdate
from ashlift.configstore.persistent_state import Snapshot, TermIndex
from ashlift.configstore.timing import PAYLOAD_CHUNK_BYTES

MIN_PAYLOAD_CHUNK_BYTES: Final = PAYLOAD_CHUNK_BYTES // 16
UNCOMPRESSED_BYTES_PER_PAYLOAD_BYTE: Final = 2  # assumes that payloads compress to half their size or less


class SentRange(NamedTuple):
    """A hash range as it was sent: the number of the state in the change log, and the range's digest."""

    state_number: int
    digest: bytes


class ReplicaProgress:
    """The leader's view of another replica's map."""

    def __init__(self, position: TermIndex | None) -> None:
        self.position = position  # None: unknown
        self.payload_in_flight = False  # a payload, or a request for digests
        self.chunk_bytes = PAYLOAD_CHUNK_BYTES  # approximate; halved when a payload is not delivered in time
        self.last_delta_base: TermIndex | None = None
        self.sent_ranges: dict[int, SentRange] = {}

    def acknowledge(self, position: TermIndex | None) -> None:
        """Record the term and index that the replica reports; None: unknown."""
        if position != self.position:
            self.position = position
            self.sent_ranges.clear()

    def reset(self) -> None:
        """Forget what was sent, because another incarnation of the replica may not have it."""
        self.sent_ranges.clear()
        self.last_delta_base = None

    def record_payload_outcome(self, *, carried_payload: bool, delivered: bool) -> None:
        """Record whether the request in flight was answered in time, and adapt the payload size."""
        self.payload_in_flight = False
        if carried_payload and delivered:
            self.chunk_bytes = min(PAYLOAD_CHUNK_BYTES, self.chunk_bytes * 2)
        elif carried_payload:
            self.chunk_bytes = max(MIN_PAYLOAD_CHUNK_BYTES, self.chunk_bytes // 2)
        if not delivered:
            self.sent_ranges.clear()


class CatchUp:
    """Builds the payloads of one leader."""

    def __init__(self, change_log: ChangeLog) -> None:
        self.change_log = change_log
        # Cache: the newest state's number, and the deltas to it by their base's number; None: too large.
        self._encoded_deltas: tuple[int, dict[int, bytes | None]] = (0, {})

    def next_payload(
        self, progress: ReplicaProgress, newest: Snapshot, range_digests: bytes | None = None
    ) -> bytes | None:
        """The next encoded payload for the replica; None if its range digests are needed first."""
        delta_was_refused = range_digests and progress.position == progress.last_delta_base
        if progress.position and not progress.sent_ranges and not delta_was_refused:
            delta = self._delta(progress.position, newest)
            if delta is not None and len(delta) <= progress.chunk_bytes:
                progress.last_delta_base = progress.position
                return delta
        return self._range_update(progress, newest, range_digests) if range_digests else None

    def _delta(self, position: TermIndex, newest: Snapshot) -> bytes | None:
        """The encoded delta from a state in the change log; None if that is unknown or it is too large."""
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
        """An update of as many differing ranges as fit a request. The response brings the next digests."""
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
    """Add the changes of some keys to the update. Returns their uncompressed size in bytes."""
    update.updates.update((key, entries[key]) for key in keys if key in entries)
    update.deletions.extend(key for key in keys if key not in entries)
    return sum(len(cbor2.dumps(entries.get(key))) for key in keys)


def _add_range(update: RangeUpdate, newest: Snapshot, number: int) -> int:
    """Add a whole range to the update. Returns its uncompressed size in bytes."""
    encoded = newest.entries.encoded_range(number)
    update.ranges[number] = encoded
    return len(encoded)
