"""Chooses registries by their distance from a worker or proxy. Does no I/O; times in seconds."""

from collections.abc import Callable, Collection, Mapping
from typing import Final

from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.lease_clock import PAUSE_THRESHOLD_SECONDS
from ashlift.registry.locality import UNKNOWN_DISTANCE, Locality
from ashlift.registry.peer_registries import MIN_UPTIME_SECONDS, PeerRegistries

PEER_REACHABLE_SECONDS: Final = 2.0  # proxies are told of peers that responded within this time first


class NearestRegistries:
    """This registry and its peers, ordered by distance."""

    def __init__(
        self,
        identity: RegistryIdentity,
        peers: PeerRegistries,
        region_by_zone: Callable[[], Mapping[str, str]],
    ) -> None:
        """`region_by_zone`: returns the region of each zone, which a reload of the settings may change."""
        self._identity = identity
        self._locality = Locality(identity.zone, identity.region)
        self._peers = peers
        self._region_by_zone = region_by_zone

    def heartbeat_target(self, zone: str, now: float) -> str:
        """Address of the nearest available registry, to which a worker in `zone` should send heartbeats."""
        localities = [(self._identity.ip, self._locality)]
        for peer in self._peers.replicas.values():
            is_available = now - peer.last_contact_at < PAUSE_THRESHOLD_SECONDS
            if is_available and now - peer.started_at > MIN_UPTIME_SECONDS:
                localities.append((peer.ip, peer.locality))
        region = next(
            (locality.region for _, locality in localities if locality.zone == zone),
            self._region_by_zone().get(zone),
        )

        def preference(candidate: tuple[str, Locality]) -> tuple[int, bool, str]:
            ip, locality = candidate
            return locality.distance_from(zone, region), ip != self._identity.ip, ip

        nearest_ip, _ = min(localities, key=preference)
        return f"{nearest_ip}:{self._identity.http_port}"

    def by_distance(self, zone: str, region: str, core_members: Collection[str], now: float) -> list[str]:
        """IPs of the registries for a proxy in that zone: reachable ones first, nearest first."""
        localities = {self._identity.ip: self._locality}
        for name in self._peers.contacted_within(PEER_REACHABLE_SECONDS, now):
            peer = self._peers.replicas[name]
            localities[peer.ip] = peer.locality

        def preference(ip: str) -> tuple[int, str]:
            locality = localities.get(ip)
            return UNKNOWN_DISTANCE if locality is None else locality.distance_from(zone, region), ip

        return sorted(set(core_members) | set(localities), key=preference)
