"""Measures streamed bodies: `python -m benchmarks.bodies [--megabytes 1000] [--rounds 5] [--only PART ...]`.

Prints a table, and all figures as JSON on the last line; exits with 1 where a bound that is promised does not
hold. Peers are processes of their own on loopback. Takes some two minutes; not part of CI.
"""

import argparse
import json
import os
import platform
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from benchmarks.child_process import ChildProcess, MemoryFigure
from benchmarks.peers import connect, head, read_head

BUFFER = 8 << 20  # buffer-bytes of the settings below
SPARE = 16 << 20  # that memory may grow by beyond them
OWN = """(ashlift
 (streaming (enabled true) (buffer-bytes 8MiB) (stream-buffer-bytes 256KiB) (most-streams 200)
  (class availability-report (head 3s) (stall 2s) (longest 4GiB))))"""
Row = dict[str, Any]


def config(node: str) -> Row:
    """What the platform would tell one gatekeeper; the firm's quota is no bound here."""
    plan = {
        "Name": "basic",
        "QuotaRate": 0,
        "MostAtOnce": 0,
        "MaxOut": 0,
        "Pays": 1.0,
        "OverWorth": 0.0,
        "OverrunCost": 0.0,
        "CeilingRate": 0,
        "HardBurst": 0,
        "CeilingSlack": 0,
    }
    kind = {"Effect": "pure", "TargetMs": 20_000.0, "GiveUpMs": 30_000.0, "Value": 1.0, "LateShare": 0.0}
    facts = {
        "Categories": [kind | {"Name": name} for name in ("availability-check", "availability-report")],
        "Plans": [plan],
        "GroupSize": 1,
        "Me": 0,
        "Zone": 0,
        "Zones": ["z"],
        "TickMs": 2.0,
        "Discovery": "automatic",
        "Report": {"Fields": [], "Via": "none"},
        "FamilyInfo": {"MayCount": False, "MeterMs": 0, "MaxUnits": 1, "CostAfter": False},
        "Limits": {
            "Cancel": True,
            "Probing": False,
            "RetryAfter": True,
            "MaxRetryAfterMs": 4000.0,
            "SecondCopies": False,
            "TryLimit": 3,
        },
        "Rules": {"ColdFrom": 0.25, "ColdMs": 18000.0, "FallMultiple": 2.5, "TipAfterMs": 1500.0},
    }
    known = {"generation": 1, "instances": [{"instanceId": "n1", "hostPort": node, "lifecycle": "ready"}]}
    return {
        "settings": facts,
        "known": known,
        "discovery": "127.0.0.1:9",
        "listen": "127.0.0.1:1",
        "limits": {"sockets": 1024},
    }


@contextmanager
def gatekeeper(node: str) -> Iterator[tuple[ChildProcess, str]]:
    """The real program, before that node."""
    with tempfile.TemporaryDirectory() as folder:
        path, own = Path(folder, "config.json"), Path(folder, "own.sexp")
        path.write_text(json.dumps(config(node)))
        own.write_text(OWN)
        with connect_free() as listen:
            process = ChildProcess(
                "ashlift", environment={"GW_CONFIG": str(path), "GW_LISTEN": listen, "GW_SETTINGS": str(own)}
            )
        for line in process.log_lines():
            if "listens" in line:
                break
        threading.Thread(target=lambda: [None for _ in process.log_lines()], daemon=True).start()
        try:
            yield process, listen
        finally:
            process.stop()


@contextmanager
def connect_free() -> Iterator[str]:
    """An address on which nobody listens."""
    import socket

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{free.getsockname()[1]}"


def client(*words: object) -> "subprocess.Popen[str]":
    command = [sys.executable, "-m", "benchmarks.peers", *map(str, words)]
    return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def told(process: "subprocess.Popen[str]") -> Row:
    out, _ = process.communicate()
    return dict(json.loads(out.strip().splitlines()[-1]))


# ---- the parts


