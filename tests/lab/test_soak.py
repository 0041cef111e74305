"""What the soak draws, and what it finds in programs' metrics and logs. No process starts."""

import tempfile
from pathlib import Path

from ward import raises, test

from ashlift.invariants import monitor
from ashlift.lab.system.program_health import health_verdict, violations_in_logs, violations_in_metrics
from ashlift.lab.system.soak_scenario import max_concurrent_faults, soak_scenario
from ashlift.lab.system.supported_scenarios import unsupported_parts
from ashlift.metrics import INVARIANT_VIOLATIONS, MetricsRegistry
from ashlift.simulation.scenario import parse_scenarios

SEEDS = range(1, 41)
SECONDS = 30.0


@test("every seed of the soak can be played, has home regions, and at least two faults at the same time")
def _() -> None:
    words: set[str] = set()
    for seed in SEEDS:
        scenario = soak_scenario(seed, 9, SECONDS)
        assert scenario == soak_scenario(seed, 9, SECONDS)
        assert unsupported_parts(scenario) == []
        assert scenario.plan.homes
        assert max_concurrent_faults(scenario) >= 2
        assert parse_scenarios(scenario.to_text())[0].events == scenario.events
        words |= {event.words[0] for event in scenario.events}
    assert {"kill", "freeze", "term", "cut", "oneway", "sick", "break", "power", "wipe", "put"} <= words
    with raises(ValueError):
        soak_scenario(1, 9, 10.0)


@test("a broken invariant is found in metrics and in logs, and so are metrics without any")
def _() -> None:
    metrics = MetricsRegistry()
    metrics.add(INVARIANT_VIOLATIONS, lambda: {**monitor.violations, "attempt_region": 2})
    assert list(violations_in_metrics("p", metrics.render())) == ["p: attempt_region broken 2 times"]
    assert len(list(violations_in_metrics("p", "other 1\n"))) == 1
    with tempfile.TemporaryDirectory() as folder:
        log = Path(folder) / "proxy@edge-1.log"
        log.write_text("01:00 INFO p 101 started\n01:01 ERROR p 107 invariant does not hold invariant=x\n")
        assert list(violations_in_logs([log])) == [
            "proxy@edge-1: 01:01 ERROR p 107 invariant does not hold invariant=x"
        ]
    assert not health_verdict(["x"]).ok
    assert health_verdict([]).ok
