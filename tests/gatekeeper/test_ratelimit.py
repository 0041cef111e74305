"""The gRPC rate limit service and the gRPC counter, over loopback."""

from collections.abc import Callable, Iterator
from dataclasses import replace
from typing import Any

import gevent
import grpc
import pytest
from envoy.service.ratelimit.v3 import rls_pb2, rls_pb2_grpc
from gevent import socket
from gevent.queue import SimpleQueue

from ashlift.gatekeeper.__main__ import Gatekeeper
from ashlift.gatekeeper.admission.interface import CounterCallEnded, Result
from ashlift.gatekeeper.clock import UnixClock
from ashlift.gatekeeper.metrics import Metrics
from ashlift.gatekeeper.ratelimit.bridge import Bridge
from ashlift.gatekeeper.ratelimit.client import GrpcCounter, build_request, read_error, read_response
from ashlift.gatekeeper.ratelimit.messages import is_negative
from ashlift.gatekeeper.settings.model import FeatureSettings, RateLimit, RateLimitClient, RateLimitServer
from tests.gatekeeper.play import config, instance
from tests.gatekeeper.standins import GrpcCounts, ManualClock, Node, TextCounts, in_thread

OK, OVER = rls_pb2.RateLimitResponse.OK, rls_pb2.RateLimitResponse.OVER_LIMIT
PREMIER: dict[str, Any] = {
    "Name": "premier",
    "QuotaRate": 5.0,
    "MostAtOnce": 10.0,
    "CeilingRate": 10.0,
    "HardBurst": 20.0,
    "CeilingSlack": 2.0,
    "MaxOut": 0,
    "OverWorth": 0.0,
    "OverrunCost": 0.8,
    "Pays": 1.4,
}
BASIC = PREMIER | {"Name": "basic", "QuotaRate": 1.0, "MostAtOnce": 4.0, "CeilingRate": 0.0, "HardBurst": 0.0}


class Loopback:
    """Gatekeepers with a shared counter, a node and a manual clock."""

    def __init__(self, counts: TextCounts | GrpcCounts, size: int = 2, **settings: Any) -> None:
        self.counts: Any = counts
        self.node = Node()
        grpc_address = counts.address if isinstance(counts, GrpcCounts) else ""
        self.clocks = [ManualClock() for _ in range(size)]
        self.gates: list[Gatekeeper] = []
        self.clients: list[Any] = []
        for me in range(size):
            changes = {
                "known": {"generation": 1, "instances": [instance("n1", self.node.address)]},
                "settings.Plans": [BASIC, PREMIER],
                "settings.GroupSize": max(2, size),
                "settings.Me": me,
                **settings,
            }
            found = config({"d": "127.0.0.1:9", "k": counts.address, "n1": self.node.address}, changes)
            limits = RateLimit(RateLimitServer("127.0.0.1:0"), RateLimitClient(grpc_address, "counts"))
            gate = Gatekeeper(replace(found, features=FeatureSettings(ratelimit=limits)), self.clocks[me])
            self.gates.append(gate)
            self.clients.append(socket.create_connection(gate.start()))
        self.traces = 0
        self.advance(50)

    def close(self) -> None:
        for gate, client in zip(self.gates, self.clients, strict=True):
            client.close()
            gate.stop(0.0)
        self.node.server.stop()
        self.counts.stop()

    def advance(self, ms: float) -> None:
        """Advances time and waits until all events are processed.

        One gatekeeper after the other, so that the order of their counter calls is fixed.
        """
        for clock, gate in zip(self.clocks, self.gates, strict=True):
            clock.advance(ms)
            with gevent.Timeout(20):
                while gate.owner.inbox.qsize() or self._calling(gate):
                    gevent.sleep(0.001)

    @staticmethod
    def _calling(gate: Gatekeeper) -> bool:
        counts = gate.metrics.counts
        ended = ("ok", "full", "timeout", "connect_failed", "over_limit")
        return counts["counter.calls"] != sum(counts[f"counter.{end}"] for end in ended)

    def http(self, gatekeeper: int, firm: int, plan: str, spread: int = 2) -> str:
        """Sends an HTTP request; returns the status and the Retry-After value."""
        self.traces += 1
        self.clients[gatekeeper].sendall(
            (
                "GET /availability-check/x HTTP/1.1\r\nX-Qos: availability-check\r\nX-Expires-In: 9\r\n"
                f"X-Trace-Id: {plan}.{firm}.{self.traces}\r\nApi-Plan: {plan}\r\n"
                f"Api-Customer: {firm:016x}\r\n"
                f"Api-Terms: units=1,spread={spread},first=0\r\n\r\n"
            ).encode()
        )
        with gevent.Timeout(20):
            head, _, _ = self.clients[gatekeeper].recv(65536).decode().partition("\r\n\r\n")
        retry_after = head.partition("Retry-After: ")[2]
        return f"{head.split()[1]} {retry_after}".strip()

    def grpc(
        self,
        *descriptors: dict[str, str],
        timeout: float = 10.0,
        domain: str = "availability-lookup",
        hits: int = 0,
    ) -> Any:
        """Calls the gRPC service with a real client."""
        request = rls_pb2.RateLimitRequest(domain=domain, hits_addend=hits)
        for entries in descriptors:
            descriptor = request.descriptors.add()
            for key, value in entries.items():
                descriptor.entries.add(key=key, value=value)
        with grpc.insecure_channel(f"127.0.0.1:{self.gates[0].ratelimit_port}") as channel:
            stub = rls_pb2_grpc.RateLimitServiceStub(channel)
            return in_thread(stub.ShouldRateLimit, request, timeout=timeout)


