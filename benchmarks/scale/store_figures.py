"""Measures the configuration store without network I/O, and its disk; `run` measures replication."""

import itertools
import json
import os
import tempfile
import time
from collections.abc import Iterable
from typing import Any

from ashlift.config import operator_config
from ashlift.configstore.codec import encode_payload, pack
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.messages import Delta
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import PersistState
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.errors import Failure
from ashlift.rpc.messages import encode_response
from benchmarks.scale import figure_names
from benchmarks.scale.figures import FigureRecorder
from benchmarks.scale.sample_objects import build_configuration, build_route_change
from benchmarks.scale.sizes import ClusterSize

TERM = 1
CHANGES = 3


class StoreMeasurement:
    """Measures the store of one size in several steps.

    It keeps references to all measured objects: memory freed earlier would be reused by the registry, whose
    memory growth is measured next.
    """

    def __init__(self, size: ClusterSize, recorder: FigureRecorder) -> None:
        self.size = size
        self.recorder = recorder
        self._put_body = build_configuration(size)
        recorder.record(figure_names.PUT_BYTES, len(json.dumps(self._put_body, separators=(",", ":"))))
        put_change = recorder.record_cpu_ms(
            figure_names.PUT_MS,
            lambda: operator_config.apply_change({}, "put", "0", self._put_body),
            repeats=2,
        )
        assert not isinstance(put_change, Failure), put_change
        self.configuration: dict[str, Any] = put_change.entries
        self._entries = RangedMap(self.configuration)
        self._snapshots: list[Snapshot] = []
        self._committed = CommittedState()

    def run(self) -> None:
        """Run all measurements except that of the PUT."""
        self.recorder.record_cpu_ms("store: digests of all, first time, ms", self._entries.digest, repeats=1)
        self._measure_patch()
        self._measure_watch()
        self._measure_disk()

    def _measure_patch(self) -> None:
        """A change of one route: validated, applied, and encoded for a follower as delta and snapshot."""
        change = self.recorder.record_cpu_ms(
            figure_names.PATCH_MS,
            lambda: operator_config.apply_change(
                self._entries.map, "patch", "1", build_route_change(self.size, 2)
            ),
            repeats=2,
        )
        assert not isinstance(change, Failure), change
        changed = self._changed_entries = self.recorder.record_cpu_ms(
            "store: map changed and digested, ms",
            lambda: _apply_and_digest(self._entries, change.entries, change.removed_keys),
        )
        payload = encode_payload(Delta((TERM, 1), change.entries, change.removed_keys, changed.digest()))
        self.recorder.record("store: a change to a follower, bytes", len(payload))
        self.recorder.record(
            "store: whole map to a follower, bytes compressed",
            sum(len(pack([changed.encoded_range(number)])) for number in changed.nonempty_ranges()),
        )
        self.recorder.record(
            "store: largest of 64 ranges, bytes",
            max(len(changed.encoded_range(number)) for number in changed.nonempty_ranges()),
        )

    def _measure_watch(self) -> None:
        """The encoded updates for a registry that watches the store."""
        self._committed.advance(Snapshot((TERM, 1), self._entries))
        self._snapshots = [self._snapshot_with_change(number) for number in range(CHANGES)]
        next_snapshot = iter(self._snapshots)
        self.recorder.record_cpu_ms(
            "store: what changed since, ms",
            lambda: self._committed.advance(next(next_snapshot)),
            repeats=CHANGES,
        )
        response = encode_response(1, self._committed.changes_since(0))
        self.recorder.record(figure_names.MAP_TO_REGISTRY_BYTES, len(response))

    def _snapshot_with_change(self, number: int) -> Snapshot:
        changed_entries = self._entries.with_changes({"Routes/r00000": {"Host": str(number)}}, ())
        return Snapshot((TERM, 2 + number), changed_entries)

    def _measure_disk(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            storage = ReplicaStorage(folder)
            indexes = itertools.count(1)
            for _ in range(2):  # one complete map per slot
                snapshot = Snapshot((TERM, next(indexes)), self._entries)
                _measure_persist(storage, snapshot, "store: map to disk, first", self.recorder)
            for changed in self._snapshots:
                snapshot = Snapshot((TERM, next(indexes)), changed.entries)
                _measure_persist(storage, snapshot, "store: a change to disk", self.recorder)
            stored_bytes = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
            self.recorder.record("store: disk, MB", stored_bytes / 1e6)
            self.recorder.record_cpu_ms(
                "store: map from disk, ms", lambda: ReplicaStorage(folder).read(), repeats=2
            )


def measure_store(size: ClusterSize, recorder: FigureRecorder) -> dict[str, Any]:
    """Run all measurements; returns the map entries of a configuration of this size."""
    measurement = StoreMeasurement(size, recorder)
    measurement.run()
    return measurement.configuration


def _apply_and_digest(
    entries: RangedMap, changed_entries: dict[str, Any], removed_keys: Iterable[str]
) -> RangedMap:
    result = entries.with_changes(changed_entries, removed_keys)
    result.digest()
    return result


def _measure_persist(
    storage: ReplicaStorage, snapshot: Snapshot, name: str, recorder: FigureRecorder
) -> None:
    cpu_started_at = time.process_time()
    started_at = time.monotonic()
    failure = storage.persist(PersistState(PersistentVote(TERM, None, True), snapshot))
    assert failure is None, failure
    recorder.record(f"{name}, ms", 1000 * (time.process_time() - cpu_started_at))
    recorder.record(f"{name}, ms by the clock", 1000 * (time.monotonic() - started_at))
