"""Sources by difference, beats and calls as bytes, and what the operator's calls get. No sockets."""

import json
import random
import time
from typing import Any, cast
from unittest.mock import patch

from ward import each, test

from ashlift.config.settings import Settings
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.config import ConfigResource
from ashlift.registry.api.evacuation import EvacuationResource
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.registry.api.instances import InstancesResource
from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.request_parser import RequestParser
from ashlift.registry.api.server import HttpServer
from ashlift.registry.endpoint_directory import MAX_CACHED_LOOKUPS
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.messages import CommandResult
from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    LONG_POLL_SECONDS,
    UNTHROTTLED_PEERS,
    UNTHROTTLED_SESSIONS,
    call_interval,
)
from ashlift.registry.records import WorkerRecord, WorkerState
from ashlift.registry.registry import Registry
from ashlift.registry.replicated_source import MAX_TOMBSTONES, ReplicatedSource
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool
from tests.support.registry_wire import begin_pull


def take(asker: tuple[int, dict[str, Any]], source: ReplicatedSource) -> tuple[int, dict[str, Any]]:
    version, records = asker
    news = source.delta_since(version or None)
    if news is None:
        return asker
    kept = {} if news.full else {key: one for key, one in records.items() if key not in news.removed}
    return news.version, {**kept, **news.values}


@test("an asker that goes between a source and its copies ends with what the source holds ({seed})")
def _(seed: int = each(*range(30))) -> None:
    rng, origin, copies = random.Random(seed), ReplicatedSource(), [ReplicatedSource(), ReplicatedSource()]
    askers: list[tuple[int, dict[str, Any]]] = [(0, {}), (0, {}), (0, {})]
    for step in range(400):
        key = rng.choice("wgc") + "/" + str(rng.randrange(12))
        (origin.drop if rng.random() < 0.4 else lambda key, step=step: origin.put(key, step))(key)
        copy = rng.choice(copies)
        if rng.random() < 0.2:
            if rng.random() < 0.6:
                copy.replace(origin.version, dict(origin.values))
            elif news := origin.delta_since(copy.version or None):
                whole = copy.replace if news.full else None
                whole(news.version, news.values) if whole else copy.merge(
                    news.version, news.values, news.removed
                )
        which = rng.randrange(12)
        if which < len(askers):
            askers[which] = take(askers[which], rng.choice([origin, *copies]))
    for copy in copies:
        copy.replace(origin.version, dict(origin.values))
    for asker in askers:
        assert take(asker, rng.choice([origin, *copies])) == (origin.version, origin.values)


@test("who goes between registries holds the word, though stores passed over what changed back ({seed})")
def _(seed: int = each(*range(20))) -> None:
    rng, map, states = random.Random(seed), RangedMap(), [Snapshot((1, 1), RangedMap())]
    stores, words = (
        [CommittedState(), CommittedState(), CommittedState()],
        [ReplicatedSource(), ReplicatedSource(), ReplicatedSource()],
    )
    askers: list[tuple[int, dict[str, Any]]] = [(0, {}), (0, {}), (0, {})]
    for index in range(2, 300):
        key = f"Routes/{rng.randrange(4)}"
        gone = [key] if key in map.map and rng.random() < 0.3 else []
        map = map.with_changes({} if gone else {key: rng.randrange(2)}, gone)
        states.append(Snapshot((1, index), map))
        for store, word in zip(stores, words, strict=True):
            if rng.random() < 0.5:  # else it is away, and passes over this one
                store.advance(states[-1])
            teller = rng.choice([store, *stores])
            if rng.random() < 0.4 and teller.index > word.version:
                registry_takes(word, teller.changes_since(word.version))
        which = rng.randrange(6)
        if which < len(askers):
            askers[which] = take(askers[which], rng.choice(words))
            version, records = askers[which]
            assert not version or records == states[version - 1].entries.map, f"at index {version}"


def registry_takes(word: ReplicatedSource, news: dict[str, Any]) -> None:
    """As `Registry.watched` does."""
    if news["full"]:
        word.replace(news["index"], news["set"])
    else:
        word.note_skipped_versions(news["index"])
        word.merge(news["index"], news["set"], news["gone"])


