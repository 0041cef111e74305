"""python -m benchmarks.scale [cores | run | compare | all | page] [--out FILE] [--sizes N,N...] [--quick]

`cores`: code without I/O, by size. `run`: real processes, with everything in proportion until overload, then
with few objects in the configuration up to the target number of proxies. `compare`: simulated and real
proxies. `all` (the default): all three; takes some minutes and at most about six cores. Each writes its part
of one JSON file, from which `page` generates the tables and charts of docs/CAPACITY.md.
"""

import argparse
import json
import signal
import sys
from pathlib import Path
from typing import Any, Final

from benchmarks.scale.recorder import CHECKOUT, RECORD_PATH, write_part
from benchmarks.scale.sizes import MEASURED_PROXY_COUNTS

SIGTERM_EXIT_STATUS: Final = 128 + signal.SIGTERM


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    options = _parse_options(arguments)
    # sys.exit runs the `finally` clauses, which stop the started processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(SIGTERM_EXIT_STATUS))
    match options.what:
        case "core":
            from benchmarks.scale.pure_parts import measure_pure_parts

            print(json.dumps(measure_pure_parts(options.sizes[0], repeats=options.repeats)))
        case "page":
            from benchmarks.scale.capacity_page import write_page

            write_page(json.loads(options.out.read_text()), CHECKOUT / "docs")
        case _:
            _measure_parts(options)
    return 0


def _parse_options(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="python -m benchmarks.scale",
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "what", nargs="?", default="all", choices=("all", "cores", "run", "compare", "page", "core")
    )
    parser.add_argument("--out", type=Path, default=RECORD_PATH)
    parser.add_argument("--sizes", type=_parse_sizes, default=MEASURED_PROXY_COUNTS)
    parser.add_argument("--repeats", type=int, default=5)
    parser.add_argument("--core", type=int, default=3, help="core machines of the runs")
    parser.add_argument("--quick", action="store_true", help="one core machine, short windows: does it work?")
    return parser.parse_args(arguments)


def _parse_sizes(text: str) -> tuple[int, ...]:
    return tuple(int(proxies) for proxies in text.split(",") if proxies) or MEASURED_PROXY_COUNTS


def _measure_parts(options: argparse.Namespace) -> None:
    """Measure the selected parts and write each as soon as it is complete."""
    from benchmarks.scale import parts  # imports gevent, which must not add to the memory measured by `core`

    if options.what in ("all", "cores"):
        by_size: dict[str, Any] = parts.measure_cores(options.sizes, options.repeats)
        write_part(options.out, "cores", {"by size": by_size})
    if options.what in ("all", "compare"):
        by_size = parts.measure_compare(options.sizes if options.quick else parts.COMPARED_PROXY_COUNTS)
        write_part(options.out, "compare", {"by size": by_size})
    if options.what in ("all", "run"):
        measure_runs = parts.measure_quick_runs if options.quick else parts.measure_runs
        measure_runs(options.sizes, options.core, lambda runs: write_part(options.out, "run", runs))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
