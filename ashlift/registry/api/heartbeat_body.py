"""Parses the body of a worker's heartbeat, `PUT /instances/ID`. Monotonic times in seconds."""

from typing import Any, Final

from ashlift.config.durations import parse_duration
from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.resource import parse_json
from ashlift.registry.records import TOMBSTONE_SEQ, WorkerRecord, WorkerState

REPORTED_STATES: Final = (WorkerState.READY, WorkerState.DRAINING)
MAX_PORT: Final = 65535


def parse_heartbeat(body: bytes, now: float) -> WorkerRecord | Failure:
    """The worker record described by the body, or an INVALID failure that says what is wrong."""
    value = parse_json(body)
    if isinstance(value, Failure):
        return value
    try:
        return _read_worker(value, now)
    except KeyError as error:
        return Failure(FailureReason.INVALID, f"{error.args[0]} is missing")
    except (ValueError, TypeError, AttributeError) as error:
        return Failure(FailureReason.INVALID, str(error))


def _read_worker(value: Any, now: float) -> WorkerRecord | Failure:
    node = value["NodeInfo"]
    status = value["Status"]
    warmup_left = parse_duration(status.get("WarmupLeft", "0ms"))
    if isinstance(warmup_left, Failure):
        return warmup_left
    service = node["Service"]
    address = value["Address"]
    zone = node["Zone"]
    capacity = node.get("Capacity", 1)
    state = status["State"]
    call_seq = status["CallSeq"]
    config_version = node.get("ConfigVersion", "")
    _check_strings(service, address, zone, config_version)
    if any(type(number) is not int or number < 0 for number in (capacity, call_seq)):
        raise ValueError("Capacity and CallSeq are whole numbers")
    if call_seq >= TOMBSTONE_SEQ:
        raise ValueError("CallSeq is too high")
    if state not in REPORTED_STATES:
        raise ValueError(f"no State: {state}")
    return WorkerRecord(
        service, address, zone, capacity, WorkerState(state), call_seq, now + warmup_left, config_version
    )


def _check_strings(service: Any, address: Any, zone: Any, config_version: Any) -> None:
    """Raises ValueError for invalid fields, or AttributeError if the address is not a string."""
    host, _, port = address.rpartition(":")
    required = (service, host, zone)
    if not all(required) or not all(isinstance(text, str) for text in (*required, config_version)):
        raise ValueError("Service, Address and Zone are texts")
    if not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"no port: {address}")
