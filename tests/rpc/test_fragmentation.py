"""Transfer of a configuration that is too large for one response, in fragments, while it changes."""

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

LINK_BYTES_PER_SECOND = 2e6 / 8  # of each proxy's link
ONE_WAY_DELAY_SECONDS = 0.04
IDENTITY = RegistryIdentity("core-1", "0", "10.1.0.1", "a", "r", 80, 1.5)


def route(rng: random.Random, size: int) -> dict[str, Any]:
    text = rng.randbytes(size // 2).hex()
    return {"Host": "h.example", "PathPrefix": "/x/", "Timeout": "2s", "Note": text}


def registry() -> Registry:
    return Registry(IDENTITY, [IDENTITY.ip], {"a": "r"}, 0.0)


def registry_client(seed: int) -> RegistryClient:
    settings = parse_settings(TEXT.replace("edge-1", f"edge-{seed}"))
    assert isinstance(settings, Settings)
    rng = random.Random(seed)
    return RegistryClient(settings, RequestRouter(settings, rng, 0.0), str(seed), rng)


class SlowLinks:
    """A registry whose configuration changes `rate` times a second, and slow links on which proxies pull."""

    def __init__(self, routes: int, size: int, rate: float) -> None:
        self.rng = random.Random(1)
        self.rate = rate
        self.routes = routes
        self.size = size
        self.now = 0.0
        self.index = 1
        self.longest_transfer = 0.0
        self.registry = registry()
        entries: dict[str, Any] = {f"Routes/{number}": route(self.rng, size) for number in range(routes)}
        entries |= {"Version": "00000001", "Members/10.1.0.1": {}}
        self.publish(entries, True)

    def publish(self, entries: dict[str, Any], full: bool = False) -> None:
        response = {"index": self.index, "full": full, "set": entries, "gone": [], "age": 0.05, "term": 1}
        self.registry.operator_config.receive_watch_response(response, self.now)

    def change(self) -> None:
        self.index += 1
        key = f"Routes/{self.rng.randrange(self.routes)}"
        self.publish({key: route(self.rng, self.size), "Version": f"{self.index:08x}"})

    def advance_to(self, now: float) -> None:
        while self.now + 1 / self.rate <= now:
            self.now += 1 / self.rate
            self.change()

    def pull(self, client: RegistryClient, at: float, unfragmented: bool = False) -> float:
        """Make a pull at `at`, and return when it ended. `unfragmented`: the proxy accepts no fragments."""
        request = client.next_request(at)
        assert request is not None
        body = request.body
        if unfragmented:
            del body["part"]
        self.advance_to(at + ONE_WAY_DELAY_SECONDS)
        response: Any = pull_response(self.registry, body, self.now, self.now)
        elapsed = 2 * ONE_WAY_DELAY_SECONDS + len(cbor2.dumps(response)) / LINK_BYTES_PER_SECOND
        self.longest_transfer = max(self.longest_transfer, elapsed)
        if elapsed > MAX_RESPONSE_SECONDS:
            elapsed = MAX_RESPONSE_SECONDS
            response = Failure(FailureReason.OUTCOME_UNKNOWN)
        client.handle_response(request, at + elapsed, response)
        cluster = client._router.cluster
        if cluster.configuration.version != self.index and cluster.configuration.age(at + elapsed) < 0.05:
            raise AssertionError("an outdated configuration counts as fresh")
        return at + elapsed


@test("fragments: {routes} routes of {size} bytes over 2 Mbit/s stay up to date at 10 changes a second")
def _(routes: int = each(1000, 2500), size: int = each(250, 1000)) -> None:
    links = SlowLinks(routes, size, 10.0)
    clients = [registry_client(seed) for seed in (1, 2, 3)]
    next_pull_at = {0: 0.0, 1: 0.7, 2: 3.1}  # by client; they start one after the other
    up_to_date_at: dict[int, float] = {}  # by client
    while any(at < 14.0 for at in next_pull_at.values()):
        number = min(next_pull_at, key=lambda one: next_pull_at[one])
        next_pull_at[number] = links.pull(clients[number], next_pull_at[number])
        configuration = clients[number]._router.cluster.configuration
        index = configuration.version
        if number not in up_to_date_at and index > 1 and index >= links.index - 5:
            up_to_date_at[number] = next_pull_at[number]
        elif number in up_to_date_at:  # it must remain up to date
            assert index >= links.index - 5
            assert configuration.age(next_pull_at[number]) < MAX_CONFIGURATION_AGE_SECONDS
    compressed_bytes = routes * (size * 0.55 + 60)
    assert {*up_to_date_at} == {0, 1, 2}
    elapsed = [up_to_date_at[0], up_to_date_at[1] - 0.7, up_to_date_at[2] - 3.1]
    assert max(elapsed) < 2.0 + 2.5 * compressed_bytes / LINK_BYTES_PER_SECOND, elapsed
    assert links.longest_transfer < LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS, (
        "a response takes longer than a pull may"
    )
    assert len(links.registry._fragmenter._cache) <= MAX_CACHED_UPDATES


@test("without fragments, a large configuration always exceeds the response timeout")
def _() -> None:
    links = SlowLinks(2500, 1000, 10.0)
    client = registry_client(1)
    at = 0.0
    for _ in range(5):
        at = links.pull(client, at, unfragmented=True)
    assert client._router.cluster.configuration.version == 0
    assert links.longest_transfer > MAX_RESPONSE_SECONDS


@test("fragments: reassembled in order, restarted by another sender, rejected at a wrong offset")
def _() -> None:
    rng = random.Random(1)
    entries = {str(number): rng.randbytes(900) for number in range(300)}
    update = {"version": 3, "full": True, "set": entries, "gone": []}
    fragmenter = Fragmenter("a")
    other = Fragmenter("b")
    reassembler = Reassembler()
    requests = 0
    received = None
    while received is None:
        requests += 1
        sender = other if requests == 3 else fragmenter  # the receiver asks another sender once
        message = sender.next_message(None, update, reassembler.wanted_fragment(), 0.1 * requests)
        received = reassembler.add(message)
    assert received == update
    assert requests == 3 + -(-300 * 900 // FRAGMENT_BYTES)
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


@test("a store sends a registry a large map in fragments, and its lease only with the last one")
def _() -> None:
    rng = random.Random(1)
    committed = CommittedState()
    committed.advance(Snapshot((1, 5), RangedMap({f"Routes/{n}": route(rng, 1000) for n in range(3000)})))
    receiver = registry()
    fragmenter = Fragmenter("1", 256 << 10, 256 << 10)
    requests = 0
    now = 0.0
    while receiver.operator_config.version < committed.index:
        requests += 1
        now += 0.1
        if requests == 2:
            entries = committed.snapshot.entries.with_changes({"Routes/7": {"Host": "new"}}, ["Routes/8"])
            committed.advance(Snapshot((1, 6), entries))
        base_version = receiver.operator_config.version
        body = {"have": base_version, "wait": 0.1, "part": receiver.operator_config.wanted_fragment()}
        request = decode_watch(body)
        assert not isinstance(request, Failure)
        response = fragment_changes(fragmenter, committed.changes_since(base_version), request, now)
        assert len(cbor2.dumps(response)) < 300 << 10
        accepted = receiver.operator_config.receive_watch_response(
            {**response, "age": 0.01, "term": 1, "leader": None}, now
        )
        assert accepted
        assert (
            receiver.operator_config.lease_age(now) is None
            or receiver.operator_config.version == committed.index
        )
    assert receiver.operator_config.values == committed.snapshot.entries.map
    assert 5 < requests < 14
    assert abs((receiver.operator_config.lease_age(now) or 0.0) - 0.01) < 1e-6
