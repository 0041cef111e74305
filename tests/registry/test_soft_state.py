"""The control side loses all that can be told again, while gatekeepers run (docs/design/worst-days.md, 1)."""

import random
from itertools import permutations
from typing import Any

from attrs import define
from ward import each, test

from ashlift.proxy.cluster_view import PROXY_LEASE_SECONDS, ClusterView
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.registry_client import MAX_CONFIGURATION_AGE_SECONDS
from ashlift.proxy.retention import MAX_RETENTION_SECONDS
from ashlift.simulation.scenario import parse_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer
from ashlift.traffic.rate_limiter import RateLimiter
from ashlift.traffic.unreported_usage import SourceCoverage
from tests.support.rate_limiter_simulation import Bounds

CORE = ("core-1", "core-2", "core-3")
# Every tenant asks 0.69 of its quota.
BUILT = ["core 3", "edge 8", "rate 66", "quota 24", "until 17"]


@define
class Seen:
    """Over a while: the least members and workers that a gatekeeper knew, and what became of requests."""

    members: int = 99
    workers: int = 99
    refused: float = 0.0
    served: float = 0.0


def seen(lines: list[str], since: float, until: float, seed: int = 1) -> Seen:
    """Plays the scene, which breaks no rule."""
    play = ScenarioPlayer(parse_scenarios("\n".join(["# soft", *BUILT, *lines]))[0], seed)
    world, found = play.world, Seen()

    def look() -> None:
        known = [one.router.cluster for one in world.proxies() if one.up]
        found.members = min(found.members, *(len(one.proxies) for one in known))
        found.workers = min(found.workers, *(len(one.workers) for one in known))
        if world.loop.now < until:
            world.loop.call_later(0.05, look)

    world.loop.call_later(since, look)
    breach = play.run()
    assert breach is None, str(breach)
    statuses = [one.status for one in world.history.requests if since <= one.ended < until]
    found.refused = statuses.count(429) / len(statuses)
    found.served = statuses.count(200) / len(statuses)
    return found


@test("all registries start again, {order}, a second between two: gatekeepers go on as before")
def _(order: tuple[str, ...] = each(*permutations(CORE))) -> None:  # noqa: B008
    lines = [f"at 10 kill registry {name} for {0.2 + 1.2 * at}" for at, name in enumerate(order)]
    found = seen(["quota 28", *lines], 10.0, 17.0)
    assert (found.members, found.workers) == (8, 18) and found.refused < 0.02 and found.served > 0.97, found


@test("the same, half of the gatekeepers have just been killed")
def _() -> None:
    lines = ["quota 40", "at 8.5 kill proxy edge-1 edge-2 edge-3 edge-4 for 60"]
    lines += ["at 10 kill registry core-1 for 0.2", "at 10 kill registry core-2 core-3 for 1.6"]
    found = seen(lines, 10.0, 17.0)
    assert found.members >= 4 and found.workers == 18 and found.refused < 0.01 and found.served > 0.96, found


@test("one is cut off and starts anew, and a second later all others: it was alone to tell, then silent")
def _() -> None:
    lines = ["at 6 cut core-1 | core-2 core-3 for 4", "at 10 kill core core-1"]
    found = seen([*lines, "at 11.3 kill core core-2 core-3"], 10.0, 17.0)
    assert (found.members, found.workers) == (8, 18) and found.refused < 0.03 and found.served > 0.96, found


@test("two of three are away, and all gatekeepers go to the third")
def _() -> None:
    found = seen(["at 10 kill registry core-1 core-3 for 2.5"], 10.0, 17.0)
    assert (found.members, found.workers) == (8, 18) and found.refused < 0.05, found


@test("all registries are away for {away} s and know nothing then: members and workers stay known")
def _(away: float = each(3.0, 5.5)) -> None:
    found = seen(["quota 40", f"at 7 kill registry * for {away}"], 7 + away, 17.0)
    assert (found.members, found.workers) == (8, 18) and found.refused < 0.03, found


