"""The directory of a run on processes: settings files, the core machines' disks, and logs."""

import shutil
import tempfile
from pathlib import Path

from ashlift.lab.system.machine_layout import LabMachine
from ashlift.lab.system.machine_settings import ClusterSettings


class RunDirectory:
    """Owns a new temporary directory, until `remove`."""

    def __init__(self) -> None:
        self.path = Path(tempfile.mkdtemp(prefix="ashlift-system-"))

    def settings_path(self, machine: LabMachine) -> Path:
        """Where the machine's settings are."""
        return self.path / f"{machine.name}.toml"

    def log_path(self, machine: LabMachine, program: str) -> Path:
        """Where a program's output goes."""
        return self.path / f"{program}@{machine.name}.log"

    def log_paths(self) -> list[Path]:
        """All logs that there are."""
        return sorted(self.path.glob("*.log"))

    def write_settings(self, machine: LabMachine, settings: ClusterSettings, bootstrap: bool) -> None:
        """Replace the machine's settings file in one step, and create its disk where it has none."""
        disk = self._disk_path(machine)
        if machine.is_core:
            disk.mkdir(exist_ok=True)
        path = self.settings_path(machine)
        new_path = path.with_suffix(".new")
        new_path.write_text(settings.to_toml(machine, str(disk), bootstrap))
        new_path.replace(path)

    def wipe_disk(self, machine: LabMachine) -> None:
        """Remove the machine's disk with all that is on it."""
        shutil.rmtree(self._disk_path(machine), ignore_errors=True)

    def remove(self) -> None:
        """Remove the directory with all that is in it."""
        shutil.rmtree(self.path, ignore_errors=True)

    def _disk_path(self, machine: LabMachine) -> Path:
        return self.path / f"disk-{machine.name}"
