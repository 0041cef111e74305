"""The data directory of a configuration store as written by commit 147a987: its values, and how to create it.

`python -m tests.support.stored_data TREE FILE` writes the directory with the code in TREE, a checkout of
147a987, and archives its files in FILE. It contains votes, snapshots and pending edits, each in both of its
generations. In the folder `torn` the newest snapshot is truncated, as after a power loss.
"""

import argparse
import random
import sys
import tempfile
import zipfile
from collections.abc import Callable, Iterable
from importlib import import_module
from pathlib import Path
from typing import Any, Final, NamedTuple

INTACT: Final = "whole"
TORN: Final = "torn"
EPOCH: Final = (1980, 1, 1, 0, 0, 0)  # modification time of all files, so that the archive is reproducible
Values = dict[str, Any]


class StoredState(NamedTuple):
    """One write of a replica: its vote, and a snapshot with term and index."""

    vote: tuple[int, str | None, bool, int]
    term_index: tuple[int, int]
    objects: Values


def _route(name: str, service: str, is_idempotent: bool) -> Values:
    return {
        "Host": "app.example",
        "PathPrefix": f"/{name}/",
        "RouteType": "idempotent" if is_idempotent else "non_idempotent",
        "Timeout": "3000ms",
        "Service": service,
        "MaxAttempts": 3 if is_idempotent else 1,
        "Anonymous": False,
        "HomeRegions": ["r1", "r2"],
    }


def _objects(count: int, version: int) -> Values:
    """`count` objects of all kinds, which include values of every type that is stored."""
    chance = random.Random(count)
    found: Values = {"Version": f"{version:08x}"}
    for number in range(count // 3):
        service = f"service-{number % 40}"
        found[f"Routes/route-{number}"] = _route(f"route-{number}", service, chance.random() < 0.5)
        rate = round(chance.uniform(1.0, 900.0), 3)
        found[f"Tenants/tenant-{number}"] = {
            "ApiKeys": [f"key-{number}-a", f"key-{number}-b"],
            "RatePerS": rate,
            "BurstSize": int(rate),
        }
        found[f"Services/service-{number}"] = {
            "HealthCheck": "/health",
            "MaxConnections": chance.choice([16, 100, 70000]),
            "Warmup": f"{number % 9}s",
            "WarmupRateS": chance.choice([None, 5, 2.5]),
        }
    found["Evacuations/z2"] = {}
    found["Limits/"] = {"MaxHeaderBytes": 8192, "HeaderTimeout": "2000ms"}
    found["members/10.0.0.7"] = {"voter": True, "life": 2**40 + 7}
    found["names/żółw"] = [True, False, None, -1, 1.5, b"\x00\xff", "Größe"]
    return found


def _without(objects: Values, *names: str) -> Values:
    return {name: value for name, value in objects.items() if name not in names}


def writes() -> list[StoredState]:
    """The successive writes of a replica, newest last."""
    later = {**_objects(240, 7), "Routes/added": _route("added", "service-1", True)}
    return [
        StoredState((3, None, False, 11), (3, 40), _objects(60, 6)),
        StoredState((4, "10.0.0.2", True, 2**47 + 5), (4, 41), _objects(240, 7)),
        StoredState(
            (9, "10.0.0.1", True, 2**47 + 5), (9, 57), _without(later, "Tenants/tenant-5", "Evacuations/z2")
        ),
    ]


def edits() -> list[Values]:
    """Pending edits, as a registry sends them to its store."""
    text = _route("route-1", "service-9", True)
    usual = {"base": text, "version": "00000007", "who": "operator-A", "where": "10.0.0.1", "auto": True}
    return [
        {
            **usual,
            "id": "e1",
            "name": "route-1",
            "text": {**text, "Service": "service-3"},
            "stamp": [1_790_000_000_123, 0, "10.0.0.1"],
            "doubt": False,
        },
        {
            **usual,
            "id": "e2",
            "name": "route-2",
            "text": None,
            "stamp": [1_790_000_000_456, 3, "10.0.0.2"],
            "doubt": True,
        },
        {
            **usual,
            "id": "e3",
            "name": "route-3",
            "text": text,
            "base": None,
            "auto": False,
            "who": "Zoë",
            "stamp": [1_790_000_001_000, 1, "10.0.0.3"],
            "doubt": False,
        },
    ]


class Code(NamedTuple):
    """The functions of a source tree that write a data directory."""

    persist: Callable[[str, Iterable[StoredState]], None]
    add_edits: Callable[[str, list[list[Values]]], None]


def code_of_147a987(tree: Path) -> Code:
    """The functions of a checkout of commit 147a987."""
    sys.path.insert(0, str(tree))
    daemon, interface, ranges = (import_module(f"vise.{name}") for name in ("daemon", "interface", "ranges"))
    drafts, shelf = import_module("vise.drafts"), import_module("vise.shelf")

    def persist(folder: str, stored: Iterable[StoredState]) -> None:
        disk = daemon.Disk(folder)
        for one in stored:
            state = interface.State(one.term_index, ranges.RangedMap(one.objects))
            failure = disk.keep(interface.Keep(interface.Vote(*one.vote), state))
            assert failure is None, failure

    def add_edits(folder: str, calls: list[list[Values]]) -> None:
        book = drafts.Drafts(shelf.Shelf(folder, drafts.NAME), lambda: (0, {}), lambda *_, **__: None)
        for call in calls:
            answer = book.call({"add": call})
            assert len(answer["edits"]) > 0, answer

    return Code(persist, add_edits)


def write(folder: Path, code: Code) -> None:
    """Write both data directories below `folder`."""
    for name in (INTACT, TORN):
        code.persist(str(folder / name), writes())
        code.add_edits(str(folder / name), [edits()[:1], edits()[1:]])
    newest = folder / TORN / "map-b.dat"  # the third write: files alternate, starting with `b`
    newest.write_bytes(newest.read_bytes()[: newest.stat().st_size // 2])


def files(folder: Path) -> dict[str, bytes]:
    """The contents of all files below a folder by relative path."""
    paths = sorted(path for path in folder.rglob("*") if path.is_file())
    return {path.relative_to(folder).as_posix(): path.read_bytes() for path in paths}


def read_archive(path: Path) -> dict[str, bytes]:
    """The contents of the files in an archive by path."""
    with zipfile.ZipFile(path) as archive:
        return {name: archive.read(name) for name in archive.namelist()}


def extract_archive(path: Path, folder: Path) -> None:
    """Extract an archive into a folder."""
    with zipfile.ZipFile(path) as archive:
        archive.extractall(folder)


def write_archive(path: Path, found: dict[str, bytes]) -> None:
    """Write an archive."""
    with zipfile.ZipFile(path, "w", zipfile.ZIP_DEFLATED, compresslevel=9) as archive:
        for name, data in found.items():
            archive.writestr(zipfile.ZipInfo(name, EPOCH), data, zipfile.ZIP_DEFLATED, 9)


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m tests.support.stored_data", description="Write a disk.")
    parser.add_argument("tree", type=Path, help="a checkout of 147a987")
    parser.add_argument("file", type=Path, help="the archive to write")
    options = parser.parse_args(arguments)
    with tempfile.TemporaryDirectory() as name:
        write(Path(name), code_of_147a987(options.tree))
        write_archive(options.file, files(Path(name)))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