@test("keys gone longest are forgotten, and who has not heard of them is told everything")
def _() -> None:
    source = ReplicatedSource()
    for number in range(MAX_TOMBSTONES + 2):
        source.put(f"w/{number}", 1)
    before = source.version
    for number in range(MAX_TOMBSTONES + 2):
        source.drop(f"w/{number}")
    old, new = source.delta_since(before), source.delta_since(before + 2)
    assert old and old.full and not old.values
    assert new and not new.full and len(new.removed) == MAX_TOMBSTONES


@test("sums are told, and wake nobody")
def _() -> None:
    source = ReplicatedSource()
    source.put("w/1", 1)
    source.put("c/t", [1, 0])
    assert (
        not source.has_significant_change_since(1)
        and source.delta_since(1)
        and source.has_significant_change_since(None)
    )
    source.drop("w/1")
    assert source.has_significant_change_since(2)


BEAT = (
    b'{"Address":"10.128.0.9:8080","NodeInfo":{"Service":"s","ConfigVersion":"v1","Zone":"z","Capacity":2},'
    b'"Status":{"State":"ready","CallSeq":4,"WarmupLeft":"1500ms"}}'
)


@test("a beat is read whole, or refused with what is wrong: {wrong}")
def _(
    old: str = each("", "8080", '"z"', "4,", "ready", "1500ms", '"NodeInfo"', "}}", '"s"', ":2}"),
    new: str = each("", "0", "5", "-4,", "idle", "soon", '"Node"', "}", "NaN", ":true}"),
    wrong: str = each(
        "",
        "no port",
        "texts",
        "whole numbers",
        "no State",
        "no time",
        "NodeInfo is missing",
        "is no JSON",
        "NaN is no JSON",
        "whole numbers",
    ),
) -> None:
    found = parse_heartbeat(BEAT.decode().replace(old, new, 1).encode() if old else BEAT, 10.0)
    if wrong:
        assert isinstance(found, Failure) and wrong in found.detail, found
    else:
        assert found == WorkerRecord("s", "10.128.0.9:8080", "z", 2, WorkerState.READY, 4, 11.5, "v1")


def read(data: bytes, size: int) -> RequestParser:
    reading = RequestParser(lambda path: 8 if path == "/small" else 100)
    for start in range(0, len(data), size):
        reading.feed(data[start : start + size])
        if reading.error:
            break
    return reading


@test("calls are cut out of bytes, however they come ({size})")
def _(size: int = each(1, 7, 1000)) -> None:
    reading = read(
        b"PUT /a?Zone=x&Name=y HTTP/1.1\r\nIf-Match: 5\r\nContent-Length: 2\r\n\r\n{}"
        b"POST /small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        b"GET /c/d HTTP/1.1\r\nConnection: close\r\n\r\n",
        size,
    )
    first, second, third = (request for request, _ in reading.requests)
    assert first == HttpRequest("PUT", "/a", {"Zone": "x", "Name": "y"}, first.headers, b"{}")
    assert first.headers["if-match"] == "5" and second.body == b"abcde" and third.segments == ["d"]
    assert [keep for _, keep in reading.requests] == [True, True, False] and not reading.error


@test("a call that is too large or no HTTP gets its status and reaches nobody: {status}")
def _(
    data: bytes = each(
        b"PUT /small HTTP/1.1\r\nContent-Length: 9\r\n\r\n123456789",
        b"PUT /small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n",
        b"GET /a HTTP/1.1\r\nX: " + b"y" * 40000 + b"\r\n\r\n",
        b"nonsense\r\n\r\n",
    ),
    status: int = each(413, 413, 431, 400),
) -> None:
    for size in (5, 50000):
        reading = read(data, size)
        assert reading.error and reading.error.status == status


