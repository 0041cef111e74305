"""Charts of a saved run, drawn by matplotlib in black and grey with line styles and hatching.

They show admitted jobs against the quota, each gatekeeper over time, events of machines and workers, and
latency by percentile. matplotlib is imported when the first chart is drawn.
"""

import base64
import io
from collections import defaultdict
from typing import Any, Final

import attrs

from ashlift.lab.history import ProcessEvent, RecordedFault
from ashlift.lab.results import RunDetail, RunSummary

HATCHES: Final = ["//", "\\\\", "xx", "..", "++", "--"]
PERCENTILES: Final = [50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0]
EVENT_MARKERS: Final = {  # by the last word of an event
    "paused": "v",
    "resumed": "^",
    "killed": "x",
    "restarted": "o",
    "terminated": "s",
    "started": "o",
    "frozen": "v",
    "thawed": "^",
}
OTHER_EVENT_MARKER: Final = "*"
LEGEND_HEADROOM: Final = 1.5  # factor of the highest value
DOTS_PER_INCH: Final = 90
LABEL_OFFSETS: Final = (3, -9)  # points, alternating so that labels do not overlap


@attrs.frozen
class Chart:
    """A chart as a base64-encoded PNG."""

    title: str
    png: str


def draw_charts(detail: RunDetail, summary: RunSummary) -> list[Chart]:
    """Return the charts of a run."""
    import matplotlib

    matplotlib.use("Agg")
    gatekeepers = {row.gatekeeper for row in detail.seconds}
    charts = [_admitted_chart(detail, summary.allowed_rate), _gatekeepers_chart(detail)]
    if any(event.subject not in gatekeepers for event in detail.process_events):
        charts.append(_events_chart(detail.process_events))
    charts.append(_latency_chart(summary))
    return charts


def _finish(title: str, figure: Any) -> Chart:
    from matplotlib import pyplot

    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=DOTS_PER_INCH, bbox_inches="tight")
    pyplot.close(figure)
    return Chart(title, base64.b64encode(buffer.getvalue()).decode("ascii"))


def _shade_faults(axes: Any, faults: list[RecordedFault]) -> None:
    for number, fault in enumerate(faults):
        # In runs of the whole system faults are of machines, with directions that have no target.
        is_of_links = all(direction.partition(">")[2] for direction in fault.directions)
        axes.axvspan(
            fault.started_ms / 1000,
            fault.ended_ms / 1000,
            facecolor="none",
            edgecolor="0.6",
            hatch=HATCHES[number % len(HATCHES)],
            label=f"{fault.text} ({len(fault.directions)} ways)" if is_of_links else fault.text,
        )


def _admitted_chart(detail: RunDetail, allowed_rate: float) -> Chart:
    from matplotlib import pyplot

    admitted: dict[int, int] = defaultdict(int)
    for row in detail.seconds:
        admitted[row.second] += row.admitted
    seconds = sorted(admitted) or [0]
    figure, axes = pyplot.subplots(figsize=(8, 3))
    counts = [admitted[second] for second in seconds]
    axes.step(seconds, counts, where="post", color="black", label="admitted a second")
    if allowed_rate:
        axes.axhline(allowed_rate, color="black", linestyle="--", label="firms × quota")
    _shade_faults(axes, detail.faults)
    axes.set_xlabel("s of the run")
    axes.set_ylabel("jobs")
    axes.set_ylim(0, LEGEND_HEADROOM * max([allowed_rate, *counts], default=1.0) or 1.0)
    axes.legend(loc="upper right", fontsize="x-small", ncol=2)
    return _finish("Admitted against the quota", figure)


def _gatekeepers_chart(detail: RunDetail) -> Chart:
    from matplotlib import pyplot

    answered: dict[str, dict[int, int]] = defaultdict(lambda: defaultdict(int))
    for row in detail.seconds:
        answered[row.gatekeeper][row.second] += row.admitted + row.rejected
    seconds = sorted({row.second for row in detail.seconds}) or [0]
    names = sorted(answered) or ["g0"]
    figure, rows = pyplot.subplots(
        len(names), 1, figsize=(8, 1.2 * len(names) + 0.5), sharex=True, squeeze=False
    )
    for axes, name in zip(rows[:, 0], names, strict=True):
        counts = [answered[name].get(second, 0) for second in seconds]
        axes.step(seconds, counts, where="post", color="black")
        _draw_events(axes, [event for event in detail.process_events if event.subject == name])
        _shade_faults(axes, [fault for fault in detail.faults if _concerns(fault, name)])
        axes.set_ylabel(name, rotation=0, labelpad=14)
        _add_legend(axes)
    rows[-1, 0].set_xlabel("s of the run; jobs answered a second by each gatekeeper")
    return _finish("Each gatekeeper over time", figure)


def _concerns(fault: RecordedFault, gatekeeper: str) -> bool:
    return any(gatekeeper in direction.split(">") for direction in fault.directions)


def _draw_events(axes: Any, events: list[ProcessEvent]) -> None:
    for event in events:
        axes.plot(
            [event.at_ms / 1000],
            [0],
            marker=EVENT_MARKERS.get(event.text.split()[-1], OTHER_EVENT_MARKER),
            color="black",
            linestyle="none",
            label=event.text,
        )


def _add_legend(axes: Any) -> None:
    """Add a legend with each label once."""
    handles, labels = axes.get_legend_handles_labels()
    unique = dict(zip(labels, handles, strict=True))
    if unique:
        axes.legend(unique.values(), unique.keys(), loc="upper right", fontsize="x-small", ncol=4)


def _events_chart(events: list[ProcessEvent]) -> Chart:
    """Draw a row of labelled events for each machine, worker and operator."""
    from matplotlib import pyplot

    by_subject: dict[str, list[ProcessEvent]] = defaultdict(list)
    for event in events:
        by_subject[event.subject].append(event)
    names = sorted(by_subject, reverse=True)
    figure, axes = pyplot.subplots(figsize=(8, 0.45 * len(names) + 0.8))
    for height, name in enumerate(names):
        axes.axhline(height, color="0.8", linewidth=0.5)
        for number, event in enumerate(by_subject[name]):
            second = event.at_ms / 1000
            axes.plot([second], [height], marker="|", color="black", linestyle="none")
            axes.annotate(
                event.text,
                (second, height),
                xytext=(2, LABEL_OFFSETS[number % 2]),
                textcoords="offset points",
                fontsize="xx-small",
            )
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(-0.7, len(names) - 0.3)
    axes.set_xlabel("s of the run")
    return _finish("System events", figure)


def _latency_chart(summary: RunSummary) -> Chart:
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(8, 3))
    positions = range(len(PERCENTILES))
    latencies = [summary.percentile_ms(percentile) for percentile in PERCENTILES]
    axes.plot(positions, latencies, color="black", marker="o")
    axes.set_xticks(positions, [f"p{percentile:g}" for percentile in PERCENTILES])
    axes.set_yscale("log")
    axes.set_ylabel("ms to the answer")
    return _finish("Latency by percentile", figure)