def throughput(node: str, size: int, rounds: int) -> Row:
    """Both ways, against a bare relay in the same run, turn by turn."""
    found: dict[str, list[float]] = {}
    relay = ChildProcess("benchmarks.peers", "relay", node)
    direct = relay.read_address()
    try:
        with gatekeeper(node) as (gate, address):
            for _ in range(rounds):
                for way in ("down", "up"):
                    for who, process, where in (("relay", relay, direct), ("ashlift", gate, address)):
                        before = process.cpu_seconds()
                        out = told(client(way, where, size, 0, *([0] if way == "down" else [])))
                        assert out["status"] == 200 and out["got"] == size, out
                        found.setdefault(f"{way}.{who}.gb_s", []).append(size / out["s"] / 1e9)
                        found.setdefault(f"{way}.{who}.cpu_s_gb", []).append(
                            (process.cpu_seconds() - before) / size * 1e9
                        )
    finally:
        relay.stop()
    row: Row = {}
    for name, values in found.items():
        row[name] = [round(v, 3) for v in (min(values), statistics.median(values), max(values))]
    for way in ("down", "up"):
        pairs = zip(found[f"{way}.ashlift.gb_s"], found[f"{way}.relay.gb_s"], strict=True)
        ratios = sorted(mine / bare for mine, bare in pairs)
        row[f"{way}.ratio"] = [round(v, 3) for v in (ratios[0], statistics.median(ratios), ratios[-1])]
        row[f"{way}.holds"] = statistics.median(ratios) >= 0.7
    return row


def unlike(node: str, size: int) -> Row:
    """Long bodies between peers of unlike speed, each way round: memory, and every byte."""
    slow = size / 10  # bytes a second: a tenth of the body a second
    row: Row = {}
    with gatekeeper(node) as (gate, address):
        start = gate.memory_bytes()
        for name, words in (
            ("slow client reads", ("down", address, size, slow, 0)),
            ("slow node writes", ("down", address, size, 0, 0, f"&rate={slow}")),
            ("slow client writes", ("up", address, size, slow)),
            ("slow node reads", ("up", address, size, 0, f"take={slow}")),
        ):
            gate.reset_peak_memory()
            out = told(client(*words))
            grown = gate.memory_bytes(MemoryFigure.PEAK) - start
            whole = out["got"] == size and out["status"] == 200
            row[name] = {
                "s": round(out["s"], 2),
                "grown_mib": round(grown / (1 << 20), 2),
                "holds": whole and grown < BUFFER + SPARE,
            }
    return row


def small(address: str, count: int, delay: float) -> list[float]:
    """Latencies of small jobs, one after another on one connection, in ms."""
    out = []
    with connect(address) as sock:
        for _ in range(count):
            began = time.monotonic()
            sock.sendall(head("GET", f"/availability-check/x?delay={delay}"))
            status, headers, rest = read_head(sock)
            while len(rest) < int(headers["content-length"]):
                rest += sock.recv(65536)
            assert status == 200, status
            out.append(1000 * (time.monotonic() - began))
    return out


def percentiles(values: list[float]) -> list[float]:
    ordered = sorted(values)
    return [round(ordered[min(len(ordered) - 1, int(len(ordered) * at))], 2) for at in (0.5, 0.99, 0.999)]


