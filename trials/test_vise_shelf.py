"""The store's shelf and what stands on it: torn files, lost power, refusing disks; drawers, news, orders."""

import gc
import itertools
import os
import shutil
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from ward import each, fixture, raises, test

from vise import shelf as shelves
from vise.daemon import Disk
from vise.interface import Keep, Settled, State, Vote, Work
from vise.news import News
from vise.orders import TAKEN, TAKEN_MOST, decide
from vise.ranges import Chest
from vise.shelf import Shelf
from workbench.faults import Fault

SYNCS = 3  # of one write: data, index, folder


def _there(path: str) -> None:
    """A sync that finds what it is to sync, and does not wait for this machine's disk."""
    os.close(os.open(path, os.O_RDONLY))


@fixture
def folder() -> Iterator[Path]:
    with tempfile.TemporaryDirectory() as name:
        yield Path(name) / "shelf"


@fixture
def unsynced(folder: Path = folder) -> Iterator[Path]:
    """For tests that read and write hundreds of times, and not about what a sync does."""
    sync, shelves._sync = shelves._sync, _there
    try:
        yield folder
    finally:
        shelves._sync = sync


def records(number: int) -> dict[str, bytes]:
    return {"all": b"%d" % number * 40, f"own{number % 3}": b"x" * 30 * number}


def written(folder: Path, count: int) -> Shelf:
    shelf = Shelf(str(folder), "map")
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
    medium, sync = Medium(folder), shelves._sync
    shelves._sync = medium.sync
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
            again = Shelf(str(folder), "map")
            held = again.read()
            assert held in (records(4), records(5)), held
            found.add(held == records(5))
            assert again.write(records(6)) is None and Shelf(str(folder), "map").read() == records(6)
        assert True in found and (done < SYNCS) == (False in found)
    finally:
        shelves._sync = sync


@test("what a killed process left whole but not synced is made durable before it is relied on")
def _(folder: Path = folder) -> None:
    medium, sync = Medium(folder), shelves._sync
    shelves._sync = medium.sync
    try:
        shelf = written(folder, 4)
        medium.left = 0
        with raises(PowerLost):  # here: the process is killed, the files stay
            shelf.write(records(5))
        medium.left = 10**9
        again = Shelf(str(folder), "map")
        assert again.read() == records(5)
        medium.left = 0
        with raises(PowerLost):
            again.write(records(6))
        for files in list(medium.remains()):
            medium.lay(files)
            assert Shelf(str(folder), "map").read() in (records(5), records(6))
    finally:
        shelves._sync = sync


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
            held = Shelf(str(folder), "map").read()
            assert held == records(2) or (length and held == records(3)), (path, length, held)
        path.write_bytes(whole)
    for path in folder.iterdir():
        path.write_bytes(b"('x', (5, 9999999999999999999))\n'")
    assert isinstance(Shelf(str(folder), "map").read(), Fault)


@test("a disk that refuses at any sync is a fault, and the next write that works is kept")
def _(folder: Path = folder) -> None:
    sync = shelves._sync
    for fails in range(SYNCS):
        shutil.rmtree(folder, ignore_errors=True)
        shelf = written(folder, 3)
        turns = iter(range(99))

        def refusing(path: str, fails: int = fails, turns: Iterator[int] = turns) -> None:
            if next(turns) == fails:
                raise OSError(28, "No space left on device")
            sync(path)

        shelves._sync = refusing
        try:
            assert isinstance(shelf.write(records(4)), Fault)
        finally:
            shelves._sync = sync
        assert Shelf(str(folder), "map").read() in (records(3), records(4))
        assert shelf.write(records(5)) is None and Shelf(str(folder), "map").read() == records(5)


