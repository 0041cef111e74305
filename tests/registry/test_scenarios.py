"""Plays scenes/pegboard_*.txt: registries swap on simulated time, gatekeepers pull with the proxy's ledger.

start NAME ZONE REGION     a registry (again: a new incarnation); all are members, at the IPs of their names
stop NAME | cut A B | join A B | sleep NAME | wake NAME
edge NAME ZONE REGION AT [unready]    a gatekeeper that pulls from the registry AT; `quit NAME` ends it
count EDGE TENANT TOTAL DECLINED | again EDGE     counts for its next pull | the last pull comes once more
beat AT ID seq=N [state=draining] [warm=S]        `late` after it: it must not be taken
delete AT ID
run S                      s go by: steps of 10 ms, pulls and swaps every 50 ms, ticks every 250 ms
check EDGE worker ID ready|draining|gone|none     what a gatekeeper believes
check EDGE sum TENANT TOTAL DECLINED
check AT lookup ZONE REGION FRONT... | unready
check AT answers EDGE full|difference|nothing      what the registry would tell a gatekeeper of `vise`
word AT INDEX AGE KEY=VALUE...                     a store's answer to watch; KEY= takes the key out
check AT age S|none
check AT alone yes|no                              whether it has lost sight of most others
"""

import random
from pathlib import Path
from typing import Any

from ward import each, test

from ashlift.errors import Failure
from ashlift.proxy.cluster_view import ClusterView
from ashlift.proxy.pull_messages import PullResponse
from ashlift.registry import codec
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.records import WorkerRecord, WorkerState
from ashlift.registry.registry import Registry
from ashlift.rpc.sources import OPERATOR_SOURCE
from tests.support.registry_wire import begin_pull, pull_response, receive_swap_response, swap_response

SCENES = sorted((Path(__file__).parent.parent / "scenarios").glob("registry_*.txt"))
STEP = 0.01


class Edge:
    def __init__(self, name: str, zone: str, region: str) -> None:
        self.name = name
        self.body: dict[str, Any] = {
            "node": name,
            "incarnation": "x",
            "zone": zone,
            "region": region,
            "front": name,
        }
        self.ledger, self.at, self.number, self.counts = ClusterView(), "", 0, dict[str, list[int]]()


class Play:
    def __init__(self) -> None:
        self.now, self.steps, self.starts = 100.0, 0, 0
        self.all: dict[str, Registry] = {}
        self.asleep: set[str] = set()
        self.cuts: set[frozenset[str]] = set()
        self.edges: dict[str, Edge] = {}

    def start(self, name: str, zone: str, region: str) -> None:
        self.starts += 1
        me = RegistryIdentity(name, f"{self.starts:08x}", name, zone, region, 8200, 1.5)
        self.all[name] = Registry(me, ["a", "b"], {}, self.now)

    def stop(self, name: str) -> None:
        del self.all[name]

    def cut(self, one: str, other: str) -> None:
        self.cuts.add(frozenset((one, other)))

    def join(self, one: str, other: str) -> None:
        self.cuts.remove(frozenset((one, other)))

    def sleep(self, name: str) -> None:
        self.asleep.add(name)

    def wake(self, name: str) -> None:
        self.asleep.remove(name)

    def edge(self, name: str, zone: str, region: str, at: str, ready: str = "ready") -> None:
        edge = self.edges.setdefault(name, Edge(name, zone, region))
        edge.at, edge.body["ready"] = at, ready == "ready"

    def quit(self, name: str) -> None:
        del self.edges[name]

    def count(self, name: str, tenant: str, *counts: str) -> None:
        self.edges[name].counts[tenant] = [int(one) for one in counts]

    def again(self, name: str) -> None:
        self._pull(self.edges[name], self.edges[name].body)

    def beat(self, at: str, key: str, *words: str) -> None:
        told = {"state": "ready", "warm": "0", **dict(word.split("=") for word in words if "=" in word)}
        until = self.now + float(told["warm"])
        said = WorkerRecord(
            "s", "10.0.0.9:80", "z", 2, WorkerState(told["state"]), int(told["seq"]), until, "v"
        )
        assert self.all[at].instances.record_heartbeat(key, said, self.now) == ("late" not in words)

    def delete(self, at: str, key: str) -> None:
        self.all[at].instances.deregister(key, self.now)

    def word(self, at: str, index: str, age: str, *pairs: str) -> None:
        told = dict(pair.split("=") for pair in pairs)
        values, gone = {key: one for key, one in told.items() if one}, [key for key in told if not told[key]]
        answer = {"index": int(index), "age": float(age), "set": values, "gone": gone, "term": 1}
        answer["full"] = not self.all[at].operator_config.version
        self.all[at].operator_config.receive_watch_response(answer, self.now)

    def run(self, seconds: str) -> None:
        for _ in range(round(float(seconds) / STEP)):
            self.now += STEP
            self.steps += 1
            awake = [name for name in self.all if name not in self.asleep]
            if self.steps % 5 == 0:
                for name in awake:
                    self._swaps(name, awake)
                for edge in self.edges.values():
                    if edge.at in awake:
                        edge.number += 1
                        edge.body["adds"] = {"number": edge.number, "counts": edge.counts}
                        edge.counts = {}
                        self._pull(edge, edge.body)
            if self.steps % 25 == 0:
                for name in awake:
                    self.all[name].tick(self.now)

    def _swaps(self, name: str, awake: list[str]) -> None:
        mine = self.all[name]
        for ip in mine.peer_ips(self.now):
            if ip in awake and frozenset((name, ip)) not in self.cuts:
                asked = codec.encode_swap_request(mine.peers.swap_request(ip, True))
                told = swap_response(self.all[ip], asked, self.now)
                receive_swap_response(mine, ip, told, self.now, self.now)

    def _pull(self, edge: Edge, body: dict[str, Any]) -> None:
        registry, body = self.all[edge.at], body | {"have": edge.ledger.versions()}
        begin_pull(registry, body, self.now)
        answer = pull_response(registry, body, self.now, self.now)
        edge.ledger.apply(self.now, self.now, PullResponse.from_wire(answer))
        registry.sessions.end_pull(edge.name)
        copies = registry.peers.replicas
        silent = {name: copies[name].source.version for name in copies.keys() - set(answer["alive"])}
        assert not registry.has_updates_for(silent | edge.ledger.versions()), (
            "would be answered at once, on and on"
        )

    def check(self, at: str, what: str, *words: str) -> None:
        getattr(self, f"_check_{what}")(at, *words)

    def _check_worker(self, at: str, key: str, wanted: str) -> None:
        workers = self.edges[at].ledger.workers
        found = "none" if key not in workers else "ready" if workers[key].ready else "draining"
        if found == "draining" and key not in self.all[self.edges[at].at].instances.all_known():
            found = WorkerState.TOMBSTONE
        assert found == wanted, str(found)

    def _check_sum(self, at: str, tenant: str, *counts: str) -> None:
        found = [one[tenant] for one in self.edges[at].ledger.usage_totals().values() if tenant in one]
        sums = [sum(column) for column in zip(*found, strict=True)]
        assert sums == [int(one) for one in counts], str(found)

    def _check_lookup(self, at: str, zone: str, region: str, *fronts: str) -> None:
        found = self.all[at].lookup(zone, region, self.now)
        assert (["unready"] if isinstance(found, Failure) else sorted(found)) == sorted(fronts), str(found)

    def _check_answers(self, at: str, edge: str, wanted: str) -> None:
        told = self.all[at].operator_config.delta_since(
            self.edges[edge].ledger.versions().get(OPERATOR_SOURCE)
        )
        assert ("nothing" if told is None else "full" if told.full else "difference") == wanted, str(told)

    def _check_alone(self, at: str, wanted: str) -> None:
        assert self.all[at].is_isolated(self.now) == (wanted == "yes")

    def _check_ran(self, at: str, wanted: str) -> None:
        ran = self.all[at].uptime(self.now)
        assert abs(ran - float(wanted)) < 0.1, str(ran)

    def _check_age(self, at: str, wanted: str) -> None:
        age = self.all[at].operator_config.lease_age(self.now)
        assert (wanted == "none") if age is None else abs(age - float(wanted)) < 0.001, str(age)


