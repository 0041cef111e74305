"""A configuration too large for one response arrives in fragments over a slow line while it changes."""

import random
from typing import Any

import cbor2
from ward import each, raises, test

from ashlift.config.settings import Settings, parse_settings
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.requests import decode_watch
from ashlift.configstore.watch import fragment_changes
from ashlift.errors import Failure, FailureReason
from ashlift.proxy.registry_client import (
    LONG_POLL_SECONDS,
    MAX_CONFIGURATION_AGE_SECONDS,
    MAX_RESPONSE_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    RegistryClient,
)
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.registry import Registry
from ashlift.rpc.fragmentation import FRAGMENT_BYTES, MAX_CACHED_UPDATES, Fragmenter, Reassembler
from tests.proxy.test_registry_client import TEXT
from tests.support.registry_wire import pull_response

LINE_BYTES_PER_SECOND = 2e6 / 8  # of each proxy's line
TRIP_SECONDS = 0.04  # one way


ME = RegistryIdentity("core-1", "0", "10.1.0.1", "a", "r", 80, 1.5)


def route(chance: random.Random, size: int) -> dict[str, Any]:
    text = chance.randbytes(size // 2).hex()
    return {"Host": "h.example", "PathPrefix": "/x/", "Timeout": "2s", "Note": text}


def registry() -> Registry:
    return Registry(ME, [ME.ip], {"a": "r"}, 0.0)


def registry_client(seed: int) -> RegistryClient:
    settings = parse_settings(TEXT.replace("edge-1", f"edge-{seed}"))
    assert isinstance(settings, Settings)
    rng = random.Random(seed)
    return RegistryClient(settings, RequestRouter(settings, rng, 0.0), str(seed), rng)


class SlowLines:
    """A registry whose configuration changes `rate` times a second, and proxies that pull over slow lines."""

    def __init__(self, routes: int, size: int, rate: float) -> None:
        self.chance = random.Random(1)
        self.rate = rate
        self.routes = routes
        self.size = size
        self.now = 0.0
        self.index = 1
        self.longest_transfer = 0.0
        self.registry = registry()
        entries: dict[str, Any] = {f"Routes/{number}": route(self.chance, size) for number in range(routes)}
        entries |= {"Version": "00000001", "Members/10.1.0.1": {}}
        self.publish(entries, True)

    def publish(self, entries: dict[str, Any], full: bool = False) -> None:
        answer = {"index": self.index, "full": full, "set": entries, "gone": [], "age": 0.05, "term": 1}
        self.registry.operator_config.receive_watch_response(answer, self.now)

    def change(self) -> None:
        self.index += 1
        key = f"Routes/{self.chance.randrange(self.routes)}"
        self.publish({key: route(self.chance, self.size), "Version": f"{self.index:08x}"})

    def advance_to(self, now: float) -> None:
        while self.now + 1 / self.rate <= now:
            self.now += 1 / self.rate
            self.change()

    def pull(self, client: RegistryClient, at: float, in_one: bool = False) -> float:
        """One pull begun at `at`; returns when it ended. `in_one`: by a proxy that accepts no fragments."""
        call = client.next_request(at)
        assert call is not None
        body = call.body
        if in_one:
            del body["part"]
        self.advance_to(at + TRIP_SECONDS)
        answer: Any = pull_response(self.registry, body, self.now, self.now)
        took = 2 * TRIP_SECONDS + len(cbor2.dumps(answer)) / LINE_BYTES_PER_SECOND
        self.longest_transfer = max(self.longest_transfer, took)
        if took > MAX_RESPONSE_SECONDS:
            took = MAX_RESPONSE_SECONDS
            answer = Failure(FailureReason.OUTCOME_UNKNOWN)
        client.handle_response(call, at + took, answer)
        cluster = client._router.cluster
        if cluster.configuration.version != self.index and cluster.configuration.age(at + took) < 0.05:
            raise AssertionError("a configuration counts as fresh that is not the newest")
        return at + took


@test("a configuration of {routes} routes of {size} bytes over 2 Mbit/s, 10 changes a second: up to date")
def _(routes: int = each(1000, 2500), size: int = each(250, 1000)) -> None:
    lines = SlowLines(routes, size, 10.0)
    clients = [registry_client(seed) for seed in (1, 2, 3)]
    due = {0: 0.0, 1: 0.7, 2: 3.1}  # they start one after the other
    up_to_date: dict[int, float] = {}  # when each first was
    while any(at < 14.0 for at in due.values()):
        who = min(due, key=lambda one: due[one])
        due[who] = lines.pull(clients[who], due[who])
        index = clients[who]._router.cluster.configuration.version
        if who not in up_to_date and index > 1 and index >= lines.index - 5:
            up_to_date[who] = due[who]
        elif who in up_to_date:  # and it stays so
            assert index >= lines.index - 5
            assert clients[who]._router.cluster.configuration.age(due[who]) < MAX_CONFIGURATION_AGE_SECONDS
    packed_bytes = routes * (size * 0.55 + 60)
    assert {*up_to_date} == {0, 1, 2}
    took = [up_to_date[0], up_to_date[1] - 0.7, up_to_date[2] - 3.1]
    assert max(took) < 2.0 + 2.5 * packed_bytes / LINE_BYTES_PER_SECOND, took
    assert lines.longest_transfer < LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS, (
        "an answer is too large for a call"
    )
    assert len(lines.registry._fragmenter._cache) <= MAX_CACHED_UPDATES


@test("what it was before: in one answer, such a configuration never comes through")
def _() -> None:
    lines = SlowLines(2500, 1000, 10.0)
    client = registry_client(1)
    at = 0.0
    for _ in range(5):
        at = lines.pull(client, at, in_one=True)
    assert client._router.cluster.configuration.version == 0
    assert lines.longest_transfer > MAX_RESPONSE_SECONDS


@test("fragments: joined as they were cut, from another place anew, and none of another pack's")
def _() -> None:
    chance = random.Random(1)
    entries = {str(number): chance.randbytes(900) for number in range(300)}
    update = {"version": 3, "full": True, "set": entries, "gone": []}
    fragmenter = Fragmenter("a")
    other = Fragmenter("b")
    reassembler = Reassembler()
    calls = 0
    received = None
    while received is None:
        calls += 1
        sender = other if calls == 3 else fragmenter  # the receiver asks another sender once
        message = sender.next_message(None, update, reassembler.wanted_fragment(), 0.1 * calls)
        received = reassembler.add(message)
    assert received == update
    assert calls == 3 + -(-300 * 900 // FRAGMENT_BYTES)
    assert reassembler.wanted_fragment() is None
    fragment = fragmenter.next_message(None, update, None, 1.0)
    assert reassembler.add({**fragment, "at": 7}) is None
    assert reassembler.wanted_fragment() is None
    reassembler.add(fragment)
    with raises(ValueError):
        reassembler.add({**fragment, "at": len(fragment["part"]), "size": 2 * len(fragment["part"])})
    assert reassembler.wanted_fragment() is None
    small = {**update, "version": 4, "full": False, "set": {"a": 1}}
    assert fragmenter.next_message(2, small, None, 1.0) == small


@test("a store sends a registry a large map in fragments, and its freshness only with the newest")
def _() -> None:
    chance = random.Random(1)
    committed = CommittedState()
    committed.advance(Snapshot((1, 5), RangedMap({f"Routes/{n}": route(chance, 1000) for n in range(3000)})))
    receiver = registry()
    fragmenter = Fragmenter("1", 256 << 10, 256 << 10)
    calls = 0
    now = 0.0
    while receiver.operator_config.version < committed.index:
        calls += 1
        now += 0.1
        if calls == 2:
            entries = committed.snapshot.entries.with_changes({"Routes/7": {"Host": "new"}}, ["Routes/8"])
            committed.advance(Snapshot((1, 6), entries))
        have = receiver.operator_config.version
        body = {"have": have, "wait": 0.1, "part": receiver.operator_config.wanted_fragment()}
        request = decode_watch(body)
        assert not isinstance(request, Failure)
        answer = fragment_changes(fragmenter, committed.changes_since(have), request, now)
        assert len(cbor2.dumps(answer)) < 300 << 10
        accepted = receiver.operator_config.receive_watch_response(
            {**answer, "age": 0.01, "term": 1, "leader": None}, now
        )
        assert accepted
        assert (
            receiver.operator_config.lease_age(now) is None
            or receiver.operator_config.version == committed.index
        )
    assert receiver.operator_config.values == committed.snapshot.entries.map
    assert 5 < calls < 14
    assert abs((receiver.operator_config.lease_age(now) or 0.0) - 0.01) < 1e-6
