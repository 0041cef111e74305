"""The other registries: replicas of their records, reachability and uptime. Does no I/O; times in seconds."""

from collections.abc import Callable, Collection, Iterable, Iterator
from typing import Final

from ashlift.registry.delta import Delta
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.lease_clock import LEASE_HEARTBEATS, LeaseClock
from ashlift.registry.local_records import ChangeCounter
from ashlift.registry.locality import Locality
from ashlift.registry.messages import SwapOrigin, SwapRequest, SwapResponse
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.rpc.departures import retention_seconds

PEER_TIMEOUT_SECONDS: Final = 5.0  # without a response, after which a peer's records are dropped
ALIVE_SECONDS: Final = 1.0  # a peer that responded within this time is reported to proxies as alive
ISOLATION_SECONDS: Final = 1.5  # without a response, after which a peer counts as unreachable
# Assumed for the usage totals of a registry that does not report their age.
UNREPORTED_USAGE_AGE_SECONDS: Final = 0.5
MIN_UPTIME_SECONDS: Final = 1.5  # a registry that started later may not know all workers and proxies yet


class PeerReplica:
    """Replica of another registry's records.

    `started_at`: start time of that registry. `last_contact_at`: send time of the last answered request.
    `usage_until`: the time up to which the usage in the records is complete.
    """

    def __init__(self, ip: str, locality: Locality, started_at: float, last_contact_at: float) -> None:
        self.ip = ip
        self.locality = locality
        self.started_at = started_at
        self.last_contact_at = last_contact_at
        self.usage_until = last_contact_at - UNREPORTED_USAGE_AGE_SECONDS
        self.source = ReplicatedSource()

    def record_usage_age(self, sent_at: float, response: SwapResponse) -> None:
        """Record the age of the usage in the response to a request sent at `sent_at`."""
        age = UNREPORTED_USAGE_AGE_SECONDS if response.usage_age is None else response.usage_age
        self.usage_until = max(self.usage_until, sent_at + response.held_seconds - age)


