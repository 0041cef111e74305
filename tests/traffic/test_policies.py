"""Retry budget, cold workers."""

import random
from dataclasses import dataclass

from ward import each, test

from ashlift.traffic.retry_budget import RetryBudget
from ashlift.traffic.slow_start import SlowStartPacer, assigned_proxies


@dataclass(frozen=True)
class Bounds:
    retry_budget_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 60.0


@test("retries: {gates} gatekeepers that retry all they can stay in the budget in any window")
def _(gates: int = each(1, 11, 84)) -> None:
    rng, bounds = random.Random(gates), Bounds()
    budgets = [RetryBudget(bounds) for _ in range(gates)]
    requests: list[float] = []
    tries: list[float] = []
    for step in range(4000):
        now = 0.01 * step
        for _ in range(2 if step % 1500 < 500 else 1):  # load comes and goes
            budget = rng.choice(budgets)
            budget.record_request(now, "s")
            requests.append(now)
            if budget.can_retry(now, "s", gates):
                budget.record_retry(now, "s")
                tries.append(now)
    for end in range(10, 40):
        within = [sum(end - 10 <= time < end for time in times) for times in (tries, requests)]
        assert within[0] <= 0.2 * within[1] + 60
    assert len(tries) >= 0.1 * len(requests)


@test("cold: owners are the same for all, spread evenly, and move little")
def _() -> None:
    members = [f"edge-{at}" for at in range(11)]
    workers = [f"i-{at:04x}" for at in range(600)]
    before = {worker: assigned_proxies(worker, members) for worker in workers}
    assert before == {worker: assigned_proxies(worker, members[::-1]) for worker in workers}
    owned = [sum(member in pair for pair in before.values()) for member in members]
    assert min(owned) > 70 and max(owned) < 150
    after = {worker: assigned_proxies(worker, members[1:]) for worker in workers}
    assert all(before[w] == after[w] for w in workers if members[0] not in before[w])


@test("cold: at most rate x share in any second that slides, and not far less (rate {rate})")
def _(rate: float = each(5.3, 1.2, 30.0)) -> None:
    pace, rng, sent, now = SlowStartPacer(), random.Random(1), list[float](), 0.0
    while now < 60:
        now += rng.expovariate(40)
        if pace.can_send(now, "w", rate, 0.5):
            pace.record_sent(now, "w")
            sent.append(now)
    assert all(sum(at - 1 < time <= at for time in sent) <= max(1, rate / 2) for at in sent)
    assert len(sent) >= 60 * min(int(rate / 2) or 1, rate / 2) * 0.8


@test("cold: what is gone is forgotten, what is still there keeps its pace")
def _() -> None:
    pace = SlowStartPacer()
    for worker in ("here", "gone"):
        pace.record_sent(5.0, worker)
    pace.retain_workers({"here"})
    assert not pace.can_send(5.5, "here", 1.0, 0.5) and pace.can_send(5.5, "gone", 1.0, 0.5)