def _answer(ran: float, *named: str, alive: str = "p#2", **news: Any) -> PullResponse:
    """Of a registry that has run `ran` s and names these gatekeepers and workers."""
    worker = {
        "service": "s",
        "zone": "z",
        "address": "127.0.0.1:9",
        "capacity": 2,
        "seq": 1,
        "warm": 0.0,
        "state": "ready",
    }
    records = {key: worker if key[0] == "w" else {"ready": True} for key in named}
    source = {"version": int(1000 * ran), "full": True, "set": records | news, "gone": [], "run": ran}
    return PullResponse.from_wire(
        {"sources": {alive: source}, "alive": [alive], "age": 0.1, "held": 0.0, "ran": ran}
    )


def _members(ledger: ClusterView) -> str:
    return " ".join(ledger.proxies)


@test("ledger: who is not told yet is not gone, until registries have run for a lease, or for a bounded time")
def _() -> None:
    ledger = ClusterView(worker_lease=4.5)
    ledger.apply(0.0, 0.0, _answer(60.0, "g/a", "g/b", "g/c", "w/1", "w/2", alive="p#1"))
    # p#1 is dead, and is dropped after five seconds; p#2 has heard of one so far.
    ledger.apply(6.0, 6.0, _answer(0.5, "g/a", "w/1"))
    assert _members(ledger) == "a b c" and set(ledger.workers) == {"1", "2"}
    change = ledger.apply(7.0, 7.0, _answer(1.5, "g/a", "g/b", "w/1"))
    assert _members(ledger) == "a b c" and not change.proxies
    change = ledger.apply(8.6, 8.6, _answer(PROXY_LEASE_SECONDS + 0.1, "g/a", "g/b", "w/1"))
    assert _members(ledger) == "a b" and change.proxies and ledger.departed_since == 6.0
    assert set(ledger.workers) == {"1", "2"}, "its lease is longer"
    change = ledger.apply(10.1, 10.1, _answer(4.6, "g/a", "g/b", "w/1"))
    assert set(ledger.workers) == {"1"} and change.workers
    # One whose registry has long run leaves at once; where one starts again and again, after a bounded time.
    ledger.apply(11.0, 11.0, _answer(5.5, "g/a", "w/1"))
    assert _members(ledger) == "a"
    for at in range(18):
        ledger.apply(12.0 + at, 12.0 + at, _answer(1.0 + 0.01 * at, "w/1", alive=f"p#{at + 3}"))
        assert _members(ledger) == ("a" if at < 5 + MAX_RETENTION_SECONDS else "")


@test("ledger: load and failures told to a registry that is gone count no more, as they are told again")
def _() -> None:
    ledger = ClusterView()
    ledger.apply(0.0, 0.0, _answer(60.0, "w/1", alive="p#1", **{"o/1": 5, "f/1": [7, 9, 1]}))
    assert ledger.in_flight() == {"1": 5} and ledger.failure_totals() == {"1": (7, 9, 1)}
    ledger.apply(2.0, 2.0, _answer(1.0, "w/1", alive="p#2", **{"o/1": 4, "f/1": [6, 8, 1]}))
    assert ledger.in_flight() == {"1": 4} and ledger.failure_totals() == {"1": (6, 8, 1)}


@test("limiter: a source whose gatekeepers have gone hides nothing by its silence: {how}")
def _(how: str = each("its own word", "others name them", "silent")) -> None:
    limiter = RateLimiter(random.Random(5), Bounds())
    limiter.set_quota("t", 100.0, 100.0)
    limiter.set_proxy_count(0.0, 4)
    sums, behind, refused, asked = (
        {"p#1": 0, "q#1": 0},
        {"p#1": SourceCoverage(3, 3), "q#1": SourceCoverage(1, 1)},
        0,
        0,
    )
    for step in range(1, 400):
        now = 0.025 * step
        moved = now > 5.0
        if step % 10 == 0:
            if not moved or how != "silent":
                sums["q#1" if moved else "p#1"] += 12  # 48 a second
            sums["q#1"] += 2
            if moved and how == "its own word":
                behind = {"p#1": SourceCoverage(0, 0), "q#1": SourceCoverage(4, 4)}
            elif moved and how == "others name them":
                behind = {"p#1": SourceCoverage(3, 0), "q#1": SourceCoverage(4, 1)}
            limiter.record_usage_totals(
                now, {name: {"t": (count, 0)} for name, count in sums.items()}, behind
            )
        if step % 3 == 0:
            refused, asked = refused + (limiter.admit(now, "t") is not None) * (now > 6), asked + (now > 6)
    assert refused / asked > 0.5 if how == "silent" else refused == 0, refused / asked