@test("a generation that wastes too much is written anew, and a member's state comes back as it was")
def _(folder: Path = unsynced) -> None:
    disk, chest = Disk(str(folder)), Chest({"Members/1": {}})
    assert disk.read() == (None, None)
    for number in range(1, 60):
        chest = chest.changed({"k": "x" * 700 * number}, [])
        vote = Vote(number, "1", True)
        assert disk.keep(Keep(vote, State((number, number), chest))) is None
    assert sum(path.stat().st_size for path in folder.iterdir()) < 5 * 700 * 60 + 3 * shelves.SPARE
    held_vote, held = Disk(str(folder)).read()
    assert held_vote == vote and isinstance(held, State) and held.stamp == (59, 59)
    assert held.chest.map == chest.map and held.chest.digest() == chest.digest()


@test("drawers: the digest is of the content however it came about; exchanged drawers make chests alike")
def _() -> None:
    map = {f"Routes/{number}": {"n": number} for number in range(300)}
    base = Chest(map)
    base.digest()
    one = base.changed({"Routes/7": 7, "new": 1}, ["Routes/8", "none"])
    other = Chest({**{key: map[key] for key in reversed(map) if key != "Routes/8"}, "Routes/7": 7, "new": 1})
    assert one.map == other.map and one.digest() == other.digest() != Chest(map).digest()
    differing = one.differing(Chest(map).digests())
    assert 1 <= len(differing) <= 3
    mended = Chest(map).replaced({number: one.packed(number) for number in differing})
    assert mended.map == one.map and mended.digest() == one.digest()


@test("news: what changed since an index, gone keys too; all of it to one who has less than this life knows")
def _() -> None:
    news, chest = News(), Chest({"a": 1, "b": 1})
    assert news.since(0) == {"index": 0, "set": {}, "gone": [], "full": False}
    news.advance(State((1, 4), chest))
    news.advance(State((1, 5), chest.changed({"a": 2, "c": 1}, ["b"])))
    assert not news.advance(State((1, 4), chest))
    assert news.since(4) == {"index": 5, "set": {"a": 2, "c": 1}, "gone": ["b"], "full": False}
    assert news.since(3)["full"] and news.since(3)["set"] == {"a": 2, "c": 1}
    assert news.since(5)["set"] == {} and news.since(9)["index"] == 5


def configuration(version: int) -> dict[str, Any]:
    spec = {"MaxHeaderBytes": 1, "MaxBodyBytes": 1, "HeaderTimeout": "1s", "IdleTimeout": "1s"}
    limits = {"ObjectType": "Limits", "Metadata": {}, "Specification": spec}
    return {"ConfigVersion": f"{version:08x}", "Objects": [limits]}


@test("orders: taken once, the same again is 200, another on the same base 412, nonsense 400")
def _() -> None:
    map: dict[str, Any] = {}

    def order(kind: str, body: Any, if_match: str | None = None) -> int:
        outcome = decide(map, {"kind": kind, "if_match": if_match, "body": body})
        if isinstance(outcome, Work):
            map.update(outcome.set)
            for key in outcome.gone:
                del map[key]
        changes.append(isinstance(outcome, Work))
        assert isinstance(outcome, Work | Settled)
        status: int = outcome.answer["status"]
        return status

    changes: list[bool] = []
    assert order("evacuate", "z1") == order("evacuate", "z1") == 200 and changes == [True, False]
    assert order("put", configuration(5), "0") == order("put", configuration(5), "0") == 200
    assert changes[2:] == [True, False]
    assert order("put", configuration(6), "0") == 412 and order("put", configuration(5), "5") == 400
    for kind, body in (("patch", []), ("put", None), ("sing", {}), ("evacuate", 3)):
        assert order(kind, body, "5") == 400
    for version in range(6, 6 + 2 * TAKEN_MOST):
        assert order("put", configuration(version), f"{version - 1:08x}") == 200
    assert sum(key.startswith(TAKEN) for key in map) == TAKEN_MOST
    assert order("restore", "z1") == 200 and changes[-1] and "Evacuations/z1" not in map
