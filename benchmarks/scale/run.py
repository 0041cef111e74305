"""One run at one size: real core machines and proxies with simulated proxies and workers.

The steps run in order, and failures are recorded under `broken`. The record has the keys of
docs/capacity/scale.json.
"""

import os
import time
from typing import Any, Final

import attrs
import gevent

from benchmarks.scale.cluster import Cluster, ReportProgress
from benchmarks.scale.connection_traffic import Role
from benchmarks.scale.host_messages import SetRequestRate, SetRestartRate
from benchmarks.scale.measurement_window import measure_window
from benchmarks.scale.run_events import CoreMachineLoss, measure_change, wait_until_ready
from benchmarks.scale.run_options import RunOptions
from benchmarks.scale.sizes import ClusterSize

Json = dict[str, Any]
MAX_FAILED_PULLS: Final = 0.05  # relative to all pulls
MAX_CPU_CORES: Final = 0.9  # of one process
LEADER_TIMEOUT_SECONDS: Final = 30.0
READY_TIMEOUT_SECONDS: Final = 30.0
RECOVERY_TIMEOUT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
RESTART_STABILIZE_SECONDS: Final = 1.0
CORE_LOSS_SECONDS: Final = 3.0
SMALLER_TENANT_COUNTS: Final = (2000, 200)  # tried if the store rejects larger configurations
MAX_TENANT_FACTOR: Final = 4  # relative to the fallback; more tenants are not tried
MAX_ERROR_CHARACTERS: Final = 300


def run_at_size(size: ClusterSize, options: RunOptions, report_progress: ReportProgress) -> Json:
    """Run one size; returns the record, which is partial if the run is aborted."""
    if options.max_workers:
        size = attrs.evolve(size, workers=min(size.workers, options.max_workers))
    cluster = Cluster(size, options)
    run = ScaleRun(cluster, report_progress)
    try:
        run.execute()
    except (RuntimeError, OSError, ValueError) as error:
        run.add_broken(f"the run ended: {error}"[:MAX_ERROR_CHARACTERS])
    finally:
        cluster.stop()
    run.record["load_after"] = os.getloadavg()[0]
    return run.record