@test("limiter: what a source tells that started while others were heard counts; else it is old")
def _() -> None:
    for born, closed in ((9.7, True), (-100.0, False)):
        limiter = RateLimiter(random.Random(5), Bounds())
        limiter.set_quota("t", 10.0, 10.0)
        limiter.set_proxy_count(0.0, 2)
        for at in range(40):
            limiter.record_usage_totals(0.25 * at, {"p#1": {"t": (at, 0)}})
        limiter.record_usage_totals(10.2, {"p#1": {"t": (40, 0)}, "q#2": {"t": (60, 0)}}, None, {"q#2": born})
        told = [limiter.admit(10.3, "t") for _ in range(8)]
        assert any(again is not None for again in told) is closed


@test("a registry that is cut off says so within two seconds, for as long as it is, and not after")
def _() -> None:
    play = ScenarioPlayer(parse_scenarios("# x\ncore 5\nedge 5\nrate 15\nuntil 50")[0])
    world, board = play.world, play.world.registry("core-4")
    rest = [one for one in world.core if one != "core-4"] + world.edge + ["workers", "clients"]

    def told() -> tuple[Any, bool, bool]:
        """Status of a beat, whether look-ups are answered, whether its proof is one to stay with."""
        now, registry = board.clock(), board.registry
        age = registry.operator_config.lease_age(now)
        fields = {
            "service": "fleet",
            "address": "10.9.0.1:80",
            "zone": "z4",
            "capacity": 1,
            "state": "ready",
            "seq": int(1000 * world.loop.now),
            "warm": 0.0,
            "version": "v",
        }
        answers = isinstance(registry.lookup("z4", "r1", now), list)
        return (
            board._handle_heartbeat(("probe", fields))[0],
            answers,
            age is not None and age <= MAX_CONFIGURATION_AGE_SECONDS,
        )

    def expect(at: float, *wanted: Any) -> None:
        world.run(at)
        assert told() == wanted, str((at, told()))

    expect(8.0, 200, True, True)
    for cut, until in ((8.0, 28.0), (29.5, 34.0)):  # and again 1.5 s after the rejoin
        world.run(cut)
        world.block_links(["core-4"], rest)
        expect(cut + 0.8, 200, True, True)
        for at in (cut + 2.1, (cut + until) / 2, until - 0.1):
            expect(at, 503, False, False)
        world.run(until)
        world.unblock_links()
        expect(until + 1.2, 200, True, True)
    world.run(42.0)
    world.registry("core-4").freeze()
    world.run(48.0)
    board.thaw()
    # It has just been thawed: the proof that it held then is old by its own clock, and it vouches for nobody.
    assert told()[2] is False
    expect(48.8, 200, True, True)
    assert board.registry.uptime(board.clock()) < 1.0


@test("rules hold while all registries are away and workers come, cold, or lose answers ({what})")
def _(what: str = each("add fleet z{} cold 8", "chill fleet-{} 8", "sick fleet-{} 0.5")) -> None:
    lines = ["rate 200", "quota 120", "workers 6", "at 7 kill registry * for 5.5"]
    found = seen([*lines, *(f"at 11.5 {what.format(at)}" for at in range(1, 7))], 12.5, 17.0)
    assert found.members == 8 and found.refused < 0.05, found
