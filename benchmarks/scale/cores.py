"""The pure parts of the three programs at one size: processor time, bytes and memory of each kind of work.

Nothing here waits or talks to a socket; sockets, greenlets and the reading of frames come on top (`run`).
Each size is measured in a process of its own, so that memory is that size's.
"""

import json
import os
import random
import tempfile
import time
import zlib
from collections.abc import Mapping
from typing import Any

import attrs
import cbor2

from ashlift.config import operator_config
from ashlift.config.settings import Bindings, Settings
from ashlift.configstore.codec import encode_payload
from ashlift.configstore.codec import pack as packed_payload
from ashlift.configstore.committed_state import CommittedState
from ashlift.configstore.messages import Delta
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica_io import PersistState
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.errors import Failure
from ashlift.proxy import registry_client as pullings
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.registry_client import RegistryClient
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry import codec
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.registry.api.messages import HttpResponse
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.messages import PullRequest, SwapRequest
from ashlift.registry.registry import Registry
from ashlift.rpc import framing
from ashlift.rpc.fragmentation import unpack_sources
from ashlift.rpc.framing import MAX_FRAME_BYTES
from ashlift.rpc.messages import encode_request, encode_response
from ashlift.rpc.sources import OPERATOR_SOURCE
from benchmarks.scale.measured import REPEATS, Measured, grown, timed
from benchmarks.scale.target import (
    CORE,
    REGIONS,
    TARGET,
    ZONES,
    Size,
    change,
    configuration,
    distinct,
    drawn,
    tenant,
    worker_id,
    worker_record,
    zones,
)

NOW = 1000.0  # steady time of all, s
TOLD_S = 0.25  # between two pulls of one gatekeeper
Json = dict[str, Any]


def _registry(size: Size, word: Mapping[str, Any]) -> Registry:
    """One of six, knowing all: a worker or gatekeeper is told by one of them, a tenant's sum by all."""
    own = Registry(
        RegistryIdentity("core-0", "00000000", "10.9.0.1", "z00", "r00", 8200, 1.5),
        ["10.9.0.1"],
        zones(),
        NOW - 60,
    )
    held: list[Json] = [{} for _ in range(CORE)]
    for number in range(size.workers):
        held[number % CORE][f"w/{worker_id(number)}"] = worker_record(number, size)
    for number in range(size.gatekeepers):
        held[number % CORE][f"g/edge-{number}"] = {
            "front": f"10.200.{number >> 8}.{number & 255}:8206",
            "zone": f"z{number % ZONES:02d}",
            "region": f"r{number % ZONES % REGIONS:02d}",
            "ready": True,
        }
    for values in held:
        for rank in range(1, size.tenants + 1):
            values[f"c/{tenant(rank)}"] = [rank * 7, 1]
    for number, values in enumerate(held[1:], 1):
        answer = [
            len(values),
            values,
            [],
            f"core-{number}",
            f"{number:08x}",
            f"z{number:02d}",
            f"r{number:02d}",
            60.0,
        ]
        response = codec.decode_swap_response(answer, NOW)
        assert not isinstance(response, Failure), response
        own.receive_swap_response(f"10.9.0.{number + 1}", response, NOW)
    for number in range(0, size.workers, CORE):
        assert own.instances.record_heartbeat(worker_id(number), _beat(size, number), NOW)
    for number in range(0, size.gatekeepers, CORE):
        own.sessions.begin_pull(_request(_pull(number, {}, {})), NOW)
        own.sessions.end_pull(f"edge-{number}")
    own.own_source.merge(
        own.own_source.version + 1, {key: value for key, value in held[0].items() if key[0] == "c"}, ()
    )
    own.operator_config.receive_watch_response(
        {"index": 1, "set": dict(word), "gone": [], "full": True, "age": 0.1}, NOW
    )
    return own


