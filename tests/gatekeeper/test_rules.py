"""The rules of the service, checked on the actions of a single gateway."""

from dataclasses import replace

import pytest

from ashlift.gatekeeper.admission import interface as i
from tests.gatekeeper.helpers import BASE, KEYED, PROVES_NOT_RUN, Driver, answers, counts, sends

MAYBE_RAN = (i.Result.ERROR, i.Result.TIMEOUT, i.Result.RESET, i.Result.CANCELLED)


def test_an_answer_is_given_before_the_client_gives_up_and_only_once() -> None:
    gate = Driver()
    start = gate.now
    number, out = gate.ask(time_left_ms=500.0)
    assert sends(out)
    final = answers(gate.run(499.0))
    assert len(final) == 1 and gate.now <= start + 500
    assert not answers(gate.end(number, sends(out)[0].server, i.Result.TIMEOUT, 500.0))
    assert not answers(gate.run(5000.0))


@pytest.mark.parametrize("patience", [0.0, 0.5, 3.0])
def test_a_request_with_almost_no_time_left_is_answered(patience: float) -> None:
    gate = Driver()
    _, out = gate.ask(time_left_ms=patience)
    assert len(answers(out + gate.run(patience))) == 1


def test_without_servers_every_request_is_refused_at_once() -> None:
    gate = Driver(servers=0)
    _, out = gate.ask()
    assert isinstance(answers(out)[0], i.Refuse)


@pytest.mark.parametrize("result", MAYBE_RAN)
def test_an_unsafe_request_that_may_have_run_is_only_failed(result: i.Result) -> None:
    gate = Driver()
    number, out = gate.ask(request_class=2)
    after = gate.end(number, sends(out)[0].server, result)
    assert not sends(after) and answers(after) == [i.Fail(number)]


@pytest.mark.parametrize("result", PROVES_NOT_RUN)
def test_an_unsafe_request_that_never_ran_goes_to_another_server(result: i.Result) -> None:
    gate = Driver()
    number, out = gate.ask(request_class=2)
    after = sends(gate.end(number, sends(out)[0].server, result))
    assert len(after) == 1 and after[0].server != sends(out)[0].server


@pytest.mark.parametrize("scope", list(i.KeyScope))
def test_a_keyed_request_stays_in_its_group_and_time(scope: i.KeyScope) -> None:
    settings = replace(BASE, classes=(replace(KEYED, key_scope=scope),))
    for seed in range(20):
        gate = Driver(settings, seed=seed, servers=6)
        number, out = gate.ask()
        first = int(sends(out)[0].server[1:])
        again = sends(gate.end(number, f"s{first}", i.Result.RESET))
        assert len(again) == 1
        second = int(again[0].server[1:])
        if scope is i.KeyScope.CELL:
            assert second % 2 == first % 2
        if scope is i.KeyScope.ZONE:
            assert second % 3 == first % 3
        gate.now += 1000
        late = gate.end(number, again[0].server, i.Result.RESET, attempt=1)
        assert not sends(late) and answers(late) == [i.Fail(number)]


def test_never_two_attempts_at_once() -> None:
    gate = Driver()
    number, out = gate.ask()
    assert len(sends(out)) == 1
    assert not sends(gate.run(1900.0))
    assert number


@pytest.mark.parametrize("state", [i.ServerState.DRAINING, i.ServerState.GONE])
def test_no_request_is_sent_to_a_draining_or_gone_server(state: i.ServerState) -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)))
    gate.do(i.ServerList((i.Server("s0", state),)))
    for _ in range(50):
        number, out = gate.ask()
        assert sends(out)[0].server != "s0"
        gate.end(number, sends(out)[0].server, i.Result.OK)


def test_a_failed_list_call_keeps_the_list() -> None:
    gate = Driver()
    gate.do(i.ServerList(None))
    assert sends(gate.ask()[1])


def test_a_cold_server_stays_below_its_permitted_load() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=5)
    start = 0.0
    taken: list[float] = []
    for step in range(1500):
        if step == 500:
            start = gate.now
            gate.do(i.ServerList((i.Server("s0", ready_at_ms=start),)))
        number, out = gate.ask()
        gate.run(8.0)
        if sends(out):
            if start and sends(out)[0].server == "s0":
                taken.append(gate.now - start)
            gate.end(number, sends(out)[0].server, i.Result.OK, 80.0)
    for from_ms in range(0, 7000, 250):
        got = sum(1 for at in taken if from_ms <= at < from_ms + 3000)
        warmth = 0.2 + 0.8 * from_ms / 10_000
        assert got <= 2 * warmth * (3000 / 8 / 4)


