"""Compares simulated proxies with real ones, each kind in a separate run."""

from typing import Any, Final

import attrs

from benchmarks.scale.cluster import ReportProgress
from benchmarks.scale.connection_traffic import RequestKind, Role
from benchmarks.scale.run import run_at_size
from benchmarks.scale.run_options import RunOptions

Json = dict[str, Any]
COMPARED_KEYS: Final = ("segments_s", "sent_s", "received_s")
MAX_OBJECTS: Final = 50  # per kind


def compare_proxies(proxies: int, options: RunOptions, report_progress: ReportProgress) -> Json:
    """Record the pulls of a real and of a simulated proxy in an idle window at the same cluster size."""
    real = _measure_one_proxy(proxies, proxies, options, report_progress)
    simulated = _measure_one_proxy(proxies, 0, options, report_progress)
    ratio = {key: round(simulated[key] / real[key], 4) if real[key] else None for key in COMPARED_KEYS}
    return {"gatekeepers": proxies, "real": real, "hollow": simulated, "ratio": ratio}


def _measure_one_proxy(
    proxies: int, real_proxies: int, options: RunOptions, report_progress: ReportProgress
) -> Json:
    run = run_at_size(
        options.target.scaled_to(proxies),
        attrs.evolve(
            options,
            real_proxies=real_proxies,
            request_rate_factors=(0.0,),
            max_objects=MAX_OBJECTS,
            measure_core_loss=False,
            worker_restarts_per_second=0.0,
        ),
        report_progress,
    )
    role = Role.PROXY if real_proxies else Role.SIMULATED_PROXIES
    window = run["windows"][0] if run.get("windows") else {}
    processes = window.get(role.value, {})
    pulls = processes.get("kinds", {}).get(RequestKind.PULL.value, {})
    # Figures are means per process; a process has one real proxy or many simulated ones.
    proxies_per_process = 1.0 if real_proxies else proxies / processes.get("processes", 1)
    return {
        **{key: round(pulls.get(key, 0.0) / proxies_per_process, 4) for key in COMPARED_KEYS},
        "core": processes.get("core"),
        "broken": run["broken"],
        "load": run["load_before"],
    }
