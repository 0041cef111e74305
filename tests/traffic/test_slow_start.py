"""Slow start: the assignment of warming workers to proxies, and the rate of one proxy."""

import random

from ward import each, test

from ashlift.traffic.slow_start import SlowStartPacer, assigned_proxies


@test("slow start: assigned proxies are the same for all, spread evenly, and move little")
def _() -> None:
    proxies = [f"edge-{number}" for number in range(11)]
    workers = [f"i-{number:04x}" for number in range(600)]
    assigned = {worker: assigned_proxies(worker, proxies) for worker in workers}
    assert assigned == {worker: assigned_proxies(worker, proxies[::-1]) for worker in workers}
    workers_by_proxy = [sum(proxy in pair for pair in assigned.values()) for proxy in proxies]
    assert min(workers_by_proxy) > 70
    assert max(workers_by_proxy) < 150
    without_first = {worker: assigned_proxies(worker, proxies[1:]) for worker in workers}
    unaffected = [worker for worker in workers if proxies[0] not in assigned[worker]]
    assert all(assigned[worker] == without_first[worker] for worker in unaffected)


@test("slow start: at most rate x share in any sliding second, and not far less (rate {rate})")
def _(rate: float = each(5.3, 1.2, 30.0)) -> None:
    pacer = SlowStartPacer()
    rng = random.Random(1)
    sent_times = list[float]()
    now = 0.0
    while now < 60:
        now += rng.expovariate(40)
        if pacer.can_send(now, "w", rate, 0.5):
            pacer.record_sent(now, "w")
            sent_times.append(now)
    for end in sent_times:
        assert sum(end - 1 < time <= end for time in sent_times) <= max(1, rate / 2)
    assert len(sent_times) >= 60 * min(int(rate / 2) or 1, rate / 2) * 0.8


@test("slow start: a worker that is gone is forgotten, one that is still there keeps its pace")
def _() -> None:
    pacer = SlowStartPacer()
    for worker_id in ("here", "gone"):
        pacer.record_sent(5.0, worker_id)
    pacer.retain_workers({"here"})
    assert not pacer.can_send(5.5, "here", 1.0, 0.5)
    assert pacer.can_send(5.5, "gone", 1.0, 0.5)
