"""Sessions of the proxies that pull from this registry, and the known proxies of all registries. Does no I/O.

A session is a lease of two seconds, renewed whenever a pull is received. Pulls also report usage and load.

`ProxySessions.expire` drops the record of an expired session. `release_moved` drops it earlier if the proxy
has moved to another registry and has no pull in progress here. The removal is replicated like any change. If
this registry stops responding, `live` at the others omits its proxies after the same two seconds. A proxy
that shuts down reports `ready=False` and lets its session expire.
"""

import math
from collections.abc import Iterable
from typing import Final, NamedTuple

from ashlift.registry.lease_clock import LeaseClock
from ashlift.registry.load_reports import LoadReports
from ashlift.registry.local_records import ChangeCounter, LocalRecords
from ashlift.registry.messages import PullRequest, UsageReport
from ashlift.registry.peer_registries import PeerRegistries, PeerReplica
from ashlift.registry.record_keys import (
    LEASE_REPORT_PREFIX,
    PREFIX_LENGTH,
    SESSION_KIND,
    SESSION_PREFIX,
    SILENCE_PREFIX,
)
from ashlift.registry.records import SessionRecord
from ashlift.registry.usage_counters import UsageCounters

SESSION_LEASE_SECONDS: Final = 2.0  # from the last pull
SILENT_AFTER_SECONDS: Final = 1.0  # without a pull; a proxy that hears nothing for as long is isolated
# After the last pull; report numbers are kept that long to recognize repeated reports.
USAGE_RETENTION_SECONDS: Final = 30.0
USAGE_AGE_INTERVAL_SECONDS: Final = 0.05


class ProxySession:
    """A proxy's pulls, and the number of the last usage report of each of its incarnations.

    `usage_until`: the time up to which its usage has been reported. `incarnation` and `last_usage`: of the
    newest pull.
    """

    def __init__(self, last_pull_at: float) -> None:
        self.last_pull_at = last_pull_at
        self.usage_until = last_pull_at
        self.incarnation = ""
        self.last_usage: UsageReport | None = None
        self.pulls_in_progress = 0
        self.config_index = 0  # index of the operator's configuration held by the proxy
        self.last_usage_report: dict[str, int] = {}


class SessionStatus(NamedTuple):
    """Index of the configuration held by a proxy, and seconds since its last pull."""

    config_index: int
    seconds_since_pull: float


