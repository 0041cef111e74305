"""Metrics of the registry. Their labels are explained in docs/operations/system.md."""

import time
from collections import Counter

from ashlift.invariants import monitor
from ashlift.log_stream import lost_log_texts
from ashlift.metrics import INVARIANT_VIOLATIONS, LOG_LINES_LOST, LOG_STREAM, Metric, MetricsRegistry
from ashlift.registry.registry import Registry

LOOKUP_ANSWERS = Metric(
    "lookup_answers_total", "counter", "reach", "Answers of /lookup, by how far from the client they reach."
)
HEARTBEATS = Metric(
    "heartbeats_total", "counter", "outcome", "Heartbeats of workers, by what became of them."
)
DEPARTURES = Metric("departures", "gauge", "kind", "Departures of workers that this registry holds.")
READY_PROXIES = Metric("ready_proxies", "gauge", "region", "Ready proxies, as this registry sees them.")


def registry_metrics(registry: Registry) -> MetricsRegistry:
    """The metrics of a registry, read at each scrape."""

    def ready_proxies() -> Counter[str]:
        sessions = registry.sessions.live(time.monotonic()).values()
        return Counter(session.region for session in sessions if session.ready)

    metrics = MetricsRegistry()
    metrics.add(LOOKUP_ANSWERS, lambda: registry.directory.results_by_reach)
    metrics.add(HEARTBEATS, lambda: registry.heartbeat_outcomes)
    metrics.add(DEPARTURES, registry.instances.departures.counts)
    metrics.add(READY_PROXIES, ready_proxies)
    metrics.add(INVARIANT_VIOLATIONS, lambda: monitor.violations)
    metrics.add(LOG_LINES_LOST, lambda: {LOG_STREAM: lost_log_texts()})
    return metrics
