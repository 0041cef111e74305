"""Leases on shares of quotas at a registry: collects the reports of all proxies, and publishes grants.

Does no I/O. The registry beside the leader of the configuration store grants. Two never do at the same time:
a leader that has lost its majority ends before another one begins, and that one's registry grants nothing
until all that may have been granted before has ended (`ashlift.registry.quota_account`).
"""

from collections.abc import Mapping
from typing import Final

from ashlift.registry.local_records import LocalRecords
from ashlift.registry.peer_registries import PeerRegistries
from ashlift.registry.quota_account import NodeReports, QuotaAccount
from ashlift.registry.record_keys import (
    LEASE_REPORT_KIND,
    LEASE_TABLE_KIND,
    LEASE_TABLE_PREFIX,
    PREFIX_LENGTH,
)
from ashlift.rpc.quota_leases import LeaseReport, LeaseTable

ACCOUNT_INTERVAL_SECONDS: Final = 0.25


class QuotaLeases:
    """Runs the account of this registry."""

    def __init__(
        self,
        local_records: LocalRecords,
        peers: PeerRegistries,
        lifetime_seconds: float,
        window_seconds: float,
        is_first: bool,
    ) -> None:
        """`lifetime_seconds`, `window_seconds` and `is_first`: as for `QuotaAccount`."""
        self._source = local_records.source
        self._peers = peers
        self._account = QuotaAccount(lifetime_seconds, window_seconds, is_first)
        self._updated_at = -ACCOUNT_INTERVAL_SECONDS

    def update(self, now: float, grants: bool, other_leads: bool, term: int) -> None:
        """Update the account, and publish what is granted if this registry `grants`.

        `other_leads`: the leader of the store is on another machine, whose registry may grant.
        """
        if 0.0 <= now - self._updated_at < ACCOUNT_INTERVAL_SECONDS:
            return
        self._updated_at = now
        if grants:
            self._account.observe(now, self._reports())
            self._publish(self._account.grant(now, term))
        else:
            self._account.stop_granting(other_leads)
            self._publish({})

    def _publish(self, tables: Mapping[str, LeaseTable]) -> None:
        for tenant, table in tables.items():
            key = LEASE_TABLE_PREFIX + tenant
            if self._source.values.get(key) != table:
                self._source.put(key, table)
        for key in [key for key in self._source.values if key[0] == LEASE_TABLE_KIND]:
            if key[PREFIX_LENGTH:] not in tables:
                self._source.drop(key)

    def _reports(self) -> dict[str, NodeReports]:
        """The reports of each proxy; of one that has moved between registries, the newest by its table."""
        reports: dict[str, NodeReports] = {}
        for source in (self._source, *self._peers.sources()):
            for key, by_tenant in source.values.items():
                if key[0] == LEASE_REPORT_KIND:
                    node = key[PREFIX_LENGTH:]
                    known = reports.get(node)
                    reports[node] = by_tenant if known is None else _newest(known, by_tenant)
        return reports


def _newest(first: NodeReports, second: NodeReports) -> NodeReports:
    """Of two reports of one proxy those with the newer table; of the same table, what is safe for both."""
    merged = dict(first)
    for tenant, other in second.items():
        one = merged.get(tenant)
        if one is None or other.position > one.position:
            merged[tenant] = other
        elif other.position == one.position:
            merged[tenant] = LeaseReport(
                min(one.wanted, other.wanted), max(one.held, other.held), one.position
            )
    return merged
