"""The design limits, and each limited value as a function of the size."""

from collections.abc import Callable
from typing import Final

from attrs import frozen

from ashlift.rpc.framing import MAX_FRAME_BYTES
from benchmarks.scale import figure_names
from benchmarks.scale.estimates import CostEstimator
from benchmarks.scale.recorded_figures import RecordedFigures
from benchmarks.scale.sizes import MAX_PROXY_BYTES_PER_SECOND, MAX_PROXY_CPU_CORES, MAX_PROXY_MEMORY_MB

PULL_TIMEOUT_SECONDS: Final = 0.85  # long-poll wait and timeout in `ashlift.proxy.registry_client`
MIN_ELECTION_TIMEOUT_MS: Final = 600.0  # of `ashlift.configstore`
MAX_CORE_MACHINE_FILES: Final = 4096  # on the large test sites
MAX_WORKER_CONNECTIONS: Final = 560  # on the large test sites
MAX_HTTP_BODY_BYTES: Final = 8 << 20  # of `ashlift.registry`
PROXY_PROGRAM_MB: Final = 35


@frozen
class Limit:
    """A value that must stay below a maximum; `method`: how it was obtained, as printed on the page."""

    title: str
    unit: str
    maximum: float
    value_at: Callable[[int], float]
    method: str


def design_limits(figures: RecordedFigures) -> list[Limit]:
    """All limits, with values from the recorded figures."""
    estimator = CostEstimator(figures)
    return [
        *_proxy_limits(figures, estimator),
        *_registry_limits(estimator),
        *_store_limits(figures),
        *_transport_limits(figures),
        *_connection_limits(estimator),
    ]


def _median_of(figures: RecordedFigures, name: str) -> Callable[[int], float]:
    return lambda size: figures.median(name, size)


def _proxy_limits(figures: RecordedFigures, estimator: CostEstimator) -> list[Limit]:
    return [
        Limit(
            "gatekeeper: processor for control",
            "cores",
            MAX_PROXY_CPU_CORES,
            estimator.proxy_cpu_cores,
            "reckoned: pulls x ms",
        ),
        Limit(
            "gatekeeper: bytes for control",
            "bytes/s",
            MAX_PROXY_BYTES_PER_SECOND,
            estimator.proxy_bytes_per_second,
            "reckoned: pulls x bytes",
        ),
        Limit(
            f"gatekeeper: memory for control, without its {PROXY_PROGRAM_MB} MB of program",
            "MB",
            MAX_PROXY_MEMORY_MB - PROXY_PROGRAM_MB,
            estimator.proxy_memory_mb,
            "measured",
        ),
        Limit(
            "gatekeeper: configuration opened",
            "x the most taken",
            1.0,
            _median_of(figures, figure_names.CONFIGURATION_SIZE_RATIO),
            "measured",
        ),
    ]


def _registry_limits(estimator: CostEstimator) -> list[Limit]:
    return [
        Limit(
            "registry: beats alone",
            "cores of one",
            1.0,
            estimator.heartbeats_cpu_cores,
            "reckoned: beats x ms, heartbeat 1.5 s",
        ),
        Limit(
            "registry: look-ups alone",
            "cores of one",
            1.0,
            estimator.lookups_cpu_cores,
            "reckoned: look-ups x ms; 12 clients a gatekeeper assumed",
        ),
        Limit(
            "registry: pulls and beats",
            "cores of one",
            1.0,
            estimator.registry_cpu_cores,
            "reckoned: calls x ms",
        ),
        Limit(
            "registry: first answers to its gatekeepers, at a start of all",
            "s",
            PULL_TIMEOUT_SECONDS,
            estimator.first_responses_seconds,
            "reckoned: answers x ms",
        ),
    ]


def _store_limits(figures: RecordedFigures) -> list[Limit]:
    return [
        Limit(
            "store: PATCH of one route checked",
            "ms",
            MIN_ELECTION_TIMEOUT_MS,
            _median_of(figures, figure_names.PATCH_MS),
            "measured; limit: the shortest election time-out",
        ),
        Limit(
            "store: PUT checked and laid out",
            "ms",
            MIN_ELECTION_TIMEOUT_MS,
            _median_of(figures, figure_names.PUT_MS),
            "measured; the same limit",
        ),
    ]


def _transport_limits(figures: RecordedFigures) -> list[Limit]:
    return [
        Limit(
            "PUT of a whole configuration",
            "bytes",
            MAX_HTTP_BODY_BYTES,
            _median_of(figures, figure_names.PUT_BYTES),
            "measured",
        ),
        Limit(
            "store to registry: the whole map, one frame",
            "bytes",
            MAX_FRAME_BYTES,
            _median_of(figures, figure_names.MAP_TO_REGISTRY_BYTES),
            "measured",
        ),
        Limit(
            "registry to gatekeeper: first answer, one frame",
            "bytes",
            MAX_FRAME_BYTES,
            _median_of(figures, figure_names.FIRST_ANSWER_BYTES),
            "measured",
        ),
    ]


def _connection_limits(estimator: CostEstimator) -> list[Limit]:
    return [
        Limit(
            "worker: connections from gatekeepers, two each",
            "",
            MAX_WORKER_CONNECTIONS,
            estimator.worker_connections,
            "reckoned",
        ),
        Limit(
            "core machine: files, workers' connections kept",
            "",
            MAX_CORE_MACHINE_FILES,
            estimator.core_machine_files,
            "reckoned",
        ),
    ]
