"""Disks for tests of `SnapshotStorage`: ones that lose their power, that are full, and that do not sync."""

import errno
import itertools
import os
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

UNLIMITED: Final = 10**9


class PowerLostError(Exception):
    """The machine has lost its power, or the process was killed."""


class PowerLossDisk:
    """A folder with what syncs made durable of it; the power is lost after so many syncs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.remaining_syncs = UNLIMITED
        self.synced_files: dict[str, bytes] = {}
        self.synced_folder: dict[str, bytes] = {}  # the files as the folder's last sync found them

    def sync(self, path: str) -> None:
        """Stands in for `snapshot_storage._sync`."""
        if self.remaining_syncs == 0:
            raise PowerLostError
        self.remaining_syncs -= 1
        if Path(path) == self.folder:
            self.synced_folder = self._files()
        elif Path(path).parent == self.folder:
            self.synced_files[os.path.basename(path)] = Path(path).read_bytes()

    def restore_power(self, files: dict[str, bytes | None]) -> None:
        """The folder with what a loss of power has left of it."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        for name, content in files.items():
            if content is not None:
                (self.folder / name).write_bytes(content)
        self.remaining_syncs = UNLIMITED

    def states_after_power_loss(self) -> Iterator[dict[str, bytes | None]]:
        """Every state that a loss of power may leave: later writes there, missing or torn."""
        written = self._files()
        choices = []
        for name in sorted(written.keys() | self.synced_folder):
            durable = self.synced_files.get(name)
            latest = written.get(name)
            contents = {
                durable if name in self.synced_folder else None,
                self.synced_folder.get(name),
                latest,
            }
            if latest is not None and latest != durable:
                contents |= {latest[: len(latest) // 2], durable}
            choices.append([(name, content) for content in sorted(contents, key=str)])
        for choice in itertools.product(*choices):
            yield dict(choice)

    def _files(self) -> dict[str, bytes]:
        return {path.name: path.read_bytes() for path in self.folder.iterdir()}


class FullDisk:
    """Stands in for `io` under `dbm.dumb`: after so many writes the disk takes half of one, and no more."""

    def __init__(self, remaining_writes: int) -> None:
        self.remaining_writes = remaining_writes

    def open(self, *args: Any, **named: Any) -> Any:
        """A file whose writes are counted."""
        file = open(*args, **named)  # noqa: SIM115
        write = file.write

        def limited_write(data: Any) -> Any:
            self.remaining_writes -= 1
            if self.remaining_writes < 0:
                write(data[: len(data) // 2] if self.remaining_writes == -1 else data[:0])
                raise OSError(errno.ENOSPC, "No space left on device")
            return write(data)

        file.write = limited_write
        return file


def open_without_sync(path: str) -> None:
    """A sync that opens what it is to sync, and does not wait for this machine's disk."""
    os.close(os.open(path, os.O_RDONLY))
