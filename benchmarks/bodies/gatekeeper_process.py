"""Runs the gatekeeper as a process in front of one node, with streaming enabled."""

import json
import socket
import tempfile
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

from attrs import frozen

from benchmarks.child_process import ChildProcess, MemoryFigure

BUFFER_BYTES: Final = 8 << 20  # buffer-bytes of the settings below
SPARE_BYTES: Final = 16 << 20  # tolerated memory growth beyond the buffers
MAX_GROWTH_BYTES: Final = BUFFER_BYTES + SPARE_BYTES
MEBIBYTE: Final = 1 << 20
RESPONSE_HEAD_SECONDS: Final = 3.0  # `head` of the settings below
STALL_SECONDS: Final = 2.0  # `stall` of the settings below
OWN_SETTINGS: Final = """(ashlift
 (streaming (enabled true) (buffer-bytes 8MiB) (stream-buffer-bytes 256KiB) (most-streams 200)
  (class availability-report (head 3s) (stall 2s) (longest 4GiB))))"""
CATEGORIES: Final = ("availability-check", "availability-report")
_PLAN: Final[dict[str, Any]] = {  # without a quota
    "Name": "basic",
    "QuotaRate": 0,
    "MostAtOnce": 0,
    "MaxOut": 0,
    "Pays": 1.0,
    "OverWorth": 0.0,
    "OverrunCost": 0.0,
    "CeilingRate": 0,
    "HardBurst": 0,
    "CeilingSlack": 0,
}
_CATEGORY: Final[dict[str, Any]] = {
    "Effect": "pure",
    "TargetMs": 20_000.0,
    "GiveUpMs": 30_000.0,
    "Value": 1.0,
    "LateShare": 0.0,
}
_SETTINGS: Final[dict[str, Any]] = {
    "Categories": [{**_CATEGORY, "Name": name} for name in CATEGORIES],
    "Plans": [_PLAN],
    "GroupSize": 1,
    "Me": 0,
    "Zone": 0,
    "Zones": ["z"],
    "TickMs": 2.0,
    "Discovery": "automatic",
    "Report": {"Fields": [], "Via": "none"},
    "FamilyInfo": {"MayCount": False, "MeterMs": 0, "MaxUnits": 1, "CostAfter": False},
    "Limits": {
        "Cancel": True,
        "Probing": False,
        "RetryAfter": True,
        "MaxRetryAfterMs": 4000.0,
        "SecondCopies": False,
        "TryLimit": 3,
    },
    "Rules": {"ColdFrom": 0.25, "ColdMs": 18000.0, "FallMultiple": 2.5, "TipAfterMs": 1500.0},
}


@frozen
class Gatekeeper:
    """A running gatekeeper and its address."""

    process: ChildProcess
    address: str

    def peak_growth_bytes(self, memory_before: int) -> int:
        """The growth of peak memory since `memory_before`."""
        return self.process.memory_bytes(MemoryFigure.PEAK) - memory_before


@contextmanager
def running_gatekeeper(node_address: str) -> Iterator[Gatekeeper]:
    """Run a gatekeeper in front of a node; it is stopped when the context ends."""
    with tempfile.TemporaryDirectory() as folder:
        config_path = Path(folder, "config.json")
        settings_path = Path(folder, "own.sexp")
        config_path.write_text(json.dumps(_platform_config(node_address)))
        settings_path.write_text(OWN_SETTINGS)
        address = _unused_address()
        environment = {
            "GW_CONFIG": str(config_path),
            "GW_LISTEN": address,
            "GW_SETTINGS": str(settings_path),
        }
        process = ChildProcess("ashlift", environment=environment)
        for line in process.log_lines():
            if "listens" in line:
                break
        threading.Thread(target=_discard_log, args=(process,), daemon=True).start()
        try:
            yield Gatekeeper(process, address)
        finally:
            process.stop()


def _platform_config(node_address: str) -> dict[str, Any]:
    """The configuration that the platform passes to a gatekeeper."""
    node = {"instanceId": "n1", "hostPort": node_address, "lifecycle": "ready"}
    return {
        "settings": _SETTINGS,
        "known": {"generation": 1, "instances": [node]},
        "discovery": "127.0.0.1:9",
        "listen": "127.0.0.1:1",
        "limits": {"sockets": 1024},
    }


def _unused_address() -> str:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def _discard_log(process: ChildProcess) -> None:
    """Read and discard the log, because a full pipe would block the gatekeeper."""
    for _ in process.log_lines():
        pass