class Stores(ClientPool):
    """Answers of the stores in turn, by IP; `asked` tells who was."""

    def __init__(self, answers: dict[str, Any]) -> None:
        super().__init__()
        self.answers, self.asked = answers, list[tuple[str, Any]]()

    def client(self, address: tuple[str, int]) -> Any:
        stores = self

        class One:
            def call(self, method: str, body: Any, timeout: float) -> Any:
                stores.asked.append((address[0], body))
                return stores.answers[address[0]]

            def close(self) -> None:
                pass

        return One()


def store(**answers: Any) -> tuple[StoreClient, Stores]:
    stores = Stores(answers)
    return StoreClient("own", 7600, lambda: list(answers), stores), stores


def call(method: str, path: str, body: bytes = b"", **headers: str) -> HttpRequest:
    return HttpRequest(method, path, {}, headers, body, time.monotonic())


def plain(order: Any) -> Any:
    """An order without its fence, which every order has."""
    assert len(order["fence"]) == 4
    return {key: value for key, value in order.items() if key != "fence"}


@test("an order is answered as a store says, once one does")
def _() -> None:
    done, away = {"status": 200, "index": 9}, Failure(FailureReason.UNREACHABLE)
    for own, other, status, asked in (
        (done, done, 200, ["own"]),
        (away, done, 200, ["own", "other"]),
        (Failure(FailureReason.UNAVAILABLE), {"status": 412, "reason": "stale"}, 412, ["own", "other"]),
        # It may have been done: it is asked for again, unchanged, as the operator would.
        (Failure(FailureReason.OUTCOME_UNKNOWN), done, 200, ["own", "other"]),
        (
            Failure(FailureReason.OUTCOME_UNKNOWN),
            Failure(FailureReason.OUTCOME_UNKNOWN),
            503,
            ["own", "other"],
        ),
        (Failure(FailureReason.OUTCOME_UNKNOWN), {"status": 412, "reason": "stale"}, 412, ["own", "other"]),
        (Failure(FailureReason.INVALID), done, 413, ["own"]),  # too large for a frame
        (away, away, 503, ["own", "other"]),
    ):
        way, stores = store(own=own, other=other)
        request = call("PUT", "/config", b'{"ConfigVersion":"00000001"}', **{"if-match": ' "5" '})
        answer = ConfigResource(way).handle(request)
        assert (answer.status, [ip for ip, _ in stores.asked][: len(asked)]) == (status, asked)
        assert len(stores.asked) == len(asked) or own is other is away, "asked again though it was answered"
        wanted = {"kind": "put", "if_match": "5", "body": {"ConfigVersion": "00000001"}}
        assert all(plain(order) == wanted for _, order in stores.asked)
        assert (answer.retry_after_seconds is not None) == (status == 503)
        json.loads(answer.encode(False).partition(b"\r\n\r\n")[2])


@test("an order goes to other stores first while the own one takes calls and says nothing")
def _() -> None:
    way, stores = store(own=Failure(FailureReason.OUTCOME_UNKNOWN), other={"status": 200, "index": 9})
    way._watch_clients = stores
    for silent, asked in (
        (Failure(FailureReason.OUTCOME_UNKNOWN), ["other"]),
        (Failure(FailureReason.UNREACHABLE), ["own"]),
        ({}, ["own"]),
    ):
        stores.answers["own"] = silent
        way.watch(0, 0.1, True)
        way.watch(0, 0.1, False)
        stores.asked.clear()
        stores.answers["own"] = {"status": 200, "index": 9}
        way.submit("put", None, {})
        assert [ip for ip, _ in stores.asked] == asked


NO_ORDERS = [
    (call("PUT", "/config", b'{"ConfigVersion":'), 400),
    (call("PATCH", "/config", b"[]"), 400),
    (call("PUT", "/config", b"[" * 100000), 400),
    (call("POST", "/evacuation/nowhere"), 404),
    (call("PUT", "/evacuation/za"), 405),
]


