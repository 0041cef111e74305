"""Every order of the steps by which a tenant comes: the real registries' word, the real ledger and gate.

Gatekeepers learn the word from registries alone and hold nothing of each other's, so all orders for one of
them are all orders for three; of three core members it can meet one that knows, one that lags, and the change
from one to the other: two registries. A state is what is held and proven, its times by rank. The commit is
before all steps, so an acknowledgement may be too: what must hold after it must hold everywhere here.
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
from tests.support.request_router_scenarios import SETTINGS, WORD

STEP_S, STEPS = 0.001, 6
NEW = {"Version": "00000002", "Tenants/new": {"ApiKeys": ["n"], "RatePerS": 5, "BurstSize": 5}}
BEFORE, AFTER = 1, 2  # indexes of the word
ACTIONS = ("lag 0", "learn 0", "lag 1", "learn 1", "pull 0", "pull 1", "send 0", "deliver", "ask")


class World:
    """One gatekeeper, two registries, and a store that has just committed the tenant (at time 0)."""

    def __init__(self) -> None:
        settings = parse_settings(SETTINGS, "steps")
        assert isinstance(settings, Settings)
        self.now = -2 * STEP_S
        self.gate = RequestRouter(settings, random.Random(1), self.now)
        self.boards = []
        for at in ("1", "2"):
            me = RegistryIdentity(at, "x", f"10.0.0.{at}", "z1", "r1", 8200, 1.5)
            self.boards.append(Registry(me, [], {"z1": "r1"}, self.now))
            self._word(self.boards[-1], BEFORE, self.now)
        self.pull(0)
        self.now = 0.0
        self.asked: float | None = None
        self.under_way: tuple[float, Any] | None = None
        self.said = ""

    def _word(self, board: Registry, index: int, proven: float) -> None:
        word = WORD if index == BEFORE else {**WORD, **NEW}
        told = {"index": index, "set": word, "gone": [], "full": True, "age": self.now - proven, "term": 1}
        board.operator_config.receive_watch_response(told, self.now)

    def _told(self, number: int) -> Any:
        body = {"have": self.gate.cluster.versions(), "zone": "z1", "region": "r1"}
        return pull_response(self.boards[number], body, self.now, self.now)

    def pull(self, number: int) -> None:
        self._take(self.now, self._told(number))

    def _take(self, sent: float, answer: Any) -> None:
        response = PullResponse.from_wire(answer)
        self.gate.apply_change(self.now, self.gate.cluster.apply(sent, self.now, response))

    def do(self, action: str) -> bool:
        """False: it cannot be now."""
        self.now += STEP_S
        verb, _, number = action.partition(" ")
        match verb:
            case "lag":  # a store that has not heard of the commit, with a proof from before it
                self._word(self.boards[int(number)], BEFORE, -STEP_S)
            case "learn":
                self._word(self.boards[int(number)], AFTER, self.now)
            case "pull":
                self.pull(int(number))
            case "send":
                if self.under_way is not None:
                    return False
                self.under_way = self.now, self._told(int(number))
            case "deliver":
                if self.under_way is None:
                    return False
                self._take(*self.under_way)
                self.under_way = None
            case "ask":
                if self.said not in ("", "unsure"):
                    return False
                self.asked = self.now if self.asked is None else self.asked
                found = self.gate.admit(self.now, "h", "/look/x", "n", 3.0, self.asked)
                self.said = "in" if isinstance(found, AdmittedRequest) else _word_of(found, self.now)
        return True

    def state(self) -> tuple[Any, ...]:
        ledger, told = self.gate.cluster, self.under_way
        configuration = ledger.configuration
        operator_configs = [board.operator_config for board in self.boards]
        held = [configuration.version, *(one.version for one in operator_configs), self.said]
        times = [configuration.confirmed_at, *(one.confirmed_at for one in operator_configs), self.asked]
        if told is not None:
            held.append(tuple(sorted((name, one["version"]) for name, one in told[1]["sources"].items())))
            times.append(told[0] - told[1]["age"])
        ranks = sorted({round(one, 4) for one in times if one is not None})
        return *held, *(None if one is None else ranks.index(round(one, 4)) for one in times)


def _word_of(turn: Rejection, now: float) -> str:
    return "unsure" if now < turn.reconsider_until else f"{turn.status}"


@test("every order of the steps: what was committed gets no 401, and who lets it in holds all of it")
def _() -> None:
    seen: set[tuple[Any, ...]] = set()
    said: set[str] = set()
    front: list[tuple[str, ...]] = [()]
    for _ in range(STEPS):
        paths, front = front, []
        for path, action in ((path, action) for path in paths for action in ACTIONS):
            world = World()
            if not all(world.do(one) for one in (*path, action)) or (state := world.state()) in seen:
                continue
            seen.add(state)
            said.add(world.said)
            if world.said == "in":
                table = world.gate.cluster.configuration.routing_table
                assert table is not None and table.version == 2 and "new" in world.gate._quota_tenants, path
            else:
                front.append((*path, action))
    assert len(seen) > 500 and said == {"", "unsure", "in"}, (len(seen), said)
