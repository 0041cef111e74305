"""What gatekeepers say of workers with their calls, summed in the own source. Pure.

`o/ID`: requests under way. `f/ID`: [failures of late, requests, gatekeepers that saw failures], the first two
in tenths.

Sums that have moved enough are told: each is pulled by all gatekeepers.
"""

from collections.abc import Callable, Mapping
from typing import Any, Final

import attrs

from ashlift.registry.replicated_source import FAULT, OUT, ReplicatedSource

OUT_GRAIN, OUT_LEAST = 0.3, 2.0  # x capacity, and requests: so far off may those told to be under way be
SAW: Final = 3  # tenths of a failure, from which on a gatekeeper has seen any
FAULT_GRAIN: Final = 7  # tenths of a failure: so far off may those told be,
RUN_GRAIN, RUN_LEAST = 0.3, 20  # x requests, and tenths of them


@attrs.define
class LoadReport:
    """What one gatekeeper last said, by worker."""

    outs: dict[str, int] = attrs.field(factory=dict)
    faults: dict[str, tuple[int, int]] = attrs.field(factory=dict)

    @classmethod
    def read(cls, body: Mapping[str, Any]) -> "LoadReport":
        """Raises KeyError, TypeError or ValueError for what is none."""
        outs, faults = dict(body.get("outs") or {}), dict(body.get("faults") or {})
        return cls(
            {str(key): int(count) for key, count in outs.items()},
            {str(key): (int(failed), int(ran)) for key, (failed, ran) in faults.items()},
        )


class LoadReports:
    def __init__(self, own: ReplicatedSource, capacity: Callable[[str], int | None]) -> None:
        """`capacity` of a worker; None: it is not known."""
        self._own, self._capacity = own, capacity
        self._said: dict[str, LoadReport] = {}

    def said(self, node: str, said: LoadReport) -> None:
        """A gatekeeper's figures are now these; none: it is gone."""
        before = self._said.pop(node, LoadReport())
        if said.outs or said.faults:
            self._said[node] = said
        for key in before.outs.keys() | said.outs.keys():
            if before.outs.get(key) != said.outs.get(key):
                self._out(key)
        for key in before.faults.keys() | said.faults.keys():
            if before.faults.get(key) != said.faults.get(key):
                self._fault(key)

    def _out(self, key: str) -> None:
        total = sum(one.outs.get(key, 0) for one in self._said.values())
        told, capacity = self._own.values.get(OUT + key, 0), self._capacity(key)
        if not total or capacity is None:
            self._own.drop(OUT + key)
        elif abs(total - told) >= max(OUT_LEAST, OUT_GRAIN * capacity):
            self._own.put(OUT + key, total)

    def _fault(self, key: str) -> None:
        told = self._own.values.get(FAULT + key)
        found = [one.faults[key] for one in self._said.values() if key in one.faults]
        failed, ran = sum(one[0] for one in found), sum(one[1] for one in found)
        saw = sum(one[0] >= SAW for one in found)
        if not ran or self._capacity(key) is None:
            self._own.drop(FAULT + key)
        elif (
            told is None
            or abs(failed - told[0]) >= FAULT_GRAIN
            or abs(ran - told[1]) >= max(RUN_LEAST, RUN_GRAIN * told[1])
            or (saw == 0) != (told[2] == 0)
        ):
            self._own.put(FAULT + key, [failed, ran, saw])
