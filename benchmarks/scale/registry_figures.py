"""Measures the registry's code without I/O: pulls, swaps between registries, heartbeats, lookups."""

import itertools
import random
import zlib
from collections.abc import Iterator, Mapping
from typing import Any, Final

from ashlift.errors import Failure
from ashlift.registry import codec
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.registry.api.messages import HttpResponse
from ashlift.registry.locality import Locality
from ashlift.registry.messages import SwapRequest
from ashlift.registry.registry import Registry
from ashlift.rpc.framing import MAX_FRAME_BYTES
from ashlift.rpc.messages import encode_request, encode_response
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.scale import figure_names
from benchmarks.scale.figure_names import with_entries
from benchmarks.scale.figures import FigureRecorder
from benchmarks.scale.sample_objects import worker_id
from benchmarks.scale.sample_registry import (
    NOW,
    PULL_INTERVAL_SECONDS,
    build_registry,
    encode_heartbeat,
    known_versions,
    pull_body,
    pull_response,
    receive_pull,
)
from benchmarks.scale.sizes import CORE_MACHINES, ZONES, ClusterSize, regions_by_zone, zone_name
from benchmarks.scale.tenant_distribution import count_requests_by_tenant, tenant_name

UsageCounts = dict[str, tuple[int, int]]  # admitted and rejected requests by tenant
REQUESTS_PER_PULL: Final = (10, 27, 100, 300)
PULLS_PER_REPEAT: Final = 30
CHANGED_USAGE_TOTALS: Final = (1000, 3000, 10000)  # over all registries
FIRST_REPORT_SEQUENCE: Final = 10  # above the sequence numbers used to build the registry


