"""Run-time invariants: a violation is counted and shown in the metrics, and the operation is rejected."""

import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from ward import raises, test

from ashlift.errors import Failure
from ashlift.invariants import (
    EXIT_STATUS,
    FATAL_INVARIANTS_VARIABLE,
    Invariant,
    InvariantMonitor,
    InvariantViolationError,
    ViolationAction,
    monitor,
)
from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.metrics import proxy_metrics
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_handler import RequestHandler
from ashlift.registry.endpoint_directory import LookupReach, LookupResult
from ashlift.registry.locality import Locality
from ashlift.registry.metrics import registry_metrics
from tests.support.registry_scenarios import RegistryScenario
from tests.support.request_router_scenarios import RequestRouterScenario

ROOT = Path(__file__).parent.parent


@contextmanager
def as_in_production() -> Iterator[None]:
    """Violations are counted, and do not raise."""
    before = dict(monitor.violations)
    monitor.action = ViolationAction.CONTINUE
    try:
        yield
    finally:
        monitor.action = ViolationAction.RAISE
        monitor.violations.update({name: before[name] - count for name, count in monitor.violations.items()})


def directory_that_ignores_home_regions() -> RegistryScenario:
    scenario = RegistryScenario()
    for line in ("start a za ra", "start b zb rb", "homes a 1 0 home.x=ra", "run 2"):
        scenario.play(line)
    answer = LookupResult(["10.0.0.1:80"], LookupReach.OTHER_REGIONS, 0, ("rc",))
    scenario.registries["a"].directory.lookup = lambda *_: answer  # type: ignore[method-assign]
    return scenario


def balancer_that_ignores_home_regions() -> tuple[RequestRouterScenario, AdmittedRequest]:
    scenario = RequestRouterScenario()
    scenario.line("update age=0.1 w3:board:z3")
    scenario.line("request A /hold/ k1 -> admitted")
    balancer = scenario.router.load_balancer
    balancer.eligible = lambda service, *_: balancer.by_service[service]  # type: ignore[method-assign]
    return scenario, scenario.admitted["A"]


@test("tests run with fatal invariants")
def _() -> None:
    assert monitor.action is ViolationAction.RAISE


@test("a lookup answer outside the home regions raises in tests; in production it fails and is counted")
def _() -> None:
    scenario = directory_that_ignores_home_regions()
    registry = scenario.registries["a"]
    with raises(InvariantViolationError) as raised:
        registry.lookup("home.x", Locality("za", "ra"), scenario.now)
    assert "host=home.x client_region=ra named=rc" in str(raised.raised)
    with as_in_production():
        count = monitor.violations[Invariant.DIRECTORY_REGION]
        assert isinstance(registry.lookup("home.x", Locality("za", "ra"), scenario.now), Failure)
        line = f'ashlift_invariant_violations_total{{invariant="directory_region"}} {count + 1}'
        assert line in registry_metrics(registry).render().splitlines()


@test("a worker outside the home regions raises in tests; in production it is not used")
def _() -> None:
    scenario, request = balancer_that_ignores_home_regions()
    with raises(InvariantViolationError):
        scenario.router.choose_worker(scenario.now, request, retry=False)
    with as_in_production():
        count = monitor.violations[Invariant.ATTEMPT_REGION]
        assert isinstance(scenario.router.choose_worker(scenario.now, request, retry=False), Rejection)
        worker = scenario.router.load_balancer.workers["w3"]
        assert not scenario.router.may_send(request, worker)
        line = f'ashlift_invariant_violations_total{{invariant="attempt_region"}} {count + 2}'
        assert line in proxy_metrics(RequestHandler(scenario.router)).render().splitlines()


@test("a process with fatal invariants logs the first violation and exits")
def _() -> None:
    program = (
        "from ashlift.invariants import Invariant, monitor\n"
        "assert monitor.check(True, Invariant.ATTEMPT_REGION)\n"
        "monitor.check(False, Invariant.ATTEMPT_REGION, worker='w1')\n"
        "print('goes on')\n"
    )
    for value, status in (("1", EXIT_STATUS), ("", 0)):
        done = subprocess.run(
            [sys.executable, "-c", program],
            env={FATAL_INVARIANTS_VARIABLE: value},
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=20,
            check=False,
        )
        assert done.returncode == status, done.stderr
        assert ("goes on" in done.stdout) == (status == 0)
        assert "107 invariant does not hold invariant=attempt_region details=worker=w1" in done.stderr


@test("satisfied invariants are not counted, and each invariant is in the metrics from the start")
def _() -> None:
    unused_monitor = InvariantMonitor(ViolationAction.RAISE)
    assert unused_monitor.check(True, Invariant.DIRECTORY_REGION)
    assert unused_monitor.violations == {invariant.value: 0 for invariant in Invariant}
