"""The figures that the door reports, as statsd lines: `svc.fulfilled.C:812|c`, `svc.open_requests:14|g`.

Counts are totals since the start of the process; gauges are what stands now. No input or output.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ashlift.gatekeeper.jobs import Verdict

# The word of each final answer, by class: served, refused and failed.
WORDS = {
    Verdict.SERVED: "fulfilled",
    Verdict.PASSED: "fulfilled",
    Verdict.REFUSED: "throttled",
    Verdict.FAILED: "faulted",
}
RELAYED = "svc.relayed"  # claims whose request was written whole to an execute node
UNSAFE = str.maketrans({":": "_", "|": "_", "\n": "_", "\r": "_", " ": "_", "@": "_", "#": "_"})


def answered(verdict: Verdict, kind: str) -> str:
    """The name of the count that a final answer of this class goes to."""
    return f"svc.{WORDS[verdict]}.{kind.translate(UNSAFE)}"


@dataclass(frozen=True, slots=True)
class Gauges:
    """What stands at one moment."""

    open_requests: int  # taken and not ended
    registry_entries: int  # execute nodes on the machine list
    out_of_rotation: int  # of those, the ones that are avoided now: draining, out by hand, or left out


def lines(counts: Mapping[str, int], classes: Iterable[str], gauges: Gauges) -> bytes:
    """Every count of every class, 0 where nothing happened yet, then the gauges; one statsd line each."""
    names = [
        answered(verdict, kind)
        for kind in classes
        for verdict in (Verdict.SERVED, Verdict.REFUSED, Verdict.FAILED)
    ]
    out = [f"{name}:{counts.get(name, 0)}|c" for name in [*names, RELAYED]]
    out += [
        f"svc.{name}:{value}|g"
        for name, value in (
            ("open_requests", gauges.open_requests),
            ("registry_entries", gauges.registry_entries),
            ("out_of_rotation", gauges.out_of_rotation),
        )
    ]
    return "".join(line + "\n" for line in out).encode()
