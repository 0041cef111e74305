"""Reads and validates the settings file of a process (TOML). Unknown keys are ignored.

`read_settings` and `parse_settings` return Settings, or all errors in the file, each with its key.
"""

import tomllib
from collections.abc import Iterator
from typing import Final

import attrs

from ashlift.config.structuring import (
    Endpoint,
    FieldError,
    NonNegativeFloat,
    NonNegativeInt,
    PortRange,
    Seconds,
    Strings,
    structure,
)
from ashlift.errors import Failure, FailureReason

EDGE: Final = "edge"  # in `serves`: accepts clients' requests on Bindings.Front
CONTROL: Final = "control"  # in `serves`: accepts operators' requests on Bindings.Control


@attrs.frozen
class Bindings:
    """Addresses to listen on; None for what the role does not serve."""

    front: Endpoint | None = None
    readiness: Endpoint | None = None
    control: Endpoint | None = None
    directory: Endpoint | None = None


@attrs.frozen
class MachineLimits:
    """The resources of its machine that the process may use."""

    cpu_share: NonNegativeFloat = 1.0
    cpu_cores: NonNegativeInt = 1
    memory_mb: NonNegativeFloat = 256
    file_descriptors: NonNegativeInt = 1024
    link_mbps: NonNegativeFloat = 1000.0
    disk_mb: NonNegativeFloat = 0


@attrs.frozen
class FaultTolerance:
    """How many machines, zones and regions may fail at the same time while all guarantees hold."""

    machines: NonNegativeInt = 1
    zones: NonNegativeInt = 0
    regions: NonNegativeInt = 0


@attrs.frozen
class Bounds:
    """Limits that the service guarantees to observe."""

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
    retry_budget_ratio: NonNegativeFloat = 0.2
    retry_window: Seconds = 10.0
    retry_slack: NonNegativeFloat = 50.0
    quota_window: Seconds = 5.0
    quota_overrun: NonNegativeFloat = 0.1
    quota_slack: NonNegativeFloat = 20.0
    slow_start_overrun: NonNegativeFloat = attrs.field(default=1.5, metadata={"key": "ColdOverrun"})
    slow_start_slack: NonNegativeFloat = attrs.field(default=5.0, metadata={"key": "ColdSlack"})
    evacuation: Seconds = 5.0
    recovery: Seconds = 15.0
    ttl_max: Seconds = attrs.field(default=5.0, metadata={"key": "ttl_max"})


@attrs.frozen(kw_only=True)
class Settings:
    """The settings of one process.

    `internal_ports`: first and last port for connections within the system. `seeds`: registries to contact
    first. `zones`: region by zone. `heartbeat`: interval of workers' heartbeats, s.
    """

    node_name: str
    ip: str
    internal_ports: PortRange = attrs.field(metadata={"key": "InternalPortRange"})
    seeds: tuple[Endpoint, ...] = attrs.field(metadata={"key": "SeedNodes"})
    role: str = ""
    machine_class: str = ""
    serves: Strings = ()
    zone: str = ""
    region: str = ""
    bootstrap: bool = False
    quorum_member: bool = False
    data_directory: str | None = None
    heartbeat: Seconds = 1.5
    discovery: str = ""
    entry_mode: str = ""
    contracts: Strings = ()
    zones: dict[str, str] = attrs.field(factory=dict)
    bindings: Bindings = Bindings()
    machine_limits: MachineLimits = attrs.field(default=MachineLimits(), metadata={"key": "Limits"})
    fault_tolerance: FaultTolerance = FaultTolerance()
    bounds: Bounds = Bounds()


def read_settings(path: str) -> Settings | list[Failure]:
    """Return the settings in the file at `path`, or all its errors."""
    try:
        with open(path, "rb") as file:
            text = file.read().decode()
    except (OSError, ValueError) as error:
        return [Failure(FailureReason.INVALID, f"{path}: cannot be read: {error}")]
    return parse_settings(text, path)


def parse_settings(text: str, source: str = "settings") -> Settings | list[Failure]:
    """Return the settings in `text`, or all its errors, each prefixed with `source`."""
    try:
        table = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        return [Failure(FailureReason.INVALID, f"{source}: is no TOML: {error}")]
    result = structure(Settings, table)
    if isinstance(result, Settings):
        errors = list(_semantic_errors(result))
        if not errors:
            return result
    else:
        errors = result
    return [Failure(FailureReason.INVALID, f"{source}: {error}") for error in errors]


def _semantic_errors(settings: Settings) -> Iterator[FieldError]:
    """Yield the errors of settings whose values have the right types."""
    required = {"NodeName": settings.node_name, "Ip": settings.ip, "SeedNodes": settings.seeds}
    for key, value in required.items():
        if not value:
            yield FieldError(key, "is empty")
    if EDGE in settings.serves and settings.bindings.front is None:
        yield FieldError("Bindings.Front", "is missing, and the role serves edge")
    if CONTROL in settings.serves and settings.bindings.control is None:
        yield FieldError("Bindings.Control", "is missing, and the role serves control")
    if settings.heartbeat <= 0:
        yield FieldError("Heartbeat", "is 0")
