"""Converts runs of the whole system, simulated or on processes, to the lab's history format. Pure.

The texts of events and faults are stored and shown in reports unchanged.
"""

import math
from collections.abc import Iterator
from typing import Final

import attrs

from ashlift.lab.checker import Verdict
from ashlift.lab.history import Answer, Job, ProcessEvent, QuotaPlan, RecordedFault
from ashlift.lab.history import History as LabHistory
from ashlift.simulation.checkers.rules import RULE_TEXTS
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import History, Request
from ashlift.simulation.scenario_player import FailedExpectation

MILLISECONDS: Final = 1000.0  # in a second
MIN_FAULT_SECONDS: Final = 0.1  # shorter faults are too narrow to draw
MAX_REQUEST_SECONDS: Final = 3.0  # client timeout: requests sent within it before the end may be open
PLAN_NAME: Final = "system"
UNSETTLED_CORE: Final = "core unsettled"


@attrs.frozen(order=True)
class RunEvent:
    """An event of a machine or worker, or an action of the operator.

    `at`: seconds since the start of the run.
    """

    at: float
    subject: str
    text: str


def to_lab_history(history: History, events: list[RunEvent], rate: float) -> LabHistory:
    """Return a lab history with a job for each request, and the faults and events for reports.

    `events`: of programs, machines and links; `rate`: requests per second.
    """
    lab_history = LabHistory(plans={PLAN_NAME: QuotaPlan(PLAN_NAME, rate, 0.0)})
    for request in history.requests:
        if not _is_open_at_end(request, history.end):
            job = _to_job(request)
            lab_history.jobs[job.id] = job
    lab_history.faults = list(_faults(history))
    all_events = sorted(events + operator_and_worker_events(history))
    lab_history.process_events = [
        ProcessEvent(event.at * MILLISECONDS, event.subject, event.text) for event in all_events
    ]
    return lab_history


def _is_open_at_end(request: Request, end: float) -> bool:
    return request.ended > end and end < request.sent + MAX_REQUEST_SECONDS


def _to_job(request: Request) -> Job:
    job = Job(str(request.id), request.key, PLAN_NAME, 1.0, request.proxy, request.sent * MILLISECONDS)
    if request.status:
        job.answers.append(Answer(request.ended * MILLISECONDS, request.status, None))
    return job


def _faults(history: History) -> Iterator[RecordedFault]:
    """Yield the faults, merging those with the same start and end to a tenth of a second."""
    machines_by_span: dict[tuple[float, float], list[str]] = {}
    for machine, intervals in [*sorted(history.faults.items()), (UNSETTLED_CORE, history.core_unstable)]:
        for interval in intervals:
            ended = min(interval.ended, history.end)
            if ended - interval.started > MIN_FAULT_SECONDS:
                span = (round(interval.started, 1), round(ended, 1))
                machines_by_span.setdefault(span, []).append(machine)
    for (started, ended), machines in sorted(machines_by_span.items()):
        names = list(dict.fromkeys(machines))
        directions = tuple(f"{name}>" for name in names)
        yield RecordedFault(
            started * MILLISECONDS, ended * MILLISECONDS, f"trouble: {', '.join(names)}", directions
        )


def operator_and_worker_events(history: History) -> list[RunEvent]:
    """Return the actions of the operator and of the workers."""
    events: list[RunEvent] = []
    for change in history.changes:
        events.append(RunEvent(change.sent, "operator", f"version {change.version} sent"))
        if change.acknowledged < math.inf:
            events.append(RunEvent(change.acknowledged, "operator", f"version {change.version} taken"))
    for evacuation in history.evacuations:
        verb = "evacuate" if evacuation.evacuated else "restore"
        events.append(RunEvent(evacuation.sent, "operator", f"{verb} {evacuation.zone}"))
    for worker in history.workers.values():
        if worker.draining_acknowledged < math.inf:
            events.append(RunEvent(worker.draining_acknowledged, worker.id, "leaves"))
        if worker.ended < history.end:
            events.append(RunEvent(worker.ended, worker.id, "ended"))
    return events


def rule_verdicts(
    violations: dict[str, Violation | None], failed_expectation: FailedExpectation | None
) -> list[Verdict]:
    """Return a verdict for each rule, and one for the expectations of the scenario."""
    verdicts = []
    for rule, violation in violations.items():
        text = RULE_TEXTS[rule] if violation is None else f"{violation} ({RULE_TEXTS[rule]})"
        verdicts.append(Verdict(rule, violation is None, text))
    expected = str(failed_expectation or "all that the scene expects")
    return [*verdicts, Verdict("expected", failed_expectation is None, expected)]
