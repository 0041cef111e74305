"""A configuration too large for one call comes in pieces over a narrow line, while it goes on changing."""

import random
from typing import Any

import cbor2
from ward import each, raises, test

from ashlift.config.settings import Settings, parse_settings
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.messages import Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.requests import decode_watch
from ashlift.configstore.watch import fragment_changes
from ashlift.errors import Failure, FailureReason
from ashlift.proxy.__main__ import Program
from ashlift.proxy.registry_client import (
    LONG_POLL_SECONDS,
    MAX_CONFIGURATION_AGE_SECONDS,
    MAX_RESPONSE_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    RegistryClient,
)
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry.registry import Registry, RegistryIdentity
from ashlift.rpc.fragmentation import FRAGMENT_BYTES, MAX_CACHED_UPDATES, Fragmenter, Reassembler
from ashlift.rpc.sources import OPERATOR_SOURCE
from tests.proxy.test_registry_client import TEXT

LINE = 2e6 / 8  # bytes a second of a gatekeeper's line
TRIP_S = 0.04


ME = RegistryIdentity("core-1", "0", "10.1.0.1", "a", "r", 80, 1.5)


def route(chance: random.Random, size: int) -> dict[str, Any]:
    text = chance.randbytes(size // 2).hex()
    return {"Host": "h.example", "PathPrefix": "/x/", "Timeout": "2s", "Note": text}


def registry() -> Registry:
    return Registry(ME, [ME.ip], {"a": "r"}, 0.0)


def pulling(seed: int) -> RegistryClient:
    settings = parse_settings(TEXT.replace("edge-1", f"edge-{seed}"))
    assert isinstance(settings, Settings)
    rng = random.Random(seed)
    return RegistryClient(settings, RequestRouter(settings, rng, 0.0), str(seed), rng)


class Line:
    """A registry whose word changes `rate` times a second, and gatekeepers that pull over their lines."""

    def __init__(self, routes: int, size: int, rate: float) -> None:
        self.chance, self.rate, self.now, self.index = random.Random(1), rate, 0.0, 1
        self.registry = registry()
        self.size, self.routes, self.longest = size, routes, 0.0
        word: dict[str, Any] = {f"Routes/{number}": route(self.chance, size) for number in range(routes)}
        word |= {"Version": "00000001", "Members/10.1.0.1": {}}
        self.tell(word, True)

    def tell(self, set_: dict[str, Any], full: bool = False) -> None:
        answer = {"index": self.index, "full": full, "set": set_, "gone": [], "age": 0.05, "term": 1}
        self.registry.receive_watch_response(answer, self.now, self.now)

    def change(self) -> None:
        self.index += 1
        key = f"Routes/{self.chance.randrange(self.routes)}"
        self.tell({key: route(self.chance, self.size), "Version": f"{self.index:08x}"})

    def until(self, now: float) -> None:
        while self.now + 1 / self.rate <= now:
            self.now += 1 / self.rate
            self.change()

    def pull(self, one: RegistryClient, at: float, whole: bool = False) -> float:
        """One pull begun at `at` -> when it has ended. `whole`: as one does that can join no pieces."""
        call = one.next_request(at)
        assert call is not None
        if whole:
            del call.body["part"]
        self.until(at + TRIP_S)
        answer: Any = self.registry.pull_response(call.body, self.now, self.now)
        took = 2 * TRIP_S + len(cbor2.dumps(answer)) / LINE
        self.longest = max(self.longest, took)
        if took > MAX_RESPONSE_SECONDS:
            took, answer = MAX_RESPONSE_SECONDS, Failure(FailureReason.OUTCOME_UNKNOWN)
        one.handle_response(call, at + took, answer)
        ledger = one._router.cluster
        if ledger.config_index != self.index and ledger.configuration_age(at + took) < 0.05:
            raise AssertionError("a proof was taken of a word that is not held")
        return at + took


@test("a whole configuration of {routes} routes of {size} bytes over 2 Mbit/s, 10 changes a second: level")
def _(routes: int = each(1000, 2500), size: int = each(250, 1000)) -> None:
    line, gates = Line(routes, size, 10.0), [pulling(seed) for seed in (1, 2, 3)]
    due = {0: 0.0, 1: 0.7, 2: 3.1}  # they start one after the other
    level: dict[int, float] = {}
    while any(at < 14.0 for at in due.values()):
        who = min(due, key=lambda one: due[one])
        due[who] = line.pull(gates[who], due[who])
        index = gates[who]._router.cluster.config_index
        if who not in level and index > 1 and index >= line.index - 5:
            level[who] = due[who]
        elif who in level:  # and it stays so
            assert index >= line.index - 5
            assert gates[who]._router.cluster.configuration_age(due[who]) < MAX_CONFIGURATION_AGE_SECONDS
    packed = routes * (size * 0.55 + 60)
    assert {*level} == {0, 1, 2}
    took = [level[0], level[1] - 0.7, level[2] - 3.1]
    assert max(took) < 2.0 + 2.5 * packed / LINE, took
    assert line.longest < LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS, "an answer is too large for a call"
    assert len(line.registry._cutter._packs) <= MAX_CACHED_UPDATES


@test("what it was before: in one answer, such a configuration never comes through")
def _() -> None:
    line, one = Line(2500, 1000, 10.0), pulling(1)
    at = 0.0
    for _ in range(5):
        at = line.pull(one, at, whole=True)
    assert one._router.cluster.config_index == 0 and line.longest > MAX_RESPONSE_SECONDS


@test("an answer that cannot be read is as none: the next registry is asked")
def _() -> None:
    one = pulling(1)
    good = {"sources": {}, "alive": [], "age": 0.1, "held": 0.0, "controls": ["10.1.0.1"], "members": 1}
    for sources in (
        {OPERATOR_SOURCE: {"version": 1, "full": True, "pack": b"none"}},
        None,
        {"vise": {"part": b""}},
    ):
        call = one.next_request(10.0)
        assert call is not None
        assert not one.handle_response(call, 10.0, {**good, "sources": sources})
    call = one.next_request(20.0)
    assert call is not None and one.handle_response(call, 20.0, good)


@test("a loop of the gatekeeper that ends by an error ends the process: it does not go stale unseen")
def _() -> None:
    settings = parse_settings(TEXT)
    assert isinstance(settings, Settings)
    program = Program("none", settings)

    def loop() -> None:
        raise LookupError("what nobody has thought of")

    program._spawn(loop).join(1.0)
    program._stop.wait(1.0)
    assert program.broken and program._stop.is_set()


@test("pieces: joined as they were cut, from another place anew, and none of another pack's")
def _() -> None:
    chance = random.Random(1)
    many = {str(number): chance.randbytes(900) for number in range(300)}
    told = {"version": 3, "full": True, "set": many, "gone": []}
    one, other, joiner = Fragmenter("a"), Fragmenter("b"), Reassembler()
    calls, joined = 0, None
    while joined is None:
        calls += 1
        cutter = other if calls == 3 else one  # it goes to another for one call
        joined = joiner.add(cutter.next_message(None, told, joiner.wanted_fragment(), 0.1 * calls))
    assert joined == told and calls == 3 + -(-300 * 900 // FRAGMENT_BYTES)
    assert joiner.wanted_fragment() is None
    piece = one.next_message(None, told, None, 1.0)
    assert joiner.add({**piece, "at": 7}) is None and joiner.wanted_fragment() is None
    joiner.add(piece)
    with raises(ValueError):
        joiner.add({**piece, "at": len(piece["part"]), "size": 2 * len(piece["part"])})
    assert joiner.wanted_fragment() is None
    small = {**told, "version": 4, "full": False, "set": {"a": 1}}
    assert one.next_message(2, small, None, 1.0) == small


@test("a store tells a registry a large map in pieces, and its proof only with the newest")
def _() -> None:
    chance, news = random.Random(1), CommittedState()
    news.advance(Snapshot((1, 5), RangedMap({f"Routes/{n}": route(chance, 1000) for n in range(3000)})))
    mine = registry()
    cutter, calls, now = Fragmenter("1", 256 << 10, 256 << 10), 0, 0.0
    while mine.operator_config.version < news.index:
        calls, now = calls + 1, now + 0.1
        if calls == 2:
            map = news.snapshot.entries.with_changes({"Routes/7": {"Host": "new"}}, ["Routes/8"])
            news.advance(Snapshot((1, 6), map))
        have = mine.operator_config.version
        body = {"have": have, "wait": 0.1, "part": mine.wanted_fragment()}
        request = decode_watch(body)
        assert not isinstance(request, Failure)
        answer = fragment_changes(cutter, news.changes_since(have), request, now)
        assert len(cbor2.dumps(answer)) < 300 << 10
        fresh = mine.receive_watch_response({**answer, "age": 0.01, "term": 1, "leader": None}, now, now)
        assert fresh and (mine.lease_age(now) is None or mine.operator_config.version == news.index)
    assert mine.operator_config.values == news.snapshot.entries.map and 5 < calls < 14
    assert abs((mine.lease_age(now) or 0.0) - 0.01) < 1e-6
