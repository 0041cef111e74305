"""Simulated disks for tests of `SnapshotStorage`: power loss, a full disk, and no-op syncs."""

import errno
import itertools
import os
import shutil
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

UNLIMITED: Final = 10**9


class PowerLostError(Exception):
    """The simulated machine has lost power, or its process was killed."""


class PowerLossDisk:
    """Tracks which contents of a folder are synced; power is lost after `remaining_syncs` syncs."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.remaining_syncs = UNLIMITED
        self.synced_files: dict[str, bytes] = {}
        self.synced_folder: dict[str, bytes] = {}  # the files at the last sync of the folder

    def sync(self, path: str) -> None:
        """Replaces `snapshot_storage._sync`."""
        if self.remaining_syncs == 0:
            raise PowerLostError
        self.remaining_syncs -= 1
        if Path(path) == self.folder:
            self.synced_folder = self._files()
        elif Path(path).parent == self.folder:
            self.synced_files[os.path.basename(path)] = Path(path).read_bytes()

    def restore_power(self, files: dict[str, bytes | None]) -> None:
        """Restart after a power loss that left the folder with these files."""
        shutil.rmtree(self.folder)
        self.folder.mkdir()
        for name, content in files.items():
            if content is not None:
                (self.folder / name).write_bytes(content)
        self.remaining_syncs = UNLIMITED

    def states_after_power_loss(self) -> Iterator[dict[str, bytes | None]]:
        """Every state that a power loss may leave: unsynced writes are present, missing or torn."""
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
    """Replaces `io` in `dbm.dumb`: after `remaining_writes` writes, one is torn and later ones fail."""

    def __init__(self, remaining_writes: int) -> None:
        self.remaining_writes = remaining_writes

    def open(self, *args: Any, **named: Any) -> Any:
        """Open a file whose writes count towards the limit."""
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
    """A no-op sync that still fails if the path does not exist."""
    os.close(os.open(path, os.O_RDONLY))
