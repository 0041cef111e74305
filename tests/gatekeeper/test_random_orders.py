"""Random valid sequences of events under several settings; each action is checked against the rules."""

import random
from dataclasses import replace

import pytest

from ashlift.gatekeeper.admission import Gateway
from ashlift.gatekeeper.admission import interface as i
from tests.gatekeeper.helpers import BASE, KEYED, PROVES_NOT_RUN, PURE, UNSAFE

# The ceiling is below the quota.
CEILING = i.Plan(rate=2, burst=6, ceiling_rate=0.5, ceiling_burst=4, ceiling_slack=2)
PLANS = (CEILING, i.Plan(max_in_flight=3), i.Plan(rate=3, burst=9, max_in_flight=4), i.Plan())
SETTINGS = {
    "plain": replace(BASE, plans=PLANS),
    "cell": replace(BASE, plans=PLANS, classes=(PURE, replace(KEYED, key_scope=i.KeyScope.CELL), UNSAFE)),
    "zone": replace(BASE, plans=PLANS, classes=(PURE, replace(KEYED, key_scope=i.KeyScope.ZONE), UNSAFE)),
    "alone": replace(
        BASE, plans=PLANS, gateway_count=1, counter_enabled=False, probes_enabled=False, cancel_enabled=False
    ),
    "reports": replace(
        BASE, plans=PLANS, report_fields=("busy_reqs",), hedging_enabled=True, units_known_after=True
    ),
    "large": replace(BASE, plans=PLANS, gateway_count=300),
    "large, asked, capped": replace(
        BASE,
        plans=PLANS,
        gateway_count=300,
        subscribe_enabled=True,
        report_fields=("busy_reqs",),
        max_request_units=2.0,
    ),
    "asked": replace(BASE, plans=PLANS, subscribe_enabled=True, max_poll_interval_ms=10_000.0),
}


