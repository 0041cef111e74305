"""One self-contained HTML page of a kept run: its verdicts, and matplotlib charts drawn in black and grey
with line styles and hatching, so that they read without colour. Images are PNG within the page (base64).

Charts: jobs admitted each second over all gatekeepers against what the quota allows (firms × quota), with
faults shaded; what befell machines, workers and configurations, where more than gatekeepers
took part; each gatekeeper's lane over time (jobs answered a second, and its process events: paused,
killed, restarted, terminated) with faults shaded; latency by percentile from the run's HDR histogram.
"""

import base64
import html
import io
from collections import defaultdict
from typing import Any

from ashlift.lab.results import Results, Summary

HATCHES = ["//", "\\\\", "xx", "..", "++", "--"]


def _png(figure: Any) -> str:
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, bbox_inches="tight")
    return base64.b64encode(buffer.getvalue()).decode("ascii")


def _shade(axes: Any, faults: list[tuple[float, float, str, list[str]]]) -> None:
    for at, (begin, until, what, ways) in enumerate(faults):
        links = all(way.partition(">")[2] for way in ways)  # else what befell machines
        axes.axvspan(
            begin / 1000,
            until / 1000,
            facecolor="none",
            edgecolor="0.6",
            hatch=HATCHES[at % len(HATCHES)],
            label=f"{what} ({len(ways)} ways)" if links else what,
        )


def charts(detail: dict[str, Any], summary: Summary, quota: float) -> list[tuple[str, str]]:
    """(title, PNG in base64) of each chart."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    admitted: dict[int, int] = defaultdict(int)
    lanes: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
    for second, keeper, _, yes, no, _ in detail["seconds"]:
        admitted[second] += yes
        lanes[keeper][second] += yes + no
    seconds = sorted(admitted) or [0]
    out = []

    figure, axes = pyplot.subplots(figsize=(8, 3))
    axes.step(seconds, [admitted[s] for s in seconds], where="post", color="black", label="admitted a second")
    if quota:
        axes.axhline(quota, color="black", linestyle="--", label="firms × quota")
    _shade(axes, detail["faults"])
    axes.set_xlabel("s of the run")
    axes.set_ylabel("jobs")
    axes.set_ylim(0, 1.5 * max([quota, *admitted.values()], default=1.0) or 1.0)  # room for the legend
    axes.legend(loc="upper right", fontsize="x-small", ncol=2)
    out.append(("Admitted against the quota", _png(figure)))
    pyplot.close(figure)

    names = sorted(lanes) or ["g0"]
    figure, rows = pyplot.subplots(
        len(names), 1, figsize=(8, 1.2 * len(names) + 0.5), sharex=True, squeeze=False
    )
    marks = {
        "paused": "v",
        "resumed": "^",
        "killed": "x",
        "restarted": "o",
        "terminated": "s",
        "started": "o",
        "frozen": "v",
        "thawed": "^",
    }
    for row, name in zip(rows[:, 0], names, strict=True):
        lane = lanes[name]
        row.step(seconds, [lane.get(s, 0) for s in seconds], where="post", color="black")
        for t, keeper, what in detail["processes"]:
            if keeper == name:
                row.plot(
                    [t / 1000],
                    [0],
                    marker=marks.get(what.split()[-1], "*"),
                    color="black",
                    linestyle="none",
                    label=what,
                )
        _shade(row, [f for f in detail["faults"] if any(name in way.split(">") for way in f[3])])
        row.set_ylabel(name, rotation=0, labelpad=14)
        handles, labels = row.get_legend_handles_labels()
        unique = dict(zip(labels, handles, strict=True))
        if unique:
            row.legend(unique.values(), unique.keys(), loc="upper right", fontsize="x-small", ncol=4)
    rows[-1, 0].set_xlabel("s of the run; jobs answered a second by each gatekeeper")
    out.append(("Each gatekeeper over time", _png(figure)))
    pyplot.close(figure)

    if any(keeper not in lanes for _, keeper, _ in detail["processes"]):
        out.append(("What befell the system", _befell(pyplot, detail["processes"])))

    figure, axes = pyplot.subplots(figsize=(8, 3))
    shares = [50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0]
    axes.plot(range(len(shares)), [summary.percentile_ms(s) for s in shares], color="black", marker="o")
    axes.set_xticks(range(len(shares)), [f"p{s:g}" for s in shares])
    axes.set_yscale("log")
    axes.set_ylabel("ms to the answer")
    out.append(("Latency by percentile", _png(figure)))
    pyplot.close(figure)
    return out


def _befell(pyplot: Any, processes: list[tuple[float, str, str]]) -> str:
    """A row for each machine, worker or operator, its events by words."""
    rows: dict[str, list[tuple[float, str]]] = defaultdict(list)
    for t, who, what in processes:
        rows[who].append((t / 1000, what))
    names = sorted(rows, reverse=True)
    figure, axes = pyplot.subplots(figsize=(8, 0.45 * len(names) + 0.8))
    for height, name in enumerate(names):
        axes.axhline(height, color="0.8", linewidth=0.5)
        for number, (at, what) in enumerate(rows[name]):
            axes.plot([at], [height], marker="|", color="black", linestyle="none")
            axes.annotate(
                what,
                (at, height),
                xytext=(2, (3, -9)[number % 2]),
                textcoords="offset points",
                fontsize="xx-small",
            )
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(-0.7, len(names) - 0.3)
    axes.set_xlabel("s of the run")
    found = _png(figure)
    pyplot.close(figure)
    return found


def page(results: Results, run: int) -> str:
    """The whole HTML page of run `run`; raises ResultsError if it is not kept."""
    summary, detail = results.summary(run), results.detail(run)
    rows = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{'ok' if ok else 'BREACH'}</td>"
        f"<td>{html.escape(text)}</td></tr>"
        for name, ok, text in detail["verdicts"]
    )
    images = "".join(
        f"<h2>{html.escape(title)}</h2><img alt='{html.escape(title)}' src='data:image/png;base64,{png}'>"
        for title, png in charts(detail, summary, summary.allows)
    )
    head = (
        f"run {summary.id}: {summary.name}, seed {summary.seed}, commit {summary.git}, "
        f"began {summary.began}; "
        f"{summary.asked} jobs, {summary.admitted} admitted, {summary.refused} refused, "
        f"{summary.unanswered} unanswered; p99 {summary.percentile_ms(99):.1f} ms"
    )
    return (
        "<!doctype html><html><head><meta charset='utf-8'>"
        f"<title>ashlift lab run {summary.id}</title>"
        "<style>body{font-family:sans-serif;max-width:60em;margin:2em auto}td{padding:2px 8px;"
        "vertical-align:top}table{border-collapse:collapse}tr{border-bottom:1px solid #999}</style></head>"
        f"<body><h1>ashlift lab run {summary.id}</h1><p>{html.escape(head)}</p>"
        f"<table><tr><th>invariant</th><th>verdict</th><th>what</th></tr>{rows}</table>{images}"
        f"<h2>Scenario</h2><pre>{html.escape(detail['scenario'])}</pre></body></html>"
    )
