"""What the leader knows of another's copy of the map, and what it sends to make it level. Pure.

To each one thing at a time is on its way. A copy whose state is among those that the leader has held
(`ChangeLog`) gets what differs from it, however many changes that was, as one delta. What is too large for a
call, or goes to a state that is not known, goes by digests over hash ranges: of a range that differs the keys
that changed since it was known, else the range whole. What changes meanwhile goes with the next call, so a
repair ends however steadily the changes go on.
"""

from typing import Any, Final

import cbor2
from attrs import define, field

from ashlift.configstore.change_log import ChangeLog
from ashlift.configstore.messages import DELTA, PARTS, PAYLOAD_CHUNK_BYTES, RANGES, Snapshot, TermIndex
from ashlift.configstore.replica_state import pack

MIN_PAYLOAD_CHUNK_BYTES: Final = PAYLOAD_CHUNK_BYTES // 16
UNCOMPRESSED_BYTES_PER_PAYLOAD_BYTE: Final = (
    2  # bytes of a map for each of a call: it is compressed to half at least
)


@define
class ReplicaProgress:
    """Another's copy as the leader knows it. `held`: None: nobody knows which state it is."""

    held: TermIndex | None
    payload_in_flight: bool = False  # a payload, or a question for digests, is on its way
    chunk_bytes: int = (
        PAYLOAD_CHUNK_BYTES  # bytes of a payload, about: halved when one did not come through in time
    )
    last_delta_base: TermIndex | None = None  # the state that the last delta went on from
    sent_ranges: dict[int, tuple[int, bytes]] = field(
        factory=dict
    )  # range -> state it was sent of, its digest then

    def acknowledge(self, held: TermIndex | None) -> None:
        """It has said what it holds."""
        if held != self.held:
            self.held = held
            self.sent_ranges.clear()

    def reset(self) -> None:
        """Another life: of what was sent nothing may be there."""
        self.sent_ranges.clear()
        self.last_delta_base = None

    def payload_answered(self, payload: bool, through: bool) -> None:
        """What was on its way has been answered in time (`through`), or has not."""
        self.payload_in_flight = False
        if payload:
            self.chunk_bytes = (
                min(PAYLOAD_CHUNK_BYTES, self.chunk_bytes * 2)
                if through
                else max(MIN_PAYLOAD_CHUNK_BYTES, self.chunk_bytes // 2)
            )
        if not through:
            self.sent_ranges.clear()


class CatchUp:
    def __init__(self, changes: ChangeLog) -> None:
        self.change_log = changes
        self._encoded_deltas: tuple[int, dict[int, bytes | None]] = (
            0,
            {},
        )  # newest state; deltas to it, by base

    def next_payload(
        self, copy: ReplicaProgress, newest: Snapshot, digests: bytes | None = None
    ) -> bytes | bool:
        """The payload that brings the copy on; True: its digests are asked for."""
        if not copy.sent_ranges and not (digests and copy.held == copy.last_delta_base):
            delta = self._delta(copy.held, newest) if copy.held else None
            if delta is not None and len(delta) <= copy.chunk_bytes:
                copy.last_delta_base = copy.held
                return delta
        return self._parts(copy, newest, digests) if digests else True

    def _delta(self, held: TermIndex, newest: Snapshot) -> bytes | None:
        """All that differs from a state that was held; None: it is not known, or that is too much."""
        base, number = self.change_log.number_of(held), self.change_log.newest_number
        if base is None:
            return None
        if self._encoded_deltas[0] != number:
            self._encoded_deltas = number, {}
        deltas = self._encoded_deltas[1]
        if base not in deltas:
            map, keys = newest.entries.map, self.change_log.keys_changed_since(base)
            sets = {key: map[key] for key in keys if key in map}
            gone = [key for key in keys if key not in map]
            packed = pack([DELTA, *held, sets, gone, newest.entries.digest()])
            deltas[base] = packed if len(packed) <= PAYLOAD_CHUNK_BYTES else None
        return deltas[base]

    def _parts(self, copy: ReplicaProgress, newest: Snapshot, digests: bytes) -> bytes:
        """Of the ranges that differ as many as a call may carry; the answer brings the next digests."""
        entries, number, size = newest.entries, self.change_log.newest_number, 0
        base = self.change_log.number_of(copy.held) if copy.held else None
        ranges: dict[int, bytes] = {}
        sets: dict[str, Any] = {}
        gone: list[str] = []
        late = self.change_log.keys_changed_since_by_range(base) if base is not None else {}
        for one in entries.differing_ranges(digests):
            if size > UNCOMPRESSED_BYTES_PER_PAYLOAD_BYTE * copy.chunk_bytes:
                break
            sent = copy.sent_ranges.get(one)
            keys: list[str] = []
            if sent is None:
                keys = late.get(one, [])
            elif sent[1] == entries.range_digest_in(digests, one):
                keys = self.change_log.keys_changed_since_by_range(sent[0]).get(one, [])
            if keys:
                sets |= {key: entries.map[key] for key in keys if key in entries.map}
                gone += [key for key in keys if key not in entries.map]
                size += sum(len(cbor2.dumps(entries.map.get(key))) for key in keys)
            else:
                ranges[one] = entries.encoded_range(one)
                size += len(ranges[one])
            copy.sent_ranges[one] = number, entries.range_digest(one)
        if sets or gone:
            return pack([PARTS, ranges, sets, gone, entries.digest()])
        return pack([RANGES, ranges, entries.digest()])
