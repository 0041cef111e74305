"""Measures memory while long bodies are transferred between a fast and a slow peer, in all combinations."""

from collections.abc import Callable
from typing import Any, Final

from benchmarks.bodies.gatekeeper_process import MAX_GROWTH_BYTES, MEBIBYTE, Gatekeeper, running_gatekeeper
from benchmarks.bodies.peers import ClientProcess, start_download, start_upload

SLOW_TRANSFER_SECONDS: Final = 10


def measure_unequal_speeds(node_address: str, body_bytes: int) -> dict[str, Any]:
    """Duration and memory growth of each transfer, and whether it completed within the memory bound."""
    slow = body_bytes / SLOW_TRANSFER_SECONDS
    record = {}
    with running_gatekeeper(node_address) as gatekeeper:
        address = gatekeeper.address
        memory_before = gatekeeper.process.memory_bytes()
        start_transfers: dict[str, Callable[[], ClientProcess]] = {
            "slow client reads": lambda: start_download(address, body_bytes, slow),
            "slow node writes": lambda: start_download(address, body_bytes, query=f"&rate={slow}"),
            "slow client writes": lambda: start_upload(address, body_bytes, slow),
            "slow node reads": lambda: start_upload(address, body_bytes, query=f"take={slow}"),
        }
        for name, start_transfer in start_transfers.items():
            gatekeeper.process.reset_peak_memory()
            record[name] = _record_transfer(gatekeeper, memory_before, start_transfer(), body_bytes)
    return record


def _record_transfer(
    gatekeeper: Gatekeeper, memory_before: int, client: ClientProcess, body_bytes: int
) -> dict[str, Any]:
    result = client.result()
    growth_bytes = gatekeeper.peak_growth_bytes(memory_before)
    is_complete = result.moved_bytes == body_bytes and result.status == 200
    return {
        "s": round(result.seconds, 2),
        "grown_mib": round(growth_bytes / MEBIBYTE, 2),
        "holds": is_complete and growth_bytes < MAX_GROWTH_BYTES,
    }
