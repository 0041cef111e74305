"""The scale benchmark (`benchmarks.scale`): calculations, simulated against real proxies, a small run.

The last test starts real processes and takes some seconds; it verifies that a run works.
"""

import json
import random
import subprocess
import sys
import tempfile
from pathlib import Path

from ward import each, raises, test

from ashlift.config.operator_config import load_configuration
from ashlift.proxy.registry_client import RegistryClient
from ashlift.proxy.request_router import RequestRouter
from ashlift.registry.identity import RegistryIdentity
from ashlift.registry.registry import Registry
from ashlift.rpc.messages import encode_request, encode_response
from benchmarks.scale.capacity_page import build_tables, fill_page
from benchmarks.scale.connection_traffic import Role, Traffic, parse_traffic
from benchmarks.scale.host_messages import (
    HostFigures,
    ReadArrivalTimes,
    ReadFigures,
    SetRequestRate,
    SetRestartRate,
    StartProxies,
    decode_command,
    decode_response,
    encode_command,
)
from benchmarks.scale.host_messages import encode_response as encode_host_response
from benchmarks.scale.line_fit import fit_line, relative_spread
from benchmarks.scale.markdown import format_number
from benchmarks.scale.proxy_figures import proxy_settings
from benchmarks.scale.recorded_figures import RecordedFigures
from benchmarks.scale.sample_objects import build_configuration
from benchmarks.scale.simulated_proxies import RequestLoad, SimulatedProxy, SimulatedRateLimiter
from benchmarks.scale.sizes import TARGET_SIZE, regions_by_zone
from benchmarks.scale.tenant_distribution import draw_tenant_rank, expected_distinct_tenants, tenant_name
from tests.support.registry_wire import begin_pull, pull_response

ROOT = Path(__file__).parent.parent.parent
PARTS = (
    "measured",
    "gatekeeper",
    "registry",
    "store",
    "client",
    "entries",
    "limits",
    "processes",
    "events",
    "rates",
    "broken",
)


@test("a fitted line has the intercept, slope and largest relative error of its points")
def _() -> None:
    line = fit_line([(10, 25.0), (20, 45.0), (40, 85.0), (80, 165.0)])
    assert abs(line.intercept - 5) < 1e-6
    assert abs(line.slope - 2) < 1e-9
    assert line.max_error < 1e-9
    assert line.value_at(100) == line.intercept + 100 * line.slope
    assert line.extrapolation_factor(160) == 2.0
    assert fit_line([(10, 25.0), (20, 45.0), (40, 99.0)]).max_error > 0.05
    with raises(ValueError):
        fit_line([(10, 1.0), (10, 2.0)])
    assert relative_spread([2, 2, 2]) == 0


@test("the size at which a figure reaches its limit is interpolated between measured sizes")
def _() -> None:
    figures = {size: {"x": [float(size), size * 1.1, size * 0.9]} for size in (10, 30, 90)}
    recorded = _recorded_figures(figures)

    def value_at(size: int) -> float:
        return recorded.median("x", size)

    assert recorded.proxies_at_limit(value_at, 20) == 20
    assert recorded.proxies_at_limit(value_at, 60) == 60
    assert recorded.proxies_at_limit(value_at, 5) == 5
    assert recorded.proxies_at_limit(value_at, 91) is None


@test("a recorded figure is the median of its repeats")
def _() -> None:
    recorded = _recorded_figures({10: {"odd": [3.0, 1.0, 2.0], "even": [4.0, 1.0, 2.0, 3.0]}})
    assert recorded.median("odd", 10) == 2
    assert recorded.median("even", 10) == 2.5


def _recorded_figures(by_size: dict[int, dict[str, list[float]]]) -> RecordedFigures:
    sizes = {str(size): {"size": {}, "figures": figures} for size, figures in by_size.items()}
    return RecordedFigures({"by size": sizes})


@test("sizes are proportional, and the store accepts their configurations")
def _() -> None:
    size = TARGET_SIZE.scaled_to(17)
    assert (size.workers, size.services, size.routes, size.tenants) == (190, 9, 59, 1200)
    assert abs(size.request_rate / size.proxies - TARGET_SIZE.request_rate / TARGET_SIZE.proxies) < 1e-9
    assert TARGET_SIZE.scaled_to(TARGET_SIZE.proxies) == TARGET_SIZE
    configuration = load_configuration(build_configuration(size))
    assert isinstance(configuration, dict)
    assert sum(key.startswith("Tenants/") for key in configuration) == 1200


