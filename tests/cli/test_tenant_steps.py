"""Every order of the steps by which a tenant is added, with real registries, cluster view and request router.

Proxies receive the configuration from registries alone and hold nothing of each other's, so all orders for
one proxy are all orders for three. Of three core machines it can meet one that knows the tenant, one that
lags, and the change from one to the other: two registries. A state is what is held and confirmed, its times
by rank. The commit is before all steps, so an acknowledgement may be too: what must hold after it must hold
everywhere here.
"""

import random
from typing import Any

from ward import test

from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.registry import Registry
from tests.support.registry_wire import pull_response
from tests.support.request_router_scenarios import CONFIGURATION, SETTINGS

STEP_SECONDS = 0.001
MAX_STEPS = 6
TENANT_ENTRIES = {"Version": "00000002", "Tenants/new": {"ApiKeys": ["n"], "RatePerS": 5, "BurstSize": 5}}
INDEX_BEFORE = 1  # of the configuration without the tenant
INDEX_AFTER = 2
ACTIONS = ("lag 0", "learn 0", "lag 1", "learn 1", "pull 0", "pull 1", "send 0", "deliver", "ask")
ADMITTED = "admitted"
UNSURE = "unsure"  # the request may be admitted once newer configuration has come


class World:
    """One proxy, two registries, and a store that has just committed the tenant (at time 0)."""

    def __init__(self) -> None:
        settings = parse_settings(SETTINGS, "steps")
        assert isinstance(settings, Settings)
        self.now = -2 * STEP_SECONDS
        self.router = RequestRouter(settings, random.Random(1), self.now)
        self.registries = []
        for node in ("1", "2"):
            identity = RegistryIdentity(node, "x", f"10.0.0.{node}", "z1", "r1", 8200, 1.5)
            self.registries.append(Registry(identity, [], {"z1": "r1"}, self.now))
            self.watch(self.registries[-1], INDEX_BEFORE, self.now)
        self.pull(0)
        self.now = 0.0
        self.received_at: float | None = None  # the client's request
        self.pull_in_flight: tuple[float, Any] | None = None  # when it was sent, and its response
        self.outcome = ""  # of the client's request

    def watch(self, registry: Registry, index: int, confirmed_at: float) -> None:
        """Give a registry the store's answer to a watch."""
        entries = CONFIGURATION if index == INDEX_BEFORE else {**CONFIGURATION, **TENANT_ENTRIES}
        response = {
            "index": index,
            "set": entries,
            "gone": [],
            "full": True,
            "age": self.now - confirmed_at,
            "term": 1,
        }
        registry.operator_config.receive_watch_response(response, self.now)

    def pull_response(self, number: int) -> Any:
        body = {"have": self.router.cluster.versions(), "zone": "z1", "region": "r1"}
        return pull_response(self.registries[number], body, self.now, self.now)

    def pull(self, number: int) -> None:
        self.apply(self.now, self.pull_response(number))

    def apply(self, sent_at: float, response: Any) -> None:
        change = self.router.cluster.apply(sent_at, self.now, PullResponse.from_wire(response))
        self.router.apply_change(self.now, change)

    def perform(self, action: str) -> bool:
        """Perform an action; return whether it is possible now."""
        self.now += STEP_SECONDS
        verb, _, number = action.partition(" ")
        match verb:
            case "lag":  # a store that has not heard of the commit, with a confirmation from before it
                self.watch(self.registries[int(number)], INDEX_BEFORE, -STEP_SECONDS)
            case "learn":
                self.watch(self.registries[int(number)], INDEX_AFTER, self.now)
            case "pull":
                self.pull(int(number))
            case "send":
                if self.pull_in_flight is not None:
                    return False
                self.pull_in_flight = self.now, self.pull_response(int(number))
            case "deliver":
                if self.pull_in_flight is None:
                    return False
                self.apply(*self.pull_in_flight)
                self.pull_in_flight = None
            case "ask":
                if self.outcome not in ("", UNSURE):
                    return False
                self.ask()
        return True

    def ask(self) -> None:
        """The client's request arrives, or asks again."""
        self.received_at = self.now if self.received_at is None else self.received_at
        result = self.router.admit(self.now, "h", "/look/x", "n", 3.0, self.received_at)
        self.outcome = ADMITTED if isinstance(result, AdmittedRequest) else self.describe(result)

    def describe(self, rejection: Rejection) -> str:
        return UNSURE if self.now < rejection.reconsider_until else f"{rejection.status}"

    def state(self) -> tuple[Any, ...]:
        """Return what is held, and the ranks of the times at which it was confirmed."""
        configuration = self.router.cluster.configuration
        held: list[Any] = [
            configuration.version,
            *(registry.operator_config.version for registry in self.registries),
            self.outcome,
        ]
        times = [
            configuration.confirmed_at,
            *(registry.operator_config.confirmed_at for registry in self.registries),
            self.received_at,
        ]
        if self.pull_in_flight is not None:
            sent_at, response = self.pull_in_flight
            versions = ((name, source["version"]) for name, source in response["sources"].items())
            held.append(tuple(sorted(versions)))
            times.append(sent_at - response["age"])
        ranks = sorted({round(time, 4) for time in times if time is not None})
        return *held, *(None if time is None else ranks.index(round(time, 4)) for time in times)


@test("every order of the steps: what was committed gets no 401, and who admits it holds all of it")
def _() -> None:
    states: set[tuple[Any, ...]] = set()
    outcomes: set[str] = set()
    frontier: list[tuple[str, ...]] = [()]
    for _ in range(MAX_STEPS):
        paths = frontier
        frontier = []
        for path, action in ((path, action) for path in paths for action in ACTIONS):
            world = World()
            possible = all(world.perform(step) for step in (*path, action))
            if not possible or (state := world.state()) in states:
                continue
            states.add(state)
            outcomes.add(world.outcome)
            if world.outcome == ADMITTED:
                table = world.router.cluster.configuration.routing_table
                assert table is not None
                assert table.version == 2
                assert "new" in world.router._quota_tenants, path
            else:
                frontier.append((*path, action))
    assert len(states) > 500
    assert outcomes == {"", UNSURE, ADMITTED}, (len(states), outcomes)
