"""Replicated sources: readers converge to the origin, whichever replicas they read from."""

import random
from typing import Any

from attrs import define, field
from ward import each, test

from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.registry.replicated_source import MAX_TOMBSTONES, ReplicatedSource


@define
class Reader:
    """A copy of a source's records, updated by deltas."""

    version: int = 0
    records: dict[str, Any] = field(factory=dict)

    def update_from(self, source: ReplicatedSource) -> None:
        """Fetch the missing changes from the source or a replica of it."""
        delta = source.delta_since(self.version or None)
        if delta is None:
            return
        if delta.full:
            self.records = {}
        self.records = {key: value for key, value in self.records.items() if key not in delta.removed}
        self.records.update(delta.values)
        self.version = delta.version


def replicate(origin: ReplicatedSource, replica: ReplicatedSource) -> None:
    """Update a replica by a delta or snapshot."""
    delta = origin.delta_since(replica.version or None)
    if delta is None:
        return
    if delta.full:
        replica.replace(delta.version, delta.values)
    else:
        replica.merge(delta.version, delta.values, delta.removed)


@test("a reader that switches between a source and its replicas converges to the source ({seed})")
def _(seed: int = each(*range(30))) -> None:
    random_source = random.Random(seed)
    origin = ReplicatedSource()
    replicas = [ReplicatedSource(), ReplicatedSource()]
    readers = [Reader(), Reader(), Reader()]
    for step in range(400):
        key = random_source.choice("wgc") + "/" + str(random_source.randrange(12))
        if random_source.random() < 0.4:
            origin.drop(key)
        else:
            origin.put(key, step)
        replica = random_source.choice(replicas)
        if random_source.random() < 0.2:
            if random_source.random() < 0.6:
                replica.replace(origin.version, dict(origin.values))
            else:
                replicate(origin, replica)
        reader = random_source.randrange(12)
        if reader < len(readers):
            readers[reader].update_from(random_source.choice([origin, *replicas]))
    for replica in replicas:
        replica.replace(origin.version, dict(origin.values))
    for last_reader in readers:
        last_reader.update_from(random_source.choice([origin, *replicas]))
        assert (last_reader.version, last_reader.records) == (origin.version, origin.values)


def take_changes(config: ReplicatedSource, changes: dict[str, Any]) -> None:
    """Apply changes as `OperatorConfigReplica` does with a store's response."""
    if changes["full"]:
        config.replace(changes["index"], changes["set"])
    else:
        config.record_skipped_versions(changes["index"])
        config.merge(changes["index"], changes["set"], changes["gone"])


@test("a reader that switches registries holds the exact configuration though stores skip versions ({seed})")
def _(seed: int = each(*range(20))) -> None:
    random_source = random.Random(seed)
    entries = RangedMap()
    snapshots = [Snapshot((1, 1), RangedMap())]
    stores = [CommittedState(), CommittedState(), CommittedState()]
    configs = [ReplicatedSource(), ReplicatedSource(), ReplicatedSource()]
    readers = [Reader(), Reader(), Reader()]
    for index in range(2, 300):
        key = f"Routes/{random_source.randrange(4)}"
        removed = [key] if key in entries.map and random_source.random() < 0.3 else []
        entries = entries.with_changes({} if removed else {key: random_source.randrange(2)}, removed)
        snapshots.append(Snapshot((1, index), entries))
        for store, config in zip(stores, configs, strict=True):
            if random_source.random() < 0.5:  # otherwise the store misses this version
                store.advance(snapshots[-1])
            watched = random_source.choice([store, *stores])
            if random_source.random() < 0.4 and watched.index > config.version:
                take_changes(config, watched.changes_since(config.version))
        number = random_source.randrange(6)
        if number < len(readers):
            reader = readers[number]
            reader.update_from(random_source.choice(configs))
            expected = snapshots[reader.version - 1].entries.map
            assert not reader.version or reader.records == expected, f"at index {reader.version}"


@test("the oldest tombstones are dropped, and readers behind them get a snapshot")
def _() -> None:
    source = ReplicatedSource()
    for number in range(MAX_TOMBSTONES + 2):
        source.put(f"w/{number}", 1)
    before = source.version
    for number in range(MAX_TOMBSTONES + 2):
        source.drop(f"w/{number}")
    snapshot = source.delta_since(before)
    assert snapshot
    assert snapshot.full
    assert not snapshot.values
    delta = source.delta_since(before + 2)
    assert delta
    assert not delta.full
    assert len(delta.removed) == MAX_TOMBSTONES


@test("usage counters are replicated without ending long polls")
def _() -> None:
    source = ReplicatedSource()
    source.put("w/1", 1)
    source.put("c/t", [1, 0])
    assert not source.has_significant_change_since(1)
    assert source.delta_since(1)
    assert source.has_significant_change_since(None)
    source.drop("w/1")
    assert source.has_significant_change_since(2)
