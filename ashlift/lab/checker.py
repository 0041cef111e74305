"""Checks invariants over the recorded history of a run, with a verdict for each; any violation fails the run.

- `one_answer`: every job has exactly one answer. A job without an answer is a violation unless its gatekeeper
  was killed while the job was open; those jobs are only counted, as their clients saw the connection end. Two
  answers, or an answer to a job that was never sent, are violations.
- `advice`: every rejection (429) has a `Retry-After` header.
- `quota`: the units served to each firm, by the time of sending, conform to a token bucket with the rate and
  burst of its plan. The excess is the maximum over all intervals of the units beyond `burst + rate x length`
  (computed by Lindley's recursion); it must not exceed `allowed` units, the bound for the faults of the run.
- `crossed`: every fault of the scenario affected traffic: in one of its directions the proxy refused,
  dropped, reset, delayed, held, duplicated or reordered something. A fault without traffic tests nothing.
"""

from collections import defaultdict
from typing import Final

import attrs

from ashlift.lab.history import History

REJECTED_STATUS: Final = 429
SERVED_STATUS: Final = 200
MAX_NAMED_JOBS: Final = 3
MAX_NAMED_DIRECTIONS: Final = 4
# Actions of a fault-injecting proxy that count as an effect of a fault.
FAULT_COUNTS: Final = ("refused", "dropped", "reset", "delayed", "held", "duplicated", "reordered")


@attrs.frozen
class Verdict:
    """Whether an invariant holds, with supporting figures."""

    name: str
    ok: bool
    text: str

    def line(self) -> str:
        """Return the verdict as one line of output."""
        return f"{'PASS' if self.ok else 'FAIL'} {self.name}: {self.text}"


def check_one_answer(history: History) -> Verdict:
    """Check that every job has exactly one answer."""
    doubled = [job.id for job in history.jobs.values() if len(job.answers) > 1]
    open_at_kill: dict[str, int] = defaultdict(int)
    lost = []
    for job in history.jobs.values():
        if job.answers:
            continue
        killed_at_ms = history.killed_at_ms.get(job.gatekeeper)
        if killed_at_ms is not None and killed_at_ms >= job.sent_at_ms:
            open_at_kill[job.gatekeeper] += 1
        else:
            lost.append(job.id)
    problems = []
    if lost:
        problems.append(f"{len(lost)} unanswered (first {lost[:MAX_NAMED_JOBS]})")
    if doubled:
        problems.append(f"{len(doubled)} answered twice (first {doubled[:MAX_NAMED_JOBS]})")
    strays = history.stray_answers
    if strays:
        problems.append(f"{len(strays)} answers to no job (first at line {strays[0].line})")
    killed = ", ".join(f"{name} {count}" for name, count in sorted(open_at_kill.items()))
    text = f"{len(history.jobs)} jobs; open at a kill: {killed or 'none'}"
    return Verdict("one_answer", not problems, "; ".join([text, *problems]))


def check_retry_after(history: History) -> Verdict:
    """Check that every rejection has a `Retry-After` header."""
    rejections = [
        (job.id, answer.retry_after)
        for job in history.jobs.values()
        for answer in job.answers
        if answer.status == REJECTED_STATUS
    ]
    without = [job for job, retry_after in rejections if retry_after is None]
    text = f"{len(rejections)} refusals, {len(without)} without Retry-After"
    if without:
        text += f" (first {without[:MAX_NAMED_JOBS]})"
    return Verdict("advice", not without, text)


def quota_excess(history: History) -> dict[str, float]:
    """Return for each firm the maximum units served beyond its token bucket over any interval."""
    served: dict[str, list[tuple[float, float]]] = defaultdict(list)  # time sent in ms, units
    plans: dict[str, str] = {}
    for job in history.jobs.values():
        plans[job.firm] = job.plan
        if any(answer.status == SERVED_STATUS for answer in job.answers):
            served[job.firm].append((job.sent_at_ms, job.units))
    worst: dict[str, float] = {}
    for firm, items in served.items():
        plan = history.plans[plans[firm]]
        # Greenlets of the load driver may record jobs out of order.
        items.sort()
        level = plan.burst
        previous_ms = items[0][0]
        excess = 0.0
        for at_ms, units in items:
            level = min(plan.burst, level + plan.rate * (at_ms - previous_ms) / 1000) - units
            previous_ms = at_ms
            excess = max(excess, -level)
        worst[firm] = excess
    return worst


def check_quota(history: History, allowed: float) -> Verdict:
    """Check that no firm was served more than `allowed` units beyond its token bucket."""
    worst = quota_excess(history)
    firm = max(worst, key=worst.__getitem__, default=None)
    excess = worst[firm] if firm is not None else 0.0
    over = sum(value > allowed for value in worst.values())
    text = f"{len(worst)} firms served; most beyond the bucket {excess:.1f} units ({firm or '-'})"
    text += f", bound {allowed:g}"
    if over:
        text += f"; {over} firms over it"
    return Verdict("quota", over == 0, text)


def check_faults_exercised(history: History) -> Verdict:
    """Check that each fault affected traffic."""
    exercised: list[tuple[str, int]] = []
    for fault in history.faults:
        directions = fault.directions
        count = sum(
            history.proxy_counts.get((direction, kind), 0)
            for direction in directions
            for kind in FAULT_COUNTS
        )
        many = len(directions) > MAX_NAMED_DIRECTIONS
        named = f"{len(directions)} ways" if many else ",".join(directions)
        exercised.append((f"{fault.text} {named}", count))
    unexercised = [name for name, count in exercised if not count]
    text = "; ".join(f"{name}: {count} met" for name, count in exercised) or "no faults"
    if unexercised:
        text += f"; never met: {unexercised}"
    return Verdict("crossed", not unexercised, text)


def check_history(history: History, allowed: float = 0.0) -> list[Verdict]:
    """Return the verdicts of all invariants in a fixed order; `allowed`: as for `check_quota`."""
    return [
        check_one_answer(history),
        check_retry_after(history),
        check_quota(history, allowed),
        check_faults_exercised(history),
    ]
