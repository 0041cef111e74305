"""The state of one registry: local records, replicas of peers' records, and the operator's configuration.

Does no I/O. Callers pass the time of the monotonic clock in seconds (`now`). `change_count` increases with
every change other than usage or load; handlers of long polls then check again whether they can respond.
"""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Any, Final, NamedTuple

from ashlift.config.settings import Bounds
from ashlift.errors import Failure, FailureReason
from ashlift.invariants import Invariant, monitor
from ashlift.registry.codec import encode_delta, is_partial_config_update
from ashlift.registry.delta import Delta, without_lease_reports, without_workers
from ashlift.registry.endpoint_directory import EndpointDirectory, LookupResult
from ashlift.registry.heartbeat_trust import HeartbeatTrust
from ashlift.registry.home_regions import CLIENT_REGION_ONLY, HomeRegions, RegionPolicy
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.lease_clock import LeaseClock
from ashlift.registry.load_reports import LoadReports
from ashlift.registry.local_records import ChangeCounter, LocalRecords
from ashlift.registry.locality import Locality
from ashlift.registry.messages import (
    Json,
    PullRequest,
    PullResponse,
    SourceUpdate,
    SwapOrigin,
    SwapRequest,
    SwapResponse,
)
from ashlift.registry.nearest_registries import NearestRegistries
from ashlift.registry.operator_config import OperatorConfigReplica
from ashlift.registry.peer_registries import ALIVE_SECONDS, PeerRegistries
from ashlift.registry.proxy_sessions import ProxySessions
from ashlift.registry.quota_leases import QuotaLeases
from ashlift.registry.records import WorkerRecord
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.registry.usage_history import UsageHistory
from ashlift.registry.worker_instances import HeartbeatOutcome, WorkerInstances
from ashlift.rpc.fragmentation import Fragmenter
from ashlift.rpc.sources import OPERATOR_SOURCE

# If the configuration was confirmed longer ago, clients are kept in their region, because home regions may
# have changed since. An election takes about one second.
MAX_REGION_POLICY_AGE_SECONDS: Final = 3.0


DEFAULT_BOUNDS: Final = Bounds()


class TickResult(NamedTuple):
    """Whether this process was paused before the tick, and the sources of the peers that the tick dropped."""

    was_paused: bool
    dropped_peers: list[str]


