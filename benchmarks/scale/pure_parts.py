"""Measures the three programs' code without I/O at one size: CPU time, bytes and memory.

The additional cost of sockets, greenlets and frame decoding is measured by `run`. Each size is measured in a
separate process, so that memory of other sizes is not included.
"""

import random
from types import ModuleType
from typing import Any, Final

from ashlift.proxy import registry_client
from ashlift.rpc import framing
from benchmarks.scale.figures import DEFAULT_REPEATS, FigureRecorder
from benchmarks.scale.proxy_figures import ProxyMeasurement
from benchmarks.scale.registry_figures import RegistryMeasurement
from benchmarks.scale.sample_registry import PULL_INTERVAL_SECONDS
from benchmarks.scale.sizes import CORE_MACHINES, TARGET_SIZE, ClusterSize
from benchmarks.scale.store_figures import measure_store
from benchmarks.scale.tenant_distribution import expected_distinct_tenants

RAISED_MAX_FRAME_BYTES: Final = 1 << 30


def measure_pure_parts(
    proxies: int, target: ClusterSize = TARGET_SIZE, repeats: int = DEFAULT_REPEATS
) -> dict[str, Any]:
    """All figures of the size with `proxies` proxies, under the keys of docs/capacity/scale.json."""
    for module in (framing, registry_client):
        _raise_frame_limit(module)
    size = target.scaled_to(proxies)
    recorder = FigureRecorder(repeats)
    rng = random.Random(proxies)
    configuration = measure_store(size, recorder)
    registry_measurement = RegistryMeasurement(size, configuration, rng, recorder)
    registry_measurement.run()
    ProxyMeasurement(size, registry_measurement.registry, rng, recorder).run()
    requests_per_registry = size.request_rate * PULL_INTERVAL_SECONDS / CORE_MACHINES
    recorder.record(
        "sums told by all in a quarter of a second",
        CORE_MACHINES * expected_distinct_tenants(size.tenants, requests_per_registry),
    )
    return {"size": size.to_json(), "figures": recorder.values_by_name}


def _raise_frame_limit(module: ModuleType) -> None:
    """Raise the frame size limit in this process: frames of larger sizes exceed that of the programs."""
    setattr(module, "MAX_FRAME_BYTES", RAISED_MAX_FRAME_BYTES)  # noqa: B010
