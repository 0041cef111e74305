"""The store's shelf and what stands on it: torn files, lost power, refusing disks; ranges, news, orders."""

import contextlib
import dbm.dumb
import errno
import gc
import itertools
import os
import random
import shutil
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from attrs import evolve
from ward import each, fixture, raises, test

from ashlift.config.settings import Settings
from ashlift.configstore import events, replica_runner, server, snapshot_storage
from ashlift.configstore.commands import MAX_ACCEPTED_DIGESTS, OperatorCommand, decide_command
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.messages import PersistentVote, PersistState, Proposal, ReadOnlyResult, Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.configstore.snapshot_storage import SnapshotStorage
from ashlift.configstore.stored_names import ACCEPTED_PREFIX
from ashlift.errors import Failure, FailureReason

SYNCS = 3  # of one write: data, index, folder


def _there(path: str) -> None:
    """A sync that finds what it is to sync, and does not wait for this machine's disk."""
    os.close(os.open(path, os.O_RDONLY))


@contextlib.contextmanager
def instead(module: Any, **names: Any) -> Iterator[None]:
    """These names of a module, for a while."""
    before = {name: vars(module)[name] for name in names}
    vars(module).update(names)
    try:
        yield
    finally:
        vars(module).update(before)


@fixture
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name) / "shelf"


@fixture
def unsynced(folder: Path = folder) -> Iterator[Path]:
    """For tests that read and write hundreds of times, and not about what a sync does."""
    sync, snapshot_storage._sync = snapshot_storage._sync, _there
    try:
        yield folder
    finally:
        snapshot_storage._sync = sync


def records(number: int) -> dict[str, bytes]:
    return {"all": b"%d" % number * 40, f"own{number % 3}": b"x" * 30 * number}


def written(folder: Path, count: int) -> SnapshotStorage:
    shelf = SnapshotStorage(str(folder), "map")
    assert shelf.read() is None
    for number in range(1, count + 1):
        assert shelf.write(records(number)) is None
    return shelf


class PowerLost(Exception):  # noqa: N818
    pass


