"""Measures the throughput of downloads and uploads, alternating with a plain relay in the same run."""

import statistics
from collections import defaultdict
from typing import Any, Final

from benchmarks.bodies.gatekeeper_process import running_gatekeeper
from benchmarks.bodies.peers import start_download, start_relay, start_upload
from benchmarks.child_process import ChildProcess

MIN_RATIO: Final = 0.7  # median ratio to the throughput of the relay
RELAY: Final = "relay"
GATEKEEPER: Final = "ashlift"
DOWN: Final = "down"
UP: Final = "up"
DIRECTIONS: Final = (DOWN, UP)
Figures = dict[str, list[float]]


def measure_throughput(node_address: str, body_bytes: int, rounds: int) -> dict[str, Any]:
    """Minimum, median and maximum of GB/s and of CPU seconds per GB, and whether the ratio holds."""
    relay = start_relay(node_address)
    relay_address = relay.read_address()
    figures: Figures = defaultdict(list)
    try:
        with running_gatekeeper(node_address) as gatekeeper:
            servers = (
                (RELAY, relay, relay_address),
                (GATEKEEPER, gatekeeper.process, gatekeeper.address),
            )
            for _ in range(rounds):
                for direction in DIRECTIONS:
                    for name, process, address in servers:
                        _measure_transfer(figures, direction, name, process, address, body_bytes)
    finally:
        relay.stop()
    record: dict[str, Any] = {name: _summary(values) for name, values in figures.items()}
    for direction in DIRECTIONS:
        ratios = _ratios(figures, direction)
        record[f"{direction}.ratio"] = _summary(ratios)
        record[f"{direction}.holds"] = statistics.median(ratios) >= MIN_RATIO
    return record


def _measure_transfer(
    figures: Figures, direction: str, name: str, process: ChildProcess, address: str, body_bytes: int
) -> None:
    cpu_before = process.cpu_seconds()
    start_transfer = start_download if direction == DOWN else start_upload
    result = start_transfer(address, body_bytes).result()
    assert result.status == 200, result
    assert result.moved_bytes == body_bytes, result
    figures[f"{direction}.{name}.gb_s"].append(body_bytes / result.seconds / 1e9)
    figures[f"{direction}.{name}.cpu_s_gb"].append((process.cpu_seconds() - cpu_before) / body_bytes * 1e9)


def _ratios(figures: Figures, direction: str) -> list[float]:
    gatekeeper = figures[f"{direction}.{GATEKEEPER}.gb_s"]
    relay = figures[f"{direction}.{RELAY}.gb_s"]
    return [own / bare for own, bare in zip(gatekeeper, relay, strict=True)]


def _summary(values: list[float]) -> list[float]:
    return [round(value, 3) for value in (min(values), statistics.median(values), max(values))]
