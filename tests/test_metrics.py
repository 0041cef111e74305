"""Metrics: exposition format, the metrics endpoint, and its port in the deploy file."""

import tomllib
from pathlib import Path

import gevent
from gevent import socket
from ward import each, test

from ashlift.errors import Failure
from ashlift.metrics import Metric, MetricsRegistry
from ashlift.metrics_server import METRICS_OPTION, METRICS_PATH, metrics_port, serve_metrics

DEPLOY_FILE = Path(__file__).parent.parent / "deploy" / "system.toml"


def fetch(port: int, request: bytes) -> bytes:
    with gevent.Timeout(5), socket.create_connection(("127.0.0.1", port)) as sock:
        sock.sendall(request)
        received = b""
        while data := sock.recv(4096):
            received += data
        return received


@test("a scrape returns the current values, with escaped labels")
def _() -> None:
    counts = {'say "x"\\\n': 2}
    metrics = MetricsRegistry()
    metrics.add(Metric("answers_total", "counter", "kind", "Answers."), lambda: counts)
    server = serve_metrics(("127.0.0.1", 0), metrics)
    assert server is not None
    port = server.server_port
    assert port is not None
    try:
        counts["y"] = 1
        response = fetch(port, b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        missing = fetch(port, b"GET /other HTTP/1.1\r\n\r\n")
        port_in_use = serve_metrics(("127.0.0.1", port), metrics)
    finally:
        server.stop()
    head, _, body = response.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    assert f"Content-Length: {len(body)}".encode() in head
    assert body.decode().splitlines() == [
        "# HELP ashlift_answers_total Answers.",
        "# TYPE ashlift_answers_total counter",
        r'ashlift_answers_total{kind="say \"x\"\\\n"} 2',
        'ashlift_answers_total{kind="y"} 1',
    ]
    assert missing.startswith(b"HTTP/1.1 404 ")
    assert port_in_use is None


@test("a command line with the port {text!r} is rejected with the option's name")
def _(text: str = each("", "x", "0", "65536", "-1")) -> None:
    found = metrics_port(["program", METRICS_OPTION, text])
    assert isinstance(found, Failure)
    assert METRICS_OPTION in found.detail


@test("the deploy file has the port and path of each program's endpoint, with distinct ports")
def _() -> None:
    roles = tomllib.loads(DEPLOY_FILE.read_text())["roles"]
    ports = []
    for role in roles.values():
        port = metrics_port(role["run"].split())
        assert role.get("metrics") == (f"{port}{METRICS_PATH}" if port is not None else None)
        ports += [port] if port is not None else []
    assert len(ports) == 2
    assert len(set(ports)) == 2