@pytest.fixture
def loopback() -> Iterator[Callable[..., Loopback]]:
    made: list[Loopback] = []

    def make(*args: Any, **kwargs: Any) -> Loopback:
        made.append(Loopback(*args, **kwargs))
        return made[-1]

    yield make
    for run in made:
        run.close()


def busy_minute(run: Loopback) -> dict[str, list[str]]:
    """A premier customer at ten times its quota and a basic one near its quota, over two gatekeepers."""
    answers: dict[str, list[str]] = {"premier": [], "basic": []}
    run.advance(4_000)
    for step in range(150):
        answers["premier"].append(run.http(0 if step % 3 else 1, 7, "premier"))
        if step % 20 == 0:
            answers["basic"].append(run.http(step % 2, 8, "basic"))
        run.advance(20)
    return answers


def lowest_ceiling_level(sends: list[int]) -> float:
    """The lowest level of the premier ceiling's token bucket for requests at these steps of 20 ms."""
    level, lowest, previous = PREMIER["HardBurst"], PREMIER["HardBurst"], 0
    for step in sends:
        level = min(PREMIER["HardBurst"], level + PREMIER["CeilingRate"] * (step - previous) * 0.02) - 1
        lowest, previous = min(lowest, level), step
    return float(lowest)


def test_both_counters_give_the_same_ceilings_and_final_answers(loopback: Callable[..., Loopback]) -> None:
    runs = [loopback(counts) for counts in (TextCounts(), GrpcCounts())]
    answers = [busy_minute(run) for run in runs]
    assert answers[0] == answers[1]
    assert runs[0].node.traces == runs[1].node.traces
    assert sorted(runs[0].counts.totals.values()) == sorted(runs[1].counts.totals.values())
    premier = answers[0]["premier"]
    assert premier.count("200") > 20 and premier.count("429 0.200") > 60
    sends = [step for step, answer in enumerate(premier) if answer == "200"]
    assert lowest_ceiling_level(sends) >= -PREMIER["CeilingSlack"]


def test_a_slow_counter_service_does_not_delay_a_request(loopback: Callable[..., Loopback]) -> None:
    run = loopback(GrpcCounts(), **{"settings.FamilyInfo.CounterTimeoutMs": 30})
    run.counts.go.clear()
    client = gevent.spawn(run.http, 0, 7, "basic")
    metrics = run.gates[0].metrics.counts
    with gevent.Timeout(20):
        assert client.get() == "200"
    assert metrics["counter.timeout"] == 1 and not metrics["counter.ok"]
    run.counts.go.set()


def test_over_limit_of_the_counter_service_refuses_a_premier_customer_near_its_ceiling(
    loopback: Callable[..., Loopback],
) -> None:
    run = loopback(GrpcCounts())
    run.advance(4_000)
    while run.http(0, 7, "premier") == "200":
        run.advance(20)
    run.advance(4_000)
    run.advance(1_500)  # the last total has expired: the next request waits for the counter
    run.counts.over = True
    assert run.http(0, 7, "premier") == "429 0.200"  # the local count alone would admit it
    run.advance(1_000)
    assert run.http(0, 7, "premier") == "429 0.200"
    run.counts.over = False
    run.advance(1_500)
    assert run.http(0, 7, "premier") == "200"


