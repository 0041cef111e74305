"""The account of all leases on shares of quotas: who holds what, and what may be granted. No I/O.

One registry at a time grants, by the reports of all proxies. Times are monotonic, in seconds; shares are
thousandths of a quota.

The leases of one quota never exceed it in sum. A share counts as taken as long as its proxy may hold to it:
until the proxy has reported a table that grants it less, as an older one may still be on its way. A proxy
that does not report holds to its lease for its lifetime, after which the tables omit it; what it has spent
leaves the window of the rule QUOTA, and its share is free for others. Who begins to grant waits for a
lifetime, and for tables on their way, as leases may be out that are not in its account; those end meanwhile.
"""

import math
from collections.abc import Iterable, Mapping
from typing import Final

from ashlift.invariants import Invariant, monitor
from ashlift.rpc.quota_leases import FULL_QUOTA, NO_TABLE, LeaseReport, LeaseTable, TablePosition

MAX_TRANSIT_SECONDS: Final = 1.5  # of a table, from the registry that grants to a proxy
NodeReports = Mapping[str, LeaseReport]  # of one proxy, by tenant
LeaseTables = dict[str, LeaseTable]  # by tenant


class _Lease:
    """What one proxy holds of one quota, has been granted and asks for.

    `peak`: the largest share granted since the proxy has reported the table at `position`, the first one with
    the share that is granted now. `reported`: the newest table that the proxy has reported.
    """

    __slots__ = ("granted", "held", "last_known_at", "peak", "position", "reported", "wanted")

    def __init__(self) -> None:
        self.wanted = self.held = self.granted = self.peak = 0
        self.position = self.reported = NO_TABLE
        self.last_known_at = -math.inf

    @property
    def taken(self) -> int:
        """The share that the proxy may hold to."""
        return max(self.peak, self.held)

    def set_granted(self, share: int, position: TablePosition) -> None:
        """Grant a share from the table at this position on."""
        if share != self.granted:
            self.granted = share
            self.peak = max(self.peak, share)
            self.position = position

    def observe(self, now: float, report: LeaseReport, published: TablePosition) -> None:
        """Record the proxy's report, unless it is an older one that a registry has kept.

        `published`: position of the newest table of this account. A report that names a later one has heard
        of a table of this registry from before its restart, and says nothing of those of this account.
        """
        if report.position < self.reported:
            return
        self.reported = report.position
        self.wanted = report.wanted
        self.held = report.held
        self.last_known_at = now
        if self.position <= report.position <= published:
            self.peak = self.granted

    def observe_nothing(self, now: float) -> None:
        """The proxy neither holds nor asks for a share."""
        self.wanted = self.held = 0
        self.last_known_at = now


class QuotaAccount:
    """Leases by tenant and proxy."""

    def __init__(self, lifetime_seconds: float, window_seconds: float, is_first: bool = False) -> None:
        """`lifetime_seconds`: of a lease. `window_seconds`: of the rule QUOTA.

        `is_first`: the system starts for the first time, so that no other registry can have granted anything.
        """
        self._is_first = is_first
        self._lifetime_seconds = lifetime_seconds
        self._retention_seconds = lifetime_seconds + window_seconds
        self._leases: dict[str, dict[str, _Lease]] = {}
        self._tables: LeaseTables = {}  # granted by this registry
        self._grants_since = math.inf  # since when it has been the one that grants
        self._published = NO_TABLE
        self._latest_seen = NO_TABLE  # position of a table that a proxy has heard of

    def observe(self, now: float, reports: Mapping[str, NodeReports]) -> None:
        """Update the account from the newest report of each proxy that has a session."""
        for node, by_tenant in reports.items():
            for tenant, report in by_tenant.items():
                self._is_first &= bool(self._tables) or report.position == NO_TABLE
                self._latest_seen = max(self._latest_seen, report.position)
                leases = self._leases.setdefault(tenant, {})
                leases.setdefault(node, _Lease()).observe(now, report, self._published)
        for tenant, leases in self._leases.items():
            for node, lease in leases.items():
                if node in reports and tenant not in reports[node]:
                    lease.observe_nothing(now)
        self._forget(now)

    def _forget(self, now: float) -> None:
        for tenant, leases in list(self._leases.items()):
            for node, lease in list(leases.items()):
                is_unused = not lease.taken and not lease.wanted
                if is_unused or now - lease.last_known_at > self._retention_seconds:
                    del leases[node]
            if not leases:
                del self._leases[tenant]

    # ---- granting

    def stop_granting(self, other_grants: bool) -> None:
        """None of the leases here is known to be in force later, as another registry may grant."""
        self._is_first &= not self._tables and not other_grants
        self._grants_since = math.inf
        self._tables = {}
        self._leases = {}

    def grant(self, now: float, term: int) -> LeaseTables:
        """The table of each quota with leases. The caller must be the only registry that grants."""
        self._grants_since = min(self._grants_since, now)
        is_waiting = now - self._grants_since < self._lifetime_seconds + MAX_TRANSIT_SECONDS
        if is_waiting and not self._is_first:
            return {}
        position = self._next_position(term)
        tables: LeaseTables = {}
        for tenant, leases in self._leases.items():
            self._lower(now, leases.values(), position)
            _raise(now, leases.values(), position)
            taken = sum(lease.taken for lease in leases.values())
            monitor.check(taken <= FULL_QUOTA, Invariant.QUOTA_LEASES, tenant=tenant, taken=taken)
            shares = {node: lease.granted for node, lease in leases.items() if lease.granted}
            known = self._tables.get(tenant)
            is_current = known is not None and known.shares == shares and known.position.term == term
            tables[tenant] = known if known is not None and is_current else LeaseTable(position, shares)
        self._tables = tables
        self._published = position
        return tables

    def _next_position(self, term: int) -> TablePosition:
        """A position after all that any proxy has heard of: this registry may have restarted in the term."""
        latest = max(self._published, self._latest_seen)
        return TablePosition(term, latest.revision + 1 if latest.term == term else 1)

    def _lower(self, now: float, leases: Iterable[_Lease], position: TablePosition) -> None:
        """Grant no more than is asked for, and nothing to a proxy that has been silent for a lifetime."""
        for lease in leases:
            if lease.last_known_at == now:
                lease.set_granted(min(lease.granted, lease.wanted), position)
            elif now - lease.last_known_at > self._lifetime_seconds:
                lease.set_granted(0, position)


def _raise(now: float, leases: Iterable[_Lease], position: TablePosition) -> None:
    """Grant what is asked for, as far as there is room; all that ask get the same part of it."""
    asking = [lease for lease in leases if lease.last_known_at == now and lease.wanted > lease.granted]
    for lease in asking:
        lease.set_granted(min(lease.wanted, lease.taken), position)
    room = FULL_QUOTA - sum(lease.taken for lease in leases)
    asked = sum(lease.wanted - lease.granted for lease in asking)
    if room <= 0 or not asked:
        return
    part = min(1.0, room / asked)
    for lease in asking:
        lease.set_granted(lease.granted + int(part * (lease.wanted - lease.granted)), position)