@test("what cannot be an order does not reach a store: {request.method} {request.path}")
def _(
    request: HttpRequest = each(*(one for one, _ in NO_ORDERS)),  # noqa: B008
    status: int = each(*(one for _, one in NO_ORDERS)),
) -> None:
    way, stores = store(own=Failure(FailureReason.UNREACHABLE))
    settings = Settings(node_name="n", ip="own", internal_ports=(1, 2), seeds=(), zones={"za": "ra"})
    resource = ConfigResource(way) if request.path == "/config" else EvacuationResource(way, lambda: settings)
    assert resource.handle(request).status == status and not stores.asked
    EvacuationResource(way, lambda: settings).handle(call("DELETE", "/evacuation/za"))
    found = {(ip, *plain(order).values()) for ip, order in stores.asked}
    assert found == {("own", "restore", None, "za")}


class Wire:
    """A connection: what comes on it and when; what is sent."""

    def __init__(self, clock: "Clock", *coming: tuple[float, bytes]) -> None:
        self.clock, self.coming, self.sent = clock, list(coming), list[bytes]()

    def settimeout(self, _: float) -> None: ...

    def recv(self, _: int) -> bytes:
        if not self.coming:
            return b""
        self.clock.now, data = self.coming.pop(0)
        return data

    def sendall(self, data: bytes) -> None:
        self.sent.append(data)


class Clock:
    def __init__(self, now: float) -> None:
        self.now = now

    def monotonic(self) -> float:
        return self.now


POST = b"POST /evacuation/za HTTP/1.1\r\nHost: 10.0.0.4:8200\r\n\r\n"


@test("an evacuation goes on only from a call that cannot be old; who still waits says it again: {story}")
def _(story: str = each("fresh", "held up", "after an answer", "the process stood")) -> None:
    clock, seen = Clock(10.0), list[Any]()

    class Sure(StoreClient):
        def submit(self, *_: Any, not_written_before: float | None = None, **__: Any) -> Any:
            seen.append(not_written_before)
            return CommandResult(200, {"index": 2})

    settings = Settings(node_name="n", ip="own", internal_ports=(1, 2), seeds=(), zones={"za": "ra"})
    way = Sure("own", 7600, list, ClientPool())
    with (
        patch("ashlift.registry.api.server.time", clock),
        patch("ashlift.registry.api.evacuation.time", clock),
    ):
        door = HttpServer(("127.0.0.1", 0), {"evacuation": EvacuationResource(way, lambda: settings)})
        match story:
            case "fresh":
                wire = Wire(clock, (10.1, POST))
            case "held up":
                wire = Wire(clock, (30.0, POST))
            case "after an answer":
                wire = Wire(clock, (10.1, POST), (29.0, POST), (29.1, POST), (29.2, POST + POST))
            case _:
                clock.now = 30.0  # it is taken now, and came at any time while the process stood
                wire = Wire(clock, (30.01, POST))
        door._connections[wire] = False  # type: ignore[index]
        door._serve_connection(wire)  # type: ignore[arg-type]
    told = [answer.split(b"\r\n")[0].split()[1] for answer in wire.sent]
    wanted = {"fresh": [200], "held up": [307], "after an answer": [200, 307, 200, 200, 200]}
    assert [int(status) for status in told] == wanted.get(story, [307])
    assert seen == {"fresh": [10.0], "after an answer": [10.0, 29.0, 29.1, 29.1]}.get(story, [])
    if b"307" in told:
        answer = wire.sent[told.index(b"307")]
        assert b"\r\nLocation: http://10.0.0.4:8200/evacuation/za\r\n" in answer