class ProxySessions:
    """Renews, expires and hands over the sessions of this registry."""

    def __init__(
        self,
        local_records: LocalRecords,
        peers: PeerRegistries,
        clock: LeaseClock,
        changes: ChangeCounter,
        load_reports: LoadReports,
    ) -> None:
        self._local_records = local_records
        self._peers = peers
        self._clock = clock
        self._changes = changes
        self._load_reports = load_reports
        self._usage = UsageCounters(local_records.source)
        self._sessions: dict[str, ProxySession] = {}
        self._recorded_count = 0
        self._recorded_count_at = -1  # change count when `_recorded_count` was computed
        self._usage_until = -math.inf
        self._usage_until_computed_at = -math.inf

    def __len__(self) -> int:
        """Number of proxies whose pulls are remembered, including recently expired sessions."""
        return len(self._sessions)

    def begin_pull(self, request: PullRequest, now: float) -> None:
        """Renew the session, and record the usage and load reported with the pull."""
        session = self._sessions.setdefault(request.node, ProxySession(now))
        session.last_pull_at = now
        session.usage_until = now - request.usage.transit_seconds
        session.pulls_in_progress += 1
        session.config_index = request.config_index
        record = SessionRecord(request.client_address, request.zone, request.region, request.ready, now)
        if self._local_records.get(SESSION_PREFIX + request.node) != record:
            self._local_records.put(SESSION_PREFIX + request.node, record)
        self._local_records.source.drop(SILENCE_PREFIX + request.node)
        self._load_reports.update(request.node, request.load)
        self._record_lease_reports(request)
        if request.incarnation != session.incarnation:
            self._charge_unreported(session)
            session.incarnation = request.incarnation
        if request.usage.number > session.last_usage_report.get(request.incarnation, -1):
            session.last_usage_report[request.incarnation] = request.usage.number
            session.last_usage = request.usage
            self._usage.add(request.usage)

    def _charge_unreported(self, session: ProxySession) -> None:
        """Count for an incarnation that has ended what it may have admitted after its last report.

        Estimated by that report, as the time between two reports was about as long.
        """
        if session.last_usage is not None:
            self._usage.add(session.last_usage.as_admitted())
            session.last_usage = None

    def _record_lease_reports(self, request: PullRequest) -> None:
        key = LEASE_REPORT_PREFIX + request.node
        source = self._local_records.source
        if not request.leases:
            source.drop(key)
        elif source.values.get(key) != request.leases:
            source.put(key, request.leases)

    def end_pull(self, node: str) -> None:
        """Record that a pull got its response or lost its connection."""
        self._sessions[node].pulls_in_progress -= 1

    def live(self, now: float) -> dict[str, SessionRecord]:
        """The newest record of each proxy with a valid lease at this or a reachable registry, by node."""
        newest: dict[str, SessionRecord] = {}
        for replica in self._peers.replicas.values():
            if not self._clock.has_expired(replica.last_contact_at, SESSION_LEASE_SECONDS, now):
                for key, record in replica.source.values.items():
                    if key[0] == SESSION_KIND and (
                        key not in newest or record.renewed_at > newest[key].renewed_at
                    ):
                        newest[key] = record
        for key, record in self._local_records.source.values.items():
            if key[0] == SESSION_KIND:
                last_pull_at = self._sessions[key[PREFIX_LENGTH:]].last_pull_at
                if not self._clock.has_expired(last_pull_at, SESSION_LEASE_SECONDS, now):
                    newest[key] = record
        return {key[PREFIX_LENGTH:]: record for key, record in newest.items()}

    def usage_complete_until(self, now: float) -> float:
        """The time up to which all proxies with a session here have reported their usage.

        Not counting those that are published as silent. Recomputed after `USAGE_AGE_INTERVAL_SECONDS`.
        """
        if now - self._usage_until_computed_at >= USAGE_AGE_INTERVAL_SECONDS:
            values = self._local_records.source.values
            reported = [
                session.usage_until
                for node, session in self._sessions.items()
                if SESSION_PREFIX + node in values and SILENCE_PREFIX + node not in values
            ]
            self._usage_until = min(reported, default=now)
            self._usage_until_computed_at = now
        return self._usage_until

    def may_report_only_to(self, replica: PeerReplica, now: float) -> bool:
        """Whether a proxy has a session at this peer and nowhere else, which has not expired."""
        if self._clock.has_expired(replica.last_contact_at, SESSION_LEASE_SECONDS, now):
            return False
        others = [self._local_records.source, *self._peers.sources()]
        return any(
            key[0] == SESSION_KIND
            and not any(key in source.values for source in others if source is not replica.source)
            for key in replica.source.values
        )

    def recorded_count(self) -> int:
        """Number of proxies with a record at any registry, recounted only after a change."""
        if self._recorded_count_at != self._changes.count:
            sources = [self._local_records.source, *self._peers.sources()]
            keys = {key for source in sources for key in source.values if key[0] == SESSION_KIND}
            self._recorded_count_at = self._changes.count
            self._recorded_count = len(keys)
        return self._recorded_count

    def release_moved(self, keys: Iterable[str]) -> None:
        """Drop sessions that have moved to another registry.

        `keys`: records that another registry has changed. A proxy among them without a pull in progress here
        has moved there.
        """
        for key in keys:
            if key[0] != SESSION_KIND:
                continue
            node = key[PREFIX_LENGTH:]
            session = self._sessions.get(node)
            if session is not None and not session.pulls_in_progress:
                self._drop_record(node)

    def status(self, node: str, now: float) -> SessionStatus | None:
        """The status of a session; None if the proxy has no valid session here."""
        session = self._sessions.get(node)
        if session is None or self._clock.has_expired(session.last_pull_at, SESSION_LEASE_SECONDS, now):
            return None
        return SessionStatus(session.config_index, now - session.last_pull_at)

    def expire(self, now: float) -> None:
        """Drop records with expired leases, and usage report numbers past their retention.

        Proxies that are silent are published as such before, as they may spend their leases on quotas.
        """
        for node, session in list(self._sessions.items()):
            self._publish_silence(node, session, now)
            if self._clock.has_expired(session.last_pull_at, SESSION_LEASE_SECONDS, now):
                if self._local_records.get(SESSION_PREFIX + node) is not None:
                    self._charge_unreported(session)
                self._drop_record(node)
                is_past_retention = now - session.last_pull_at > USAGE_RETENTION_SECONDS
                if is_past_retention and not session.pulls_in_progress:
                    del self._sessions[node]

    def _publish_silence(self, node: str, session: ProxySession, now: float) -> None:
        source = self._local_records.source
        if SESSION_PREFIX + node not in source.values or SILENCE_PREFIX + node in source.values:
            return
        if self._clock.has_expired(session.last_pull_at, SILENT_AFTER_SECONDS, now):
            source.put(SILENCE_PREFIX + node, True)

    def _drop_record(self, node: str) -> None:
        self._local_records.drop(SESSION_PREFIX + node)
        self._local_records.source.drop(LEASE_REPORT_PREFIX + node)
        self._local_records.source.drop(SILENCE_PREFIX + node)
        self._load_reports.remove(node)
