"""Settings files (TOML) for the machines of a run, in the format of `ashlift.config.settings`. Pure."""

from collections.abc import Mapping
from typing import Final

import attrs

from ashlift.config.settings import Bounds
from ashlift.config.structuring import Seconds
from ashlift.lab.system.machine_layout import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    READINESS_PORT,
    LabMachine,
)
from ashlift.simulation.base_world import HEARTBEAT_SECONDS
from ashlift.simulation.plan import ZONES

MEMORY_MB: Final = 200  # of every machine, as on the smallest edge machines


@attrs.frozen
class ClusterSettings:
    """Settings that all machines share.

    `seeds`: names of core machines; `zones`: region by zone; `heartbeat_interval`: seconds.
    """

    machines: list[LabMachine]
    seeds: list[str]
    bounds: Bounds
    zones: Mapping[str, str] = ZONES
    heartbeat_interval: float = HEARTBEAT_SECONDS

    def to_toml(self, machine: LabMachine, data_directory: str, bootstrap: bool) -> str:
        """Return the settings file of a machine.

        `data_directory`: for core machines only; `bootstrap`: true only for the first start of the cluster.
        """
        lines = [f"{key} = {_to_toml(value)}" for key, value in self._top_level(machine, bootstrap).items()]
        if machine.is_core:
            lines.append(f"DataDirectory = {_to_toml(data_directory)}")
        for title, values in self._tables(machine).items():
            lines += ["", f"[{title}]", *(f"{key} = {_to_toml(value)}" for key, value in values.items())]
        return "\n".join(lines) + "\n"

    def _top_level(self, machine: LabMachine, bootstrap: bool) -> dict[str, object]:
        ips = {other.name: other.ip for other in self.machines}
        return {
            "NodeName": machine.name,
            "Role": "keeper" if machine.is_core else "carrier",
            "MachineClass": machine.kind,
            "Serves": ["control", "directory"] if machine.is_core else ["edge"],
            "Ip": machine.ip,
            "Zone": machine.zone,
            "Region": machine.region,
            "InternalPortRange": machine.internal_ports,
            "SeedNodes": [f"{ips[name]}:{CONTROL_PORT}" for name in self.seeds],
            "Bootstrap": bootstrap,
            "QuorumMember": machine.is_core,
            "Discovery": "self_register",
            "EntryMode": "directory",
            "Heartbeat": _milliseconds(self.heartbeat_interval),
        }

    def _tables(self, machine: LabMachine) -> dict[str, dict[str, object]]:
        if machine.is_core:
            ports = {"Control": CONTROL_PORT, "Directory": DIRECTORY_PORT}
        else:
            ports = {"Front": FRONT_PORT, "Readiness": READINESS_PORT}
        fields = attrs.fields(Bounds)
        return {
            "Zones": dict(self.zones),
            "Bindings": {name: f"{machine.ip}:{port}" for name, port in ports.items()},
            "Limits": {"FileDescriptors": 1024, "MemoryMb": MEMORY_MB},
            "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 1},
            "Bounds": {
                _bound_key(field): _bound_value(field, getattr(self.bounds, field.name)) for field in fields
            },
        }


def _bound_key(field: "attrs.Attribute[object]") -> str:
    return str(field.metadata.get("key") or "".join(word.title() for word in field.name.split("_")))


def _bound_value(field: "attrs.Attribute[object]", value: object) -> object:
    return _milliseconds(float(str(value))) if field.type is Seconds else value


def _milliseconds(seconds: float) -> str:
    return f"{round(seconds * 1000)}ms"


def _to_toml(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return f"[{', '.join(map(_to_toml, value))}]"
    return f'"{value}"' if isinstance(value, str) else str(value)
