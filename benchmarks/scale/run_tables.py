"""Tables of docs/CAPACITY.md from the parts `run` and `compare` of docs/capacity/scale.json."""

from typing import Any, Final

from benchmarks.scale.line_fit import fit_line
from benchmarks.scale.markdown import format_list, format_number, format_table
from benchmarks.scale.recorded_runs import FEW_OBJECTS, RecordedRun, recorded_runs
from benchmarks.scale.sizes import CORE_MACHINES, TARGET_SIZE

Json = dict[str, Any]
NO_CONFIRMATION_AGE_SECONDS: Final = 1e6  # recorded if no configuration was ever confirmed
PROCESSES_HEAD: Final = (
    "run",
    "gatekeepers",
    "core machines",
    "pulls/s of one",
    "its bytes/s out",
    "in",
    "registry: cores",
    "ms a pull, beats in it",
    "MB",
    "files",
    "store: cores",
    "a real gatekeeper: cores",
    "pull, ms: mean / longest",
)
EVENTS_HEAD: Final = (
    "run",
    "gatekeepers",
    "core machines",
    "core up, s",
    "a gatekeeper ready, s: half / last",
    "change: acknowledged, s",
    "in force, s: half / all",
    "bytes a gatekeeper a restart of a worker",
    "registry: cores at 5 restarts/s",
    "loss of the leader's machine: oldest proof, s",
    "all fresh, s after",
    "pulls missed",
)
RATES_HEAD: Final = (
    "run",
    "gatekeepers",
    "x the requests",
    "entries a pull",
    "bytes/s in, a gatekeeper",
    "registry: cores, mean",
    "busiest",
    "busiest hollow process",
    "a pull, ms",
    "missed a second",
    "ready",
    "oldest proof, s",
)
BROKEN_HEAD: Final = (
    "run",
    "gatekeepers",
    "configuration",
    "ready at the start",
    "what broke",
    "ready again without load",
    "load of the machine, 16 cores",
)


def processes_table(recorded: Json) -> str:
    """Few objects: the cost of proxies without updates, and lines fitted to the registries' cost."""
    runs = list(recorded_runs(recorded, FEW_OBJECTS))
    rows = [_processes_row(run) if run.idle_window else _missing_row(run) for run in runs]
    return format_table(PROCESSES_HEAD, rows) + "\n" + format_list(_registry_lines(runs))


def events_table(recorded: Json) -> str:
    """Few objects: start-up, a configuration change, worker restarts, the loss of a core machine."""
    return format_table(EVENTS_HEAD, [_events_row(run) for run in recorded_runs(recorded, FEW_OBJECTS)])


def rates_table(recorded: Json) -> str:
    """The cost of tenants' usage totals by size and request rate factor."""
    rows = [_rates_row(run, window) for run in recorded_runs(recorded) for window in run.windows]
    return format_table(RATES_HEAD, rows)


def broken_table(recorded: Json) -> str:
    """The failures of each run."""
    return format_table(BROKEN_HEAD, [_broken_row(run) for run in recorded_runs(recorded)])


def compare_table(recorded: Json) -> str:
    """Pulls of simulated proxies compared with those of real ones."""
    rows = []
    for size, compared in recorded["compare"]["by size"].items():
        rows += _compare_rows(size, compared)
    return format_table(["gatekeepers", "of one", "real", "hollow", "hollow / real"], rows)


def _missing_row(run: RecordedRun) -> list[str]:
    empty_cells = [""] * (len(PROCESSES_HEAD) - 3)
    return [run.kind, f"{run.size:,}", "; ".join(run.record["broken"]) or "-", *empty_cells]


def _processes_row(run: RecordedRun) -> list[str]:
    window = run.idle_window
    registry = window["registry"]
    proxies = window["gatekeepers"]
    return [
        run.kind,
        f"{run.size:,}",
        str(run.core_machines),
        format_number(proxies["pulls_s"] / run.simulated_proxies),
        format_number(run.simulated_pull(window, "sent_s")),
        format_number(run.simulated_pull(window, "received_s")),
        format_number(registry["core"]),
        format_number(1000 * registry["core"] / (proxies["pulls_s"] / run.core_machines)),
        format_number(registry["mb"]),
        format_number(registry["files"]),
        format_number(window["configstore"]["core"]),
        format_number(window.get("proxy", {}).get("core")),
        f"{format_number(proxies['wait_ms'])} / {format_number(proxies['longest_ms'])}",
    ]


def _registry_lines(runs: list[RecordedRun]) -> list[str]:
    """The cost of a registry by the number of proxies that it serves."""
    descriptions = []
    idle_runs = [run for run in runs if run.idle_window]
    for key in ("core", "mb", "files"):
        points = [
            (run.record["size"]["gatekeepers"] / run.core_machines, run.idle_window["registry"][key])
            for run in idle_runs
        ]
        if len({proxies for proxies, _ in points}) > 1:
            descriptions.append(_describe_registry_line(key, points))
    return descriptions