@test("registries: {path.stem}")
def _(path: Path = each(*SCENES)) -> None:  # noqa: B008
    play = Play()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        words = line.partition("#")[0].split()
        try:
            if words:
                getattr(play, words[0])(*words[1:])
        except AssertionError as wrong:
            raise AssertionError(f"{path.name}:{number}: {line}: {wrong}") from wrong


@test("registries: after cuts, restarts and standstills all come to know the same ({seed})")
def _(seed: int = each(*range(6))) -> None:
    rng, play, names = random.Random(seed), Play(), ["a", "b", "c"]
    for name in names:
        play.start(name, f"z{name}", "r")
    for number in range(4):
        play.edge(f"e{number}", "za", "r", rng.choice(names))
    truth: dict[str, tuple[int, str]] = {}  # worker -> CallSeq, state
    for step in range(60):
        calm = step >= 45
        if calm:
            play.cuts, play.asleep = set(), set()
        elif rng.random() < 0.4:
            name, pair = rng.choice(names), frozenset(rng.sample(names, 2))
            play.cuts ^= {pair}
            play.asleep ^= {name} if rng.random() < 0.5 else set()
            if name not in play.asleep and rng.random() < 0.5:
                play.start(name, f"z{name}", "r")
        for edge in play.edges.values():
            if edge.at in play.asleep or (not calm and rng.random() < 0.1):
                edge.at = rng.choice(names)
        if not calm and rng.random() < 0.3:
            truth[f"w{step}"] = 0, "ready"
        for key, (seq, state) in list(truth.items()):
            at = rng.choice([name for name in names if name not in play.asleep] or [""])
            if not at or rng.random() < 0.3:
                continue
            if not calm and rng.random() < 0.1:
                if state == "draining":
                    play.delete(at, key)
                    del truth[key]
                    continue
                state = "draining"
            truth[key] = seq + 1, state
            play.beat(at, key, f"seq={seq + 1}", f"state={state}")
        play.run("0.5")
    for edge in play.edges.values():
        seen = edge.ledger.workers
        ready = {key for key, (_, state) in truth.items() if state == "ready"}
        assert {key for key, one in seen.items() if one.ready} == ready
        assert truth.keys() <= seen.keys(), str(truth.keys() - seen.keys())
        assert set(edge.ledger.proxies) == set(play.edges), str(edge.ledger.proxies)
    for name in names:
        assert sorted(play.all[name].sessions.live(play.now)) == sorted(play.edges)
        assert play.all[name].instances.all_known().keys() == truth.keys()