@test("a worker that starts again with its id: no acknowledgement before it is known, no mixing")
def _() -> None:
    now = time.monotonic()
    registry = Registry(RegistryIdentity("a", "1", "10.0.0.1", "za", "ra", 8200, 1.5), [], {}, now - 60)
    other = BEAT.replace(b"10.128.0.9", b"10.128.0.7")
    old, new = (parse_heartbeat(one, now) for one in (BEAT.replace(b"4,", b"40,"), other))
    assert isinstance(old, WorkerRecord) and isinstance(new, WorkerRecord)
    registry.instances.record_heartbeat("i-1", old, now)
    for tenth in range(46):
        registry.tick(now + tenth / 10)
        assert not registry.instances.record_heartbeat("i-1", new, now + tenth / 10)
        assert registry.instances.all_known()["i-1"].address == old.address
    registry.tick(now + 4.6)  # the last life's lease is over
    assert not registry.instances.all_known()
    assert (
        registry.instances.record_heartbeat("i-1", new, now + 4.7)
        and registry.instances.all_known()["i-1"].address == new.address
    )
    assert registry.instances.record_heartbeat("i-1", new, now + 4.7)  # come twice
    registry.instances.deregister("i-1", now + 5.0)
    assert (
        not registry.instances.record_heartbeat("i-1", new, now + 5.1) and not registry.instances.all_known()
    )  # late, behind the end


@test("beats are answered at once, late ones are not acknowledged, and they name the registry to go to")
def _() -> None:
    now = time.monotonic()
    registry = Registry(RegistryIdentity("a", "1", "10.0.0.1", "za", "ra", 8200, 1.5), [], {}, now)
    rings: list[int] = []
    instances = InstancesResource(registry, lambda: rings.append(1))
    for body, status in ((BEAT, 200), (BEAT, 200), (BEAT.replace(b"4,", b"3,"), 503), (b"{}", 400)):
        answer = instances.handle(call("PUT", "/instances/i-1", body))
        assert answer.status == status and len(answer.encode(False)) < 4096
    assert answer == HttpResponse(400, {"error": "NodeInfo is missing"})
    assert cast(WorkerRecord, registry.own_source.values["w/i-1"]).call_seq == 4 and rings
    answer = instances.handle(call("PUT", "/instances/i-2", BEAT))
    assert answer.body == {"HeartbeatTarget": "10.0.0.1:8200"}
    assert instances.handle(call("DELETE", "/instances/i-2")).status == 200
    assert list(registry.instances.all_known()) == ["i-1"]
    cut_off = Registry(registry.identity, ["10.0.0.1", "10.0.0.2"], {}, now - 5)
    assert InstancesResource(cut_off, lambda: None).handle(call("PUT", "/instances/i-1", BEAT)).status == 503
    assert list(cut_off.instances.all_known()) == [
        "i-1"
    ]  # known here, and the worker goes on to another registry


@test("what a zone's clients are told is worked out once in 0.1 s, and is never older")
def _() -> None:
    registry = Registry(
        RegistryIdentity("core-1", "0", "10.0.0.1", "z", "r", 80, 1.5), ["10.0.0.1"], {"z": "r"}, 0.0
    )
    body = {"incarnation": "0", "zone": "z", "region": "r", "ready": True, "have": {}}
    for number in range(3):
        begin_pull(registry, {**body, "node": f"edge-{number}", "front": f"10.1.0.{number}:80"}, 5.0)
    first = registry.lookup("z", "r", 5.0)
    assert isinstance(first, list) and len(first) == 3
    begin_pull(registry, {**body, "node": "edge-1", "front": "10.1.0.1:80", "leaving": True}, 5.05)
    assert registry.lookup("z", "r", 5.05) is first
    later = registry.lookup("z", "r", 5.11)
    assert isinstance(later, list) and sorted(later) == ["10.1.0.0:80", "10.1.0.2:80"]
    for number in range(1000):
        registry.lookup(f"z{number}", "r", 5.11)
    assert len(registry.directory.cache) <= MAX_CACHED_LOOKUPS


@test("calls for news stay as often as they were with few heads, and a registry's load is bounded with many")
def _() -> None:
    assert (
        call_interval(2, UNTHROTTLED_SESSIONS) <= BATCHING_DELAY_SECONDS
        and call_interval(4, UNTHROTTLED_PEERS) <= BATCHING_DELAY_SECONDS
    )
    for heads in range(1, 15):
        assert heads <= 150 * max(BATCHING_DELAY_SECONDS, call_interval(heads, UNTHROTTLED_SESSIONS))
    assert call_interval(400, UNTHROTTLED_SESSIONS) <= LONG_POLL_SECONDS
