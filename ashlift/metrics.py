"""Metrics of one process in the Prometheus exposition format. No I/O.

Prometheus client libraries are not used, because they load an HTTP server and OpenSSL, which slows startup.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final

CONTENT_TYPE: Final = "text/plain; version=0.0.4; charset=utf-8"
NAME_PREFIX: Final = "ashlift_"

LabelledValues = Mapping[str, float]  # by the value of the metric's only label


class Metric:
    """One metric with one label."""

    def __init__(self, name: str, kind: str, label: str, help_text: str) -> None:
        """`name`: without the prefix. `kind`: "counter" or "gauge"."""
        self.name = NAME_PREFIX + name
        self.kind = kind
        self.label = label
        self.help_text = help_text

    def render(self, values: LabelledValues) -> Iterator[str]:
        """Yield the lines of this metric."""
        yield f"# HELP {self.name} {self.help_text}"
        yield f"# TYPE {self.name} {self.kind}"
        for label_value, value in sorted(values.items()):
            yield f'{self.name}{{{self.label}="{_escape(label_value)}"}} {value:g}'


INVARIANT_VIOLATIONS: Final = Metric(
    "invariant_violations_total", "counter", "invariant", "Broken invariants: each is a bug (event 107)."
)


LOG_LINES_LOST: Final = Metric(
    "log_lines_lost_total", "counter", "stream", "Lines of the log that could not be written (event 112)."
)
LOG_STREAM: Final = "stderr"


class MetricsRegistry:
    """The metrics of a process, each with a function that reads its values."""

    def __init__(self) -> None:
        self._metrics: list[tuple[Metric, Callable[[], LabelledValues]]] = []

    def add(self, metric: Metric, read: Callable[[], LabelledValues]) -> None:
        """Add a metric. `read` is called on each scrape."""
        self._metrics.append((metric, read))

    def render(self) -> str:
        """Return all metrics in the exposition format."""
        lines = [line for metric, read in self._metrics for line in metric.render(read())]
        return "".join(f"{line}\n" for line in lines)


def _escape(label_value: str) -> str:
    return label_value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")
