"""Quotas: suppression, the shared counter, and the line limit of the policy files."""

import tomllib
from dataclasses import replace
from pathlib import Path

from ashlift.gatekeeper.admission import interface as i
from ashlift.gatekeeper.admission.quota import HARD_LIMIT_FACTOR
from tests.gatekeeper.helpers import BASE, Driver, answers, counts, sends


def flood(gate: Driver, seconds: float, per_second: float, **ask: object) -> int:
    """Send requests at an even rate, answer all attempts, and return their number."""
    passed = 0
    for _ in range(int(seconds * per_second)):
        number, out = gate.ask(**ask)
        for send in sends(out):
            passed += 1
            gate.end(number, send.server, i.Result.OK)
        gate.run(1000 / per_second)
    return passed


def test_below_the_soft_limit_all_pass() -> None:
    assert flood(Driver(), 30, 1.5) == 45


def test_far_beyond_the_quota_burst_and_rate_pass_and_no_repeating_customer_is_locked_out() -> None:
    gate = Driver()
    first = flood(gate, 20, 20)
    later = flood(gate, 20, 20)
    assert 38 <= first <= 50 and 36 <= later <= 44


def test_a_little_beyond_the_quota_most_pass_by_chance() -> None:
    passed = flood(Driver(), 60, 2.3)
    assert 0.8 * 120 <= passed <= 1.12 * 120


def test_a_plan_without_a_rate_lets_all_in() -> None:
    assert flood(Driver(replace(BASE, plans=(i.Plan(),))), 5, 20) == 100


def test_units_larger_than_the_burst_are_answered() -> None:
    gate = Driver()
    assert sends(gate.ask(units=50.0)[1]) or answers(gate.ask(units=50.0)[1])


def test_a_new_customer_gets_its_share_until_the_counter_answers() -> None:
    gates = [Driver(seed=seed) for seed in range(20)]
    assert sum(len(sends(gate.ask(gateway_count=3)[1])) for gate in gates for _ in range(12)) < 6 * 20


def test_counts_of_another_gateway_use_up_the_quota_here() -> None:
    gate = Driver()
    for _ in range(2):
        gate.ask(gateway_count=2)
    (first,) = counts(gate.log)
    gate.do(i.CounterCallEnded(first.key, i.Result.OK, 2.0, first.amount))
    gate.ask(gateway_count=2)
    (second,) = counts(gate.run(2000.0))
    theirs = 9 * 1000 + 6
    gate.do(i.CounterCallEnded(second.key, i.Result.OK, 2.0, first.amount + second.amount + theirs))
    assert not sends(gate.ask(gateway_count=2)[1])


def test_a_timed_out_call_is_never_added_again_and_a_refused_one_is() -> None:
    for result, again in ((i.Result.TIMEOUT, False), (i.Result.OVERLOADED, True)):
        gate = Driver()
        gate.ask(gateway_count=2)
        gate.run(300.0)
        (count,) = counts(gate.log)
        gate.do(i.CounterCallEnded(count.key, result, 30.0))
        later = counts(gate.run(3000.0))
        assert (sum(call.amount for call in later) == count.amount) is again


def test_a_call_that_was_never_added_is_not_taken_for_a_counter_reset() -> None:
    # Otherwise all counts under the key would be taken for new ones, and use up the quota here.
    gate = Driver()
    gate.run(5000.0)  # a key is used for 12 s: all that follows uses the same one
    made, out = gate.ask(gateway_count=2)
    (first,) = counts(out)
    theirs = 5 * 1000 + 5
    assert sends(gate.do(i.CounterCallEnded(first.key, i.Result.OK, 2.0, first.amount + theirs)))
    gate.run(3100.0)  # the other gateway's units have left the window
    (second,) = counts(gate.ask(gateway_count=2)[1])
    gate.do(i.CounterCallEnded(second.key, i.Result.TIMEOUT, 30.0))
    (third,) = counts([*gate.ask(gateway_count=2)[1], *gate.run(300.0)])
    assert first.key == second.key == third.key
    gate.do(i.CounterCallEnded(third.key, i.Result.OK, 2.0, first.amount + theirs + third.amount))
    assert sends(gate.ask(gateway_count=2)[1])
    # The counts that were never added go along with the next call.
    (fourth,) = counts(gate.run(1000.0))
    assert fourth.amount == second.amount + 1001


def test_at_most_one_call_in_flight_for_a_name() -> None:
    gate = Driver()
    for _ in range(40):
        gate.ask(gateway_count=2)
        gate.run(50.0)
    assert len(counts(gate.log)) == 1


