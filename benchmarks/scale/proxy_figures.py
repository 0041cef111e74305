"""Measures the proxy's code without I/O: pull responses, updates of the cluster view, the rate limiter.

The request router is the production one; usage totals are generated, and no requests are served.
"""

import itertools
import random
from typing import Any, Final

import cbor2

from ashlift.config.settings import Bindings, Settings
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.registry_client import RegistryClient
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry.registry import Registry
from ashlift.rpc.fragmentation import decompress_sources
from ashlift.rpc.framing import MAX_FRAME_BYTES
from ashlift.rpc.messages import encode_request
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.scale import figure_names
from benchmarks.scale.figure_names import with_entries
from benchmarks.scale.figures import FigureRecorder
from benchmarks.scale.sample_objects import build_route_change, worker_id, worker_record
from benchmarks.scale.sample_registry import NOW, PULL_INTERVAL_SECONDS, pull_body, pull_response
from benchmarks.scale.sizes import CORE_MACHINES, ClusterSize, regions_by_zone
from benchmarks.scale.tenant_distribution import draw_tenant_rank, tenant_name

Json = dict[str, Any]
CHANGED_USAGE_TOTALS: Final = (1000, 3000, 10000)  # over all registries


def proxy_settings(node_name: str = "edge-0") -> Settings:
    """The settings of one proxy."""
    return Settings(
        node_name=node_name,
        ip="10.200.0.0",
        internal_ports=(7600, 7615),
        seeds=(("10.9.0.1", 8200),),
        zone="z00",
        region="r00",
        zones=regions_by_zone(),
        bindings=Bindings(front=("10.200.0.0", 8206)),
    )