class ScaleRun:
    """The steps of one run; the caller stops the cluster."""

    def __init__(self, cluster: Cluster, report_progress: ReportProgress) -> None:
        self.record: Json = {
            "size": cluster.size.to_json(),
            "core": cluster.options.core_machines,
            "real": cluster.options.real_proxies,
            "broken": [],
            "heartbeat_s": round(cluster.heartbeat_seconds, 2),
            "load_before": os.getloadavg()[0],
        }
        self._cluster = cluster
        self._options = cluster.options
        self._report_progress = report_progress

    def add_broken(self, description: str) -> None:
        """Record a failure."""
        self.record["broken"].append(description)

    def execute(self) -> None:
        """Run all steps."""
        tenants_in_proportion = self._cluster.size.tenants
        self._start_core()
        self._upload_configuration()
        self._start_proxies(tenants_in_proportion)
        self._measure_idle_window()
        self._measure_change()
        self._measure_worker_restarts()
        self._measure_core_loss()
        self._check_ready_again()
        self._measure_request_rates()
        if self.record["broken"]:
            self._measure_recovery()

    def _start_core(self) -> None:
        started_at = time.monotonic()
        self._cluster.write_settings(is_first_start=True)
        self._cluster.start_programs(Role.CONFIGSTORE)
        self._cluster.start_programs(Role.REGISTRY)
        while not self._cluster.leader_ip() and time.monotonic() - started_at < LEADER_TIMEOUT_SECONDS:
            gevent.sleep(POLL_SECONDS)
        self.record["core_up_s"] = round(time.monotonic() - started_at, 3)
        self._cluster.write_settings(is_first_start=False)

    def _upload_configuration(self) -> None:
        """Upload the proportional configuration, or one with as many tenants as the store accepts."""
        uploads: list[Json] = []
        self.record["puts"] = uploads
        size = self._configured_size()
        for tenants in self._tenant_counts(size.tenants):
            self._cluster.size = attrs.evolve(size, tenants=tenants)
            upload = self._cluster.put_configuration(self._cluster.size)
            uploads.append(upload)
            self._report_progress(f"  PUT {upload}")
            if upload["status"] == 200:
                break
            self.add_broken(f"a configuration of {tenants} tenants: {upload['status']} {upload['why']}")
        self.record["held"] = self._cluster.size.to_json()

    def _configured_size(self) -> ClusterSize:
        """The size with the counts of objects limited by the options."""
        size = self._cluster.size
        max_objects = self._options.max_objects
        if not max_objects:
            return size
        return attrs.evolve(
            size,
            services=min(size.services, max_objects),
            routes=min(size.routes, max_objects),
            tenants=min(size.tenants, max_objects),
        )

    def _tenant_counts(self, wanted: int) -> list[int]:
        """The numbers of tenants to try; the proportional one is first, unless it is far too large."""
        fallback = self._options.fallback_tenants
        smaller_counts = dict.fromkeys((fallback, *SMALLER_TENANT_COUNTS))
        counts = [count for count in smaller_counts if count < wanted]
        if wanted > MAX_TENANT_FACTOR * fallback:
            self.add_broken(f"a configuration of {wanted} tenants was not tried: {fallback} at most here")
            return counts
        return [wanted, *counts]

    def _start_proxies(self, tenants_in_proportion: int) -> None:
        started_at = time.monotonic()
        self._cluster.start_simulation(tenants_in_proportion)
        if self._options.real_proxies:
            self._cluster.start_programs(Role.PROXY)
        timeout = READY_TIMEOUT_SECONDS
        if self._options.starts_per_second:
            timeout += self._cluster.size.proxies / self._options.starts_per_second
        self.record["start"] = wait_until_ready(self._cluster, started_at, timeout)
        self._report_progress(f"  start {self.record['start']}")

    def _measure_idle_window(self) -> None:
        gevent.sleep(self._options.stabilize_seconds)
        window = measure_window(self._cluster)
        self.record["calm"] = window
        self._report_progress(f"  calm: {window['gatekeepers']} registry {window['registry']['core']}")

    def _measure_change(self) -> None:
        change = measure_change(self._cluster)
        self.record["change"] = change
        self._report_progress(f"  change { {**change, 'used': '-'} }")

    def _measure_worker_restarts(self) -> None:
        restarts_per_second = self._options.worker_restarts_per_second
        worker_host = self._cluster.worker_host
        if worker_host is None or not restarts_per_second:
            return
        worker_host.execute(SetRestartRate(restarts_per_second))
        gevent.sleep(RESTART_STABILIZE_SECONDS)
        self.record["churn"] = {"rate": restarts_per_second, **measure_window(self._cluster)}
        worker_host.execute(SetRestartRate(0.0))

    def _measure_core_loss(self) -> None:
        if not self._options.measure_core_loss:
            return
        self.record["loss"] = CoreMachineLoss(self._cluster, CORE_LOSS_SECONDS).measure()
        self._report_progress(f"  loss {self.record['loss']}")

    def _check_ready_again(self) -> None:
        readiness = wait_until_ready(self._cluster, time.monotonic(), READY_TIMEOUT_SECONDS)
        if readiness["ready"] < readiness["wanted"]:
            self.add_broken(f"after the loss {readiness['ready']} of {readiness['wanted']} are ready")

    def _measure_request_rates(self) -> None:
        """Measure windows at increasing request rates until the cluster is overloaded."""
        windows: list[Json] = []
        self.record["windows"] = windows
        target = self._options.target
        for factor in self._options.request_rate_factors:
            self._set_request_rate(factor * target.request_rate / target.proxies)
            if factor:
                gevent.sleep(self._options.stabilize_seconds)
            window = {"rate": factor, **measure_window(self._cluster)}
            windows.append(window)
            registry_cores = window.get("registry", {}).get("core")
            self._report_progress(f"  rate {factor:g}: {window['gatekeepers']} registry {registry_cores}")
            overload = self._describe_overload(window)
            if overload:
                self.add_broken(f"at {factor:g} x the requests{overload}")
                break

    def _describe_overload(self, window: Json) -> str:
        """The overloaded resource in a window; empty if there is none."""
        proxies = window["gatekeepers"]
        wanted = self.record["start"]["wanted"]
        if proxies["ready"] < wanted or proxies["missed_s"] > MAX_FAILED_PULLS * proxies["pulls_s"]:
            return f": {proxies['ready']} of {wanted} ready, {proxies['missed_s']} pulls a second missed"
        if window["registry"]["core_most"] > MAX_CPU_CORES:
            return f" a registry is full: {window['registry']['core_most']} of a core"
        if window.get("hollow", {}).get("core_most", 0.0) > MAX_CPU_CORES:
            return " the hollow ones are full, not the programs"
        return ""

    def _measure_recovery(self) -> None:
        """Measure the time until all proxies are ready, without requests."""
        self._set_request_rate(0.0)
        started_at = time.monotonic()
        readiness = wait_until_ready(self._cluster, started_at, RECOVERY_TIMEOUT_SECONDS)
        are_ready = readiness["ready"] >= readiness["wanted"]
        self.record["recovered_s"] = round(time.monotonic() - started_at, 1) if are_ready else None
        self._report_progress(f"  ready again {self.record['recovered_s']}")

    def _set_request_rate(self, requests_per_second: float) -> None:
        for host in self._cluster.proxy_hosts:
            host.execute(SetRequestRate(requests_per_second))
