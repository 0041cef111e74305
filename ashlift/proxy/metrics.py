"""The proxy's metrics. docs/operations/system.md describes them."""

from ashlift.invariants import monitor
from ashlift.log_stream import lost_log_texts
from ashlift.metrics import INVARIANT_VIOLATIONS, LOG_LINES_LOST, LOG_STREAM, Metric, MetricsRegistry
from ashlift.proxy.request_handler import RequestHandler

RESPONSES = Metric(
    "responses_total", "counter", "reason", "Responses, by the worker's status or the reason of a rejection."
)
REQUESTS_OUTSIDE_HOME = Metric(
    "requests_outside_home_total", "counter", "route", "Requests received here though no home region is here."
)

MEMORY_HELD = Metric(
    "memory_held_bytes",
    "gauge",
    "pool",
    "Memory held by messages of clients and workers, by kind of message.",
)
MEMORY_PEAK = Metric("memory_peak_bytes", "gauge", "pool", "The most memory of a pool held at once.")
MEMORY_CAPACITY = Metric("memory_capacity_bytes", "gauge", "pool", "The memory of a pool.")
MEMORY_WAITS = Metric(
    "memory_waits_total",
    "counter",
    "pool",
    "How often a message was received no further, for lack of memory.",
)

REQUEST_ENDS = Metric(
    "request_ends_total", "counter", "end", "Requests that were read whole, by how they ended."
)
QUOTA_DECISIONS = Metric(
    "quota_decisions_total",
    "counter",
    "decision",
    "Requests of tenants with a quota, by what the rate limiter decided and from which account.",
)
USAGE_TOTALS_AGE = Metric(
    "usage_totals_age_seconds",
    "gauge",
    "reception",
    "For how long requests of other proxies may have been missing in received usage totals.",
)


def proxy_metrics(handler: RequestHandler) -> MetricsRegistry:
    """The metrics of a proxy, read at each scrape."""
    metrics = MetricsRegistry()
    metrics.add(RESPONSES, lambda: handler.responses)
    metrics.add(REQUESTS_OUTSIDE_HOME, lambda: handler.requests_outside_home)
    pools = handler.memory.pools
    metrics.add(MEMORY_HELD, lambda: {name: pool.held_bytes for name, pool in pools.items()})
    metrics.add(MEMORY_PEAK, lambda: {name: pool.peak_bytes for name, pool in pools.items()})
    metrics.add(MEMORY_CAPACITY, lambda: {name: pool.capacity_bytes for name, pool in pools.items()})
    metrics.add(MEMORY_WAITS, lambda: {name: pool.waits for name, pool in pools.items()})
    metrics.add(REQUEST_ENDS, lambda: handler.request_counters.ends)
    metrics.add(QUOTA_DECISIONS, lambda: handler.router.rate_limiter.decisions)
    metrics.add(USAGE_TOTALS_AGE, lambda: handler.router.rate_limiter.totals_ages())
    metrics.add(INVARIANT_VIOLATIONS, lambda: monitor.violations)
    metrics.add(LOG_LINES_LOST, lambda: {LOG_STREAM: lost_log_texts()})
    return metrics