def test_idle_customers_are_forgotten() -> None:
    gate = Driver(replace(BASE, counter_enabled=False))
    for number in range(500):
        made, out = gate.ask(customer=f"c{number}")
        for send in sends(out):
            gate.end(made, send.server, i.Result.OK)
    gate.run(60_000.0)
    assert not gate.gateway.customers and not gate.gateway.unsent and not gate.gateway.attempts


def test_the_same_events_give_the_same_actions() -> None:
    first, second = Driver(seed=5), Driver(seed=5)
    for gate in (first, second):
        flood(gate, 5, 9, gateway_count=2)
    assert first.log == second.log and len(first.log) > 100


def test_the_policy_files_stay_within_their_line_limit() -> None:
    root = Path(__file__).parents[2]
    folder = "ashlift/gatekeeper/admission"
    policy = tomllib.loads((root / "deploy/balancer.toml").read_text())["policy"]
    plain = {f"{folder}/{name}.py" for name in ("__init__", "interface", "state", "wirehost")}
    assert {f"{folder}/{file.name}" for file in root.joinpath(folder).glob("*.py")} == {*policy, *plain}
    files = [root.joinpath(name).read_text().splitlines() for name in policy]
    assert sum(1 for lines in files for line in lines if line.strip()) <= 750
    assert max(len(line) for lines in files for line in lines) <= 110 and max(map(len, files)) <= 500


def test_a_customer_without_counter_calls_gets_no_more_than_its_share() -> None:
    gate = Driver()
    gate.ask(gateway_count=3)
    (count,) = counts(gate.log)
    gate.do(i.CounterCallEnded(count.key, i.Result.OK, 2.0, count.amount))
    gate.gateway.call_rate = gate.gateway.call_tokens = 0.0
    passed = flood(gate, 30, 4, gateway_count=3)
    assert passed <= 30 * 2 / 3 * 1.4 + 6


def test_a_call_includes_deferred_counts_up_to_one_burst() -> None:
    for deferred, counted in ((2, 3), (30, 7)):  # with its own request; the burst is 6 units
        gate = Driver()
        gate.gateway.call_tokens = gate.gateway.call_rate = 0.0
        for number in range(deferred):
            assert len(sends(gate.ask(gateway_count=3, customer=f"c{number}")[1])) == 1
        gate.gateway.call_tokens = 1.0
        (count,) = counts(gate.ask(gateway_count=3)[1])
        assert count.amount == counted * 1001


def test_uncounted_requests_are_refused_once_similar_counted_ones_were_over_quota() -> None:
    def play(over: bool, over_cost: float = 1.2) -> int:
        gate = Driver(replace(BASE, plans=(replace(BASE.plans[0], over_quota_cost_ratio=over_cost),)))
        for number in range(40):
            gate.gateway.call_tokens = 1.0
            (count,) = counts(gate.ask(gateway_count=3, customer=f"h{number}")[1])
            theirs = over * (30 * 1000 + 6)
            gate.do(i.CounterCallEnded(count.key, i.Result.OK, 2.0, count.amount + theirs))
        gate.gateway.call_tokens = gate.gateway.call_rate = 0.0
        return sum(len(sends(gate.ask(gateway_count=3, customer=f"u{number}")[1])) for number in range(10))

    assert play(over=False) == 10 and play(over=True) == 0
    assert play(over=True, over_cost=0.0) == 10  # nothing is charged beyond the quota


def test_an_admit_only_request_needs_no_server_and_uses_units() -> None:
    driver = Driver(servers=0)
    actions = [driver.ask(units=2.0, admit_only=True)[1][0] for _ in range(3)]
    assert [type(action) for action in actions] == [i.Admit] * 3
    number, out = driver.ask(units=2.0, admit_only=True)
    refused = answers(out)[0]
    assert isinstance(refused, i.Refuse) and refused.request_id == number and refused.retry_after_ms > 0
    assert not sends(driver.log)


def test_a_huge_request_is_refused_and_does_not_fill_the_counter() -> None:
    driver = Driver()
    _, out = driver.ask(units=4e9, admit_only=True)
    assert isinstance(out[0], i.Refuse)
    assert driver.gateway.customers["ab12"].unsent_total <= HARD_LIMIT_FACTOR * BASE.plans[0].burst


def test_a_limit_of_the_counter_refuses_requests_until_a_call_is_within_it() -> None:
    driver = Driver()
    number, out = driver.ask(gateway_count=3)
    call = counts(out)[0]
    refused = answers(driver.do(i.CounterCallEnded(call.key, i.Result.OK, 2.0, 0.0, limit_exceeded=True)))
    assert [action.request_id for action in refused if isinstance(action, i.Refuse)] == [number]
    driver.now += 2_000
    _, out = driver.ask(gateway_count=3)
    again = counts(out)[0]
    assert len(sends(driver.do(i.CounterCallEnded(again.key, i.Result.OK, 2.0, again.amount)))) == 1
