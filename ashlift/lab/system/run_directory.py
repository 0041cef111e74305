"""The directory of a run on processes: settings files, the core machines' disks, and logs."""

import shutil
import tempfile
from pathlib import Path

from ashlift.lab.system.machine_layout import LabMachine
from ashlift.lab.system.machine_settings import ClusterSettings


class RunDirectory:
    """Creates a temporary directory, deleted by `remove`."""

    def __init__(self) -> None:
        self.path = Path(tempfile.mkdtemp(prefix="ashlift-system-"))

    def settings_path(self, machine: LabMachine) -> Path:
        """Return the path of the settings file of a machine."""
        return self.path / f"{machine.name}.toml"

    def log_path(self, machine: LabMachine, program: str) -> Path:
        """Return the path of the log of a program."""
        return self.path / f"{program}@{machine.name}.log"

    def log_paths(self) -> list[Path]:
        """Return the paths of all logs, sorted."""
        return sorted(self.path.glob("*.log"))

    def write_settings(self, machine: LabMachine, settings: ClusterSettings, bootstrap: bool) -> None:
        """Replace the settings file of a machine atomically, and create its disk directory if missing."""
        disk = self._disk_path(machine)
        if machine.is_core:
            disk.mkdir(exist_ok=True)
        path = self.settings_path(machine)
        new_path = path.with_suffix(".new")
        new_path.write_text(settings.to_toml(machine, str(disk), bootstrap))
        new_path.replace(path)

    def wipe_disk(self, machine: LabMachine) -> None:
        """Delete the disk directory of a machine."""
        shutil.rmtree(self._disk_path(machine), ignore_errors=True)

    def remove(self) -> None:
        """Delete the whole directory."""
        shutil.rmtree(self.path, ignore_errors=True)

    def _disk_path(self, machine: LabMachine) -> Path:
        return self.path / f"disk-{machine.name}"