@pytest.mark.parametrize("counter", ["silent", "refusing", "empty", "zero"])
def test_a_ceiling_holds_whatever_the_counter_says_and_after_a_restart(counter: str) -> None:
    plan = i.Plan(rate=2, burst=8, ceiling_rate=4, ceiling_burst=16, ceiling_slack=2)
    gates = [Driver(replace(BASE, plans=(plan,)), seed=n) for n in range(2)]
    tokens, lowest = 16.0, 16.0
    for step in range(1500):
        tokens = min(16.0, tokens + 4 * 0.02)
        for gate in gates:
            if step == 400 and gate is gates[0]:
                gate.boot()
            number, out = gate.ask(gateway_count=2)
            for send in sends(out):
                tokens -= 1
                gate.end(number, send.server, i.Result.OK)
            lowest = min(lowest, tokens)
            for count in counts(gate.run(20.0)):
                result = {"silent": i.Result.TIMEOUT, "refusing": i.Result.CONNECT_FAILED}.get(counter)
                total = 0.0 if counter == "zero" else count.amount
                gate.do(i.CounterCallEnded(count.key, result or i.Result.OK, 2.0, total))
    assert lowest >= -2


@pytest.mark.parametrize("announced", [True, False])
def test_two_processes_of_one_gatekeeper_share_its_ceiling(announced: bool) -> None:
    # The quota is far above the ceiling.
    plan = i.Plan(rate=50, burst=200, ceiling_rate=4, ceiling_burst=16, ceiling_slack=2)
    processes = [Driver(replace(BASE, plans=(plan,), counter_enabled=False), seed=n) for n in range(2)]
    for gate in processes:
        gate.do(i.ProcessCountChanged(2 if announced else 1))
    tokens, lowest = 16.0, 16.0
    for _ in range(1500):  # a request each every 20 ms: far beyond the ceiling
        tokens = min(16.0, tokens + 4 * 0.02)
        for gate in processes:
            number, out = gate.ask(gateway_count=1)
            for send in sends(out):
                tokens -= 1
                gate.end(number, send.server, i.Result.OK)
            lowest = min(lowest, tokens)
            gate.run(20.0)
    assert (lowest >= -2) is announced  # otherwise each uses the whole share


def test_open_attempts_stay_under_a_cap_without_the_counter() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(max_in_flight=6),), counter_enabled=False))
    out = [gate.ask(gateway_count=2)[1] for _ in range(10)]
    assert sum(len(sends(actions)) for actions in out) == 3


def test_events_of_ended_or_unknown_requests_calls_and_timers_are_ignored() -> None:
    gate = Driver()
    number, out = gate.ask()
    gate.end(number, sends(out)[0].server, i.Result.OK)
    for event in (
        i.AttemptEnded(number, 0, "s0", i.Result.OK, 5.0, final=True),
        i.AttemptEnded(999, 3, "zz", i.Result.OVERLOADED, 1.0),
        i.ClientDisconnected(number),
        i.Timer(98765),
        i.CounterCallEnded(5, i.Result.OK, 1.0, 7.0),
        i.ProbeEnded("zz", i.Result.OK, 1.0),
        i.StreamStarted(77, 0),
    ):
        assert gate.do(event) == []


def test_a_gateway_cut_off_from_most_servers_uses_the_rest() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=6)
    late: list[tuple[float, int, str]] = []
    sent: dict[str, int] = {}
    for step in range(900):
        number, out = gate.ask()
        gate.run(20.0)
        for send in sends(out):
            if step >= 600:
                sent[send.server] = sent.get(send.server, 0) + 1
            if send.server in ("s0", "s1"):
                gate.end(number, send.server, i.Result.OK, 100.0)
            else:
                late.append((gate.now + 600, number, send.server))
        for at, old, server in [entry for entry in late if entry[0] <= gate.now]:
            late.remove((at, old, server))
            gate.end(old, server, i.Result.CANCELLED, 594.0)
    reached = sent.get("s0", 0) + sent.get("s1", 0)
    assert reached >= 0.9 * sum(sent.values())


