"""What is harmless at one gateway and harmful at forty, on a scripted clock."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from ashlift.gatekeeper.admission import interface as i
from tests.gatekeeper.fleet import SETTINGS, Fleet


def replaced(fleet: Fleet, share: float) -> list[str]:
    """Replace this share of the nodes by new and cold ones; their names."""
    old = sorted(fleet.nodes)[: round(share * len(fleet.nodes))]
    new = [f"x{name}" for name in old]
    for name in new:
        fleet.nodes[name] = type(fleet.nodes[old[0]])(started=fleet.now)
        fleet.listed[name] = fleet.now
    for name in old:
        del fleet.listed[name]
    for me in fleet.up:
        fleet.tell(me, complete=True)
    return new


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nodes_that_replace_six_in_ten_get_work_by_what_they_can_do(seed: int) -> None:
    # Forty gateways have nothing out at most nodes: least loaded first, all would shun the cold ones.
    fleet = Fleet(seed=seed)
    fleet.arrivals(100.0, 9000.0)
    fleet.run(3000.0)
    new = replaced(fleet, 0.6)
    since = fleet.now
    fleet.run(5000.0)
    got = Counter({name: sum(at >= since for at in node.got) for name, node in fleet.nodes.items()})
    # 36 nodes that do a quarter to a half of what 24 others do: 0.27 to 0.43 of the work would be theirs by
    # pace, and least loaded first it is 0.00. A gateway with few jobs takes seconds to come round to them.
    assert 0.12 < sum(got[name] for name in new) / got.total() < 0.45
    # No node gets more than the rule allows in any 1.5 s: 2.5 x two cores at its pace, at 400 ms each.
    for name in new:
        times = [at for at in fleet.nodes[name].got if at >= since]
        for at in times:
            most = 2.5 * 2 * fleet.nodes[name].pace(at) * SETTINGS.cold_load_window_ms / fleet.work_ms
            assert sum(at <= other < at + SETTINGS.cold_load_window_ms for other in times) <= most + 2


def test_the_scatter_of_forty_small_shares_is_no_overload() -> None:
    # Seven in ten of the cores busy, traffic uneven as that of few firms is, limits as the settings give them
    # at the start: gateways have 4 out on average, and now and then twice as many.
    refused = 0
    for seed in range(1, 7):
        fleet, draw = Fleet(seed=seed), random.Random(seed)

        def ask(_: int, fleet: Fleet = fleet, draw: random.Random = draw) -> None:
            fleet.ask(int(40 * draw.betavariate(1.0, 1.5)))

        fleet.arrivals(210.0, 6000.0, ask)
        fleet.run(6000.0)
        refused += fleet.refused.total()
    assert refused <= 60  # of 7,500; with the bare share it was 116


def test_a_fleet_that_is_truly_too_small_is_still_held_down() -> None:
    # Three times what the nodes can do, for long: what is let in must end in time, or nothing does.
    fleet = Fleet(nodes=20)
    fleet.arrivals(300.0, 40_000.0)
    fleet.run(20_000.0)
    before = fleet.served.total()
    fleet.run(20_000.0)
    assert fleet.refused.total() > 0.5 * (fleet.served.total() + fleet.refused.total())
    assert fleet.served.total() - before > 0.8 * 20 * 100  # of the 100 jobs a second that 20 nodes can do


def test_a_server_more_moves_a_subset_by_one_and_all_servers_are_covered_alike() -> None:
    fleet = Fleet()
    before = {me: {view.entry.name for view in gate.subset} for me, gate in fleet.up.items()}
    assert {len(names) for names in before.values()} == {18}
    covered = Counter(name for names in before.values() for name in names)
    assert len(covered) == 60 and max(covered.values()) - min(covered.values()) <= 2
    fleet.listed["one more"] = 0.0
    for me in fleet.up:
        fleet.tell(me, complete=True)
    after = {me: {view.entry.name for view in gate.subset} for me, gate in fleet.up.items()}
    assert max(len(before[me] - after[me]) for me in before) <= 2


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_work_and_connections_stay_spread_while_most_gateways_are_down(seed: int) -> None:
    fleet = Fleet(seed=seed)
    draw = random.Random(seed)
    for me in draw.sample(sorted(fleet.up), 28):
        fleet.kill(me)
    fleet.arrivals(100.0, 20_000.0)
    fleet.run(20_000.0)
    got = [len(node.got) for node in fleet.nodes.values()]
    mean = sum(got) / len(got)
    # Twelve stretches of three tenths each leave one point of the circle in seventy uncovered.
    assert max(got) <= 2.5 * mean and sum(count < 0.2 * mean for count in got) <= 6
    assert max(fleet.dials.values()) <= 8  # of the twelve gateways


QUOTAS = replace(
    SETTINGS, counter_enabled=True, plans=(i.Plan(rate=0.5, burst=3.0, over_quota_cost_ratio=1.2),)
)


def beyond(times: list[float], plan: i.Plan) -> int:
    """How many of these the quota's store did not hold."""
    store, last, over = plan.burst, times[0], 0
    for at in times:
        store, last = min(plan.burst, store + (at - last) * plan.rate / 1000), at
        over += store < 1
        store -= store >= 1
    return over


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_counter_that_bears_half_the_requests_is_asked_before_the_decision_not_after(seed: int) -> None:
    # 120 customers who ask three times their quota, each at any of thirty gateways once in twenty seconds:
    # what a gateway tells after its decision changes none of its own, and takes the call of the next request.
    fleet = Fleet(seed=seed, settings=QUOTAS, calls_per_s=200.0)
    draw = random.Random(seed)

    def ask(_: int) -> None:
        customer = draw.randrange(120)
        fleet.ask((customer + draw.randrange(30)) % 40, f"{customer:016x}", set_size=30)

    fleet.arrivals(180.0, 20_000.0, ask)
    fleet.run(24_000.0)
    over = sum(beyond(times, QUOTAS.plans[0]) for times in fleet.let_in.values())
    # Told after the fact, 45 in 100 went beyond; 13 units a customer is all that the quota holds.
    assert over <= 0.41 * sum(map(len, fleet.let_in.values()))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_what_no_call_can_ask_for_is_let_in_by_what_the_heard_have_shown(seed: int) -> None:
    # A counter that bears two requests in three. Thirty customers ask twelve times their quota, nine hundred
    # a quarter of it: each by thirty gateways, of which none sees a customer often.
    fleet = Fleet(seed=seed, settings=QUOTAS, calls_per_s=200.0)
    draw = random.Random(seed)

    def ask(_: int) -> None:
        customer = draw.randrange(30) if draw.random() < 0.6 else 30 + draw.randrange(900)
        fleet.ask((customer + draw.randrange(30)) % 40, f"{customer:016x}", set_size=30)

    fleet.arrivals(300.0, 20_000.0, ask)
    fleet.run(24_000.0)
    let_in = sum(map(len, fleet.let_in.values()))
    over = sum(beyond(times, QUOTAS.plans[0]) for times in fleet.let_in.values())
    # With all of the unheard let in and untold, 25 to 28 in 100 went beyond. Turning all of them away is no
    # mend either: what is left of the worth, less what is charged, must be as much as it was.
    assert over <= 0.21 * let_in
    assert let_in - over - QUOTAS.plans[0].over_quota_cost_ratio * over >= 1600


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_third_of_the_nodes_gone_while_the_list_is_silent_costs_few_answers(seed: int) -> None:
    fleet = Fleet(seed=seed)
    fleet.arrivals(100.0, 15_000.0)
    fleet.run(3000.0)
    gone = sorted(fleet.nodes)[::3]
    for name in gone:
        fleet.nodes[name].up = False
    before = fleet.refused.total()
    fleet.run(12_000.0)
    # Forty gateways each find out for themselves: at first one job in 27 meets three dead nodes. From
    # then on a node is dialled once in a while, after 1, 2, 4 and 8 s, at twelve gateways.
    assert fleet.refused.total() - before <= 0.024 * 1200
    assert max(fleet.in_vain[name] for name in gone) <= 12 * 6

    for name in gone:
        fleet.nodes[name] = type(fleet.nodes[name])(started=fleet.now)
        fleet.listed[name] = fleet.now
    for me in fleet.up:
        fleet.tell(me, complete=True)
    since = fleet.now
    fleet.arrivals(100.0, 10_000.0)
    fleet.run(10_000.0)
    for name in gone:  # back cold, and told: work comes, and no more than the rule allows in any 1.5 s
        times = [at for at in fleet.nodes[name].got if at >= since]
        most = 2.5 * 2 * SETTINGS.cold_capacity_ratio * SETTINGS.cold_load_window_ms / fleet.work_ms
        assert times and sum(at < since + SETTINGS.cold_load_window_ms for at in times) <= most + 2


def test_each_refusal_tells_its_cause() -> None:
    fleet = Fleet(size=1, nodes=1, settings=replace(QUOTAS, counter_enabled=False))
    for _ in range(9):
        fleet.ask(0, "a")
    assert set(fleet.causes) == {"quota"}
    fleet.nodes["n0"].up = False
    fleet.ask(0, "b")
    fleet.run(9000.0)
    assert fleet.causes["unserved"] == 1
    fleet.tell(0, n0=i.ServerState.GONE)
    fleet.ask(0, "c")
    assert fleet.causes["no_server"] == 1


def test_numbers_that_cannot_be_right_choose_a_subset_all_the_same() -> None:
    for me, size, nodes in ((57, 40, 60), (0, 1, 60), (0, 1, 1), (3, 40, 0)):
        fleet = Fleet(size=1, nodes=nodes, settings=SETTINGS)
        gate = fleet.up[0]
        gate.settings = i.Settings(SETTINGS.classes, SETTINGS.plans, gateway_index=me, gateway_count=size)
        fleet.tell(0, complete=True)
        assert bool(gate.subset) is bool(nodes)
        fleet.ask(0)
        fleet.run(10_000.0)
        assert fleet.served.total() == bool(nodes)
