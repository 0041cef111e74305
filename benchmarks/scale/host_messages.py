"""Commands to a process of simulated proxies or workers and their responses, each one line of JSON.

Times are readings of the monotonic clock, which all processes of the machine share.
"""

import json
from typing import Any, Final, TypeVar

import attrs

from benchmarks.scale.sizes import ClusterSize

Message = TypeVar("Message")


@attrs.frozen
class StartProxies:
    """Start the simulated proxies numbered `first` to `end - 1`; `starts_per_second` 0: all at once."""

    first: int
    end: int
    regions_by_zone: dict[str, str]
    low_port: int
    seed_ips: list[str]
    tenants: int
    starts_per_second: float


@attrs.frozen
class StartWorkers:
    """Start the simulated workers numbered `first` to `end - 1`, which share connections to registries."""

    first: int
    end: int
    size: dict[str, Any]  # as `ClusterSize.to_json` writes it
    zones: list[str]
    registry_ips: list[str]
    heartbeat_seconds: float
    connections: int

    @property
    def cluster_size(self) -> ClusterSize:
        """The size of the cluster."""
        return ClusterSize.from_json(self.size)


@attrs.frozen
class SetRequestRate:
    """Set the number of requests per second that each simulated proxy counts."""

    requests_per_second: float


@attrs.frozen
class SetRestartRate:
    """Set the number of simulated workers per second that crash and restart."""

    restarts_per_second: float


@attrs.frozen
class ReadFigures:
    """Read `HostFigures`."""


@attrs.frozen
class ReadArrivalTimes:
    """Read when each simulated proxy received this or a later version of the configuration."""

    version: int


@attrs.frozen
class Done:
    """A command without a result has completed."""


@attrs.frozen
class ArrivalTimes:
    """When each simulated proxy received the version, or `NOT_ARRIVED`."""

    times: list[float]


@attrs.frozen
class HostFigures:
    """Counters since the start and current states of all simulated proxies and workers of one process.

    `longest_pull_seconds`: since the last `SetRequestRate`. `ready_after_seconds`: start times of the ready
    proxies. `confirmation_age_seconds`: the largest age of a proxy's last configuration confirmation.
    """

    pulls: int = 0
    failed_pulls: int = 0
    waited_seconds: float = 0.0
    longest_pull_seconds: float = 0.0
    received_entries: int = 0
    ready_proxies: int = 0
    ready_after_seconds: list[float] = attrs.Factory(list)
    confirmation_age_seconds: float = 0.0
    heartbeats: int = 0
    failed_heartbeats: int = 0
    acknowledged_workers: int = 0
    last_acknowledged_at: float = 0.0


Command = StartProxies | StartWorkers | SetRequestRate | SetRestartRate | ReadFigures | ReadArrivalTimes
Response = Done | ArrivalTimes | HostFigures
NOT_ARRIVED: Final = -1.0
_TYPE_KEY: Final = "type"
_COMMAND_TYPES: Final = (
    StartProxies,
    StartWorkers,
    SetRequestRate,
    SetRestartRate,
    ReadFigures,
    ReadArrivalTimes,
)
_COMMANDS_BY_NAME: Final = {command.__name__: command for command in _COMMAND_TYPES}


def encode_command(command: Command) -> bytes:
    """Encode a command as a line."""
    fields = attrs.asdict(command)
    return json.dumps({_TYPE_KEY: type(command).__name__, **fields}).encode() + b"\n"


def decode_command(line: bytes) -> Command:
    """Decode a line written by `encode_command`."""
    fields = json.loads(line)
    command: Command = _COMMANDS_BY_NAME[fields.pop(_TYPE_KEY)](**fields)
    return command


def encode_response(response: Response) -> str:
    """Encode a response as a line without its newline."""
    return json.dumps(attrs.asdict(response))


def decode_response(line: bytes, response_type: type[Message]) -> Message:
    """Decode a response of this type."""
    return response_type(**json.loads(line))
