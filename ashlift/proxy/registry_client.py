"""Which registry a gatekeeper pulls from, what it says there, and what it makes of the answer. Pure."""

import random
from typing import Any

from attrs import frozen

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.proxy.request_router import RequestRouter
from ashlift.rpc.client import CONNECT_TIMEOUT_SECONDS
from ashlift.rpc.fragmentation import Reassembler
from ashlift.rpc.sources import OPERATOR_SOURCE

WAIT_S = 0.25
ANSWER_S = 0.6  # beyond the wait: so late, another registry is asked
STALE_S = 1.5  # a registry whose proof is older is left for another
MOST_S = 3.0  # so long an answer may take in all while bytes of it come: a whole configuration, a narrow line
AVOID_S = 2.0
DIAL_FIRST_S = 0.15  # a connection may take so long to come up, twice that after each that did not
EAGER_S = 1.0  # without a proof younger than this, the first one is waited for, and answered at once
Json = dict[str, Any]


@frozen
class PullRequest:
    """One call: the registry's IP, when it was sent, its body, and s for its connection to come up."""

    ip: str
    sent: float
    body: Json
    dial: float


class RegistryClient:
    def __init__(self, settings: Settings, gate: RequestRouter, incarnation: str, rng: random.Random) -> None:
        self._settings, self._gate, self._incarnation, self._rng = settings, gate, incarnation, rng
        self._avoid: dict[str, float] = {}  # until when, by IP
        self._stale: set[str] = set()  # of those, who do answer, but with an old proof
        self._at: str | None = None
        self._controls: list[str] = []  # IPs, near ones first
        self._number = 0
        self._joiner = Reassembler()  # of what the operator's word has become, if that is large
        self._dial = DIAL_FIRST_S  # a silent seed must not hold up the start
        self.seeds = [host for host, _ in settings.seeds]

    def _choose(self, now: float) -> str | None:
        """The nearest registry that is not avoided, by the order in which the last answer named them: members
        that are not heard of by others come last there. Where all are avoided, one that answers."""
        core = self._gate.ledger.core
        known = sorted(core) if core else list(dict.fromkeys(self.seeds))
        known += [ip for ip in self.seeds if ip not in core and self._avoid_all(known, now)]
        near = {ip: place for place, ip in enumerate(self._controls)}

        def rank(ip: str) -> tuple[int, int, bool, float]:
            avoided = 0 if self._avoid.get(ip, 0.0) <= now else 1 if ip in self._stale else 2
            return avoided, near.get(ip, len(near)), ip != self._at, self._rng.random()

        return min(known, key=rank, default=None)

    def _avoid_all(self, ips: list[str], now: float) -> bool:
        return all(self._avoid.get(ip, 0.0) > now for ip in ips)

    def begin(self, now: float) -> PullRequest | None:
        """The next call, to be made at once; None: there is nobody to call."""
        ip = self._choose(now)
        if ip is None:
            return None
        gate, settings = self._gate, self._settings
        front = settings.bindings.front
        self._number += 1
        body = {
            "node": settings.node_name,
            "incarnation": self._incarnation,
            "zone": settings.zone,
            "region": settings.region,
            "front": f"{front[0]}:{front[1]}" if front else "",
            "ready": gate.ready(now),
            "have": gate.ledger.have(),
            "wait": 0.0 if gate.ledger.table is None else WAIT_S,
            "outs": gate.crew.outs(),
            "faults": gate.crew.jury.failure_counts(now),
            "packs": True,
            "part": self._joiner.wanted_fragment(),
            "eager": gate.ledger.age(now) > EAGER_S,
            "adds": {"number": self._number, "counts": gate.limiter.take_new_counts()},
        }
        return PullRequest(ip, now, body, self._dial)

    def ended(self, pull: PullRequest, now: float, answer: Json | Failure) -> bool:
        """Take the answer; False: there was none, and the next call is to wait a little."""
        gate, counts = self._gate, pull.body["adds"]["counts"]
        answer = answer if isinstance(answer, Failure) else self._joined(answer)
        if isinstance(answer, Failure):
            if answer.reason == FailureReason.UNREACHABLE:
                gate.limiter.restore_counts(counts)
                self._dial = min(CONNECT_TIMEOUT_SECONDS, 2 * self._dial)
            else:
                gate.limiter.confirm_counts(counts)  # it may have been added, and must not be twice
            self._avoid[pull.ip] = now + AVOID_S
            self._stale.discard(pull.ip)
            self._at = None
            return False
        gate.limiter.confirm_counts(counts)
        self._dial = DIAL_FIRST_S
        self._at, self._controls = pull.ip, answer["controls"]
        change = gate.ledger.take(pull.sent, now, answer)
        gate.news(now, change)
        gate.crew.heard(gate.ledger.outs(), pull.body["outs"])
        teller = next(iter(answer["alive"]), None)  # the registry itself comes first
        near = gate.ledger.faults(teller) if teller else {}
        gate.crew.jury.record_failure_totals(now, gate.ledger.faults(), near, pull.body["faults"])
        gate.limiter.record_usage_totals(now, gate.ledger.sums(), gate.ledger.behind(), gate.ledger.born())
        if not answer["late"] and (answer.get("age") is None or answer["age"] > STALE_S):
            self._avoid[pull.ip] = now + AVOID_S
            self._stale.add(pull.ip)
        return True

    def _joined(self, answer: Json) -> Json | Failure:
        """The answer with the operator's word whole, or without it while pieces of it are to come. Then, and
        if there is a newer one already (`late`), its proof is none of what is held here."""
        try:
            sources, late = dict(answer["sources"]), bool(answer.get("late"))
            if (
                OPERATOR_SOURCE in sources
                and (word := self._joiner.add(sources.pop(OPERATOR_SOURCE))) is not None
            ):
                sources[OPERATOR_SOURCE] = word
        except (LookupError, TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"pull: {error!r}")
        return {**answer, "sources": sources, "late": late, "age": None if late else answer.get("age")}