FIRM = {"firm": "0000000000000007", "plan": "premier"}


def test_grpc_and_http_requests_share_quota_and_ceiling(loopback: Callable[..., Loopback]) -> None:
    run = loopback(TextCounts(), 1)
    run.advance(600)
    descriptor = FIRM | {"spread": "1"}
    assert [run.http(0, 7, "premier", 1) for _ in range(3)] == ["200"] * 3
    codes = [run.grpc(descriptor).overall_code for _ in range(4)]
    assert codes == [OK, OK, OK, OVER]  # the ceiling admits 10 a second, for 0.65 s
    assert run.http(0, 7, "premier", 1) == "429 0.200"
    over = run.grpc(descriptor)
    assert over.statuses[0].code == OVER and over.statuses[0].duration_until_reset.ToMilliseconds() == 200
    assert [(header.key, header.value) for header in over.response_headers_to_add] == [
        ("retry-after", "0.200")
    ]
    assert len(run.node.traces) == 3  # requests of the gRPC service are not sent to nodes


def test_units_and_several_descriptors(loopback: Callable[..., Loopback]) -> None:
    run = loopback(TextCounts(), 1)
    basic = {"firm": "8", "plan": "basic", "spread": "1"}
    assert run.grpc(basic, hits=3).overall_code == OK
    assert run.grpc(basic | {"firm": "9"}, hits=5).overall_code == OVER  # more than its burst
    assert run.grpc(basic | {"firm": "a"}, hits=2**32 - 1).overall_code == OVER
    both = run.grpc(basic, basic | {"firm": "b"}, hits=4)
    assert both.overall_code == OVER and [status.code for status in both.statuses] == [OVER, OK]


@pytest.mark.parametrize(
    ("descriptors", "domain", "named"),
    [
        ([FIRM], "elsewhere", "domain"),
        ([], "availability-lookup", "descriptors"),
        ([FIRM | {"plan": "unheard"}], "availability-lookup", r"descriptors\[0\].*plan"),
        ([FIRM, {"plan": "basic"}], "availability-lookup", r"descriptors\[1\].*firm"),
        ([FIRM | {"spread": "9"}], "availability-lookup", "spread"),
        ([FIRM | {"odd": "1"}], "availability-lookup", "key"),
        ([FIRM | {"class": "odd"}], "availability-lookup", "class"),
    ],
)
def test_an_invalid_request_is_rejected_with_the_field(
    loopback: Callable[..., Loopback], descriptors: list[dict[str, str]], domain: str, named: str
) -> None:
    run = loopback(TextCounts(), 1)
    with pytest.raises(grpc.RpcError, match=named) as caught:
        run.grpc(*descriptors, domain=domain)
    assert caught.value.code() is grpc.StatusCode.INVALID_ARGUMENT
    assert run.gates[0].metrics.counts["jobs.taken"] == 0


def test_a_call_ends_at_its_deadline(loopback: Callable[..., Loopback]) -> None:
    run = loopback(GrpcCounts(), 1)
    run.counts.go.clear()  # the call waits for a counter that does not respond
    with pytest.raises(grpc.RpcError) as caught:
        run.grpc(FIRM, timeout=1.0)  # long enough to arrive on a busy machine
    assert caught.value.code() is grpc.StatusCode.DEADLINE_EXCEEDED
    metrics = run.gates[0].metrics.counts
    with gevent.Timeout(20):
        while not metrics["ratelimit.expired"] == metrics["jobs.left"] == 1:
            gevent.sleep(0.001)


def test_a_cancelled_call_ends_its_job(loopback: Callable[..., Loopback]) -> None:
    run = loopback(GrpcCounts(), 1)
    run.counts.go.clear()
    metrics = run.gates[0].metrics.counts
    request = rls_pb2.RateLimitRequest(domain="availability-lookup")
    descriptor = request.descriptors.add()
    for key, value in FIRM.items():
        descriptor.entries.add(key=key, value=value)
    with grpc.insecure_channel(f"127.0.0.1:{run.gates[0].ratelimit_port}") as channel, gevent.Timeout(20):
        call = rls_pb2_grpc.RateLimitServiceStub(channel).ShouldRateLimit.future(request, timeout=30)
        while not metrics["counter.calls"]:
            gevent.sleep(0.001)
        call.cancel()
        while not metrics["jobs.left"]:
            gevent.sleep(0.001)
    assert metrics["answers.passed"] == 0


