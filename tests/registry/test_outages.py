"""Registries lose their state while proxies run (docs/design/worst-days.md, 1), in simulated systems."""

from itertools import permutations
from typing import Any

from attrs import define
from ward import each, test

from ashlift.proxy.registry_client import MAX_CONFIGURATION_AGE_SECONDS
from ashlift.registry.endpoint_directory import LookupResult
from ashlift.registry.locality import Locality
from ashlift.simulation.history import HOST
from ashlift.simulation.scenario import parse_scenarios
from ashlift.simulation.scenario_player import ScenarioPlayer

CORE = ("core-1", "core-2", "core-3")
SYSTEM = ["core 3", "edge 8", "rate 66", "quota 24", "until 17"]  # every tenant requests 0.69 of its quota
PROXIES = 8
WORKERS = 18
LOOK_INTERVAL_SECONDS = 0.05


@define
class Observed:
    """The fewest proxies and workers known by any proxy in an interval, and shares of request statuses."""

    proxies: int = 99
    workers: int = 99
    rejected: float = 0.0
    served: float = 0.0


def observe(lines: list[str], since: float, until: float, seed: int = 1) -> Observed:
    """Run the scenario, which must not violate a rule, and observe it from `since` to `until`."""
    player = ScenarioPlayer(parse_scenarios("\n".join(["# outage", *SYSTEM, *lines]))[0], seed)
    world = player.world
    observed = Observed()

    def look() -> None:
        views = [proxy.router.cluster for proxy in world.proxies() if proxy.up]
        observed.proxies = min(observed.proxies, *(len(view.proxies) for view in views))
        observed.workers = min(observed.workers, *(len(view.workers) for view in views))
        if world.loop.now < until:
            world.loop.call_later(LOOK_INTERVAL_SECONDS, look)

    world.loop.call_later(since, look)
    violation = player.run()
    assert violation is None, str(violation)
    statuses = [request.status for request in world.history.requests if since <= request.ended < until]
    observed.rejected = statuses.count(429) / len(statuses)
    observed.served = statuses.count(200) / len(statuses)
    return observed


@test("all registries restart one after the other, {order}: proxies keep their view and serve requests")
def _(order: tuple[str, ...] = each(*permutations(CORE))) -> None:  # noqa: B008
    lines = [f"at 10 kill registry {name} for {0.2 + 1.2 * number}" for number, name in enumerate(order)]
    observed = observe(["quota 28", *lines], 10.0, 17.0)
    assert (observed.proxies, observed.workers) == (PROXIES, WORKERS)
    assert observed.rejected < 0.02
    assert observed.served > 0.97


@test("all registries restart, and half of the proxies have just been killed")
def _() -> None:
    lines = ["quota 40", "at 8.5 kill proxy edge-1 edge-2 edge-3 edge-4 for 60"]
    lines += ["at 10 kill registry core-1 for 0.2", "at 10 kill registry core-2 core-3 for 1.6"]
    observed = observe(lines, 10.0, 17.0)
    assert observed.proxies >= 4
    assert observed.workers == WORKERS
    assert observed.rejected < 0.01
    assert observed.served > 0.96


@test("one registry is partitioned off and restarts, and a second later all others")
def _() -> None:
    lines = ["at 6 cut core-1 | core-2 core-3 for 4", "at 10 kill core core-1"]
    observed = observe([*lines, "at 11.3 kill core core-2 core-3"], 10.0, 17.0)
    assert (observed.proxies, observed.workers) == (PROXIES, WORKERS)
    assert observed.rejected < 0.03
    assert observed.served > 0.96


@test("two of three registries are down, and all proxies go to the third")
def _() -> None:
    observed = observe(["at 10 kill registry core-1 core-3 for 2.5"], 10.0, 17.0)
    assert (observed.proxies, observed.workers) == (PROXIES, WORKERS)
    assert observed.rejected < 0.05


@test("all registries restart empty after {seconds} s: proxies keep their view of proxies and workers")
def _(seconds: float = each(3.0, 5.5)) -> None:
    observed = observe(["quota 40", f"at 7 kill registry * for {seconds}"], 7 + seconds, 17.0)
    assert (observed.proxies, observed.workers) == (PROXIES, WORKERS)
    assert observed.rejected < 0.03


@test("rules hold while all registries are down and workers start, warm up, or lose responses ({what})")
def _(what: str = each("add fleet z{} cold 8", "chill fleet-{} 8", "sick fleet-{} 0.5")) -> None:
    lines = ["rate 200", "quota 120", "workers 6", "at 7 kill registry * for 5.5"]
    changes = [f"at 11.5 {what.format(number)}" for number in range(1, 7)]
    observed = observe([*lines, *changes], 12.5, 17.0)
    assert observed.proxies == PROXIES
    assert observed.rejected < 0.05


def probe_heartbeat(now: float) -> tuple[str, dict[str, Any]]:
    """A heartbeat of a worker in the zone of `core-4`."""
    fields = {
        "service": "fleet",
        "address": "10.9.0.1:80",
        "zone": "z4",
        "capacity": 1,
        "state": "ready",
        "seq": int(1000 * now),
        "warm": 0.0,
        "version": "v",
    }
    return "probe", fields


@test("a partitioned registry rejects requests from 2 s after the partition until it is healed")
def _() -> None:
    world = ScenarioPlayer(parse_scenarios("# x\ncore 5\nedge 5\nrate 15\nuntil 50")[0]).world
    process = world.registry("core-4")
    others = [name for name in world.core if name != "core-4"] + world.edge + ["workers", "clients"]

    def answers() -> tuple[Any, bool, bool]:
        """Status of a heartbeat, whether lookups succeed, and whether proxies accept the lease age."""
        now = process.clock()
        age = process.registry.operator_config.lease_age(now)
        status, _ = process._handle_heartbeat(probe_heartbeat(world.loop.now))
        has_answer = isinstance(process.registry.lookup(HOST, Locality("z4", "r1"), now), LookupResult)
        return status, has_answer, age is not None and age <= MAX_CONFIGURATION_AGE_SECONDS

    def expect(at: float, *expected: Any) -> None:
        world.run(at)
        assert answers() == expected, f"at {at}"

    expect(8.0, 200, True, True)
    # The second partition begins 1.5 s after the first has healed.
    for partition_at, until in ((8.0, 28.0), (29.5, 34.0)):
        world.run(partition_at)
        world.block_links(["core-4"], others)
        expect(partition_at + 0.8, 200, True, True)
        for at in (partition_at + 2.1, (partition_at + until) / 2, until - 0.1):
            expect(at, 503, False, False)
        world.run(until)
        world.unblock_links()
        expect(until + 1.2, 200, True, True)
    world.run(42.0)
    world.registry("core-4").freeze()
    world.run(48.0)
    process.thaw()
    # The lease from before the freeze is old by the monotonic clock.
    assert answers()[2] is False
    expect(48.8, 200, True, True)
    assert process.registry.uptime(process.clock()) < 1.0