class Registry:
    """Combines the records of workers, proxies, peer registries and the operator's configuration."""

    def __init__(
        self,
        identity: RegistryIdentity,
        seeds: list[str],
        zones: Mapping[str, str],
        now: float,
        has_disk: bool = False,
        bounds: Bounds = DEFAULT_BOUNDS,
        is_first_start: bool = False,
    ) -> None:
        """`seeds`: IPs of the core members until the operator's configuration has been received.

        `zones`: region of each zone. `has_disk`: the departures of workers are written to a disk.
        `bounds`: those of quotas and of the time for which a proxy serves that is cut off. `is_first_start`:
        the whole system starts for the first time.
        """
        self.identity = identity
        self.seeds = seeds
        self.zones = zones
        self._changes = ChangeCounter()
        self._clock = LeaseClock(now)
        self._local_records = LocalRecords(self._changes)
        self.operator_config = OperatorConfigReplica(self._changes)
        self.peers = PeerRegistries(identity, self._clock, self._changes)
        self.instances = WorkerInstances(
            self._local_records, self.peers, self._clock, identity.heartbeat_seconds, has_disk
        )
        self._nearest = NearestRegistries(identity, self.peers, lambda: self.zones)
        self._heartbeat_trust = HeartbeatTrust(self.peers, self._clock, self.core_members)
        self.heartbeat_outcomes: Counter[str] = Counter({outcome.value: 0 for outcome in HeartbeatOutcome})
        load_reports = LoadReports(self._local_records.source, self.instances.capacity)
        self.sessions = ProxySessions(
            self._local_records, self.peers, self._clock, self._changes, load_reports
        )
        self._quota_leases = QuotaLeases(
            self._local_records, self.peers, bounds.revoke, bounds.quota_window, is_first_start
        )
        self._usage_history = UsageHistory(bounds.quota_window)
        self.directory = EndpointDirectory(self.sessions.live)
        config = self.operator_config
        self.home_regions = HomeRegions(lambda: config.values, lambda: config.version)
        self._fragmenter = Fragmenter(identity.source)

    @property
    def change_count(self) -> int:
        """Increases with every change that a long poll waits for."""
        return self._changes.count

    @property
    def local_source(self) -> ReplicatedSource:
        """The records that were reported to this registry."""
        return self._local_records.source

    def sources(self) -> list[tuple[str, ReplicatedSource]]:
        """The records of each registry with the name of their source, the local ones first."""
        replicas = self.peers.replicas.items()
        return [(self.identity.source, self.local_source), *((name, peer.source) for name, peer in replicas)]

    def tick(self, now: float) -> TickResult:
        """Expire leases. Must be called several times a second."""
        was_paused = self._clock.tick(now)
        self.instances.expire(now, self._heartbeat_trust.since(now))
        self.sessions.expire(now)
        self._usage_history.sample(now, self.sources())
        leader = self.operator_config.leader
        other_leads = leader is not None and leader != self.identity.ip
        self._quota_leases.update(now, self._grants_leases(now), other_leads, self.operator_config.term)
        return TickResult(was_paused, self.peers.expire(now))

    def _grants_leases(self, now: float) -> bool:
        """Whether this registry is beside the leader of the configuration store, as far as it knows."""
        config = self.operator_config
        return config.leader == self.identity.ip and config.has_fresh_lease(now)

    # ---- proxies

    def has_updates_for(self, versions: Mapping[str, int]) -> bool:
        """Whether a pull with this version vector gets its response without waiting."""
        config = self.operator_config
        if config.version and config.has_significant_change_since(versions.get(OPERATOR_SOURCE)):
            return True
        return any(source.has_significant_change_since(versions.get(name)) for name, source in self.sources())

    def pull_response(self, request: PullRequest, received_at: float, now: float) -> PullResponse:
        """The response to a proxy's pull: the updates that it lacks."""
        updates = {}
        trusted_since = self._heartbeat_trust.since(now)
        for name, source in self.sources():
            delta = source.delta_since(request.versions.get(name))
            if delta is not None and delta.full and self.peers.has_ended_before(name, trusted_since):
                delta = without_workers(delta)
            if delta is not None:
                delta = without_lease_reports(delta)
                updates[name] = self._source_update(now, name, source, delta)
        config_update = self._config_update(request, now)
        alive = self.peers.contacted_within(ALIVE_SECONDS, now)
        return PullResponse(
            updates=updates,
            config_update=config_update,
            alive=[self.identity.source, *alive, OPERATOR_SOURCE],
            lease_age=self.operator_config.lease_age(now),
            response_delay_seconds=now - received_at,
            uptime=now - self.peers.latest_start(alive),
            config_is_behind=config_update is not None
            and is_partial_config_update(config_update, self.operator_config.version),
            registries=self.registries_by_distance(request.zone, request.region, now),
            proxy_count=self.sessions.recorded_count(),
            usage_age=now - self._usage_complete_until(alive, now),
        )

    def _source_update(self, now: float, name: str, source: ReplicatedSource, delta: Delta) -> SourceUpdate:
        if not delta.full:
            return SourceUpdate(delta, None)
        started_at = self.peers.started_at(name)
        recent_usage = self._usage_history.recent(now, name, source, started_at)
        return SourceUpdate(delta, now - started_at, recent_usage)

    def _usage_complete_until(self, alive: Collection[str], now: float) -> float:
        """The time up to which the usage totals of this registry and its peers are complete.

        A peer that is not alive counts as long as a proxy may still report to it alone.
        """
        complete_until = self.sessions.usage_complete_until(now)
        for name, replica in self.peers.replicas.items():
            if replica.usage_until < complete_until and (
                name in alive or self.sessions.may_report_only_to(replica, now)
            ):
                complete_until = replica.usage_until
        return complete_until

    def _config_update(self, request: PullRequest, now: float) -> Json | None:
        """The update of the operator's configuration that the proxy lacks: plain, packed, or a fragment."""
        if not self.operator_config.version:
            return None
        known_version = request.versions.get(OPERATOR_SOURCE)
        delta = self.operator_config.delta_since(known_version)
        if delta is None:
            return None
        update = encode_delta(delta, now)
        if not request.accepts_packed:
            return update
        return self._fragmenter.next_message(
            known_version, update, request.fragment, now, request.accepts_fragments
        )

    def uptime(self, now: float) -> float:
        """Shortest uptime of this registry and its live peers; a registry just started may lack proxies."""
        return now - self.peers.latest_start(self.peers.contacted_within(ALIVE_SECONDS, now))

    # ---- clients and workers

    def lookup(self, host: str, locality: Locality, now: float) -> LookupResult | Failure:
        """Proxies for a client in `locality` that looks up `host`, nearest first.

        Returns UNAVAILABLE if the proxies known here may be incomplete or out of date, or if none is ready
        in the regions allowed for the host.
        """
        result = self.directory.lookup(locality, lambda: self._region_policy(host, now), now)
        if not self._is_allowed(host, locality, result):
            return Failure(FailureReason.UNAVAILABLE, "the gatekeepers found are outside the home regions")
        members = self.core_members()
        if not result.addresses or self.is_isolated(now) or not self.peers.has_complete_view(members, now):
            return Failure(FailureReason.UNAVAILABLE, "the gatekeepers are not known for sure")
        return result

    def _region_policy(self, host: str, now: float) -> RegionPolicy:
        """The regions allowed for the host; only the client's if the configuration may be out of date."""
        age = self.operator_config.lease_age(now)
        if age is None or age > MAX_REGION_POLICY_AGE_SECONDS:
            return CLIENT_REGION_ONLY
        return self.home_regions.policy(host)

    def _is_allowed(self, host: str, locality: Locality, result: LookupResult) -> bool:
        """Check the invariant that proxies outside the client's region are in home regions of the host."""
        if not result.other_regions:
            return True
        home_regions = self.home_regions.shared_home_regions(host)
        return monitor.check(
            home_regions is None or home_regions.issuperset(result.other_regions),
            Invariant.DIRECTORY_REGION,
            host=host,
            client_region=locality.region,
            named=",".join(sorted(set(result.other_regions))),
        )

    def heartbeat_target(self, zone: str, now: float) -> str:
        """Address of the nearest available registry, to which a worker in `zone` should send heartbeats."""
        return self._nearest.heartbeat_target(zone, now)

    def record_heartbeat(
        self, worker_id: str, record: WorkerRecord, not_written_before: float, now: float
    ) -> HeartbeatOutcome:
        """Record a worker's heartbeat; `not_written_before`: earliest time at which it can have been sent."""
        trusted_since = self._heartbeat_trust.since(now)
        outcome = self.instances.record_heartbeat(worker_id, record, now, not_written_before, trusted_since)
        self.heartbeat_outcomes[outcome] += 1
        return outcome

    def is_departure_confirmed(self, worker_id: str, recorded_at: float) -> bool:
        """Whether a majority of core members holds the drain or deregistration recorded at that time.

        It must not be acknowledged earlier: it could be lost with the registries that hold it.
        """
        return self.instances.is_departure_confirmed(worker_id, self.core_members(), recorded_at)

    # ---- other registries

    def core_members(self) -> dict[str, Any]:
        """The configuration entry of each core member by IP; the seeds until a configuration is received."""
        return self.operator_config.core_members() or dict.fromkeys(self.seeds)

    def peer_ips(self, now: float) -> set[str]:
        """IPs of the registries whose records are replicated here."""
        return self.peers.ips(self.core_members(), now)

    def is_isolated(self, now: float) -> bool:
        """Whether this registry has lost contact with a majority of core members."""
        return self.peers.is_isolated(self.core_members(), now)

    def registries_by_distance(self, zone: str, region: str, now: float) -> list[str]:
        """IPs of the registries for a proxy in that zone: reachable ones first, nearest first."""
        return self._nearest.by_distance(zone, region, self.core_members(), now)

    def receive_swap_request(self, request: SwapRequest, now: float) -> None:
        """Record that another registry has requested the local records."""
        if request.caller_ip is not None:
            self.peers.record_call(request.caller_ip, now)

    def has_updates_for_peer(self, request: SwapRequest) -> bool:
        """Whether a swap request with this version gets its response without waiting."""
        is_current = request.incarnation == self.identity.incarnation
        if not is_current or self.local_source.has_significant_change_since(request.version):
            return True
        return self.local_source.last_departure_version > request.version

    def swap_response(self, request: SwapRequest, received_at: float, now: float) -> SwapResponse:
        """The response to another registry's swap request: the local records that it lacks."""
        is_current = request.incarnation == self.identity.incarnation
        delta = self.local_source.delta_since(request.version if is_current else None)
        identity = self.identity
        origin = None
        if delta is not None and delta.full:
            origin = SwapOrigin(
                identity.node, identity.incarnation, identity.zone, identity.region, self._clock.started_at
            )
        usage_age = now - self.sessions.usage_complete_until(now)
        return SwapResponse(self.local_source.version, delta, origin, usage_age, now - received_at)

    def receive_swap_response(self, ip: str, response: SwapResponse, sent_at: float) -> None:
        """Apply the response of the registry at `ip` to a swap request sent at `sent_at`."""
        self.sessions.release_moved(self.peers.receive_swap_response(ip, response, sent_at))
        if response.delta is not None:
            self.instances.adopt_departures(response.delta.values, sent_at)