@test("the expected number of distinct tenants equals that of drawn requests")
def _(requests: int = each(50, 500, 5000)) -> None:
    rng = random.Random(1)
    runs = [len({draw_tenant_rank(3000, rng) for _ in range(requests)}) for _ in range(20)]
    assert abs(expected_distinct_tenants(3000, requests) - sum(runs) / 20) < 0.03 * requests


@test("traffic of connections is reported by process and kind of request")
def _() -> None:
    def row(local: str, remote: str, inode: int, sent: int, received: int, segments: int) -> str:
        return (
            f"0 0 {local} {remote} ino:{inode} sk:1 <-> ts bytes_sent:{sent} bytes_acked:{sent} "
            f"bytes_received:{received} segs_out:9 data_segs_out:{segments}"
        )

    ss_output = "\n".join(
        [
            row("127.0.0.1:40000", "127.5.1.1:7601", 1, 500, 900, 5),
            row("127.5.1.1:7601", "127.0.0.1:40000", 2, 900, 500, 6),
            row("127.0.0.1:40001", "127.5.1.1:7601", 3, 70, 80, 2),
            row("127.5.1.1:7601", "127.0.0.1:40001", 4, 80, 70, 2),
            row("127.0.0.1:40002", "127.5.1.1:8200", 5, 10, 20, 1),
            row("127.0.0.1:9", "127.0.0.1:10", 6, 1, 1, 1),
            row("127.0.0.1:40009", "127.5.1.1:7601", 99, 5, 5, 5),
        ]
    )
    pid_by_inode = {1: 11, 2: 12, 3: 13, 4: 12, 5: 14, 6: 14}
    roles = {11: Role.PROXY, 12: Role.REGISTRY, 13: Role.REGISTRY, 14: Role.SIMULATED_WORKERS}
    traffic = parse_traffic(ss_output, pid_by_inode, roles, 7600, {7600, 7601, 8200})
    assert traffic == {
        11: {"pull": Traffic(1, 500, 900, 5)},
        12: {"pull answered": Traffic(1, 900, 500, 6), "swap answered": Traffic(1, 80, 70, 2)},
        13: {"swap": Traffic(1, 70, 80, 2)},
        14: {"beat": Traffic(1, 10, 20, 1)},
    }


def _registry() -> Registry:
    identity = RegistryIdentity("core-1", "ab", "10.9.0.1", "z00", "r00", 8200, 1.5)
    registry = Registry(identity, ["10.9.0.1"], regions_by_zone(), 0.0)
    configuration = load_configuration(build_configuration(TARGET_SIZE.scaled_to(5)))
    assert isinstance(configuration, dict)
    registry.operator_config.receive_watch_response(
        {"index": 4, "set": configuration, "gone": [], "full": True, "age": 0.1}, 9.0
    )
    return registry


class _PullingProxy:
    """A proxy with its own registry; records the lengths of requests and responses."""

    def __init__(self, router: RequestRouter, client: RegistryClient) -> None:
        self.registry = _registry()
        self.router = router
        self.client = client
        self.message_lengths: list[tuple[int, int]] = []

    def pull(self, now: float, usage_of_another_proxy: bool) -> None:
        """One pull with its response 0.25 s later; another proxy may report usage in between."""
        pull = self.client.next_request(now)
        assert pull is not None
        assert pull.registry_ip == "10.9.0.1"
        begin_pull(self.registry, pull.body, now)
        if usage_of_another_proxy:
            adds = {"number": 1, "counts": {"t000001": (5, 1)}}
            begin_pull(self.registry, {**pull.body, "node": "other", "adds": adds}, now)
            self.registry.sessions.end_pull("other")
        response = pull_response(self.registry, pull.body, now, now + 0.2)
        self.registry.sessions.end_pull("hollow-0")
        self.message_lengths.append(
            (len(encode_request(1, "pull", pull.body)), len(encode_response(1, response)))
        )
        assert self.client.handle_response(pull, now + 0.25, response)
        assert self.router.is_ready(now + 0.25)


