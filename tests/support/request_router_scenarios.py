"""Plays text scenes on the proxy's pure gate: one line an event, with what must come of it behind `->`.

# title of the next scene
after 1.5                        the steady clock goes on, s
news age=0.1 w1:board:z1 ...     an answer of a pull: proof's age (or `none`), all workers
                                 (`name:service:zone`, with `:cold=2` or `:draining`),
                                 `gone=ZONE` evacuated, `members=N`
crowd w1 20                      so many requests of other gatekeepers are at w1
ask A /look/ k1 -> in            a request named A arrives; `-> 503 unready` where it is turned away
again A -> in                    a request that was `unsure` asks again: there is news, or time is up
pick A -> w1|w2                  its (next) try goes to one of these; `-> 504 unanswered` where it ends
end A connection_lost -> again   its last attempt ends: response:STATUS, not_run, connect_failed,
                                 connection_lost, timed_out; `final` or `again`
"""

import random
from pathlib import Path
from typing import Any

from ashlift.config.settings import Settings, parse_settings
from ashlift.proxy.admission import AdmittedRequest
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.proxy.pull_messages import PullResponse
from ashlift.proxy.rejections import Rejection
from ashlift.proxy.request_router import RequestRouter
from ashlift.proxy.responses import WorkerResponse
from ashlift.rpc.sources import OPERATOR_SOURCE

SETTINGS = """
NodeName = "edge-1"
Ip = "127.0.0.1"
Zone = "z1"
Region = "r1"
InternalPortRange = [7600, 7615]
SeedNodes = ["127.0.0.1:8200"]
Heartbeat = "1500ms"
[Zones]
z1 = "r1"
z2 = "r1"
z3 = "r2"
[Bounds]
Revoke = "5000ms"
RetrySlack = 10
"""
WORD: dict[str, Any] = {
    "Version": "00000001",
    "Routes/look": {
        "Host": "h",
        "PathPrefix": "/look/",
        "RouteType": "idempotent",
        "Timeout": "3000ms",
        "TargetLatency": "800ms",
        "Service": "board",
        "MaxAttempts": 2,
    },
    "Routes/hold": {
        "Host": "h",
        "PathPrefix": "/hold/",
        "RouteType": "non_idempotent",
        "Timeout": "3000ms",
        "TargetLatency": "800ms",
        "Service": "board",
        "MaxAttempts": 2,
        "HomeRegions": ["r1"],
    },
    "Routes/open": {
        "Host": "h",
        "PathPrefix": "/open/",
        "RouteType": "idempotent",
        "Service": "board",
        "MaxAttempts": 2,
        "Anonymous": True,
    },
    "Services/board": {"HealthCheck": "/health", "MaxConnections": 100, "Warmup": "3s", "WarmupRateS": 4},
    "Tenants/t1": {"ApiKeys": ["k1"], "RatePerS": 10, "BurstSize": 10},
    "Tenants/low": {"ApiKeys": ["low"], "Priority": 2},
    "Tenants/far": {"ApiKeys": ["k2"], "HomeRegions": ["r2"]},
}


class Play:
    def __init__(self) -> None:
        settings = parse_settings(SETTINGS, "scene")
        assert isinstance(settings, Settings), settings
        self.now, self.index = 100.0, 0
        self.gate = RequestRouter(settings, random.Random(7), self.now)
        self.asked: dict[str, tuple[str, str, float]] = {}  # path, key, when
        self.lives: dict[str, AdmittedRequest] = {}
        self.views: dict[str, Any] = {}

    def line(self, text: str) -> None:
        event, _, wanted = (part.strip() for part in text.partition("->"))
        verb, *words = event.split()
        got = getattr(self, f"do_{verb}")(*words)
        if wanted:
            assert got in wanted.split("|"), f"{text!r}: got {got!r}"

    def do_after(self, seconds: str) -> None:
        self.now += float(seconds)

    def do_news(self, age: str, *words: str) -> None:
        word = dict(WORD)
        records: dict[str, dict[str, Any]] = {}
        for text in words:
            if text.startswith("gone="):
                word[f"Evacuations/{text[5:]}"] = 1
            elif text.startswith("drop="):
                del word[text[5:]]
            elif text.startswith("members="):
                records |= {f"g/edge-{at + 1}": {"ready": True} for at in range(int(text[8:]))}
            else:
                name, service, zone, *more = text.split(":")
                cold = next((float(one[5:]) for one in more if one.startswith("cold=")), 0.0)
                records[f"w/{name}"] = {
                    "service": service,
                    "zone": zone,
                    "address": "127.0.0.1:9",
                    "capacity": 2,
                    "seq": 1,
                    "warm": cold,
                    "state": "draining" if "draining" in more else "ready",
                }
        self.index += 1
        sources = {
            OPERATOR_SOURCE: {"version": self.index, "full": True, "set": word, "gone": []},
            "p#1": {"version": self.index, "full": True, "set": records, "gone": []},
        }
        told = None if age == "age=none" else float(age[4:])
        body = {"sources": sources, "alive": ["p#1"], "age": told, "held": 0.0}
        response = PullResponse.from_wire(body)
        self.gate.apply_change(self.now, self.gate.cluster.apply(self.now, self.now, response))

    def do_crowd(self, name: str, others: str) -> None:
        self.gate.load_balancer.workers[name].peers_in_flight = float(others)

    def do_ask(self, name: str, path: str, key: str) -> str:
        self.asked[name] = path + "x", key, self.now
        return self.do_again(name)

    def do_again(self, name: str) -> str:
        path, key, came = self.asked[name]
        live = self.gate.admit(self.now, "h", path, key, 3.0 - (self.now - came), came)
        if isinstance(live, Rejection) and self.now < live.reconsider_until:
            return "unsure"
        if isinstance(live, Rejection):
            return f"{live.status} {live.reason}"
        self.lives[name] = live
        return "in"

    def do_pick(self, name: str) -> str:
        live = self.lives[name]
        view = self.gate.choose_worker(self.now, live, bool(live.attempted_workers))
        if isinstance(view, Rejection):
            return f"{view.status} {view.reason}"
        self.views[name] = view
        return view.record.id

    def do_end(self, name: str, how: str) -> str:
        word, _, status = how.partition(":")
        reply = None
        if word in ("response", "not_run"):
            reply = WorkerResponse()
            reply.status, reply.done = int(status or 503), True
        outcome = AttemptOutcome(AttemptResult[word.upper()], reply, 0.1)
        final = self.gate.record_outcome(self.now, self.lives[name], self.views[name], outcome, False)
        return "final" if final else "again"


def scenes(path: Path) -> list[tuple[str, list[str]]]:
    """Title and lines of each scene in a file."""
    found: list[tuple[str, list[str]]] = []
    for line in path.read_text().splitlines():
        if line.startswith("# "):
            found.append((line[2:], []))
        elif line.strip():
            found[-1][1].append(line)
    return found