def _beat(size: Size, number: int) -> Any:
    record = worker_record(number, size)
    body = json.dumps(
        {
            "Address": record["address"],
            "NodeInfo": {
                "Service": record["service"],
                "ConfigVersion": "00000001",
                "Zone": record["zone"],
                "Capacity": 6,
            },
            "Status": {"State": "ready", "CallSeq": 1, "WarmupLeft": "0ms"},
        }
    ).encode()
    return parse_heartbeat(body, NOW)


def _pull(number: int, have: Mapping[str, int], counts: Mapping[str, Any], call: int = 1) -> Json:
    zone = number % ZONES
    return {
        "node": f"edge-{number}",
        "incarnation": f"{number:08x}",
        "zone": f"z{zone:02d}",
        "region": f"r{zone % REGIONS:02d}",
        "front": f"10.200.{number >> 8}.{number & 255}:8206",
        "ready": True,
        "have": dict(have),
        "wait": 0.25,
        "outs": {},
        "faults": {},
        "packs": True,
        "eager": False,
        "adds": {"number": call, "counts": dict(counts)},
    }


def counts(size: Size, requests: float, chance: random.Random) -> dict[str, tuple[int, int]]:
    found: dict[str, tuple[int, int]] = {}
    for _ in range(round(requests)):
        name = tenant(drawn(size.tenants, chance))
        found[name] = found.get(name, (0, 0))[0] + 1, 0
    return found


def _request(body: Json) -> PullRequest:
    request = codec.decode_pull_request(body)
    assert not isinstance(request, Failure), request
    return request


def _answer(own: Registry, body: Json) -> Json:
    return codec.encode_pull_response(own.pull_response(_request(body), NOW, NOW), NOW)


def _have(own: Registry) -> dict[str, int]:
    return {
        **{name: source.version for name, source in own.sources()},
        OPERATOR_SOURCE: own.operator_config.version,
    }


