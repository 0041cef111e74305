"""Invariants over a whole history, each with one verdict; a violation of any fails the run.

In the manner of an invariant checker over a recorded history (as Jepsen's checkers read theirs): nothing here
looks at time as it passes, only at what was recorded.

- `one_answer`: every job sent has one final answer. None at all is a violation, except for a job whose
  gatekeeper was killed while it was open: those are counted by gatekeeper, since its client saw the
  connection end. Two answers, or an answer to a job never sent, are violations.
- `advice`: every rejection (429) says when to come back (`Retry-After`).
- `quota`: per firm, the units served, placed at the time they were sent, against a token bucket of the
  plan's rate and burst. The excess is the most by which any stretch of time exceeds `burst + rate x length`
  (Lindley's recursion over the bucket); it may reach the bound that the design states for the run's faults,
  given as `allowed` units, and no more.
- `crossed`: every fault of the scenario was met: in one of its directions the proxy refused, dropped, reset,
  delayed, duplicated or reordered something. A fault that no traffic met proves nothing, so the run fails
  rather than pass unseen.
"""

from collections import defaultdict
from typing import Final

import attrs

from ashlift.lab.history import History

REJECTED_STATUS: Final = 429
SERVED_STATUS: Final = 200
MAX_NAMED_JOBS: Final = 3
MAX_NAMED_DIRECTIONS: Final = 4
# What a fault-injecting proxy counts of a fault.
FAULT_COUNTS: Final = ("refused", "dropped", "reset", "delayed", "held", "duplicated", "reordered")


@attrs.frozen
class Verdict:
    """Whether an invariant holds, with the figures behind it."""

    name: str
    ok: bool
    text: str

    def line(self) -> str:
        """Return the verdict as it is printed."""
        return f"{'PASS' if self.ok else 'FAIL'} {self.name}: {self.text}"


def check_one_answer(history: History) -> Verdict:
    """Check that every job has one final answer."""
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


def check_retry_advice(history: History) -> Verdict:
    """Check that every rejection says when to come back."""
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
    """Return the units served beyond each firm's token bucket, at most over any stretch of the run."""
    served: dict[str, list[tuple[float, float]]] = defaultdict(list)  # ms and units
    plans: dict[str, str] = {}
    for job in history.jobs.values():
        plans[job.firm] = job.plan
        if any(answer.status == SERVED_STATUS for answer in job.answers):
            served[job.firm].append((job.sent_at_ms, job.units))
    worst: dict[str, float] = {}
    for firm, items in served.items():
        plan = history.plans[plans[firm]]
        # Two greenlets of the load driver may have recorded jobs in another order than that of their times.
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
    """Check that no firm was served more than `allowed` units beyond its bucket."""
    worst = quota_excess(history)
    firm = max(worst, key=worst.__getitem__, default=None)
    excess = worst[firm] if firm is not None else 0.0
    over = sum(value > allowed for value in worst.values())
    text = f"{len(worst)} firms served; most beyond the bucket {excess:.1f} units ({firm or '-'})"
    text += f", bound {allowed:g}"
    if over:
        text += f"; {over} firms over it"
    return Verdict("quota", over == 0, text)


def check_faults_met(history: History) -> Verdict:
    """Check that some traffic met each fault."""
    met: list[tuple[str, int]] = []
    for fault in history.faults:
        directions = fault.directions
        count = sum(
            history.proxy_counts.get((direction, kind), 0)
            for direction in directions
            for kind in FAULT_COUNTS
        )
        many = len(directions) > MAX_NAMED_DIRECTIONS
        named = f"{len(directions)} ways" if many else ",".join(directions)
        met.append((f"{fault.text} {named}", count))
    unmet = [name for name, count in met if not count]
    text = "; ".join(f"{name}: {count} met" for name, count in met) or "no faults"
    if unmet:
        text += f"; never met: {unmet}"
    return Verdict("crossed", not unmet, text)


def check_history(history: History, allowed: float = 0.0) -> list[Verdict]:
    """Return the verdicts of all invariants, in a fixed order; `allowed`: units beyond a firm's bucket."""
    return [
        check_one_answer(history),
        check_retry_advice(history),
        check_quota(history, allowed),
        check_faults_met(history),
    ]