def test_no_server_is_ejected_from_a_fleet_that_is_slow_as_a_whole() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=6)
    for step in range(600):
        number, out = gate.ask()
        for send in sends(out):
            gate.end(number, send.server, i.Result.OK, 40.0 if step < 300 else 160.0)
        gate.run(20.0)
        assert all(view.ejected_until < gate.now for view in gate.gateway.servers.values())


def test_an_unreachable_server_is_ejected_until_a_probe_succeeds() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=2)
    view = gate.gateway.servers["s0"]
    for _ in range(30):
        number, out = gate.ask()
        if sends(out)[0].server == "s0":
            for send in sends(gate.end(number, "s0", i.Result.CONNECT_FAILED, 250.0)):
                gate.end(number, send.server, i.Result.OK, attempt=1)
        else:
            gate.end(number, "s1", i.Result.OK)
    assert view.ejected_until > gate.now
    probes = [action for action in gate.run(1100.0) if isinstance(action, i.Probe)]
    assert probes == [i.Probe("s0")] and view.ejected_until > gate.now
    gate.do(i.ProbeEnded("s0", i.Result.CONNECT_FAILED, 250.0))
    assert view.ejected_until > gate.now + 1000
    assert i.Probe("s0") in gate.run(2100.0)
    gate.do(i.ProbeEnded("s0", i.Result.OK, 1.0))
    assert view.ejected_until <= gate.now and not gate.gateway.ejected


def test_a_server_that_fails_fast_does_not_attract_traffic() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=4)
    bad = 0
    for _ in range(200):
        number, out = gate.ask(request_class=2)
        for send in sends(out):
            bad += send.server == "s0"
            failed = send.server == "s0"
            gate.end(number, send.server, i.Result.ERROR if failed else i.Result.OK, 2.0 if failed else 80.0)
        for action in gate.run(20.0):
            if isinstance(action, i.Probe):
                gate.do(i.ProbeEnded(action.server, i.Result.OK, 1.0))
    assert 2 <= bad <= 15


def run_load(gate: Driver, seconds: float, latency: float) -> None:
    """Send 50 requests a second, each answered after `latency` ms."""
    out: list[tuple[float, int, str]] = []
    for _ in range(int(seconds * 50)):
        number, actions = gate.ask()
        out += [(gate.now + latency, number, send.server) for send in sends(actions)]
        gate.run(20.0)
        for due in [entry for entry in out if entry[0] <= gate.now]:
            out.remove(due)
            gate.end(due[1], due[2], i.Result.OK, latency)
    for _, number, server in out:
        gate.end(number, server, i.Result.OK, latency)


def test_the_limit_falls_to_its_minimum_in_a_slow_fleet_and_recovers() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=6)
    run_load(gate, 10, 50)
    before = gate.gateway.in_flight_limit
    run_load(gate, 10, 500)
    floor = gate.gateway.in_flight_limit
    run_load(gate, 30, 100)
    assert floor < before and floor >= 3 * 6 / 3 - 1 and gate.gateway.pressure < 0.4


def test_the_limit_grows_with_the_fleet() -> None:
    gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=4)
    gate.run(100.0)
    before = gate.gateway.in_flight_limit
    gate.do(i.ServerList(tuple(i.Server(f"new{n}") for n in range(4))))
    gate.run(100.0)
    assert abs(gate.gateway.in_flight_limit - 2 * before) < 0.1


def test_an_attempt_that_hangs_while_its_server_answers_is_cancelled_and_then_retried() -> None:
    # A connection may die without a reset. A server that answers nothing is handled differently.
    for others_answered, cancelled in ((True, True), (False, False)):
        gate = Driver(replace(BASE, plans=(i.Plan(),)), servers=1)
        for _ in range(400):
            number, out = gate.ask()
            gate.end(number, sends(out)[0].server, i.Result.OK, 10.0)
        hanging, out = gate.ask()
        for _ in range(4):
            gate.run(10.0)
            number, out = gate.ask()
            if others_answered:
                gate.end(number, sends(out)[0].server, i.Result.OK, 10.0)
        cancels = [action for action in gate.run(400.0) if isinstance(action, i.Cancel)]
        assert (cancels == [i.Cancel(hanging, 0)]) is cancelled
        if cancelled:
            again = sends(gate.end(hanging, "s0", i.Result.CANCELLED, 300.0))
            assert [send.request_id for send in again] == [hanging]
