"""Behaviour of forty gateways together, in simulated time: balance, overload, quotas and failures."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from ashlift.gatekeeper.admission import interface as i
from tests.gatekeeper.fleet import SETTINGS, Fleet


def replace_nodes(fleet: Fleet, share: float) -> list[str]:
    """Replaces this share of the nodes by cold ones; returns their names."""
    old = sorted(fleet.nodes)[: round(share * len(fleet.nodes))]
    new = [f"x{name}" for name in old]
    for name in new:
        fleet.nodes[name] = type(fleet.nodes[old[0]])(started=fleet.now)
        fleet.listed[name] = fleet.now
    for name in old:
        del fleet.listed[name]
    for index in fleet.up:
        fleet.send_list(index, complete=True)
    return new


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_cold_replacements_of_six_nodes_in_ten_get_work_by_their_capacity(seed: int) -> None:
    # Each gateway has no request at most nodes; picking the least loaded first would starve cold nodes.
    fleet = Fleet(seed=seed)
    fleet.arrivals(100.0, 9000.0)
    fleet.run(3000.0)
    new = replace_nodes(fleet, 0.6)
    since = fleet.now
    fleet.run(5000.0)
    got = Counter({name: sum(at >= since for at in node.request_times) for name, node in fleet.nodes.items()})
    # The 36 new nodes have a quarter to a half of the speed of the other 24: 0.27 to 0.43 of the capacity.
    assert 0.12 < sum(got[name] for name in new) / got.total() < 0.45
    # The limit in any 1.5 s is 2.5 times what two slots can do at the node's speed, at 400 ms each.
    for name in new:
        times = [at for at in fleet.nodes[name].request_times if at >= since]
        for at in times:
            most = 2.5 * 2 * fleet.nodes[name].speed(at) * SETTINGS.cold_load_window_ms / fleet.work_ms
            assert sum(at <= other < at + SETTINGS.cold_load_window_ms for other in times) <= most + 2


def test_uneven_load_over_forty_gateways_is_not_taken_for_overload() -> None:
    # 70 % utilization with uneven traffic: gateways have 4 requests in flight on average, at times 8.
    refused = 0
    for seed in range(1, 7):
        fleet, draw = Fleet(seed=seed), random.Random(seed)

        def request(_: int, fleet: Fleet = fleet, draw: random.Random = draw) -> None:
            fleet.request(int(40 * draw.betavariate(1.0, 1.5)))

        fleet.arrivals(210.0, 6000.0, request)
        fleet.run(6000.0)
        refused += fleet.refused.total()
    assert refused <= 60  # of 7,500


def test_overload_of_too_few_nodes_is_limited() -> None:
    # Three times the capacity: admitted requests must still complete in time.
    fleet = Fleet(nodes=20)
    fleet.arrivals(300.0, 40_000.0)
    fleet.run(20_000.0)
    before = fleet.served.total()
    fleet.run(20_000.0)
    assert fleet.refused.total() > 0.5 * (fleet.served.total() + fleet.refused.total())
    assert fleet.served.total() - before > 0.8 * 20 * 100  # 20 nodes can do 100 requests a second


def test_an_added_server_changes_a_subset_by_one_and_subsets_cover_servers_evenly() -> None:
    fleet = Fleet()
    before = {index: {view.entry.name for view in gateway.subset} for index, gateway in fleet.up.items()}
    assert {len(names) for names in before.values()} == {18}
    covered = Counter(name for names in before.values() for name in names)
    assert len(covered) == 60 and max(covered.values()) - min(covered.values()) <= 2
    fleet.listed["one more"] = 0.0
    for index in fleet.up:
        fleet.send_list(index, complete=True)
    after = {index: {view.entry.name for view in gateway.subset} for index, gateway in fleet.up.items()}
    assert max(len(before[index] - after[index]) for index in before) <= 2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_and_connections_stay_balanced_while_most_gateways_are_down(seed: int) -> None:
    fleet = Fleet(seed=seed)
    draw = random.Random(seed)
    for index in draw.sample(sorted(fleet.up), 28):
        fleet.kill(index)
    fleet.arrivals(100.0, 20_000.0)
    fleet.run(20_000.0)
    got = [len(node.request_times) for node in fleet.nodes.values()]
    mean = sum(got) / len(got)
    # Twelve subsets of 3/10 of the nodes each leave 1 node in 70 uncovered.
    assert max(got) <= 2.5 * mean and sum(count < 0.2 * mean for count in got) <= 6
    assert max(fleet.connections.values()) <= 8  # of the twelve gateways


QUOTAS = replace(
    SETTINGS, counter_enabled=True, plans=(i.Plan(rate=0.5, burst=3.0, over_quota_cost_ratio=1.2),)
)


def count_over_quota(times: list[float], plan: i.Plan) -> int:
    """Number of requests at these times beyond the quota's token bucket."""
    tokens, last, over = plan.burst, times[0], 0
    for at in times:
        tokens, last = min(plan.burst, tokens + (at - last) * plan.rate / 1000), at
        over += tokens < 1
        tokens -= tokens >= 1
    return over


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_counter_with_half_the_needed_capacity_is_called_before_decisions(seed: int) -> None:
    # 120 customers send three times their quota, each over 30 gateways. A counter call after the decision
    # would come too late for it and use up the capacity for the next request.
    fleet = Fleet(seed=seed, settings=QUOTAS, calls_per_s=200.0)
    draw = random.Random(seed)

    def request(_: int) -> None:
        customer = draw.randrange(120)
        fleet.request((customer + draw.randrange(30)) % 40, f"{customer:016x}", set_size=30)

    fleet.arrivals(180.0, 20_000.0, request)
    fleet.run(24_000.0)
    over = sum(count_over_quota(times, QUOTAS.plans[0]) for times in fleet.admitted.values())
    assert over <= 0.41 * sum(map(len, fleet.admitted.values()))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_without_a_counter_call_are_admitted_by_the_results_of_others(seed: int) -> None:
    # The counter takes two requests in three. 30 customers send twelve times their quota, 900 a quarter of
    # theirs, each over 30 gateways.
    fleet = Fleet(seed=seed, settings=QUOTAS, calls_per_s=200.0)
    draw = random.Random(seed)

    def request(_: int) -> None:
        customer = draw.randrange(30) if draw.random() < 0.6 else 30 + draw.randrange(900)
        fleet.request((customer + draw.randrange(30)) % 40, f"{customer:016x}", set_size=30)

    fleet.arrivals(300.0, 20_000.0, request)
    fleet.run(24_000.0)
    admitted = sum(map(len, fleet.admitted.values()))
    over = sum(count_over_quota(times, QUOTAS.plans[0]) for times in fleet.admitted.values())
    # Neither admitting nor refusing all requests without a counter call is enough: the second bound is on the
    # value of the admitted requests less the charge for those over the quota.
    assert over <= 0.21 * admitted
    assert admitted - over - QUOTAS.plans[0].over_quota_cost_ratio * over >= 1600


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_failure_of_a_third_of_the_nodes_without_a_list_update_costs_few_requests(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.arrivals(100.0, 15_000.0)
    fleet.run(3000.0)
    gone = sorted(fleet.nodes)[::3]
    for name in gone:
        fleet.nodes[name].up = False
    before = fleet.refused.total()
    fleet.run(12_000.0)
    # Each gateway detects the failures itself: at first 1 request in 27 gets three dead nodes. Then each of
    # the 12 gateways of a node retries the connection after 1, 2, 4 and 8 s.
    assert fleet.refused.total() - before <= 0.024 * 1200
    assert max(fleet.failed_connections[name] for name in gone) <= 12 * 6

    for name in gone:
        fleet.nodes[name] = type(fleet.nodes[name])(started=fleet.now)
        fleet.listed[name] = fleet.now
    for index in fleet.up:
        fleet.send_list(index, complete=True)
    since = fleet.now
    fleet.arrivals(100.0, 10_000.0)
    fleet.run(10_000.0)
    for name in gone:  # cold after the restart: they get work, within the limit for any 1.5 s
        times = [at for at in fleet.nodes[name].request_times if at >= since]
        most = 2.5 * 2 * SETTINGS.cold_capacity_ratio * SETTINGS.cold_load_window_ms / fleet.work_ms
        assert times and sum(at < since + SETTINGS.cold_load_window_ms for at in times) <= most + 2


def test_each_refusal_has_its_reason() -> None:
    fleet = Fleet(size=1, nodes=1, settings=replace(QUOTAS, counter_enabled=False))
    for _ in range(9):
        fleet.request(0, "a")
    assert set(fleet.refusal_reasons) == {"quota"}
    fleet.nodes["n0"].up = False
    fleet.request(0, "b")
    fleet.run(9000.0)
    assert fleet.refusal_reasons["unserved"] == 1
    fleet.send_list(0, n0=i.ServerState.GONE)
    fleet.request(0, "c")
    assert fleet.refusal_reasons["no_server"] == 1


def test_an_invalid_gateway_index_or_count_still_gives_a_subset() -> None:
    for index, size, nodes in ((57, 40, 60), (0, 1, 60), (0, 1, 1), (3, 40, 0)):
        fleet = Fleet(size=1, nodes=nodes, settings=SETTINGS)
        gateway = fleet.up[0]
        gateway.settings = i.Settings(
            SETTINGS.classes, SETTINGS.plans, gateway_index=index, gateway_count=size
        )
        fleet.send_list(0, complete=True)
        assert bool(gateway.subset) is bool(nodes)
        fleet.request(0)
        fleet.run(10_000.0)
        assert fleet.served.total() == bool(nodes)
