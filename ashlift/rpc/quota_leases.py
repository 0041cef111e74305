"""Leases on shares of tenants' quotas, as proxies report them and registries grant them. No I/O.

A proxy that is cut off may spend its leased share of a quota and no more. Shares are thousandths of a quota.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

FULL_QUOTA: Final = 1000


class TablePosition(NamedTuple):
    """The order of the tables of one quota: a table with a higher position replaces one with a lower one.

    `term`: of the leader of the configuration store beside which the table was made. `revision`: increases
    with each change in a term.
    """

    term: int
    revision: int


NO_TABLE: Final = TablePosition(-1, 0)


class LeaseReport(NamedTuple):
    """The share of one quota that a proxy asks for, and the one that it holds by the newest table it has."""

    wanted: int
    held: int
    position: TablePosition

    @classmethod
    def from_wire(cls, wire: Any) -> "LeaseReport":
        """Decode a report. Raises TypeError or ValueError if it is malformed."""
        wanted, held, position = wire
        if not 0 <= wanted <= FULL_QUOTA or not 0 <= held <= FULL_QUOTA:
            raise ValueError(f"share out of range: {wire}")
        return cls(int(wanted), int(held), _position(position))


class LeaseTable(NamedTuple):
    """All granted shares of one quota, by proxy."""

    position: TablePosition
    shares: Mapping[str, int]

    @classmethod
    def from_wire(cls, wire: Any) -> "LeaseTable":
        """Decode a table. Raises TypeError or ValueError if it is malformed."""
        position, shares = wire
        return cls(_position(position), {str(proxy): int(share) for proxy, share in dict(shares).items()})


def _position(wire: Any) -> TablePosition:
    term, revision = wire
    return TablePosition(int(term), int(revision))
