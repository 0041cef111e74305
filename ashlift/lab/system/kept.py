"""Runs of the whole system, simulated or of processes, as the lab keeps and reports them."""

import math

from ashlift.lab.checker import Verdict
from ashlift.lab.history import History as LabHistory
from ashlift.lab.history import Job, Plan
from ashlift.simulation.checkers.rules import RULE_TEXTS
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import History
from ashlift.simulation.scenario_player import FailedExpectation

MS = 1000.0
SEEN_S = 0.1  # shorter troubles are no span to be drawn
Did = list[tuple[float, str, str]]  # s, machine or worker, what


def as_lab(history: History, did: Did, rate: float) -> LabHistory:
    """Each request is a job; troubles of machines, the core's unrest and orders are what befell the run."""
    found = LabHistory(plans={"system": Plan("system", rate, 0.0)})
    for one in history.requests:
        if one.ended > history.end and history.end < one.sent + 3.0:
            continue  # still under way at the end
        job = Job(str(one.id), one.key, "system", 1.0, one.proxy, one.sent * MS)
        if one.status:
            job.answers.append((one.ended * MS, one.status, None))
        found.jobs[job.job] = job
    together: dict[tuple[float, float], list[str]] = {}  # of the same span, to a tenth of a second
    for machine, spans in [*sorted(history.faults.items()), ("core unsettled", history.core_unsettled)]:
        for interval in spans:
            since, until = interval.started, interval.ended
            if min(until, history.end) - since > SEEN_S:
                span = round(since, 1), round(min(until, history.end), 1)
                together.setdefault(span, []).append(machine)
    for (since, until), names in sorted(together.items()):
        ways = tuple(f"{name}>" for name in dict.fromkeys(names))
        found.faults.append((since * MS, until * MS, f"trouble: {', '.join(dict.fromkeys(names))}", ways))
    found.processes = [(at * MS, who, what) for at, who, what in sorted(did + orders(history))]
    return found


def orders(history: History) -> Did:
    """What the operator and the workers did."""
    told: Did = []
    for change in history.changes:
        told.append((change.sent, "operator", f"version {change.version} sent"))
        if change.acknowledged < math.inf:
            told.append((change.acknowledged, "operator", f"version {change.version} taken"))
    for order in history.evacuations:
        told.append((order.sent, "operator", f"{'evacuate' if order.evacuated else 'restore'} {order.zone}"))
    for worker in history.workers.values():
        if worker.draining_acknowledged < math.inf:
            told.append((worker.draining_acknowledged, worker.id, "leaves"))
        if worker.ended < history.end:
            told.append((worker.ended, worker.id, "ended"))
    return told


def lines(found: dict[str, Violation | None], failed: FailedExpectation | None) -> list[Verdict]:
    """A verdict a rule, and one of the scene's expectations."""
    told = [
        Verdict(
            rule,
            violation is None,
            RULE_TEXTS[rule] if violation is None else f"{violation} ({RULE_TEXTS[rule]})",
        )
        for rule, violation in found.items()
    ]
    return [*told, Verdict("expected", failed is None, str(failed or "all that the scene expects"))]