def _describe_registry_line(key: str, points: list[tuple[float, float]]) -> str:
    line = fit_line(points)
    target_proxies = TARGET_SIZE.proxies / CORE_MACHINES
    return (
        f"registry {key}: {format_number(line.intercept)} + {format_number(line.slope * 100)} "
        "per 100 gatekeepers "
        f"(farthest point {100 * line.max_error:.0f}%, {len(points)} sizes, largest {line.max_x:,.0f}; "
        f"at {target_proxies:,.0f} of its own {format_number(line.value_at(target_proxies))})"
    )


def _events_row(run: RecordedRun) -> list[str]:
    start = run.event("start")
    change = run.event("change")
    loss = run.event("loss")
    churn = run.event("churn")
    return [
        run.kind,
        f"{run.size:,}",
        str(run.core_machines),
        format_number(run.record.get("core_up_s")),
        f"{format_number(start.get('half_s'))} / {format_number(start.get('all_s'))}",
        format_number(change.get("s")),
        f"{format_number(change.get('half_s'))} / {format_number(change.get('all_s'))}",
        _bytes_per_restart(run, churn),
        format_number(churn.get("registry", {}).get("core")),
        format_number(loss.get("oldest_proof_s")),
        format_number(loss.get("all_fresh_again_s")),
        format_number(loss.get("pulls_missed")),
    ]


def _bytes_per_restart(run: RecordedRun, churn: Json) -> str:
    """The bytes that one proxy receives per worker restart, beyond those without updates."""
    if not churn or not run.idle_window:
        return ""
    received_per_second = churn["hollow"]["kinds"]["pull"]["received_s"]
    idle_per_second = run.idle_window["hollow"]["kinds"]["pull"]["received_s"]
    additional = received_per_second - idle_per_second
    if additional <= 0:
        return "not seen"
    processes = churn["hollow"]["processes"]
    return format_number(additional * processes / run.simulated_proxies / churn["rate"])


def _rates_row(run: RecordedRun, window: Json) -> list[str]:
    proxies = window["gatekeepers"]
    confirmation_age = proxies["proof_age_s"]
    is_confirmed = confirmation_age < NO_CONFIRMATION_AGE_SECONDS
    return [
        run.kind,
        f"{run.size:,}",
        f"{window['rate']:g}",
        format_number(proxies["entries_s"] / max(1.0, proxies["pulls_s"])),
        format_number(run.simulated_pull(window, "received_s")),
        format_number(window["registry"]["core"]),
        format_number(window["registry"]["core_most"]),
        format_number(window["hollow"]["core_most"]),
        format_number(proxies["wait_ms"]),
        format_number(proxies["missed_s"]),
        f"{proxies['ready']} of {run.simulated_proxies}",
        format_number(confirmation_age) if is_confirmed else "none",
    ]


def _broken_row(run: RecordedRun) -> list[str]:
    record = run.record
    start = run.event("start")
    uploads = [
        f"{upload['tenants']:,} tenants: {upload['status'] or 'no answer'} in {upload['s']} s"
        for upload in record.get("puts", [])
    ]
    last_ready = format_number(start.get("all_s"))
    return [
        run.kind,
        f"{run.size:,}",
        "; ".join(uploads),
        f"{start.get('ready', '-')} of {start.get('wanted', '-')}, last {last_ready} s",
        "; ".join(record["broken"]) or "nothing",
        _recovery_cell(record),
        f"{record['load_before']:.0f}, {record['load_after']:.0f}",
    ]


def _recovery_cell(record: Json) -> str:
    if "recovered_s" not in record:
        return "-"
    if record["recovered_s"] is None:
        return "no"
    return f"{format_number(record['recovered_s'])} s"


def _compare_rows(size: str, compared: Json) -> list[list[str]]:
    real = compared["real"]
    simulated = compared["hollow"]
    rows = []
    for key, title in (
        ("segments_s", "calls a second"),
        ("sent_s", "bytes/s out"),
        ("received_s", "bytes/s in"),
    ):
        figures = [real[key], simulated[key], compared["ratio"][key]]
        rows.append([size, title, *map(format_number, figures)])
    for key, title in (("sent_s", "bytes a call out"), ("received_s", "bytes a call in")):
        real_bytes = real[key] / (real["segments_s"] or 1.0)
        simulated_bytes = simulated[key] / (simulated["segments_s"] or 1.0)
        ratio = simulated_bytes / real_bytes if real_bytes else None
        rows.append([size, title, *map(format_number, (real_bytes, simulated_bytes, ratio))])
    rows.append([size, "processor, cores", format_number(real["core"]), "", ""])
    return rows
