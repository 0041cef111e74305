"""The settings file of one process (TOML), checked. Fields that are not known here are passed over.

`read` and `parse` give Settings, or every fault in it, one line each with place and key.
"""

import tomllib
from typing import Any

import attrs

from ashlift.config.structuring import Amount, Count, Endpoint, Ports, Seconds, Texts, structure
from ashlift.errors import Failure, FailureReason


@attrs.frozen
class Bindings:
    """Addresses for what the role serves; None where it does not."""

    front: Endpoint | None = None
    readiness: Endpoint | None = None
    control: Endpoint | None = None
    directory: Endpoint | None = None


@attrs.frozen
class Machine:
    """What the machine has (`Limits`)."""

    cpu_share: Amount = 1.0
    cpu_cores: Count = 1
    memory_mb: Amount = 256
    file_descriptors: Count = 1024
    link_mbps: Amount = 1000.0
    disk_mb: Amount = 0


@attrs.frozen
class Tolerance:
    """What may be lost at the same time while every rule is kept."""

    machines: Count = 1
    zones: Count = 0
    regions: Count = 0


@attrs.frozen
class Bounds:
    """The figures of the rules, times in s. A bound that is not told stands at the figure that is usual."""

    seed_lag: Seconds = 3.0
    address_reuse: Seconds = 2.0
    contact: Seconds = 4.0
    ack_timeout: Seconds = 6.0
    sync_time: Seconds = 4.0
    drain: Seconds = 3.0
    grace: Seconds = 6.0
    loss_slack: Seconds = 0.2
    config_apply: Seconds = 3.0
    downgrade_slack: Seconds = 0.25
    max_stretch: Seconds = 8.0
    revocation_strict: bool = False
    revoke: Seconds = 5.0
    retry_budget_ratio: Amount = 0.2
    retry_window: Seconds = 10.0
    retry_slack: Amount = 50.0
    quota_window: Seconds = 5.0
    quota_overrun: Amount = 0.1
    quota_slack: Amount = 20.0
    cold_overrun: Amount = 1.5
    cold_slack: Amount = 5.0
    evacuation: Seconds = 5.0
    recovery: Seconds = 15.0
    ttl_max: Seconds = attrs.field(default=5.0, metadata={"key": "ttl_max"})


@attrs.frozen(kw_only=True)
class Settings:
    """What one process is told. Ports of `internal_ports` are its first and its last."""

    node_name: str
    ip: str
    internal_ports: Ports = attrs.field(metadata={"key": "InternalPortRange"})
    seeds: tuple[Endpoint, ...] = attrs.field(metadata={"key": "SeedNodes"})
    role: str = ""
    machine_class: str = ""
    serves: Texts = ()
    zone: str = ""
    region: str = ""
    bootstrap: bool = False
    quorum_member: bool = False
    data_directory: str | None = None
    heartbeat: Seconds = 1.5
    discovery: str = ""
    entry_mode: str = ""
    contracts: Texts = ()
    zones: dict[str, str] = attrs.field(factory=dict)
    bindings: Bindings = Bindings()
    limits: Machine = Machine()
    tolerance: Tolerance = attrs.field(default=Tolerance(), metadata={"key": "FaultTolerance"})
    bounds: Bounds = Bounds()


def read(path: str) -> Settings | list[Failure]:
    """The settings in the file at `path`, or all its faults."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, ValueError) as error:
        return [Failure(FailureReason.INVALID, f"{path}: cannot be read: {error}")]
    return parse(text, path)


def parse(text: str, place: str = "settings") -> Settings | list[Failure]:
    """The settings in `text`, or all its faults, each told with `place`."""
    try:
        value = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return [Failure(FailureReason.INVALID, f"{place}: is no TOML: {error}")]
    found = structure(Settings, value)
    if isinstance(found, Settings):
        flaws = _unfit(found)
        if not flaws:
            return found
    else:
        flaws = found
    return [
        Failure(FailureReason.INVALID, f"{place}: {key}: {what}" if key else f"{place}: {what}")
        for key, what in flaws
    ]


def _unfit(settings: Settings) -> list[tuple[str, str]]:
    """What is well formed and still cannot do."""
    found: list[tuple[str, Any]] = []
    for key, value in (("NodeName", settings.node_name), ("Ip", settings.ip), ("SeedNodes", settings.seeds)):
        if not value:
            found.append((key, "is empty"))
    if "edge" in settings.serves and settings.bindings.front is None:
        found.append(("Bindings.Front", "is missing, and the role serves edge"))
    if "control" in settings.serves and settings.bindings.control is None:
        found.append(("Bindings.Control", "is missing, and the role serves control"))
    if settings.heartbeat <= 0:
        found.append(("Heartbeat", "is 0"))
    return found