class World:
    """Simulates the peers of one gateway with random events, and checks each action."""

    def __init__(self, settings: i.Settings, seed: int) -> None:
        self.settings, self.rng, self.now = settings, random.Random(seed), 5_000.0
        self.gateway = Gateway(settings, seed)
        self.timers: list[tuple[float, int]] = []
        self.open: dict[int, tuple[i.Request, float]] = {}
        self.out: dict[tuple[int, int], tuple[str, float]] = {}
        self.tries: dict[int, int] = {}
        self.may_run: dict[int, tuple[str, float]] = {}
        self.calls: list[i.AddToCounter] = []
        self.totals: dict[int, float] = {}
        self.probes: list[str] = []
        self.listed: dict[str, i.Server] = {}
        self.ceiling_tokens = {f"p0c{n}": CEILING.ceiling_burst for n in range(3)}
        self.next_id, self.answered, self.taken, self.started = 1, 0, 0, self.now
        cold = self.now if settings.gateway_count > 3 else 0.0  # large groups start with cold servers only
        entries = tuple(i.Server(f"s{n}", cell=n % 2, zone=n % 3, ready_at_ms=cold) for n in range(6))
        self.feed(i.ServerList(entries, complete=True))

    def feed(self, event: i.Event) -> None:
        if isinstance(event, i.ServerList) and event.servers is not None:
            self.listed.update({server.name: server for server in event.servers})
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def check(self, action: i.Action) -> None:
        match action:
            case i.SetTimer(token, in_ms):
                assert in_ms >= 0
                self.timers.append((self.now + in_ms, token))
            case i.AddToCounter():
                assert all(call.key != action.key for call in self.calls), "two calls in flight for a key"
                self.calls.append(action)
            case i.Probe(server):
                self.probes.append(server)
            case i.Send():
                self.check_send(action)
            case i.Refuse(number) | i.Fail(number):
                ask, end = self.open.pop(number)
                self.answered += 1
                assert self.now <= end + 16, "answered too late"
                if isinstance(action, i.Refuse):
                    self.check_refusal(ask)
            case i.Cancel(number, attempt):
                assert self.settings.cancel_enabled and attempt < self.tries[number]
            case _:
                assert isinstance(action, (i.Subscribe, i.Log))

    def check_refusal(self, ask: i.Request) -> None:
        cls = self.settings.classes[ask.request_class]
        ran = ask.request_id in self.may_run or any(number == ask.request_id for number, _ in self.out)
        if cls.effect is not i.Effect.PURE and ran:
            assert cls.effect is i.Effect.KEYED and cls.key_scope is i.KeyScope.ALL

    def check_send(self, send: i.Send) -> None:
        ask, end = self.open[send.request_id]
        assert self.now < end and self.listed[send.server].state is i.ServerState.READY
        assert not any(number == send.request_id for number, _ in self.out), "two attempts at once"
        cls, first = self.settings.classes[ask.request_class], self.may_run.get(send.request_id)
        if first is not None and cls.effect is not i.Effect.PURE:
            assert cls.effect is i.Effect.KEYED and self.now < first[1] + cls.key_ttl_ms
            was, now = self.listed[first[0]], self.listed[send.server]
            assert cls.key_scope is not i.KeyScope.CELL or was.cell == now.cell
            assert cls.key_scope is not i.KeyScope.ZONE or was.zone == now.zone
        number = self.tries.get(send.request_id, 0)
        assert number < self.settings.max_attempts
        if ask.plan == 0 and number == 0:
            self.ceiling_tokens[ask.customer] -= ask.units
            assert self.ceiling_tokens[ask.customer] >= -CEILING.ceiling_slack, "ceiling exceeded"
        self.tries[send.request_id] = number + 1
        self.out[send.request_id, number] = (send.server, self.now)

    def advance_to(self, now: float) -> None:
        for name, level in self.ceiling_tokens.items():
            grown = level + CEILING.ceiling_rate * (now - self.now) / 1000
            self.ceiling_tokens[name] = min(CEILING.ceiling_burst, grown)
        self.now = now

    def step(self) -> None:
        end = self.now + self.rng.choice((0.0, 4.0, 20.0, 60.0))
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.advance_to(max(self.now, due[0]))
            self.feed(i.Timer(due[1]))
        self.advance_to(end)
        draw = self.rng.random()
        if draw < 0.45:
            self.ask()
        elif draw < 0.75 and self.out:
            self.outcome(self.rng.choice(list(self.out)))
        elif draw < 0.85 and self.calls:
            self.counted(self.calls.pop(0))
        elif draw < 0.90:
            self.change_server_list()
        elif draw < 0.93 and self.probes:
            self.feed(i.ProbeEnded(self.probes.pop(), self.rng.choice((i.Result.OK, i.Result.TIMEOUT)), 3.0))
        elif draw < 0.94 and self.open:
            self.disconnect(self.rng.choice(list(self.open)))
        elif draw < 0.945 and self.now > self.started + 5_000:
            self.restart()
        overdue = [number for number, (_, end) in self.open.items() if self.now > end + 80]
        assert not overdue, "no answer in time"

    def ask(self) -> None:
        plan, patience = self.rng.randrange(4), self.rng.choice((1.0, 90.0, 600.0, 2500.0))
        customer = f"p{plan}c{self.rng.randrange(3)}"
        units, size = float(self.rng.choice((1, 1, 2))), self.rng.randint(1, self.settings.gateway_count)
        ask = i.Request(self.next_id, self.rng.randrange(3), plan, customer, patience, units, size)
        if plan == 0:
            ask = replace(ask, gateway_count=1)
        self.next_id, self.taken = self.next_id + 1, self.taken + 1
        self.open[ask.request_id] = (ask, self.now + patience)
        self.feed(ask)

    def outcome(self, key: tuple[int, int]) -> None:
        server, at = self.out.pop(key)
        result = self.rng.choice(list(i.Result))
        final = key[0] not in self.open or result is i.Result.OK
        if result not in PROVES_NOT_RUN:
            self.may_run.setdefault(key[0], (server, at))
        if result is i.Result.OK and key[0] in self.open:
            del self.open[key[0]]
            self.answered += 1
        load = (self.rng.random() * 9,) if self.settings.report_fields else ()
        self.feed(
            i.AttemptEnded(key[0], key[1], server, result, self.now - at, final, 90.0, load_report=load)
        )

    def counted(self, call: i.AddToCounter) -> None:
        result = self.rng.choice((i.Result.OK, i.Result.OK, i.Result.TIMEOUT, i.Result.OVERLOADED))
        if result is i.Result.OK or self.rng.random() < 0.5:
            kept = 0.0 if self.rng.random() < 0.05 else self.totals.get(call.key, 0.0)
            self.totals[call.key] = kept + call.amount
        self.feed(i.CounterCallEnded(call.key, result, 5.0, self.totals.get(call.key, 0.0)))

    def change_server_list(self) -> None:
        if self.rng.random() < 0.2:
            self.feed(i.ServerList(None))
            return
        server = self.listed[f"s{self.rng.randrange(6)}"]
        state = self.rng.choice((i.ServerState.READY, i.ServerState.READY, *i.ServerState))
        self.feed(i.ServerList((replace(server, state=state, ready_at_ms=self.now - 100),)))

    def disconnect(self, number: int) -> None:
        del self.open[number]
        self.answered += 1
        self.feed(i.ClientDisconnected(number))

    def restart(self) -> None:
        self.taken -= len(self.open)
        for pending in (self.open, self.out, self.tries, self.may_run):
            pending.clear()
        self.timers.clear()
        self.calls.clear()
        self.probes.clear()
        self.started = self.now
        self.gateway = Gateway(self.settings, self.rng.randrange(1000))
        self.feed(i.ServerList(tuple(self.listed.values()), complete=True))


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize("name", SETTINGS)
def test_no_legal_order_of_events_breaks_a_rule(name: str, seed: int) -> None:
    world = World(SETTINGS[name], seed)
    for _ in range(1500):
        world.step()
    assert world.taken > 300 and world.answered > 0.8 * world.taken
