"""Measures the configuration store's pure parts and its disk; its replication is measured by `run`."""

import itertools
import json
import os
import tempfile
import time
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


def measure_store(size: ClusterSize, recorder: FigureRecorder) -> dict[str, Any]:
    """Measure everything; returns the entries of the configuration of this size."""
    configuration = _measure_put(size, recorder)
    entries = RangedMap(configuration)
    recorder.record_cpu_ms("store: digests of all, first time, ms", entries.digest, repeats=1)
    _measure_patch(size, entries, recorder)
    snapshots = [_snapshot_with_change(entries, number) for number in range(CHANGES)]
    _measure_watch(entries, snapshots, recorder)
    _measure_disk(entries, snapshots, recorder)
    return configuration


def _measure_put(size: ClusterSize, recorder: FigureRecorder) -> dict[str, Any]:
    body = build_configuration(size)
    recorder.record(figure_names.PUT_BYTES, len(json.dumps(body, separators=(",", ":"))))
    change = recorder.record_cpu_ms(
        figure_names.PUT_MS, lambda: operator_config.apply_change({}, "put", "0", body), repeats=2
    )
    assert not isinstance(change, Failure), change
    entries: dict[str, Any] = change.entries
    return entries


def _measure_patch(size: ClusterSize, entries: RangedMap, recorder: FigureRecorder) -> None:
    """A change of one route: checked, applied, and encoded for a follower that lacks it or everything."""
    change = recorder.record_cpu_ms(
        figure_names.PATCH_MS,
        lambda: operator_config.apply_change(entries.map, "patch", "1", build_route_change(size, 2)),
        repeats=2,
    )
    assert not isinstance(change, Failure), change

    def apply_and_digest() -> RangedMap:
        changed_entries = entries.with_changes(change.entries, change.removed_keys)
        changed_entries.digest()
        return changed_entries

    changed = recorder.record_cpu_ms("store: map changed and digested, ms", apply_and_digest)
    payload = encode_payload(Delta((TERM, 1), change.entries, change.removed_keys, changed.digest()))
    ranges = [changed.encoded_range(number) for number in changed.nonempty_ranges()]
    recorder.record("store: a change to a follower, bytes", len(payload))
    recorder.record(
        "store: whole map to a follower, bytes compressed",
        sum(len(pack([encoded_range])) for encoded_range in ranges),
    )
    recorder.record("store: largest of 64 ranges, bytes", max(map(len, ranges)))


def _snapshot_with_change(entries: RangedMap, number: int) -> Snapshot:
    changed_entries = entries.with_changes({"Routes/r00000": {"Host": str(number)}}, ())
    return Snapshot((TERM, 2 + number), changed_entries)


def _measure_watch(entries: RangedMap, snapshots: list[Snapshot], recorder: FigureRecorder) -> None:
    """What a registry that watches is sent."""
    committed = CommittedState()
    committed.advance(Snapshot((TERM, 1), entries))
    next_snapshot = iter(snapshots)
    recorder.record_cpu_ms(
        "store: what changed since, ms", lambda: committed.advance(next(next_snapshot)), repeats=CHANGES
    )
    response = encode_response(1, committed.changes_since(0))
    recorder.record(figure_names.MAP_TO_REGISTRY_BYTES, len(response))


def _measure_disk(entries: RangedMap, snapshots: list[Snapshot], recorder: FigureRecorder) -> None:
    with tempfile.TemporaryDirectory() as folder:
        storage = ReplicaStorage(folder)
        indexes = itertools.count(1)
        for _ in range(2):  # one complete map for each of the two slots
            _measure_persist(
                storage, Snapshot((TERM, next(indexes)), entries), "store: map to disk, first", recorder
            )
        for snapshot in snapshots:
            _measure_persist(
                storage,
                Snapshot((TERM, next(indexes)), snapshot.entries),
                "store: a change to disk",
                recorder,
            )
        stored_bytes = sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder))
        recorder.record("store: disk, MB", stored_bytes / 1e6)
        recorder.record_cpu_ms("store: map from disk, ms", lambda: ReplicaStorage(folder).read(), repeats=2)


def _measure_persist(
    storage: ReplicaStorage, snapshot: Snapshot, name: str, recorder: FigureRecorder
) -> None:
    cpu_started_at = time.process_time()
    started_at = time.monotonic()
    failure = storage.persist(PersistState(PersistentVote(TERM, None, True), snapshot))
    assert failure is None, failure
    recorder.record(f"{name}, ms", 1000 * (time.process_time() - cpu_started_at))
    recorder.record(f"{name}, ms by the clock", 1000 * (time.monotonic() - started_at))