def of_registry(size: Size, word: Mapping[str, Any], chance: random.Random, out: Measured) -> Registry:
    own: Registry = grown(out, "registry: memory, MB", lambda: _registry(size, word))
    idle = _pull(0, _have(own), {})
    out.note(
        "registry: pull in, bytes",
        len(
            encode_request(
                1,
                "pull",
                _pull(0, _have(own), counts(size, size.rate / size.gatekeepers * TOLD_S, chance)),
            )
        ),
    )

    def nothing_new() -> bytes:
        return encode_response(1, _answer(own, {**idle, "have": _have(own)}))

    answer = out.ms("registry: answer, nothing new, ms", nothing_new, each=10)
    out.note("registry: answer, nothing new, bytes", len(answer))
    call = 10
    for told in (10, 27, 100, 300):
        each = [counts(size, told, chance) for _ in range(30)]

        def take(each: list[dict[str, tuple[int, int]]] = each) -> None:
            nonlocal call
            for one in each:
                call += 1
                own.sessions.begin_pull(_request(_pull(0, {}, one, call)), NOW)
                own.sessions.end_pull("edge-0")

        mean = sum(map(len, each)) / len(each)
        for value in timed(take, out.repeats):
            out.note(f"registry: taking a pull, ms @ {mean:.1f}", value / 30)
    before = _have(own)
    for told in (1000, 3000, 10000):
        names = [f"c/{tenant(rank)}" for rank in range(1, min(told // CORE, size.tenants) + 1)]
        for _, source in own.sources():
            source.merge(source.version + 1, dict.fromkeys(names, [123456, 12]), ())
        lacking = {**before, OPERATOR_SOURCE: own.operator_config.version}
        sums, swaps = CORE * len(names), len(names)

        def answered(had: dict[str, int] = lacking) -> bytes:
            return encode_response(1, _answer(own, _pull(0, had, {})))

        def swapped(had: int = before[own.identity.source]) -> Any:
            request = SwapRequest(own.identity.incarnation, had, None)
            return codec.encode_swap_response(own.swap_response(request), NOW)

        data = out.ms(f"registry: answer with sums, ms @ {sums}", answered)
        out.note(f"registry: answer with sums, bytes @ {sums}", len(data))
        told_body = out.ms(f"registry: swap told, ms @ {swaps}", swapped)
        out.note(f"registry: swap told, bytes @ {swaps}", len(encode_response(1, told_body)))
        before = _have(own)
    full = out.ms(
        "registry: first answer to a gatekeeper, ms",
        lambda: encode_response(1, _answer(own, _pull(0, {}, {}))),
        2,
    )
    out.note("registry: first answer to a gatekeeper, bytes", len(full))
    out.note("registry: frames that one first answer takes", len(full) / MAX_FRAME_BYTES)
    before = _have(own)
    for source in [own.own_source, *(copy.source for copy in own.peers.replicas.values())]:
        people = {key: value for key, value in source.values.items() if key[0] in "wg"}
        source.merge(source.version + 1, people, ())
    known = out.ms(
        "registry: of that, all workers and members, ms",
        lambda: encode_response(1, _answer(own, _pull(0, before, {}))),
        2,
    )
    out.note("registry: of that, all workers and members, bytes", len(known))
    out.note("registry: the same compressed, bytes", len(zlib.compress(known, 6)))
    body = json.dumps(
        {
            "Address": "10.0.0.0:8080",
            "NodeInfo": {"Service": "s0000", "ConfigVersion": "00000001", "Zone": "z00", "Capacity": 6},
            "Status": {"State": "ready", "CallSeq": 1, "WarmupLeft": "0ms"},
        }
    ).encode()

    def beat() -> None:
        said = parse_heartbeat(body, NOW)
        assert not isinstance(said, Failure)
        own.instances.record_heartbeat(worker_id(0), said, NOW)
        own.is_isolated(NOW)
        own.heartbeat_target("z05", NOW)

    out.ms("registry: a beat, ms", beat, each=20)
    out.ms("registry: of that and of each answer, the members looked for, ms", own.core_members)
    kept = own.core_members()
    own.core_members = lambda: kept  # type: ignore[method-assign]  # as proposed: made anew with the word alone
    out.ms("registry: a beat, were the members kept, ms", beat, each=200)
    out.ms("registry: answer, nothing new, were the members kept, ms", nothing_new, each=50)
    del own.core_members
    places = zones()
    first = [
        own.registries_by_distance(f"z{number % ZONES:02d}", places[f"z{number % ZONES:02d}"], NOW)[0]
        for number in range(size.gatekeepers)
    ]
    most = max(first.count(ip) for ip in {*first})
    out.note("registry: gatekeepers at the busiest of six, x an even share", most * CORE / len(first))
    out.ms("registry: a tick, ms", lambda: own.tick(NOW))

    def look() -> Any:
        own.directory.cache.clear()
        return own.lookup("z05", "r05", NOW)

    found = out.ms("registry: look-ups of a zone, worked out, ms", look)
    out.note(
        "client: answer of a look-up, bytes",
        len(HttpResponse(200, {"Addresses": found, "Ttl": "1s"}).encode(False)),
    )
    return own


def settings(node: str = "edge-0") -> Settings:
    return Settings(
        node_name=node,
        ip="10.200.0.0",
        internal_ports=(7600, 7615),
        seeds=(("10.9.0.1", 8200),),
        zone="z00",
        region="r00",
        zones=zones(),
        bindings=Bindings(front=("10.200.0.0", 8206)),
    )


def of_gatekeeper(size: Size, own: Registry, chance: random.Random, out: Measured) -> None:
    """A real gate; sums are fed in, no request comes."""
    made = settings()
    gate = RequestRouter(made, chance, NOW)
    pulling = RegistryClient(made, gate, "00000000", chance)
    whole = _answer(own, _pull(0, {}, {}))
    opened = len(cbor2.dumps([dict(own.operator_config.values), []]))
    out.note("gatekeeper: configuration opened, x the most that is taken", opened / MAX_FRAME_BYTES)
    parts = unpack_sources(whole["sources"])
    now = NOW + 0.1

    def take(sources: Json) -> None:
        nonlocal now
        now += TOLD_S
        pull = pulling.next_request(now)
        assert pull is not None
        encode_request(1, "pull", pull.body)
        pulling.handle_response(pull, now, {**whole, "sources": sources})

    out.note(
        "gatekeeper: configuration, bytes compressed", len(whole["sources"][OPERATOR_SOURCE].get("pack", b""))
    )
    word = {OPERATOR_SOURCE: whole["sources"][OPERATOR_SOURCE]}
    out.note(
        "gatekeeper: configuration, ms",
        timed(
            lambda: grown(out, "gatekeeper: memory of the configuration and limits, MB", lambda: take(word)),
            1,
        )[0],
    )
    workers = {
        name: {**news, "set": {key: value for key, value in news["set"].items() if key[0] != "c"}}
        for name, news in parts.items()
        if name != OPERATOR_SOURCE
    }
    out.note(
        "gatekeeper: all workers and members, ms",
        timed(lambda: grown(out, "gatekeeper: memory of workers and members, MB", lambda: take(workers)), 1)[
            0
        ],
    )
    sums = {
        name: {
            **news,
            "version": news["version"] + 1,
            "full": False,
            "gone": [],
            "set": {key: value for key, value in news["set"].items() if key[0] == "c"},
        }
        for name, news in parts.items()
        if name != OPERATOR_SOURCE
    }
    out.note(
        "gatekeeper: all sums, ms",
        timed(lambda: grown(out, "gatekeeper: memory of sums, MB", lambda: take(sums)), 1)[0],
    )
    out.ms("gatekeeper: a pull, nothing new, ms", lambda: take({}))
    ledger, limiter, crew = gate.cluster, gate.rate_limiter, gate.load_balancer

    def of_limiter() -> None:
        limiter.take_new_counts()
        limiter.record_usage_totals(now, ledger.usage_totals())

    def of_crew() -> None:
        crew.update_peer_load(ledger.in_flight(), crew.in_flight())
        ledger.failure_totals()

    out.ms("gatekeeper: of that, limiter's news of all sums, ms", of_limiter)
    out.ms("gatekeeper: of that, requests at workers, ms", of_crew)
    version = {name: source.version for name, source in ledger.sources.items()}
    for told in (1000, 3000, 10000):
        names = [f"c/{tenant(rank)}" for rank in range(1, min(told // CORE, size.tenants) + 1)]

        def news(names: list[str] = names) -> None:
            step = now + TOLD_S
            for one in version:
                version[one] += 1
            take(
                {
                    one: {
                        "version": at,
                        "full": False,
                        "gone": [],
                        "set": dict.fromkeys(names, [int(step * 999), 1]),
                    }
                    for one, at in version.items()
                }
            )

        out.ms(f"gatekeeper: a pull with sums, ms @ {CORE * len(names)}", news)
    index = ledger.configuration.version

    def changed() -> None:
        nonlocal index
        index += 1
        value = change(size, index)["Upsert"]["Objects"][0]
        one = {
            "version": index,
            "full": False,
            "gone": [],
            "set": {f"Routes/{value['Metadata']['Name']}": value["Specification"], "Version": f"{index:08x}"},
        }
        gate.apply_change(
            now, ledger.apply(now, now, PullResponse.from_wire({**whole, "sources": {OPERATOR_SOURCE: one}}))
        )

    out.ms("gatekeeper: a change of one route, ms", changed)
    source = next(iter(ledger.sources))
    numbers = iter(range(1 << 20))

    def another() -> None:
        number = next(numbers)
        ledger.sources[source].version += 1
        one = {
            "version": ledger.sources[source].version,
            "full": False,
            "gone": [],
            "set": {
                f"w/{worker_id(number % size.workers)}": {
                    **worker_record(number % size.workers, size),
                    "seq": number,
                }
            },
        }
        gate.apply_change(
            now, ledger.apply(now, now, PullResponse.from_wire({**whole, "sources": {source: one}}))
        )

    out.ms("gatekeeper: a worker that starts or ends, ms", another)
    out.ms(
        "gatekeeper: a request let in by the limiter, ms",
        lambda: limiter.admit(now, tenant(drawn(size.tenants, chance))),
        each=1000,
    )


def of_store(size: Size, out: Measured) -> dict[str, Any]:
    """The operator's map of this size; its agreement is measured by `run`."""
    body = configuration(size)
    out.note("store: PUT of a whole configuration, bytes", len(json.dumps(body, separators=(",", ":"))))
    first = out.ms(
        "store: PUT checked and laid out, ms", lambda: operator_config.apply_change({}, "put", "0", body), 2
    )
    assert not isinstance(first, Failure), first
    entries = RangedMap(first.entries)
    out.ms("store: digests of all, first time, ms", entries.digest, 1)
    patch = out.ms(
        "store: PATCH of one route checked, ms",
        lambda: operator_config.apply_change(entries.map, "patch", "1", change(size, 2)),
        2,
    )
    assert not isinstance(patch, Failure), patch
    new = out.ms(
        "store: map changed and digested, ms",
        lambda: _digested(entries.with_changes(patch.entries, patch.removed_keys)),
    )
    payload = encode_payload(Delta((1, 1), patch.entries, patch.removed_keys, new.digest()))
    out.note("store: a change to a follower, bytes", len(payload))
    out.note(
        "store: whole map to a follower, bytes compressed",
        sum(len(packed_payload([new.encoded_range(number)])) for number in new.nonempty_ranges()),
    )
    out.note(
        "store: largest of 64 ranges, bytes",
        max(len(new.encoded_range(number)) for number in new.nonempty_ranges()),
    )
    news = CommittedState()
    news.advance(Snapshot((1, 1), entries))
    states = [
        Snapshot((1, 2 + at), entries.with_changes({"Routes/r00000": {"Host": str(at)}}, ()))
        for at in range(3)
    ]
    each = iter(states)
    out.ms("store: what changed since, ms", lambda: news.advance(next(each)), 3)
    out.note(
        "store: whole map to a registry, bytes",
        len(encode_response(1, news.changes_since(0))),
    )
    with tempfile.TemporaryDirectory() as folder:
        disk = ReplicaStorage(folder)
        for number, state in enumerate(
            [
                Snapshot((1, 1), entries),
                Snapshot((1, 2), entries),
                *[Snapshot((1, 3 + at), one.entries) for at, one in enumerate(states)],
            ]
        ):
            name = "store: map to disk, first, ms" if number < 2 else "store: a change to disk, ms"
            began, steady = time.process_time(), time.monotonic()
            assert disk.persist(PersistState(PersistentVote(1, None, True), state)) is None
            out.note(name, 1000 * (time.process_time() - began))
            out.note(f"{name[:-4]}, ms by the clock", 1000 * (time.monotonic() - steady))
        out.note(
            "store: disk, MB",
            sum(os.path.getsize(os.path.join(folder, name)) for name in os.listdir(folder)) / 1e6,
        )
        out.ms("store: map from disk, ms", lambda: ReplicaStorage(folder).read(), 2)
    found: dict[str, Any] = first.entries
    return found


def _digested(entries: RangedMap) -> RangedMap:
    entries.digest()
    return entries


def measure(gatekeepers: int, target: Size = TARGET, repeats: int = REPEATS) -> Json:
    """All figures of the size with so many gatekeepers."""
    for module in (framing, pullings):  # or the larger sizes could not be measured at all
        setattr(module, "MAX_FRAME_BYTES", 1 << 30)  # noqa: B010
    size, out, chance = target.part(gatekeepers), Measured(repeats), random.Random(gatekeepers)
    word = of_store(size, out)
    own = of_registry(size, word, chance, out)
    of_gatekeeper(size, own, chance, out)
    per_pull = size.rate * TOLD_S
    out.note("sums told by all in a quarter of a second", CORE * distinct(size.tenants, per_pull / CORE))
    return {"size": attrs.asdict(size), "figures": out.found}


__all__ = ["ClusterView", "measure", "settings"]
