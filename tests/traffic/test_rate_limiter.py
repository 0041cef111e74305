"""The limiter: plays against the rule QUOTA (scenes/gauge_*.txt), and the counts it gives and takes."""

import random
from pathlib import Path

from ward import each, test

from ashlift.proxy.cluster_view import ClusterChange
from ashlift.traffic.rate_limiter import RateLimiter
from tests.support import request_router_scenarios as gate_scenes
from tests.support.rate_limiter_play import SCENES, Bounds, Play, read

NAMES = sorted(path.name for path in Path(SCENES).glob("rate_limiter_*.txt"))


@test("limiter: {name} holds the quota over all gatekeepers, and lets in what is inside it")
def _(name: str = each(*NAMES)) -> None:
    scene = read(name)
    figures = {word: values for word, values in scene}
    seeds, (worst, refused, *least) = int(figures["seeds"][0]), figures["expect"]
    plays = [Play(scene, seed).run() for seed in range(seeds)]
    assert max(play.worst for play in plays) <= worst
    assert sum(play.refused for play in plays) / seeds <= refused
    if "hot" in figures:  # what the quota gives is given
        assert min(play.hot for play in plays) >= (least or [0.9])[0]


def _limiter(rate: float = 10.0, burst: float = 10.0, members: int = 1) -> RateLimiter:
    limiter = RateLimiter(random.Random(5), Bounds())
    limiter.set_quota("t", rate, burst)
    limiter.set_proxy_count(0.0, members)
    return limiter


@test("limiter: one that has just begun to hear takes an even part of what is not known, and no more")
def _() -> None:
    members = 11
    limiter = _limiter(rate=100.0, burst=100.0, members=members)
    limiter.set_proxy_count(100.0, members)
    limiter.record_usage_totals(100.0, {"p#1": {}})
    limiter.record_usage_totals(100.3, {"p#1": {}})
    passed = sum(limiter.admit(100.3 + 0.01 * at, "t") is None for at in range(20))
    assert passed >= 8  # 5 or 6 where the unknown swamps its part by use
    bounds = Bounds()
    most = (100.0 * bounds.quota_window + 100.0) * (1 + bounds.quota_overrun) + bounds.quota_slack
    assert members * passed <= most - 100.0 * (bounds.quota_window - 1)  # had all been as quick


@test("limiter: one who never heard has the even part of the blind share of the soft limit")
def _() -> None:
    limiter = _limiter(rate=40.0, burst=40.0, members=4)
    passed = [limiter.admit(0.01 * at, "t") is None for at in range(50)]
    assert all(passed[:2]) and 2 <= sum(passed) <= 12


@test("limiter: counts not sent come again, those given back are told as declined")
def _() -> None:
    limiter = _limiter()
    limiter.record_usage_totals(0.0, {"p#1": {}})
    assert limiter.admit(0.1, "t") is None
    counts = limiter.take_new_counts()
    limiter.restore_counts(counts)
    limiter.refund(0.2, "t")
    assert (
        counts == {"t": (1, 0)}
        and limiter.take_new_counts() == {"t": (1, 1)}
        and limiter.take_new_counts() == {}
    )


@test("limiter: the others' counts close the quota; our own confirmed adds are no news")
def _() -> None:
    for ours, closed in ((12, False), (0, True)):
        limiter = _limiter(rate=10.0, burst=10.0, members=2)
        for at in range(40):  # past the time in which it does not know the others
            limiter.record_usage_totals(0.25 * at, {"p#1": {"t": (100, 0)}})
        limiter.confirm_counts({"t": (ours, 0)})
        limiter.record_usage_totals(10.2, {"p#1": {"t": (112, 0)}})
        told = [limiter.admit(10.3, "t") for _ in range(8)]
        assert any(again is not None for again in told) is closed
        assert all(again is None or 0.2 < again < 4 for again in told)


@test("limiter: no limit, no counts; a tenant taken away is forgotten")
def _() -> None:
    limiter = _limiter(rate=1.0, burst=1.0)
    limiter.record_usage_totals(0.0, {})
    assert any(limiter.admit(0.1, "t") for _ in range(20))
    limiter.set_quota("t", 0.0, 0.0)
    assert not any(limiter.admit(0.2, "t") for _ in range(20)) and limiter.take_new_counts() == {}


@test("gate: a source that the ledger dropped is kept for a while, then starts anew")
def _() -> None:
    play = gate_scenes.Play()
    limiter, ledger = play.gate.rate_limiter, play.gate.cluster
    for now in (1.0, 9.0, 13.0):
        play.gate.apply_change(now, ClusterChange(proxies=True))
        if now == 1.0:
            limiter.record_usage_totals(now, {"p#1": {"t": (3, 0)}})
        assert ("p#1" in limiter._totals.sources) is (now < 12), now
    assert not ledger.sources


@test("limiter: more given back in a while than passed in it counts as nothing passed")
def _() -> None:
    limiter = _limiter(rate=100.0, burst=100.0, members=2)
    for at in range(40):
        now = 0.25 * at
        limiter.record_usage_totals(now, {"p#1": {"t": (at, 0)}})
        if at == 8:
            assert all(limiter.admit(now, "t") is None for _ in range(5))
        if at == 30:  # long after, when what passed is out of the rule's window
            for _ in range(5):
                limiter.refund(now, "t")
    for at in range(30):  # blind for 3 s: a request a second less than none would be expected
        assert limiter.admit(9.75 + 0.1 * at, "t") is None
    limiter.record_usage_totals(12.75, {"p#1": {"t": (41, 0)}})
    limiter.record_usage_totals(13.0, {"p#1": {"t": (42, 0)}})
    assert limiter.admit(13.0, "t") is None
