"""The proxy's metrics. docs/operations/system.md describes them."""

from ashlift.invariants import monitor
from ashlift.metrics import INVARIANT_VIOLATIONS, Metric, MetricsRegistry
from ashlift.proxy.request_handler import RequestHandler

RESPONSES = Metric(
    "responses_total", "counter", "reason", "Responses, by the worker's status or the reason of a rejection."
)
REQUESTS_OUTSIDE_HOME = Metric(
    "requests_outside_home_total", "counter", "route", "Requests received here though no home region is here."
)

REQUEST_ENDS = Metric(
    "request_ends_total", "counter", "end", "Requests that were read whole, by how they ended."
)


def proxy_metrics(handler: RequestHandler) -> MetricsRegistry:
    """The metrics of a proxy, read at each scrape."""
    metrics = MetricsRegistry()
    metrics.add(RESPONSES, lambda: handler.responses)
    metrics.add(REQUESTS_OUTSIDE_HOME, lambda: handler.requests_outside_home)
    metrics.add(REQUEST_ENDS, lambda: handler.request_counters.ends)
    metrics.add(INVARIANT_VIOLATIONS, lambda: monitor.violations)
    return metrics
