"""Rules for workers and zones that must receive no more requests: draining and evacuation."""

from collections.abc import Iterator
from typing import Final

from ashlift.simulation.checkers.checked_history import CheckedHistory
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import EvacuationChange

MISDIRECTED_STATUS: Final = 421  # the request reached a worker that took over the address of another


def check_draining(checked: CheckedHistory) -> Iterator[Violation]:
    """DRAIN: no request reaches a worker later than `Bounds.drain` s after its departure was acknowledged."""
    for request in checked.history.requests:
        for arrival in request.arrivals:
            worker = checked.history.workers[arrival.worker]
            acknowledged, registry = min(
                (worker.draining_acknowledged, worker.draining_registry),
                (worker.deregistered, worker.deregistration_registry),
            )
            if (
                arrival.rejection_status == MISDIRECTED_STATUS
                or arrival.at <= acknowledged + checked.bounds.drain
                or not checked.was_in_contact(arrival.proxy, arrival.at)
            ):
                continue
            description = (
                f"{request.describe()} reached {arrival.worker}, but {registry} "
                f"acknowledged its departure at {acknowledged:.3f}"
            )
            yield Violation("DRAIN", arrival.at, description)


def check_evacuated_zones(checked: CheckedHistory) -> Iterator[Violation]:
    """EVAC: no request reaches a zone `Bounds.evacuation` s after its evacuation was acknowledged."""
    if not checked.history.evacuations:
        return
    for request in checked.history.requests:
        for arrival in request.arrivals:
            zone = checked.history.workers[arrival.worker].zone
            last = _last_evacuation(checked, zone, arrival.at)
            if arrival.rejection_status == MISDIRECTED_STATUS or last is None or not last.evacuated:
                continue
            if checked.must_have_applied(
                arrival.proxy, arrival.at, last.acknowledged, checked.bounds.evacuation
            ):
                description = (
                    f"{request.describe()} reached {arrival.worker} in {zone}, whose evacuation "
                    f"was acknowledged at {last.acknowledged:.3f}"
                )
                yield Violation("EVAC", arrival.at, description)


def _last_evacuation(checked: CheckedHistory, zone: str, at: float) -> EvacuationChange | None:
    evacuations = [
        change for change in checked.history.evacuations if change.zone == zone and change.sent <= at
    ]
    return evacuations[-1] if evacuations else None
