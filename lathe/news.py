"""Pulls news from the nearest pegboard that has some, and brings it this gatekeeper's counts."""

import random
import time
from collections.abc import Callable
from typing import Any

from gevent.event import Event

from jig.settings import Settings
from lathe.gate import Gate
from workbench.bench import Address, Callers
from workbench.faults import UNREACHED, Fault

WAIT_S = 0.25
ANSWER_S = 0.6  # beyond the wait: so late, another pegboard is asked
STALE_S = 1.5  # a pegboard whose proof is older is left for another
AVOID_S = 2.0
PAUSE_S = 0.05


class News:
    def __init__(self, settings: Settings, gate: Gate, incarnation: str, rng: random.Random,
                 changed: Callable[[], None]) -> None:  # fmt: skip
        self._settings, self._gate, self._incarnation = settings, gate, incarnation
        self._rng, self._changed = rng, changed
        self._callers = Callers()
        self._avoid: dict[str, float] = {}  # until when, by IP
        self._at: str | None = None
        self._controls: list[str] = []  # IPs, near ones first
        self._number = 0
        self._stopped = Event()
        self.seeds = [host for host, _ in settings.seeds]

    def _address(self, ip: str) -> Address:
        return ip, self._settings.internal_ports[0] + 1

    def _choose(self, now: float) -> str | None:
        """The nearest pegboard that is not avoided, by the order in which the last answer named them: members
        that are not heard of by others come last there."""
        core = self._gate.ledger.core
        known = sorted(core) if core else list(dict.fromkeys(self.seeds))
        known += [ip for ip in self.seeds if ip not in core and self._avoid_all(known, now)]
        near = {ip: place for place, ip in enumerate(self._controls)}

        def rank(ip: str) -> tuple[bool, int, bool, float]:
            return self._avoid.get(ip, 0.0) > now, near.get(ip, len(near)), ip != self._at, self._rng.random()

        return min(known, key=rank, default=None)

    def _avoid_all(self, ips: list[str], now: float) -> bool:
        return all(self._avoid.get(ip, 0.0) > now for ip in ips)

    def run(self) -> None:
        while not self._stopped.is_set():
            ip = self._choose(time.monotonic())
            if ip is None or not self._pull(ip):
                self._stopped.wait(PAUSE_S)

    def stop(self) -> None:
        self._stopped.set()

    def _pull(self, ip: str) -> bool:
        gate, settings = self._gate, self._settings
        sent = time.monotonic()
        front = settings.bindings.front
        self._number += 1
        counts = gate.limiter.fresh()
        body = {
            "node": settings.node_name, "incarnation": self._incarnation, "zone": settings.zone,
            "region": settings.region, "front": f"{front[0]}:{front[1]}" if front else "",
            "ready": gate.ready(sent),
            "have": gate.ledger.have(), "wait": 0.0 if gate.ledger.table is None else WAIT_S,
            "adds": {"number": self._number, "counts": counts},
        }  # fmt: skip
        answer: Any = self._callers.to(self._address(ip)).call("pull", body, WAIT_S + ANSWER_S)
        now = time.monotonic()
        if isinstance(answer, Fault):
            if answer.reason == UNREACHED:
                gate.limiter.unsent(counts)
            else:
                gate.limiter.confirmed(counts)  # it may have been added, and must not be twice
            self._avoid[ip] = now + AVOID_S
            self._at = None
            return False
        gate.limiter.confirmed(counts)
        self._at, self._controls = ip, answer["controls"]
        change = gate.ledger.take(sent, now, answer)
        gate.news(now, change)
        gate.limiter.heard(now, gate.ledger.sums())
        if answer.get("age") is None or answer["age"] > STALE_S:
            self._avoid[ip] = now + AVOID_S
        self._changed()
        return True
