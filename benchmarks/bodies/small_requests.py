"""Measures the latency of small requests concurrent with slow readers and with bulk downloads."""

import threading
import time
from collections.abc import Callable
from typing import Any, Final

from benchmarks.bodies.bulk_client import connect
from benchmarks.bodies.gatekeeper_process import MAX_GROWTH_BYTES, MEBIBYTE, running_gatekeeper
from benchmarks.bodies.http_heads import RECEIVE_BYTES, encode_request_head, receive_response_head
from benchmarks.bodies.peers import ClientProcess, start_download

PERCENTILES: Final = (0.5, 0.99, 0.999)
P99_INDEX: Final = 1
SLOW_READER_BYTES: Final = 40 << 20
SLOW_READER_BYTES_PER_SECOND: Final = 5000
SLOW_READER_WINDOW_BYTES: Final = 2048
SLOW_READER_STABILIZE_SECONDS: Final = 6
SLOW_READER_REQUESTS: Final = 400
SLOW_READER_NODE_SECONDS: Final = 0.02
FAST_BYTES: Final = 200 << 20
BULK_BYTES: Final = 4 << 30
BULK_STABILIZE_SECONDS: Final = 2
CONCURRENT_CLIENTS: Final = 4
REQUESTS_PER_CLIENT: Final = 150
MAX_P99_RATIO: Final = 2


def measure_slow_readers(node_address: str, count: int) -> dict[str, Any]:
    """Run small requests and one fast download concurrently with `count` slow readers."""
    with running_gatekeeper(node_address) as gatekeeper:
        address = gatekeeper.address
        memory_before = gatekeeper.process.memory_bytes()
        readers = [_start_slow_reader(address) for _ in range(count)]
        time.sleep(SLOW_READER_STABILIZE_SECONDS)
        latencies = measure_latencies(address, SLOW_READER_REQUESTS, SLOW_READER_NODE_SECONDS)
        fast = start_download(address, FAST_BYTES).result()
        growth_bytes = gatekeeper.peak_growth_bytes(memory_before)
        alive = sum(reader.is_running for reader in readers)
        _kill_all(readers)
    is_complete = alive == count and fast.moved_bytes == FAST_BYTES
    return {
        "readers": count,
        "alive": alive,
        "grown_mib": round(growth_bytes / MEBIBYTE, 2),
        "small_ms": percentiles(latencies),
        "fast_gb_s": round(FAST_BYTES / fast.seconds / 1e9, 2),
        "holds": is_complete and growth_bytes < MAX_GROWTH_BYTES,
    }


def measure_with_downloads(node_address: str, streams: int, node_seconds: float) -> dict[str, Any]:
    """Run small requests without and with concurrent bulk downloads."""
    with running_gatekeeper(node_address) as gatekeeper:
        address = gatekeeper.address

        def measure() -> list[float]:
            return measure_latencies(address, REQUESTS_PER_CLIENT, node_seconds)

        latencies_without_bulk = _run_concurrently(CONCURRENT_CLIENTS, measure)
        downloads = [start_download(address, BULK_BYTES) for _ in range(streams)]
        time.sleep(BULK_STABILIZE_SECONDS)
        latencies_with_bulk = _run_concurrently(CONCURRENT_CLIENTS, measure)
        _kill_all(downloads)
    alone = percentiles(latencies_without_bulk)
    beside = percentiles(latencies_with_bulk)
    return {
        "streams": streams,
        "node_ms": 1000 * node_seconds,
        "without_ms": alone,
        "beside_ms": beside,
        "ratio_p99": round(beside[P99_INDEX] / alone[P99_INDEX], 2),
        "holds": beside[P99_INDEX] <= MAX_P99_RATIO * alone[P99_INDEX],
    }


def measure_latencies(address: str, requests: int, node_seconds: float) -> list[float]:
    """Latencies in milliseconds of sequential small requests on one connection."""
    latencies = []
    with connect(address) as connection:
        for _ in range(requests):
            started_at = time.monotonic()
            connection.sendall(encode_request_head("GET", f"/availability-check/x?delay={node_seconds}"))
            head = receive_response_head(connection)
            body = head.rest
            while len(body) < head.content_length:
                body += connection.recv(RECEIVE_BYTES)
            assert head.status == 200, head.status
            latencies.append(1000 * (time.monotonic() - started_at))
    return latencies


def percentiles(values: list[float]) -> list[float]:
    """The values at `PERCENTILES`."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return [round(ordered[min(last, int(len(ordered) * fraction))], 2) for fraction in PERCENTILES]


def _start_slow_reader(address: str) -> ClientProcess:
    return start_download(address, SLOW_READER_BYTES, SLOW_READER_BYTES_PER_SECOND, SLOW_READER_WINDOW_BYTES)


def _run_concurrently(threads: int, measure: Callable[[], list[float]]) -> list[float]:
    """Run the measurement in several threads and return all values."""
    values: list[float] = []
    running = [threading.Thread(target=lambda: values.extend(measure())) for _ in range(threads)]
    for thread in running:
        thread.start()
    for thread in running:
        thread.join()
    return values


def _kill_all(clients: list[ClientProcess]) -> None:
    for client in clients:
        client.kill()
