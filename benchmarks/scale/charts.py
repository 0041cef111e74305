"""Draws the chart of docs/CAPACITY.md, docs/capacity/scale.svg, from recorded figures and runs."""

from collections import defaultdict
from pathlib import Path
from typing import Any

from benchmarks.scale.estimates import CostEstimator
from benchmarks.scale.recorded_figures import RecordedFigures
from benchmarks.scale.recorded_runs import FEW_OBJECTS, recorded_runs
from benchmarks.scale.sizes import MAX_PROXY_BYTES_PER_SECOND, MAX_PROXY_CPU_CORES, MAX_PROXY_MEMORY_MB

Json = dict[str, Any]


def draw_charts(recorded: Json, path: Path) -> None:
    """Write both charts, side by side, as one SVG; the output is reproducible."""
    import matplotlib  # not installed in CI, which draws no charts

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "scale"
    from matplotlib import pyplot

    figure, (estimates_axes, registry_axes) = pyplot.subplots(1, 2, figsize=(10, 4))
    _draw_estimates(estimates_axes, RecordedFigures(recorded["cores"]))
    _draw_registry_cpu(registry_axes, recorded)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)


def _draw_estimates(axes: Any, figures: RecordedFigures) -> None:
    """Plot estimated costs relative to their limits, by size."""
    estimator = CostEstimator(figures)
    for value_at, maximum, label in (
        (estimator.proxy_cpu_cores, MAX_PROXY_CPU_CORES, "gatekeeper's processor"),
        (estimator.proxy_memory_mb, MAX_PROXY_MEMORY_MB, "gatekeeper's memory"),
        (estimator.proxy_bytes_per_second, MAX_PROXY_BYTES_PER_SECOND, "gatekeeper's bytes"),
        (estimator.registry_cpu_cores, 1.0, "registry's processor"),
    ):
        values = [value_at(size) / maximum for size in figures.sizes]
        axes.plot(figures.sizes, values, marker="o", label=label)
    axes.axhline(1.0, color="black", linewidth=0.8)
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="gatekeepers, all in proportion",
        ylabel="x the limit",
        title="As it stands",
    )
    axes.legend(fontsize=8)


def _draw_registry_cpu(axes: Any, recorded: Json) -> None:
    """Plot the measured CPU of one registry by size, with a curve for each request rate factor."""
    points_by_rate: dict[float, list[tuple[int, float]]] = defaultdict(list)
    runs = recorded_runs(recorded, FEW_OBJECTS) if "run" in recorded else ()
    for run in runs:
        if run.kind != FEW_OBJECTS:  # a trial
            continue
        for window in run.windows:
            points_by_rate[window["rate"]].append((run.size, window["registry"]["core"]))
    for rate, points in sorted(points_by_rate.items()):
        axes.plot(*zip(*points, strict=True), marker="o", label=f"{rate:g} x the requests")
    axes.set(
        xscale="log",
        xlabel="gatekeepers, three registries",
        ylabel="cores of one registry",
        title="Few objects",
    )
    if points_by_rate:
        axes.legend(fontsize=8)