# ---- the counter client


def call_counter(address: str, amount: float = 5.0, timeout_ms: float = 10_000.0) -> CounterCallEnded:
    inbox: SimpleQueue[Any] = SimpleQueue()
    counter = GrpcCounter(address, "counts", timeout_ms, Bridge(), UnixClock(), inbox, Metrics())
    try:
        counter.add(77, amount, 4000.0)
        ended: CounterCallEnded = inbox.get(timeout=20)
        return ended
    finally:
        counter.close()


@pytest.mark.parametrize(
    ("code", "result"),
    [
        (grpc.StatusCode.RESOURCE_EXHAUSTED, Result.OVERLOADED),
        (grpc.StatusCode.UNAVAILABLE, Result.TIMEOUT),
        (grpc.StatusCode.INTERNAL, Result.TIMEOUT),
        (grpc.StatusCode.UNKNOWN, Result.TIMEOUT),
        (grpc.StatusCode.DEADLINE_EXCEEDED, Result.TIMEOUT),
        (grpc.StatusCode.ABORTED, Result.TIMEOUT),
    ],
)
def test_a_failed_counter_call_may_have_been_counted_unless_it_was_rejected(
    code: grpc.StatusCode, result: Result
) -> None:
    counts = GrpcCounts()
    counts.error = code
    assert call_counter(counts.address).result is result
    counts.stop()


def test_a_refused_connection_counts_nothing() -> None:
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))  # bound but not listening, so that connections are refused
        assert call_counter("{}:{}".format(*free.getsockname())).result is Result.CONNECT_FAILED
    assert read_error(grpc.StatusCode.UNAVAILABLE, "Socket closed") is Result.TIMEOUT


def test_a_counter_call_without_response_times_out() -> None:
    counts = GrpcCounts()
    counts.go.clear()
    assert call_counter(counts.address, timeout_ms=30.0).result is Result.TIMEOUT
    counts.stop()


def test_an_unresponsive_service_is_called_on_a_new_connection() -> None:
    counts, inbox, metrics, clock = GrpcCounts(), SimpleQueue[Any](), Metrics(), ManualClock()
    counts.go.clear()
    counter = GrpcCounter(counts.address, "counts", 5_000.0, Bridge(), clock, inbox, metrics)
    for number in range(4):  # time-outs at 5, 10, 15 and 20 s; overdue at 15 s
        counter.add(number, 1.0, 4000.0)
        clock.advance(5_001.0)
        assert inbox.get(timeout=20).result is Result.TIMEOUT
    assert metrics.counts["counter.overdue"] == 1
    counts.go.set()
    counter.add(9, 1.0, 4000.0)
    assert inbox.get(timeout=20).result is Result.OK
    counter.close()
    counts.stop()


def test_the_counter_adds_subtracts_and_reads() -> None:
    counts = GrpcCounts()
    calls = [call_counter(counts.address, amount) for amount in (1001.0, -1.0, 0.0)]
    assert [(call.result, call.total) for call in calls] == [
        (Result.OK, total) for total in (1001, 1000, 1000)
    ]
    descriptors = [build_request("d", 1, amount, 9.0).descriptors[0] for amount in (-1, 0, 1)]
    assert [is_negative(descriptor) for descriptor in descriptors] == [True, False, False]
    counts.limitless = True
    assert call_counter(counts.address).result is Result.TIMEOUT  # without a limit there is no total
    counts.limitless, counts.over = False, True
    assert call_counter(counts.address).limit_exceeded
    counts.stop()


def test_an_inconsistent_response_has_no_total() -> None:
    response = rls_pb2.RateLimitResponse(overall_code=OK)
    assert read_response(response)[0] is Result.TIMEOUT
    response.statuses.add(code=OK, limit_remaining=5).current_limit.requests_per_unit = 3
    assert read_response(response)[0] is Result.TIMEOUT
    response.statuses[0].code = OVER
    assert read_response(response) == (Result.OK, 0.0, True)
