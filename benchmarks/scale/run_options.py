"""Options of a run."""

from typing import Final

import attrs

from benchmarks.scale.sizes import TARGET_SIZE, ClusterSize

REQUEST_RATE_FACTORS: Final = (0.0, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0)


@attrs.frozen
class RunOptions:
    """Options of a run.

    `window_seconds`, `stabilize_seconds`: the length of each measurement and the wait before it.
    `request_rate_factors`: relative to the proportional rate. `max_objects`: limit per kind in the
    configuration; None: the proportional number. `max_workers`: the same for workers. `starts_per_second`: of
    simulated proxies; 0: all at once. `fallback_tenants`: tried if the store rejects the proportional number.
    `proxy_hosts`: processes of simulated proxies. `worker_restarts_per_second`: 0: restarts are not measured.
    `measure_core_loss`: whether to stop the leader's machine for a while.
    """

    window_seconds: float = 4.0
    stabilize_seconds: float = 2.0
    core_machines: int = 3
    real_proxies: int = 2
    proxy_hosts: int = 2
    request_rate_factors: tuple[float, ...] = REQUEST_RATE_FACTORS
    max_objects: int | None = None
    max_workers: int | None = None
    starts_per_second: float = 0.0
    fallback_tenants: int = 6000
    worker_restarts_per_second: float = 5.0
    measure_core_loss: bool = True
    target: ClusterSize = TARGET_SIZE
