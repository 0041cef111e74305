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

LONG_POLL_SECONDS = 0.25
RESPONSE_TIMEOUT_SECONDS = 0.6  # beyond the wait: so late, another registry is asked
MAX_CONFIGURATION_AGE_SECONDS = 1.5  # a registry whose proof is older is left for another
# so long an answer may take in all while bytes of it come: a whole configuration, a narrow line
MAX_RESPONSE_SECONDS = 3.0
AVOID_SECONDS = 2.0
# a connection may take so long to come up, twice that after each that did not
FIRST_CONNECT_TIMEOUT_SECONDS = 0.15
# without a proof younger than this, the first one is waited for, and answered at once
EAGER_PULL_AGE_SECONDS = 1.0
Json = dict[str, Any]


@frozen
class PullRequest:
    """One call: the registry's IP, when it was sent, its body, and s for its connection to come up."""

    registry_ip: str
    sent_at: float
    body: Json
    connect_timeout: float


class RegistryClient:
    def __init__(self, settings: Settings, gate: RequestRouter, incarnation: str, rng: random.Random) -> None:
        self._settings, self._router, self._incarnation, self._rng = settings, gate, incarnation, rng
        self._avoided_until: dict[str, float] = {}  # until when, by IP
        self._stale: set[str] = set()  # of those, who do answer, but with an old proof
        self._current: str | None = None
        self._by_distance: list[str] = []  # IPs, near ones first
        self._number = 0
        self._reassembler = Reassembler()  # of what the operator's word has become, if that is large
        self._connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS  # a silent seed must not hold up the start
        self.seeds = [host for host, _ in settings.seeds]

    def _choose(self, now: float) -> str | None:
        """The nearest registry that is not avoided, by the order in which the last answer named them: members
        that are not heard of by others come last there. Where all are avoided, one that answers."""
        core = self._router.cluster.core_machines
        known = sorted(core) if core else list(dict.fromkeys(self.seeds))
        known += [ip for ip in self.seeds if ip not in core and self._avoid_all(known, now)]
        near = {ip: place for place, ip in enumerate(self._by_distance)}

        def rank(ip: str) -> tuple[int, int, bool, float]:
            avoided = 0 if self._avoided_until.get(ip, 0.0) <= now else 1 if ip in self._stale else 2
            return avoided, near.get(ip, len(near)), ip != self._current, self._rng.random()

        return min(known, key=rank, default=None)

    def _avoid_all(self, ips: list[str], now: float) -> bool:
        return all(self._avoided_until.get(ip, 0.0) > now for ip in ips)

    def next_request(self, now: float) -> PullRequest | None:
        """The next call, to be made at once; None: there is nobody to call."""
        ip = self._choose(now)
        if ip is None:
            return None
        gate, settings = self._router, self._settings
        front = settings.bindings.front
        self._number += 1
        body = {
            "node": settings.node_name,
            "incarnation": self._incarnation,
            "zone": settings.zone,
            "region": settings.region,
            "front": f"{front[0]}:{front[1]}" if front else "",
            "ready": gate.is_ready(now),
            "have": gate.cluster.versions(),
            "wait": 0.0 if gate.cluster.routing_table is None else LONG_POLL_SECONDS,
            "outs": gate.load_balancer.in_flight(),
            "faults": gate.load_balancer.outlier_detector.failure_counts(now),
            "packs": True,
            "part": self._reassembler.wanted_fragment(),
            "eager": gate.cluster.configuration_age(now) > EAGER_PULL_AGE_SECONDS,
            "adds": {"number": self._number, "counts": gate.rate_limiter.take_new_counts()},
        }
        return PullRequest(ip, now, body, self._connect_timeout)

    def handle_response(self, pull: PullRequest, now: float, answer: Json | Failure) -> bool:
        """Take the answer; False: there was none, and the next call is to wait a little."""
        gate, counts = self._router, pull.body["adds"]["counts"]
        answer = answer if isinstance(answer, Failure) else self._reassembled(answer)
        if isinstance(answer, Failure):
            if answer.reason == FailureReason.UNREACHABLE:
                gate.rate_limiter.restore_counts(counts)
                self._connect_timeout = min(CONNECT_TIMEOUT_SECONDS, 2 * self._connect_timeout)
            else:
                gate.rate_limiter.confirm_counts(counts)  # it may have been added, and must not be twice
            self._avoided_until[pull.registry_ip] = now + AVOID_SECONDS
            self._stale.discard(pull.registry_ip)
            self._current = None
            return False
        gate.rate_limiter.confirm_counts(counts)
        self._connect_timeout = FIRST_CONNECT_TIMEOUT_SECONDS
        self._current, self._by_distance = pull.registry_ip, answer["controls"]
        change = gate.cluster.apply(pull.sent_at, now, answer)
        gate.apply_change(now, change)
        gate.load_balancer.update_peer_load(gate.cluster.in_flight(), pull.body["outs"])
        teller = next(iter(answer["alive"]), None)  # the registry itself comes first
        near = gate.cluster.faults(teller) if teller else {}
        gate.load_balancer.outlier_detector.record_failure_totals(
            now, gate.cluster.faults(), near, pull.body["faults"]
        )
        gate.rate_limiter.record_usage_totals(
            now, gate.cluster.usage_counts(), gate.cluster.proxies_behind(), gate.cluster.started_at()
        )
        if not answer["late"] and (
            answer.get("age") is None or answer["age"] > MAX_CONFIGURATION_AGE_SECONDS
        ):
            self._avoided_until[pull.registry_ip] = now + AVOID_SECONDS
            self._stale.add(pull.registry_ip)
        return True

    def _reassembled(self, answer: Json) -> Json | Failure:
        """The answer with the operator's word whole, or without it while pieces of it are to come. Then, and
        if there is a newer one already (`late`), its proof is none of what is held here."""
        try:
            sources, late = dict(answer["sources"]), bool(answer.get("late"))
            if (
                OPERATOR_SOURCE in sources
                and (word := self._reassembler.add(sources.pop(OPERATOR_SOURCE))) is not None
            ):
                sources[OPERATOR_SOURCE] = word
        except (LookupError, TypeError, ValueError) as error:
            return Failure(FailureReason.INVALID, f"pull: {error!r}")
        return {**answer, "sources": sources, "late": late, "age": None if late else answer.get("age")}