class ProxyMeasurement:
    """Measures a proxy that receives a registry's responses; each step depends on the previous ones."""

    def __init__(
        self, size: ClusterSize, registry: Registry, rng: random.Random, recorder: FigureRecorder
    ) -> None:
        self.size = size
        self.recorder = recorder
        self._rng = rng
        self._configuration_bytes = len(cbor2.dumps([dict(registry.operator_config.values), []]))
        settings = proxy_settings()
        self.router = RequestRouter(settings, rng, NOW)
        self._client = RegistryClient(settings, self.router, "00000000", rng)
        self._full_response = pull_response(registry, pull_body(0, {}, {}))
        self._now = NOW + 0.1

    def run(self) -> None:
        """Run all measurements."""
        self._record_configuration_size()
        self._measure_first_response()
        self._measure_idle_pull()
        self._measure_usage_totals()
        self._measure_route_changes()
        self._measure_worker_changes()
        self.recorder.record_cpu_ms(
            "gatekeeper: a request let in by the limiter, ms", self._admit_request, runs_per_repeat=1000
        )

    def _pull(self, sources: Json) -> None:
        """A pull whose response contains updates of these sources."""
        self._now += PULL_INTERVAL_SECONDS
        pull = self._client.next_request(self._now)
        assert pull is not None
        encode_request(1, "pull", pull.body)
        self._client.handle_response(pull, self._now, {**self._full_response, "sources": sources})

    def _apply_update(self, source: str, update: Json) -> None:
        """An update of one source, without the pull."""
        response = PullResponse.from_wire({**self._full_response, "sources": {source: update}})
        self.router.apply_change(self._now, self.router.cluster.apply(self._now, self._now, response))

    def _record_configuration_size(self) -> None:
        configuration = self._full_response["sources"][OPERATOR_SOURCE]
        self.recorder.record(
            figure_names.CONFIGURATION_SIZE_RATIO, self._configuration_bytes / MAX_FRAME_BYTES
        )
        self.recorder.record(
            "gatekeeper: configuration, bytes compressed", len(configuration.get("pack", b""))
        )

    def _measure_first_response(self) -> None:
        """The parts of the first response in order: configuration, workers, usage totals."""
        configuration = {OPERATOR_SOURCE: self._full_response["sources"][OPERATOR_SOURCE]}
        updates = decompress_sources(self._full_response["sources"])
        self._measure_part(
            "gatekeeper: configuration, ms",
            "gatekeeper: memory of the configuration and limits, MB",
            configuration,
        )
        # Keeps all parts referenced: freed memory would be reused and hide the growth of later parts.
        sources = [name for name in updates if name != OPERATOR_SOURCE]
        workers = {name: _without_usage(updates[name]) for name in sources}
        self._measure_part(
            "gatekeeper: all workers and members, ms",
            "gatekeeper: memory of workers and members, MB",
            workers,
        )
        usage = {name: _usage_only(updates[name]) for name in sources}
        self._measure_part("gatekeeper: all sums, ms", "gatekeeper: memory of sums, MB", usage)

    def _measure_part(self, time_name: str, memory_name: str, sources: Json) -> None:
        self.recorder.record_cpu_ms(
            time_name,
            lambda: self.recorder.record_memory_growth(memory_name, lambda: self._pull(sources)),
            repeats=1,
        )

    def _measure_idle_pull(self) -> None:
        cluster = self.router.cluster
        rate_limiter = self.router.rate_limiter
        load_balancer = self.router.load_balancer

        def update_rate_limiter() -> None:
            rate_limiter.take_new_counts()
            rate_limiter.record_usage_totals(self._now, cluster.usage_totals())

        def update_load_balancer() -> None:
            load_balancer.update_peer_load(self._now, cluster.in_flight(), load_balancer.in_flight())
            cluster.failure_totals()

        record_cpu_ms = self.recorder.record_cpu_ms
        record_cpu_ms(figure_names.IDLE_PULL_MS, lambda: self._pull({}))
        record_cpu_ms("gatekeeper: of that, limiter's news of all sums, ms", update_rate_limiter)
        record_cpu_ms("gatekeeper: of that, requests at workers, ms", update_load_balancer)

    def _measure_usage_totals(self) -> None:
        versions = {name: source.version for name, source in self.router.cluster.sources.items()}
        for changed_totals in CHANGED_USAGE_TOTALS:
            changed_tenants = min(changed_totals // CORE_MACHINES, self.size.tenants)
            keys = [f"c/{tenant_name(rank)}" for rank in range(1, changed_tenants + 1)]

            def pull_totals(keys: list[str] = keys) -> None:
                total = int((self._now + PULL_INTERVAL_SECONDS) * 999)  # larger than all earlier totals
                for name in versions:
                    versions[name] += 1
                self._pull(
                    {
                        name: _delta(version, dict.fromkeys(keys, [total, 1]))
                        for name, version in versions.items()
                    }
                )

            self.recorder.record_cpu_ms(
                with_entries(figure_names.PULL_WITH_SUMS_MS, CORE_MACHINES * changed_tenants), pull_totals
            )

    def _measure_route_changes(self) -> None:
        versions = itertools.count(self.router.cluster.configuration.version + 1)

        def change_route() -> None:
            version = next(versions)
            route = build_route_change(self.size, version)["Upsert"]["Objects"][0]
            entries = {
                f"Routes/{route['Metadata']['Name']}": route["Specification"],
                "Version": f"{version:08x}",
            }
            self._apply_update(OPERATOR_SOURCE, _delta(version, entries))

        self.recorder.record_cpu_ms("gatekeeper: a change of one route, ms", change_route)

    def _measure_worker_changes(self) -> None:
        sources = self.router.cluster.sources
        source = next(iter(sources))
        sequences = itertools.count()

        def change_worker() -> None:
            sequence = next(sequences)
            number = sequence % self.size.workers
            sources[source].version += 1
            record = {**worker_record(number, self.size), "seq": sequence}
            self._apply_update(source, _delta(sources[source].version, {f"w/{worker_id(number)}": record}))

        self.recorder.record_cpu_ms("gatekeeper: a worker that starts or ends, ms", change_worker)

    def _admit_request(self) -> None:
        tenant = tenant_name(draw_tenant_rank(self.size.tenants, self._rng))
        self.router.rate_limiter.admit(self._now, tenant)


def _delta(version: int, entries: Json) -> Json:
    """An update of a source in wire format."""
    return {"version": version, "full": False, "gone": [], "set": entries}


def _without_usage(update: Json) -> Json:
    entries = {key: value for key, value in update["set"].items() if not key.startswith("c/")}
    return {**update, "set": entries}


def _usage_only(update: Json) -> Json:
    entries = {key: value for key, value in update["set"].items() if key.startswith("c/")}
    return {**update, **_delta(update["version"] + 1, entries)}
