"""Invariants over a whole history, each with one verdict line; a breach of any fails the run.

In the manner of an invariant checker over a recorded history (as Jepsen's checkers read theirs): nothing here
looks at time as it passes, only at what was recorded.

- `one_answer`: every job asked has one final answer. None at all is a breach, except for a job whose
  gatekeeper was killed while it was open: those are reported by gatekeeper, since its client saw the
  connection die. Two answers, or an answer to a job never asked, are breaches.
- `advice`: every refusal (429) says when to come back (`Retry-After`).
- `quota`: per firm, the units served, placed at the time they were asked, against a token bucket of the
  plan's rate and burst. The excess is the most by which any stretch of time exceeds `burst + rate x length`
  (Lindley's recursion over the bucket); it may reach the bound that the design states for the run's faults,
  given as `allowed` units, and no more.
- `crossed`: every fault of the scenario was met: on one of its ways the proxy refused, dropped, reset,
  delayed, duplicated or reordered something (`MET`). A fault that nothing crossed proves nothing, so the run
  fails rather than pass unseen.
"""

from collections import defaultdict
from dataclasses import dataclass

from ashlift.lab.history import History


@dataclass(frozen=True)
class Verdict:
    name: str
    ok: bool
    text: str

    def line(self) -> str:
        return f"{'PASS' if self.ok else 'FAIL'} {self.name}: {self.text}"


def one_answer(history: History) -> Verdict:
    doubled = [job.job for job in history.jobs.values() if len(job.answers) > 1]
    killed: dict[str, int] = defaultdict(int)
    lost = []
    for job in history.jobs.values():
        if job.answers:
            continue
        kill = history.killed.get(job.gatekeeper)
        if kill is not None and kill >= job.asked_at:
            killed[job.gatekeeper] += 1
        else:
            lost.append(job.job)
    told = ", ".join(f"{name} {count}" for name, count in sorted(killed.items()))
    text = f"{len(history.jobs)} jobs; open at a kill: {told or 'none'}"
    faults = [
        f"{len(lost)} unanswered (first {lost[:3]})" if lost else "",
        f"{len(doubled)} answered twice (first {doubled[:3]})" if doubled else "",
        f"{len(history.strays)} answers to no job (first at line {history.strays[0][0]})"
        if history.strays
        else "",
    ]
    breaches = "; ".join(fault for fault in faults if fault)
    return Verdict("one_answer", not breaches, f"{text}; {breaches}" if breaches else text)


def advice(history: History) -> Verdict:
    jobs = history.jobs.values()
    refused = [(job.job, after) for job in jobs for _, status, after in job.answers if status == 429]
    bare = [job for job, after in refused if after is None]
    text = f"{len(refused)} refusals, {len(bare)} without Retry-After"
    return Verdict("advice", not bare, text + (f" (first {bare[:3]})" if bare else ""))


def excess(history: History) -> dict[str, float]:
    """Units served beyond each firm's token bucket, at most over any stretch of the run."""
    served: dict[str, list[tuple[float, float]]] = defaultdict(list)
    plans: dict[str, str] = {}
    for job in history.jobs.values():
        plans[job.firm] = job.plan
        if any(status == 200 for _, status, _ in job.answers):
            served[job.firm].append((job.asked_at, job.units))
    worst: dict[str, float] = {}
    for firm, items in served.items():
        plan = history.plans[plans[firm]]
        items.sort()  # recorded in the order asked were written, which two greenlets may turn
        level, at, most = plan.burst, items[0][0], 0.0
        for t, units in items:
            level = min(plan.burst, level + plan.rate * (t - at) / 1000) - units
            at, most = t, max(most, -level)
        worst[firm] = most
    return worst


def quota(history: History, allowed: float) -> Verdict:
    worst = excess(history)
    firm = max(worst, key=worst.__getitem__, default=None)
    most = worst[firm] if firm is not None else 0.0
    over = sum(value > allowed for value in worst.values())
    text = f"{len(worst)} firms served; most beyond the bucket {most:.1f} units ({firm or '-'})"
    text += f", bound {allowed:g}"
    return Verdict("quota", over == 0, text + (f"; {over} firms over it" if over else ""))


# what a proxy counts of a fault
MET = ("refused", "dropped", "reset", "delayed", "held", "duplicated", "reordered")


def crossed(history: History) -> Verdict:
    """Each fault was met by some traffic: a fault that nothing crossed proves nothing."""
    met = []
    for _, _, what, ways in history.faults:
        hits = sum(history.seen.get((way, seen), 0) for way in ways for seen in MET)
        named = ",".join(ways) if len(ways) <= 4 else f"{len(ways)} ways"
        met.append((f"{what} {named}", hits))
    unmet = [name for name, hits in met if not hits]
    text = "; ".join(f"{name}: {hits} met" for name, hits in met) or "no faults"
    return Verdict("crossed", not unmet, text + (f"; never met: {unmet}" if unmet else ""))


def check(history: History, allowed: float = 0.0) -> list[Verdict]:
    """Every invariant, in a fixed order."""
    return [one_answer(history), advice(history), quota(history, allowed), crossed(history)]