class PeerRegistries:
    """Replicas by the name of their source, updated by `swap` calls."""

    def __init__(self, identity: RegistryIdentity, clock: LeaseClock, changes: ChangeCounter) -> None:
        self._identity = identity
        self._clock = clock
        self._changes = changes
        # Older replicas may list workers whose departure the others have forgotten.
        self._max_replica_age_seconds = retention_seconds(LEASE_HEARTBEATS * identity.heartbeat_seconds)
        self.replicas: dict[str, PeerReplica] = {}
        self._source_by_ip: dict[str, str] = {}  # source of the newest incarnation at each IP
        self._called_at: dict[str, float] = {}  # by IP: last call from the registry there

    def sources(self) -> Iterator[ReplicatedSource]:
        """The replica of each peer's records."""
        return (replica.source for replica in self.replicas.values())

    def ips(self, core_members: Collection[str], now: float) -> set[str]:
        """IPs of the peers to replicate from: core members, recent callers and peers with a replica here."""
        recent_callers = {
            ip for ip, called_at in self._called_at.items() if now - called_at <= PEER_TIMEOUT_SECONDS
        }
        known = {replica.ip for replica in self.replicas.values()}
        return (set(core_members) | recent_callers | known) - {self._identity.ip}

    def contacted_within(self, seconds: float, now: float) -> list[str]:
        """Sources of the peers that have responded within that time, not counting pauses of this process."""
        # As in `LeaseClock.has_expired`, inlined because it runs for every pull.
        resumed_at = self._clock.resumed_at
        return [
            name
            for name, replica in self.replicas.items()
            if now - max(replica.last_contact_at, resumed_at) <= seconds
        ]

    def record_call(self, ip: str, now: float) -> None:
        """Record that the registry at this IP has called."""
        self._called_at[ip] = now

    def swap_request(self, ip: str, include_caller_ip: bool) -> SwapRequest:
        """The request to the registry at `ip`; `include_caller_ip`: this one may be unknown there."""
        name = self._source_by_ip.get(ip)
        replica = self.replicas.get(name) if name else None
        if name is None or replica is None:
            return SwapRequest("", 0, self._identity.ip)
        incarnation = name.rpartition("#")[2]
        return SwapRequest(
            incarnation, replica.source.version, self._identity.ip if include_caller_ip else None
        )

    def receive_swap_response(self, ip: str, response: SwapResponse, sent_at: float) -> Collection[str]:
        """Apply the response to a request sent at `sent_at`.

        Returns the keys of the changed records if the response contains a significant change, else nothing.
        """
        name = self._source_by_ip.get(ip, "")
        replica = self.replicas.get(name)
        delta = response.delta
        origin = response.origin
        if delta is None:
            if replica is not None:
                replica.last_contact_at = max(replica.last_contact_at, sent_at)
                replica.record_usage_age(sent_at, response)
            return ()
        if origin is not None:
            name = origin.source
            replica = self.replicas.get(name) or _new_replica(ip, origin, sent_at)
        if replica is None or response.version < replica.source.version:
            return ()
        self._source_by_ip[ip] = name
        self.replicas[name] = replica
        replica.last_contact_at = max(replica.last_contact_at, sent_at)
        replica.record_usage_age(sent_at, response)
        if not _apply(delta, replica.source):
            return ()
        self._changes.increment()
        return delta.values.keys()

    def latest_start(self, alive: Iterable[str]) -> float:
        """The latest start time of this registry and these peers, or the end of the last pause if later."""
        started = [self.replicas[name].started_at for name in alive]
        return max(self._clock.started_at, self._clock.resumed_at, *started)

    def started_at(self, source: str) -> float:
        """Start time of the registry with that source; of this registry if it is not a peer's."""
        replica = self.replicas.get(source)
        return self._clock.started_at if replica is None else replica.started_at

    def has_ended_before(self, source: str, time: float) -> bool:
        """Whether that registry has been restarted, and was last in contact before `time`."""
        replica = self.replicas.get(source)
        if replica is None or replica.last_contact_at >= time:
            return False
        return self._source_by_ip.get(replica.ip) != source

    def is_isolated(self, core_members: Collection[str], now: float) -> bool:
        """Whether this registry is not in contact with a majority of the core members, itself included.

        The majority works without it, so clients should use another registry.
        """
        is_past_startup = now - self._clock.resumed_at > ISOLATION_SECONDS
        recent = self.contacted_within(ISOLATION_SECONDS, now)
        return is_past_startup and not self._is_majority(core_members, recent)

    def is_held_by_majority(
        self, core_members: Collection[str], holds: Callable[[ReplicatedSource], bool], since: float
    ) -> bool:
        """Whether a majority of core members, itself included, holds a record.

        `holds`: whether the records of a peer include it. A peer counts if it has answered a request sent
        since then; of several incarnations of a peer, only the newest counts.
        """
        holders = [
            name
            for name, replica in self.replicas.items()
            if replica.last_contact_at >= since
            and self._source_by_ip.get(replica.ip) == name
            and holds(replica.source)
        ]
        return self._is_majority(core_members, holders)

    def majority_running_since(self, core_members: Collection[str], now: float) -> float | None:
        """Time since which a majority of core members, itself included, has run without a restart.

        Only peers in contact count; None if they are too few. Any majority that held a record at a later time
        shares a process with this one, so the record is known here.
        """
        members = {*core_members, self._identity.ip}
        starts = [self._clock.started_at]
        for ip, name in self._source_by_ip.items():
            replica = self.replicas.get(name)
            if ip in members and replica and now - replica.last_contact_at <= ISOLATION_SECONDS:
                starts.append(replica.started_at)
        majority = len(members) // 2 + 1
        return sorted(starts)[majority - 1] if len(starts) >= majority else None

    def _is_majority(self, core_members: Collection[str], sources: Iterable[str]) -> bool:
        members = {*core_members, self._identity.ip}
        in_reach = {self.replicas[name].ip for name in sources} | {self._identity.ip}
        return 2 * len(members & in_reach) > len(members)

    def has_complete_view(self, core_members: Collection[str], now: float) -> bool:
        """Whether this registry knows all records.

        That holds once it has run for `MIN_UPTIME_SECONDS`, or if it is in contact with all peers and one of
        them has run that long.
        """
        if now - self._clock.started_at >= MIN_UPTIME_SECONDS:
            return True
        contacted = [
            replica for replica in self.replicas.values() if replica.last_contact_at >= self._clock.started_at
        ]
        any_is_past_startup = any(now - replica.started_at >= MIN_UPTIME_SECONDS for replica in contacted)
        return any_is_past_startup and self.ips(core_members, now) <= {replica.ip for replica in contacted}

    def expire(self, now: float) -> list[str]:
        """Drop the replicas of peers that have timed out; returns their sources."""
        expired = [
            name
            for name, replica in self.replicas.items()
            if self._clock.has_expired(replica.last_contact_at, PEER_TIMEOUT_SECONDS, now)
            or now - replica.last_contact_at > self._max_replica_age_seconds
        ]
        for name in expired:
            replica = self.replicas.pop(name)
            if self._source_by_ip.get(replica.ip) == name:
                del self._source_by_ip[replica.ip]
            self._changes.increment()
        self._called_at = {
            ip: called_at
            for ip, called_at in self._called_at.items()
            if now - called_at <= PEER_TIMEOUT_SECONDS
        }
        return expired


def _new_replica(ip: str, origin: SwapOrigin, sent_at: float) -> PeerReplica:
    return PeerReplica(ip, Locality(origin.zone, origin.region), origin.started_at, sent_at)


def _apply(delta: Delta, source: ReplicatedSource) -> bool:
    """Apply the delta; returns whether it has a significant change. A snapshot counts as significant."""
    if delta.full:
        source.replace(delta.version, delta.values)
        return True
    significant_before = source.last_significant_version
    source.merge(delta.version, delta.values, delta.removed)
    return source.last_significant_version != significant_before
