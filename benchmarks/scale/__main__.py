"""python -m benchmarks.scale [cores | run | compare | all | page] [--out FILE] [--sizes N,N...] [--quick]

`cores`: pure parts, by size. `run`: processes, in proportion until they break, then with few objects in the
configuration up to the whole number of gatekeepers. `compare`: hollow gatekeepers beside real ones. `all`
(the default): the three, some minutes, at most about six cores. Each writes its part into one JSON. `page`
makes the tables of docs/CAPACITY.md and its charts from that.
"""

import argparse
import json
import os
import platform
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

import attrs

from benchmarks.scale.target import SIZES, TARGET

ROOT = Path(__file__).resolve().parent.parent.parent
OUT = ROOT / "docs" / "capacity" / "scale.json"
IN_PROPORTION, COMPARED = (30, 100, 300), (30, 100)
FEW, FEW_WORKERS, A_SECOND = 100, 1000, 60.0  # of the runs with few objects
Json = dict[str, Any]


def _tell(line: str) -> None:
    print(line, flush=True)


def _cores(sizes: tuple[int, ...], repeats: int) -> Json:
    """Two sizes at a time, each in a process of its own; the largest begins."""

    def one(size: int) -> Json:
        words = ["-m", "benchmarks.scale", "core", "--sizes", str(size), "--repeats", str(repeats)]
        done = subprocess.run([sys.executable, *words], cwd=ROOT, capture_output=True, text=True, check=True)
        _tell(f"cores of {size}")
        return {**json.loads(done.stdout), "load": os.getloadavg()[0]}

    with ThreadPoolExecutor(2) as pool:
        found = dict(zip(sizes[::-1], pool.map(one, sizes[::-1]), strict=True))
    return {str(size): found[size] for size in sizes}


def _runs(sizes: tuple[int, ...], core: int, quick: bool, keep: Callable[[Json], None]) -> None:
    """`keep` is called after each size, so that it stays where a later one does not come to its end."""
    from benchmarks.scale.runs import play
    from benchmarks.scale.site import Options

    made: Json = {"in proportion": {}, "few objects": {}}
    if quick:
        options = Options(
            window=0.5, settle=0.3, core=1, real=1, hosts=1, rates=(0.0, 1.0), churn=0.0, losses=False
        )
        made["in proportion"] = {str(size): play(TARGET.part(size), options, _tell) for size in sizes}
        return keep(made)
    for size in [one for one in sizes if one in IN_PROPORTION]:
        _tell(f"{size} gatekeepers, all in proportion")
        found = made["in proportion"][str(size)] = play(TARGET.part(size), Options(core=core), _tell)
        _tell(f"  broken: {found['broken']}")
        keep(made)
    for size in sizes:
        _tell(f"{size} gatekeepers, few objects")
        options = Options(
            core=core, word=FEW, workers=FEW_WORKERS, a_second=A_SECOND, real=1, hosts=2 if size <= 300 else 3
        )
        found = made["few objects"][str(size)] = play(TARGET.part(size), options, _tell)
        _tell(f"  broken: {found['broken']}")
        keep(made)


def _compared(sizes: tuple[int, ...]) -> Json:
    from benchmarks.scale.runs import compare
    from benchmarks.scale.site import Options

    return {str(size): compare(size, Options(hosts=1), _tell) for size in sizes}


def _keep(path: Path, part: str, found: Json) -> None:
    """Lay a part into the JSON, with when, where and beside what it was measured."""
    whole: Json = json.loads(path.read_text()) if path.exists() else {"target": attrs.asdict(TARGET)}
    sources = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"], cwd=ROOT, capture_output=True, text=True, check=False
    ).stdout.strip()
    whole[part] = {
        "at": time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime()),
        "sources": sources,
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "load": [round(one, 1) for one in os.getloadavg()],
        **found,
    }
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(whole, indent=1) + "\n")


def main(words: list[str]) -> int:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "what", nargs="?", default="all", choices=("all", "cores", "run", "compare", "page", "core")
    )
    parser.add_argument("--out", type=Path, default=OUT)
    parser.add_argument("--sizes", default="")
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--core", type=int, default=3, help="core machines of the runs")
    parser.add_argument("--quick", action="store_true", help="one core machine, short windows: does it work?")
    asked = parser.parse_args(words)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))  # what was started is ended on the way out
    sizes = tuple(int(one) for one in asked.sizes.split(",") if one) or SIZES
    if asked.what == "core":
        from benchmarks.scale.cores import measure

        print(json.dumps(measure(sizes[0], repeats=asked.repeats)))
        return 0
    if asked.what == "page":
        from benchmarks.scale.page import write

        return write(json.loads(asked.out.read_text()), ROOT / "docs")
    if asked.what in ("all", "cores"):
        _keep(asked.out, "cores", {"by size": _cores(sizes, asked.repeats)})
    if asked.what in ("all", "compare"):
        _keep(asked.out, "compare", {"by size": _compared(COMPARED if not asked.quick else sizes)})
    if asked.what in ("all", "run"):
        _runs(sizes, asked.core, asked.quick, lambda found: _keep(asked.out, "run", found))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
