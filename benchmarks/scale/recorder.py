"""Writes measured parts into docs/capacity/scale.json, each with the time, sources and machine of its run."""

import json
import os
import platform
import subprocess
import time
from pathlib import Path
from typing import Any, Final

from benchmarks.scale.sizes import TARGET_SIZE

CHECKOUT: Final = Path(__file__).resolve().parent.parent.parent
RECORD_PATH: Final = CHECKOUT / "docs" / "capacity" / "scale.json"


def write_part(path: Path, name: str, part: dict[str, Any]) -> None:
    """Replace one part of the record and keep the others."""
    record: dict[str, Any] = {"target": TARGET_SIZE.to_json()}
    if path.exists():
        record = json.loads(path.read_text())
    record[name] = {**_provenance(), **part}
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(record, indent=1) + "\n")


def _provenance() -> dict[str, Any]:
    git = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=CHECKOUT, capture_output=True, text=True, check=False
    )
    return {
        "at": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime()),
        "sources": git.stdout.strip(),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load": [round(load, 1) for load in os.getloadavg()],
    }