@test("a simulated proxy sends the same pulls as a real one and gets the same responses")
def _() -> None:
    command = StartProxies(
        first=0,
        end=1,
        regions_by_zone=regions_by_zone(),
        low_port=7600,
        seed_ips=["10.9.0.1"],
        tenants=1,
        starts_per_second=0.0,
    )
    simulated_proxy = SimulatedProxy(0, command, RequestLoad())
    settings = proxy_settings("hollow-0")
    router = RequestRouter(settings, random.Random(0), 10.0)
    simulated = _PullingProxy(simulated_proxy.router, simulated_proxy.client)
    real = _PullingProxy(router, RegistryClient(settings, router, f"{0:08x}", random.Random(0)))
    view = simulated_proxy.cluster
    for step in range(6):
        for proxy in (simulated, real):
            proxy.pull(10.0 + 0.25 * step, usage_of_another_proxy=step == 3)
        assert view.versions() == router.cluster.versions()
        assert view.configuration.confirmed_at == router.cluster.configuration.confirmed_at
    assert len(simulated.message_lengths) == 6
    assert simulated.message_lengths == real.message_lengths
    assert view.received_entries > 0
    sources = view.sources.values()
    assert not any(source.workers or source.proxies or source.usage for source in sources)


@test("a simulated rate limiter counts the requests of its load")
def _() -> None:
    load = RequestLoad(tenants=50, requests_per_second=1000.0)
    limiter = SimulatedRateLimiter(random.Random(3), proxy_settings().bounds, load)
    limiter._counted_until -= 1.0
    counts = limiter.take_new_counts()
    assert 990 <= sum(total for total, _ in counts.values()) <= 1100
    assert max(counts, key=lambda name: counts[name]) == tenant_name(1)
    assert len(counts) > 30


@test("a simulation host's commands and figures survive encoding")
def _() -> None:
    command = StartProxies(
        first=3,
        end=5,
        regions_by_zone={"z00": "r00"},
        low_port=7600,
        seed_ips=["10.9.0.1"],
        tenants=7,
        starts_per_second=2.0,
    )
    for sent in (command, ReadFigures(), ReadArrivalTimes(4), SetRequestRate(1.5), SetRestartRate(0.5)):
        assert decode_command(encode_command(sent)) == sent
    figures = HostFigures(pulls=3, ready_after_seconds=[0.5, 1.5], confirmation_age_seconds=float("inf"))
    assert decode_response(encode_host_response(figures).encode(), HostFigures) == figures


@test("a small run writes one JSON file, from which the tables of the page are generated")
def _() -> None:
    with tempfile.TemporaryDirectory() as folder:
        out = Path(folder) / "scale.json"
        for arguments in (["cores", "--sizes", "3,6", "--repeats", "1"], ["run", "--quick", "--sizes", "4"]):
            completed = subprocess.run(
                [sys.executable, "-m", "benchmarks.scale", *arguments, "--out", str(out)],
                cwd=ROOT,
                capture_output=True,
                text=True,
                check=False,
            )
            assert completed.returncode == 0, completed.stderr[-2000:]
        recorded = json.loads(out.read_text())
    run = recorded["run"]["in proportion"]["4"]
    assert run["broken"] == [], run["broken"]
    assert run["start"]["ready"] == run["start"]["wanted"] == 3
    assert run["start"]["workers"] == 45
    assert run["change"]["status"] == 200
    assert run["change"]["reached"] == 3
    idle, busy = run["windows"]
    assert idle["gatekeepers"]["entries_s"] == 0 < busy["gatekeepers"]["entries_s"]
    assert idle["gatekeepers"]["pulls_s"] > 3
    assert idle["registry"]["processes"] == idle["configstore"]["processes"] == 1
    assert idle["proxy"]["mb"] > 10
    assert idle["registry"]["files"] > 5
    page = "\n".join(f"<!-- scale: {name} -->\n(none yet)\n<!-- end -->" for name in PARTS)
    built = build_tables(recorded)
    filled = fill_page(page, built)
    assert "(none yet)" not in filled
    assert filled.count("| --- |") >= 10
    assert fill_page(filled, built) == filled
    with raises(ValueError):
        fill_page("<!-- scale: nothing -->\n<!-- end -->", built)
    assert format_number(1234567.0) == "1,230,000"
    assert format_number(0.01234) == "0.0123"
    assert format_number(float("inf")) == "-"
