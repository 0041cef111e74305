"""The retry budgets of all proxies together keep the rule BUDGET."""

import random
from dataclasses import dataclass

from ward import each, test

from ashlift.traffic.retry_budget import RetryBudget


@dataclass(frozen=True)
class Bounds:
    """The settings of the rule BUDGET."""

    retry_budget_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 60.0


@test("retries: {proxies} proxies that retry all they can stay in the budget in any window")
def _(proxies: int = each(1, 11, 84)) -> None:
    rng = random.Random(proxies)
    bounds = Bounds()
    budgets = [RetryBudget(bounds) for _ in range(proxies)]
    request_times: list[float] = []
    retry_times: list[float] = []
    for step in range(4000):
        now = 0.01 * step
        for _ in range(2 if step % 1500 < 500 else 1):  # varying load
            budget = rng.choice(budgets)
            budget.record_request(now, "s")
            request_times.append(now)
            if budget.can_retry(now, "s", proxies):
                budget.record_retry(now, "s")
                retry_times.append(now)
    for end in range(10, 40):
        retries = sum(end - 10 <= time < end for time in retry_times)
        requests = sum(end - 10 <= time < end for time in request_times)
        assert retries <= 0.2 * requests + 60
    assert len(retry_times) >= 0.1 * len(request_times)
