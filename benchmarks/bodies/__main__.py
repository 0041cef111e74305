"""Measures streamed bodies: `python -m benchmarks.bodies [--megabytes 1000] [--rounds 5] [--only PART ...]`.

Prints a table, and all figures as JSON on the last line; exits with status 1 if a guaranteed bound does not
hold. Clients and servers are separate processes on loopback. Takes about two minutes; not part of CI.
"""

import argparse
import json
import os
import platform
import sys
from collections.abc import Callable
from typing import Any, Final

from benchmarks.bodies.peers import start_node
from benchmarks.bodies.small_requests import measure_slow_readers, measure_with_downloads
from benchmarks.bodies.stalls import measure_stalls
from benchmarks.bodies.throughput import measure_throughput
from benchmarks.bodies.unequal_speeds import measure_unequal_speeds

PARTS: Final = ("throughput", "unlike", "slow", "stalls", "small")
SLOW_READERS: Final = 100
BULK_STREAMS: Final = 20
NODE_DELAYS_SECONDS: Final = (0.0, 0.05, 0.12)
NAME_WIDTH: Final = 55
Figures = dict[str, Any]


def measure_parts(parts: list[str], body_bytes: int, rounds: int) -> Figures:
    """Measure the selected parts, in the order of `PARTS`."""
    node = start_node()
    try:
        node_address = node.read_address()
        measurements: dict[str, Callable[[], Figures]] = {
            "throughput": lambda: measure_throughput(node_address, body_bytes, rounds),
            "unlike": lambda: measure_unequal_speeds(node_address, body_bytes),
            "slow": lambda: measure_slow_readers(node_address, SLOW_READERS),
            "stalls": lambda: measure_stalls(node_address),
            "small": lambda: {
                f"node {seconds * 1000:g} ms": measure_with_downloads(node_address, BULK_STREAMS, seconds)
                for seconds in NODE_DELAYS_SECONDS
            },
        }
        return {part: measurements[part]() for part in PARTS if part in parts}
    finally:
        node.stop()


def flatten(figures: Figures, path: str = "") -> dict[str, Any]:
    """The figures by the path of their names."""
    flat: dict[str, Any] = {}
    for name, value in figures.items():
        value_path = f"{path} {name}".strip()
        flat |= flatten(value, value_path) if isinstance(value, dict) else {value_path: value}
    return flat


def main() -> int:
    """Run the benchmark and return the exit status."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.bodies", description=__doc__)
    parser.add_argument("--megabytes", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--only", nargs="*", choices=PARTS, default=PARTS)
    options = parser.parse_args()
    figures: Figures = {
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "megabytes": options.megabytes,
        **measure_parts(options.only, options.megabytes * 10**6, options.rounds),
    }
    flat = flatten(figures)
    for path, value in flat.items():
        print(f"{path:{NAME_WIDTH}} {value}")
    print(json.dumps(figures))
    return 0 if all(value for path, value in flat.items() if path.endswith("holds")) else 1


if __name__ == "__main__":
    sys.exit(main())
