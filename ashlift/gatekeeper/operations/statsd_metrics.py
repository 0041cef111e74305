"""Metrics of the admin port as statsd lines: `svc.fulfilled.C:812|c`, `svc.open_requests:14|g`. No I/O.

Counters are totals since the process started.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ashlift.gatekeeper.jobs import Verdict

OUTCOMES = {
    Verdict.SERVED: "fulfilled",
    Verdict.PASSED: "fulfilled",
    Verdict.REFUSED: "throttled",
    Verdict.FAILED: "faulted",
}
RELAYED_COUNTER = "svc.relayed"  # attempts whose request was written completely to an execute node
ESCAPED_CHARACTERS = str.maketrans({":": "_", "|": "_", "\n": "_", "\r": "_", " ": "_", "@": "_", "#": "_"})


def outcome_counter(verdict: Verdict, request_class: str) -> str:
    """Name of the counter of this outcome for a class of requests."""
    return f"svc.{OUTCOMES[verdict]}.{request_class.translate(ESCAPED_CHARACTERS)}"


@dataclass(frozen=True, slots=True)
class Gauges:
    """Current values."""

    open_requests: int  # received and not finished
    registry_entries: int  # execute nodes on the machine list
    out_of_rotation: int  # of those: draining, in maintenance or ejected


def format_metrics(counts: Mapping[str, int], classes: Iterable[str], gauges: Gauges) -> bytes:
    """One statsd line for each counter of every class (0 if it never counted) and for each gauge."""
    names = [
        outcome_counter(verdict, request_class)
        for request_class in classes
        for verdict in (Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED)
    ]
    out = [f"{name}:{counts.get(name, 0)}|c" for name in [*names, RELAYED_COUNTER]]
    out += [
        f"svc.{name}:{value}|g"
        for name, value in (
            ("open_requests", gauges.open_requests),
            ("registry_entries", gauges.registry_entries),
            ("out_of_rotation", gauges.out_of_rotation),
        )
    ]
    return "".join(line + "\n" for line in out).encode()