class Medium:
    """What a sync made durable; the power goes when so many syncs were done."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.left = folder, 10**9
        self.files: dict[str, bytes] = {}
        self.names: dict[str, bytes] = {}  # as the folder's last sync found them

    def sync(self, path: str) -> None:
        if self.left == 0:
            raise PowerLost
        self.left -= 1
        if Path(path) == self.folder:
            self.names = {path.name: path.read_bytes() for path in self.folder.iterdir()}
        elif Path(path).parent == self.folder:
            self.files[os.path.basename(path)] = Path(path).read_bytes()

    def lay(self, files: dict[str, bytes | None]) -> None:
        """The folder as the loss of power has left it; the power is back."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        for name, content in files.items():
            if content is not None:
                (self.folder / name).write_bytes(content)
        self.left = 10**9

    def remains(self) -> Iterator[dict[str, bytes | None]]:
        """Every state of the folder that a loss of power may leave: later writes there, missing or torn."""
        now = {path.name: path.read_bytes() for path in self.folder.iterdir()}
        choices = []
        for name in sorted(now.keys() | self.names):
            durable, late = self.files.get(name), now.get(name)
            found = {durable if name in self.names else None, self.names.get(name), late}
            if late is not None and late != durable:
                found |= {late[: len(late) // 2], durable}
            choices.append([(name, content) for content in sorted(found, key=str)])
        for choice in itertools.product(*choices):
            yield dict(choice)


@test("a loss of power before sync {done} of a write leaves the old records or the new ones, whole")
def _(folder: Path = folder, done: int = each(*range(SYNCS + 1))) -> None:
    medium, sync = Medium(folder), snapshot_storage._sync
    snapshot_storage._sync = medium.sync
    try:
        shelf = written(folder, 4)
        medium.left = done
        try:
            assert shelf.write(records(5)) is None and done == SYNCS
        except PowerLost:
            assert done < SYNCS
        del shelf  # as when the process ends: nothing more may be written, for it would not be synced
        gc.collect()
        found = set()
        for files in list(medium.remains()):
            medium.lay(files)
            again = SnapshotStorage(str(folder), "map")
            held = again.read()
            assert held in (records(4), records(5)), held
            found.add(held == records(5))
            assert again.write(records(6)) is None and SnapshotStorage(str(folder), "map").read() == records(
                6
            )
        assert True in found and (done < SYNCS) == (False in found)
    finally:
        snapshot_storage._sync = sync


@test("what a killed process left whole but not synced is made durable before it is relied on")
def _(folder: Path = folder) -> None:
    medium, sync = Medium(folder), snapshot_storage._sync
    snapshot_storage._sync = medium.sync
    try:
        shelf = written(folder, 4)
        medium.left = 0
        with raises(PowerLost):  # here: the process is killed, the files stay
            shelf.write(records(5))
        medium.left = 10**9
        again = SnapshotStorage(str(folder), "map")
        assert again.read() == records(5)
        medium.left = 0
        with raises(PowerLost):
            again.write(records(6))
        for files in list(medium.remains()):
            medium.lay(files)
            assert SnapshotStorage(str(folder), "map").read() in (records(5), records(6))
    finally:
        snapshot_storage._sync = sync


@test("every torn prefix and the lack of a file leave the newest generation that is whole, or a fault")
def _(folder: Path = unsynced) -> None:
    written(folder, 3)
    newest = sorted(folder.glob("map-b.da*")) + sorted(folder.glob("map-b.dir"))
    assert len(newest) == 2
    for path in newest:
        whole = path.read_bytes()
        for length in [*range(len(whole)), None]:
            path.unlink(missing_ok=True)  # a file that is cut and written over waits for the disk
            if length is not None:
                path.write_bytes(whole[:length])
            held = SnapshotStorage(str(folder), "map").read()
            assert held == records(2) or (length and held == records(3)), (path, length, held)
        path.write_bytes(whole)
    for path in folder.iterdir():
        path.write_bytes(b"('x', (5, 9999999999999999999))\n'")
    assert isinstance(SnapshotStorage(str(folder), "map").read(), Failure)


@test("a disk that refuses at any sync is a fault, and the next write that works is kept")
def _(folder: Path = folder) -> None:
    sync = snapshot_storage._sync
    for fails in range(SYNCS):
        shutil.rmtree(folder, ignore_errors=True)
        shelf = written(folder, 3)
        turns = iter(range(99))

        def refusing(path: str, fails: int = fails, turns: Iterator[int] = turns) -> None:
            if next(turns) == fails:
                raise OSError(28, "No space left on device")
            sync(path)

        snapshot_storage._sync = refusing
        try:
            assert isinstance(shelf.write(records(4)), Failure)
        finally:
            snapshot_storage._sync = sync
        assert SnapshotStorage(str(folder), "map").read() in (records(3), records(4))
        assert shelf.write(records(5)) is None and SnapshotStorage(str(folder), "map").read() == records(5)


class Full:
    """Stands in for `io` under `dbm.dumb`: after so many writes the disk takes half of one, and no more."""

    def __init__(self, room: int) -> None:
        self.room = room

    def open(self, *args: Any, **named: Any) -> Any:
        file = open(*args, **named)  # noqa: SIM115
        write = file.write

        def limited(data: Any) -> Any:
            self.room -= 1
            if self.room < 0:
                write(data[: len(data) // 2] if self.room == -1 else data[:0])
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(data)

        file.write = limited
        return file


@test("a disk that is full at any write is a fault; what was confirmed stays, and with room it goes on")
def _(folder: Path = unsynced) -> None:
    refused = 0
    for anew in (False, True):  # in place, and a generation made anew, as after a start
        for room in itertools.count():
            shutil.rmtree(folder, ignore_errors=True)
            shelf = written(folder, 4)
            if anew:
                shelf = SnapshotStorage(str(folder), "map")
                shelf.read()
            with instead(dbm.dumb, _io=Full(room)):
                fault = shelf.write(records(5))
            gc.collect()
            held = SnapshotStorage(str(folder), "map").read()
            if fault is None:
                assert held == records(5)
                break
            refused += 1
            assert held in (records(4), records(5)), (room, held)
            assert shelf.write(records(6)) is None and SnapshotStorage(str(folder), "map").read() == records(
                6
            )
    assert refused > 10


@test("a disk that does not give the bytes of a generation is a refusal: the other one might be the older")
def _(folder: Path = unsynced, which: str = each("a", "b")) -> None:
    written(folder, 4)
    whole = dbm.dumb.open

    def refusing(path: str, flag: str) -> Any:
        if path.endswith(which):
            raise OSError(errno.EIO, "Input/output error")
        return whole(path, flag)

    with instead(dbm.dumb, open=refusing):
        shelf = SnapshotStorage(str(folder), "map")
        held = shelf.read()
    assert isinstance(held, Failure) and held.reason == FailureReason.REJECTED
    assert shelf.write(records(9)) is None and SnapshotStorage(str(folder), "map").read() == records(9)


@test("a shelf grows no further than 3 times its records and 64 KB a generation, whatever is written")
def _(folder: Path = unsynced) -> None:
    chance, shelf, sizes = random.Random(7), SnapshotStorage(str(folder), "map"), [0]
    assert shelf.read() is None
    for _ in range(150):
        names = chance.sample([f"{number:02}" for number in range(64)], chance.randint(1, 64))
        written_ = {name: b"x" * chance.randint(0, chance.choice([100, 9000])) for name in names}
        assert shelf.write(written_) is None
        blocks = 512 * (len(written_) + 1)
        sizes.append(3 * sum(map(len, written_.values())) + snapshot_storage.MAX_WASTED_BYTES + blocks)
        there = sum(path.stat().st_size for path in folder.glob("*.dat"))
        assert there <= sizes[-1] + sizes[-2], (there, sizes[-2:])
        assert sum(path.stat().st_size for path in folder.glob("*.dir")) < 2 * 65 * 40


@test("a write that takes long is told with its seconds, and one that is refused with its fault")
def _(folder: Path = unsynced) -> None:
    told: list[tuple[Any, Any]] = []
    now = [100.0]
    settings = Settings(node_name="n", ip="127.0.0.1", internal_ports=(0, 0), seeds=(("127.0.0.1", 1),))
    for took, fault in ((0.1, None), (2.0, None), (3.0, Failure(FailureReason.REJECTED, "full"))):

        class Slow(ReplicaStorage):
            def persist(
                self, request: PersistState, took: float = took, fault: Failure | None = fault
            ) -> Failure | None:
                now[0] += took
                return super().persist(request) if fault is None else fault

        def tell(event: Any, level: Any = None, **fields: Any) -> None:
            told.extend((event, value) for value in fields.values())

        shutil.rmtree(folder, ignore_errors=True)
        with instead(server, ReplicaStorage=Slow), instead(replica_runner, log_event=tell):
            running = server.ConfigStoreServer(evolve(settings, bootstrap=True), str(folder), lambda: now[0])
        running.rpc_server.stop()
        assert running.replica.vote.is_voter == (fault is None)
    assert [value for event, value in told if event == events.DISK_WRITE_SLOW] == [2.0, 3.0]
    assert [value.detail for event, value in told if event == events.DISK_WRITE_FAILED] == ["full"]


@test("a generation that wastes too much is written anew, and a member's state comes back as it was")
def _(folder: Path = unsynced) -> None:
    disk, entries = ReplicaStorage(str(folder)), RangedMap({"Members/1": {}})
    assert disk.read() == (None, None)
    for number in range(1, 60):
        entries = entries.with_changes({"k": "x" * 700 * number}, [])
        vote = PersistentVote(number, "1", True)
        assert disk.persist(PersistState(vote, Snapshot((number, number), entries))) is None
    assert (
        sum(path.stat().st_size for path in folder.iterdir())
        < 5 * 700 * 60 + 3 * snapshot_storage.MAX_WASTED_BYTES
    )
    held_vote, held = ReplicaStorage(str(folder)).read()
    assert held_vote == vote and isinstance(held, Snapshot) and held.term_index == (59, 59)
    assert held.entries.map == entries.map and held.entries.digest() == entries.digest()


@test("ranges: the digest is of the content however it came about; exchanged ranges make maps alike")
def _() -> None:
    map = {f"Routes/{number}": {"n": number} for number in range(300)}
    base = RangedMap(map)
    base.digest()
    one = base.with_changes({"Routes/7": 7, "new": 1}, ["Routes/8", "none"])
    kept = {key: map[key] for key in reversed(map) if key != "Routes/8"}
    other = RangedMap({**kept, "Routes/7": 7, "new": 1})
    assert one.map == other.map and one.digest() == other.digest() != RangedMap(map).digest()
    differing = one.differing_ranges(RangedMap(map).range_digests())
    assert 1 <= len(differing) <= 3
    mended = RangedMap(map).with_ranges({number: one.encoded_range(number) for number in differing})
    assert mended.map == one.map and mended.digest() == one.digest()


@test("news: what changed since an index, gone keys too; all of it to one who has less than this life knows")
def _() -> None:
    news, entries = CommittedState(), RangedMap({"a": 1, "b": 1})
    assert news.changes_since(0) == {"index": 0, "set": {}, "gone": [], "full": False}
    news.advance(Snapshot((1, 4), entries))
    news.advance(Snapshot((1, 5), entries.with_changes({"a": 2, "c": 1}, ["b"])))
    assert not news.advance(Snapshot((1, 4), entries))
    assert news.changes_since(4) == {"index": 5, "set": {"a": 2, "c": 1}, "gone": ["b"], "full": False}
    assert news.changes_since(3)["full"] and news.changes_since(3)["set"] == {"a": 2, "c": 1}
    assert news.changes_since(5)["set"] == {} and news.changes_since(9)["index"] == 5


def configuration(version: int) -> dict[str, Any]:
    spec = {"MaxHeaderBytes": 1, "MaxBodyBytes": 1, "HeaderTimeout": "1s", "IdleTimeout": "1s"}
    limits = {"ObjectType": "Limits", "Metadata": {}, "Specification": spec}
    return {"ConfigVersion": f"{version:08x}", "Objects": [limits]}


@test("orders: taken once, the same again is 200, another on the same base 412, nonsense 400")
def _() -> None:
    map: dict[str, Any] = {}

    def order(kind: str, body: Any, if_match: str | None = None) -> int:
        outcome = decide_command(map, OperatorCommand(kind, if_match, body))
        if isinstance(outcome, Proposal):
            map.update(outcome.updates)
            for key in outcome.deletions:
                del map[key]
        changes.append(isinstance(outcome, Proposal))
        assert isinstance(outcome, Proposal | ReadOnlyResult)
        status: int = outcome.response["status"]
        return status

    changes: list[bool] = []
    assert order("evacuate", "z1") == order("evacuate", "z1") == 200 and changes == [True, False]
    assert order("put", configuration(5), "0") == order("put", configuration(5), "0") == 200
    assert changes[2:] == [True, False]
    assert order("put", configuration(6), "0") == 412 and order("put", configuration(5), "5") == 400
    for kind, body in (("patch", []), ("put", None), ("sing", {}), ("evacuate", 3)):
        assert order(kind, body, "5") == 400
    for version in range(6, 6 + 2 * MAX_ACCEPTED_DIGESTS):
        assert order("put", configuration(version), f"{version - 1:08x}") == 200
    assert sum(key.startswith(ACCEPTED_PREFIX) for key in map) == MAX_ACCEPTED_DIGESTS
    assert order("restore", "z1") == 200 and changes[-1] and "Evacuations/z1" not in map