class RegistryMeasurement:
    """Builds a registry of a size and measures it; the steps change the registry, so their order is fixed."""

    def __init__(
        self,
        size: ClusterSize,
        configuration: Mapping[str, Any],
        rng: random.Random,
        recorder: FigureRecorder,
    ) -> None:
        self.size = size
        self.recorder = recorder
        self.registry: Registry = recorder.record_memory_growth(
            "registry: memory, MB", lambda: build_registry(size, configuration)
        )
        self._rng = rng
        self._idle_pull = pull_body(0, known_versions(self.registry), {})

    def run(self) -> None:
        """Run all measurements."""
        self._measure_pull_request()
        self._measure_idle_response()
        self._measure_received_counts()
        self._measure_usage_totals()
        self._measure_full_response()
        self._measure_workers_and_sessions()
        self._measure_heartbeats()
        self._record_busiest_registry()
        self.recorder.record_cpu_ms("registry: a tick, ms", lambda: self.registry.tick(NOW))
        self._measure_lookup()

    def _draw_counts(self, requests: float) -> UsageCounts:
        return count_requests_by_tenant(self.size.tenants, round(requests), self._rng)

    def _encode_response(self, versions: Mapping[str, int]) -> bytes:
        return encode_response(1, pull_response(self.registry, pull_body(0, versions, {})))

    def _encode_idle_response(self) -> bytes:
        pull = {**self._idle_pull, "have": known_versions(self.registry)}
        return encode_response(1, pull_response(self.registry, pull))

    def _measure_pull_request(self) -> None:
        counts = self._draw_counts(self.size.request_rate / self.size.proxies * PULL_INTERVAL_SECONDS)
        body = pull_body(0, known_versions(self.registry), counts)
        self.recorder.record(figure_names.PULL_IN_BYTES, len(encode_request(1, "pull", body)))

    def _measure_idle_response(self) -> None:
        response = self.recorder.record_cpu_ms(
            "registry: answer, nothing new, ms", self._encode_idle_response, runs_per_repeat=10
        )
        self.recorder.record("registry: answer, nothing new, bytes", len(response))

    def _measure_received_counts(self) -> None:
        sequences = itertools.count(FIRST_REPORT_SEQUENCE + 1)
        for requests in REQUESTS_PER_PULL:
            counts_of_pulls = [self._draw_counts(requests) for _ in range(PULLS_PER_REPEAT)]
            next_counts = itertools.cycle(counts_of_pulls)

            def receive_next(next_counts: Iterator[UsageCounts] = next_counts) -> None:
                receive_pull(self.registry, pull_body(0, {}, next(next_counts), next(sequences)))

            mean_tenants = sum(map(len, counts_of_pulls)) / PULLS_PER_REPEAT
            self.recorder.record_cpu_ms(
                with_entries(figure_names.TAKING_A_PULL_MS, f"{mean_tenants:.1f}"),
                receive_next,
                runs_per_repeat=PULLS_PER_REPEAT,
            )

    def _measure_usage_totals(self) -> None:
        """The cost of changed usage totals in responses to proxies and to other registries."""
        versions_before = known_versions(self.registry)
        for changed_totals in CHANGED_USAGE_TOTALS:
            changed_tenants = min(changed_totals // CORE_MACHINES, self.size.tenants)
            keys = [f"c/{tenant_name(rank)}" for rank in range(1, changed_tenants + 1)]
            for _, source in self.registry.sources():
                source.merge(source.version + 1, dict.fromkeys(keys, [123456, 12]), ())
            proxy_versions = {**versions_before, OPERATOR_SOURCE: self.registry.operator_config.version}
            self._measure_response_with_totals(proxy_versions, CORE_MACHINES * changed_tenants)
            self._measure_swap(versions_before[self.registry.identity.source], changed_tenants)
            versions_before = known_versions(self.registry)

    def _measure_response_with_totals(self, proxy_versions: Mapping[str, int], totals: int) -> None:
        response = self.recorder.record_cpu_ms(
            with_entries(figure_names.ANSWER_WITH_SUMS_MS, totals),
            lambda: self._encode_response(proxy_versions),
        )
        self.recorder.record(with_entries(figure_names.ANSWER_WITH_SUMS_BYTES, totals), len(response))

    def _measure_swap(self, peer_version: int, totals: int) -> None:
        request = SwapRequest(self.registry.identity.incarnation, peer_version, None)

        def respond() -> Any:
            return codec.encode_swap_response(self.registry.swap_response(request, NOW, NOW), NOW)

        response = self.recorder.record_cpu_ms(with_entries(figure_names.SWAP_MS, totals), respond)
        self.recorder.record(with_entries(figure_names.SWAP_BYTES, totals), len(encode_response(1, response)))

    def _measure_full_response(self) -> None:
        response = self.recorder.record_cpu_ms(
            figure_names.FIRST_ANSWER_MS, lambda: self._encode_response({}), repeats=2
        )
        self.recorder.record(figure_names.FIRST_ANSWER_BYTES, len(response))
        self.recorder.record("registry: frames that one first answer takes", len(response) / MAX_FRAME_BYTES)

    def _measure_workers_and_sessions(self) -> None:
        """The workers and sessions in a full response, without the configuration."""
        versions_before = known_versions(self.registry)
        replicas = self.registry.peers.replicas.values()
        for source in [self.registry.local_source, *(replica.source for replica in replicas)]:
            records = {key: value for key, value in source.values.items() if key[0] in "wg"}
            source.merge(source.version + 1, records, ())
        response = self.recorder.record_cpu_ms(
            "registry: of that, all workers and members, ms",
            lambda: self._encode_response(versions_before),
            repeats=2,
        )
        self.recorder.record("registry: of that, all workers and members, bytes", len(response))
        self.recorder.record("registry: the same compressed, bytes", len(zlib.compress(response, 6)))

    def _measure_heartbeats(self) -> None:
        """The cost of heartbeats and idle responses, also with the records of the core machines cached."""
        body = encode_heartbeat(self.size, 0)

        def receive_heartbeat() -> None:
            heartbeat = parse_heartbeat(body, NOW)
            assert not isinstance(heartbeat, Failure)
            self.registry.instances.record_heartbeat(worker_id(0), heartbeat, NOW)
            self.registry.is_isolated(NOW)
            self.registry.heartbeat_target(zone_name(5), NOW)

        record_cpu_ms = self.recorder.record_cpu_ms
        record_cpu_ms(figure_names.HEARTBEAT_MS, receive_heartbeat, runs_per_repeat=20)
        record_cpu_ms(figure_names.CORE_MEMBERS_MS, self.registry.core_members)
        core_members = self.registry.core_members()
        self.registry.core_members = lambda: core_members  # type: ignore[method-assign]  # cached records
        record_cpu_ms("registry: a beat, were the members kept, ms", receive_heartbeat, runs_per_repeat=200)
        record_cpu_ms(
            "registry: answer, nothing new, were the members kept, ms",
            self._encode_idle_response,
            runs_per_repeat=50,
        )
        del self.registry.core_members

    def _record_busiest_registry(self) -> None:
        """The number of proxies at the busiest registry relative to an even distribution."""
        regions = regions_by_zone()
        nearest_registries = [
            self.registry.registries_by_distance(zone, regions[zone], NOW)[0]
            for zone in (zone_name(number % ZONES) for number in range(self.size.proxies))
        ]
        most_proxies = max(nearest_registries.count(ip) for ip in set(nearest_registries))
        self.recorder.record(
            "registry: gatekeepers at the busiest of six, x an even share",
            most_proxies * CORE_MACHINES / len(nearest_registries),
        )

    def _measure_lookup(self) -> None:
        def look_up_without_cache() -> Any:
            self.registry.directory.cache.clear()
            return self.registry.lookup("h00.example", Locality("z05", "r05"), NOW)

        answer = self.recorder.record_cpu_ms(
            "registry: look-ups of a zone, worked out, ms", look_up_without_cache
        )
        response = HttpResponse(200, {"Addresses": answer.addresses, "Ttl": "1s"})
        self.recorder.record("client: answer of a look-up, bytes", len(response.encode(False)))