def together(count: int, work: Callable[[], list[float]]) -> list[float]:
    """The same work in so many threads."""
    out: list[list[float]] = []
    threads = [threading.Thread(target=lambda: out.append(work())) for _ in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [value for one in out for value in one]


def slow_readers(node: str, count: int) -> Row:
    """Readers at 5 kB/s, as many as there are, with small jobs beside them."""
    with gatekeeper(node) as (gate, address):
        start = gate.memory_bytes()
        clients = [client("down", address, 40 << 20, 5000, 2048) for _ in range(count)]
        time.sleep(6)
        beside = small(address, 400, 0.02)
        fast = told(client("down", address, 200 << 20, 0, 0))
        grown, alive = (
            gate.memory_bytes(MemoryFigure.PEAK) - start,
            sum(one.poll() is None for one in clients),
        )
        for one in clients:
            one.kill()
            one.wait()
        return {
            "readers": count,
            "alive": alive,
            "grown_mib": round(grown / (1 << 20), 2),
            "small_ms": percentiles(beside),
            "fast_gb_s": round((200 << 20) / fast["s"] / 1e9, 2),
            "holds": alive == count and grown < BUFFER + SPARE and fast["got"] == 200 << 20,
        }


def stalls(node: str) -> Row:
    """Each ends in one final answer, within its limit and a second."""
    row: Row = {}
    size = 1 << 20
    with gatekeeper(node) as (_, address):
        for name, stall, limit in (
            ("before the head", "head", 3.0),
            ("halfway", size // 2, 2.0),
            ("one byte before the end", size - 1, 2.0),
        ):
            began = time.monotonic()
            with connect(address) as sock:
                sock.sendall(head("GET", f"/availability-report/x?bytes={size}&stall={stall}"))
                status, _, rest = read_head(sock)
                got = len(rest)
                while status == 200 and got < size and (more := sock.recv(65536)):
                    got += len(more)
            took = time.monotonic() - began
            row[f"node stalls {name}"] = {
                "status": status,
                "got": got,
                "s": round(took, 2),
                "holds": took < limit + 1 and got < size,
            }
        began = time.monotonic()
        with connect(address) as sock:
            sock.sendall(head("POST", "/availability-report/x?", "Content-Length: 1000000\r\n") + b"x" * 9999)
            status, _, _ = read_head(sock)
        took = time.monotonic() - began
        row["client stalls while it writes"] = {
            "status": status,
            "s": round(took, 2),
            "holds": status == 408 and took < 3,
        }
        began = time.monotonic()
        with connect(address, 4096) as sock:
            sock.sendall(head("GET", f"/availability-report/x?bytes={64 << 20}"))
            time.sleep(2.9)
            try:
                while sock.recv(65536):
                    pass
                ended = "end"
            except ConnectionError:
                ended = "reset"
        row["client stalls while it reads"] = {
            "ended": ended,
            "s": round(time.monotonic() - began, 2),
            "holds": ended == "reset",
        }
    return row


def beside_bulk(node: str, streams: int, delay: float) -> Row:
    """Small jobs with and without bulk streams."""
    with gatekeeper(node) as (_, address):

        def work() -> list[float]:
            return small(address, 150, delay)

        alone = together(4, work)
        clients = [client("down", address, 4 << 30, 0, 0) for _ in range(streams)]
        time.sleep(2)
        crowded = together(4, work)
        for one in clients:
            one.kill()
            one.wait()
    without, beside = percentiles(alone), percentiles(crowded)
    return {
        "streams": streams,
        "node_ms": 1000 * delay,
        "without_ms": without,
        "beside_ms": beside,
        "ratio_p99": round(beside[1] / without[1], 2),
        "holds": beside[1] <= 2 * without[1],
    }


def main() -> int:
    parts = ("throughput", "unlike", "slow", "stalls", "small")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--megabytes", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--only", nargs="*", choices=parts, default=parts)
    asked = parser.parse_args()
    size = asked.megabytes * 10**6
    nodes = ChildProcess("benchmarks.peers", "node")
    node = nodes.read_address()
    figures: Row = {
        "machine": {"cores": os.cpu_count(), "python": platform.python_version()},
        "megabytes": asked.megabytes,
    }
    try:
        if "throughput" in asked.only:
            figures["throughput"] = throughput(node, size, asked.rounds)
        if "unlike" in asked.only:
            figures["unlike"] = unlike(node, size)
        if "slow" in asked.only:
            figures["slow"] = slow_readers(node, 100)
        if "stalls" in asked.only:
            figures["stalls"] = stalls(node)
        if "small" in asked.only:
            figures["small"] = {
                f"node {delay * 1000:g} ms": beside_bulk(node, 20, delay) for delay in (0.0, 0.05, 0.12)
            }
    finally:
        nodes.stop()
    bad = list(table(figures, ""))
    print(json.dumps(figures))
    return 1 if bad else 0


def table(figures: Row, path: str) -> Iterator[str]:
    """Print the figures; yields what does not hold."""
    for key, value in figures.items():
        here = f"{path} {key}".strip()
        if isinstance(value, dict):
            yield from table(value, here)
        else:
            print(f"{here:55} {value}")
            if key.endswith("holds") and not value:
                yield here


if __name__ == "__main__":
    sys.exit(main())
