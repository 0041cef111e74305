"""Core machines, real gatekeepers and processes of hollow ones: started, spoken to and ended by their ids."""

import contextlib
import json
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs
import gevent
from gevent import socket, subprocess

from ashlift.config.settings import Bounds
from ashlift.errors import Failure
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.lab.system.machine_layout import CONTROL_PORT, FRONT_PORT, LabMachine
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.lab.system.programs import CHECKOUT, Program, stop_programs
from benchmarks.scale.sample_objects import build_configuration, build_route_change
from benchmarks.scale.sizes import TARGET_SIZE, ClusterSize, regions_by_zone

LOW = 7600
BEATS_MOST = 2000.0  # a second, of all hollow workers: with more, their heartbeat is stretched
HEARTBEAT_S = 1.5
WORKERS_LINE = 50  # workers that share a connection for their beats
START_S, ORDER_S = 30.0, 15.0
Json = dict[str, Any]
Tell = Callable[[str], None]


@attrs.frozen
class Options:
    """`window`: s of each measurement, `settle`: before it; `core`: machines; `rates`: x those in proportion.

    `most`: tenants that are tried next where those in proportion are refused; `word`: objects of each kind
    in the configuration, at most; `workers`: at most; `a_second`: gatekeepers that start a second, 0: all at
    once; `hosts`: processes of hollow gatekeepers.
    """

    window: float = 4.0
    settle: float = 2.0
    core: int = 3
    real: int = 2
    hosts: int = 2
    rates: tuple[float, ...] = (0.0, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0)
    word: int | None = None
    workers: int | None = None
    a_second: float = 0.0
    most: int = 6000
    churn: float = 5.0
    losses: bool = True
    target: ClusterSize = TARGET_SIZE


class Hollow:
    """A process of hollow ones, spoken to by lines of JSON."""

    def __init__(self, log: Path) -> None:
        with open(log, "ab") as errors:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "benchmarks.scale.hollow"],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=errors,
                cwd=CHECKOUT,
                start_new_session=True,
            )

    def ask(self, **orders: Any) -> Json:
        into, out = self.process.stdin, self.process.stdout
        assert into is not None and out is not None
        into.write(json.dumps(orders).encode() + b"\n")
        into.flush()
        line = out.readline()
        if not line:
            raise RuntimeError("a process of hollow ones has ended")
        found: Json = json.loads(line)
        return found

    def stop(self) -> None:
        if self.process.stdin is not None:
            with contextlib.suppress(OSError):
                self.process.stdin.close()
        try:
            self.process.wait(timeout=2.0)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


class Site:
    """Core machines, real gatekeepers, and what holds the hollow ones."""

    def __init__(self, size: ClusterSize, options: Options, tell: Tell) -> None:
        self.size, self.options, self.tell = size, options, tell
        self.net = 20 + os.getpid() % 200
        self.folder = Path(tempfile.mkdtemp(prefix="ashlift-scale-"))
        self.zones = regions_by_zone(options.core)  # a core machine in each region, so that all get alike
        self.heartbeat = max(HEARTBEAT_S, size.workers / BEATS_MOST)
        self.places = [self._place("core", 1, number) for number in range(options.core)]
        self.places += [self._place("edge", 2, number) for number in range(options.real)]
        self.core = [one for one in self.places if one.kind == "core"]
        self.programs: dict[tuple[str, str], Program] = {}
        self.hosts: list[Hollow] = []
        self.workers: Hollow | None = None
        self.version = 0

    def _place(self, kind: str, role: int, number: int) -> LabMachine:
        names = list(self.zones)
        zone = names[number % len(names)]
        ip = f"127.{self.net}.{role}.{number + 1}"
        return LabMachine(f"{kind}-{number + 1}", kind, ip, zone, self.zones[zone], LOW)

    # ---- begin and end
    def write(self, first: bool) -> None:
        seeds = [one.name for one in self.core[:3]]
        settings = ClusterSettings(self.places, seeds, Bounds(), self.zones, self.heartbeat)
        for place in self.places:
            disk = self.folder / f"disk-{place.name}"
            disk.mkdir(exist_ok=True)
            text = settings.to_toml(place, str(disk), first)
            fresh = self.folder / f"{place.name}.new"
            fresh.write_text(text)
            fresh.replace(self.folder / f"{place.name}.toml")

    def start(self, kind: str) -> None:
        """All programs of a kind; returns when they listen."""
        for place in self.places:
            if (place.kind == "core") != (kind != "proxy"):
                continue
            settings, log = self.folder / f"{place.name}.toml", self.folder / f"{kind}@{place.name}.log"
            program = self.programs[place.name, kind] = Program(place.name, kind, settings, log)
            program.start()
        for (name, one), program in self.programs.items():
            if one == kind:
                place = next(place for place in self.places if place.name == name)
                self._listens(place, kind, program)

    def _listens(self, place: LabMachine, kind: str, program: Program) -> None:
        port = {"configstore": LOW, "registry": CONTROL_PORT, "proxy": FRONT_PORT}[kind]
        until = time.monotonic() + START_S
        while True:
            try:
                socket.create_connection((place.ip, port), timeout=1.0).close()
                return
            except OSError:
                if not program.is_running or time.monotonic() > until:
                    raise RuntimeError(f"{kind}@{place.name} does not listen: {program.log_tail()}") from None
                gevent.sleep(0.05)

    def stop(self) -> None:
        for host in [*self.hosts, *([self.workers] if self.workers else [])]:
            host.stop()
        stop_programs(list(self.programs.values()))
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- calls
    def call(self, verb: str, path: str, body: Any, within: float, match: str = "") -> tuple[int, Json]:
        """Of the first core machine that answers with something clear: status and body; 0: none did."""
        data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
        until, status, found = time.monotonic() + within, 0, b""
        for place in [one for _ in range(20) for one in self.core]:
            left = until - time.monotonic()
            if left <= 0:
                break
            headers = {"If_Match": match} if match else {}
            answer = exchange(
                (place.ip, CONTROL_PORT), request_head(verb, path, place.ip, data, **headers), data, left
            )
            if isinstance(answer, Failure):
                status, found = 0, answer.detail.encode()
            else:
                status, found = answer.status, b"".join(answer.parts)
            if status not in (0, 503):
                break
            gevent.sleep(0.1)
        try:
            return status, json.loads(found)
        except ValueError:
            return status, {"error": found[:200].decode(errors="replace")}

    def put(self, size: ClusterSize) -> Json:
        """A whole configuration; how it went."""
        began = time.monotonic()
        body = build_configuration(size, self.version + 1)
        made = time.monotonic()
        status, answer = self.call("PUT", "/config", body, ORDER_S, f"{self.version:08x}")
        took = time.monotonic() - made
        self.version += status == 200
        del began
        return {
            "tenants": size.tenants,
            "routes": size.routes,
            "status": status,
            "s": round(took, 3),
            "why": str(answer.get("error", ""))[:160],
        }

    def patch(self) -> Json:
        began = time.monotonic()
        status, answer = self.call(
            "PATCH",
            "/config",
            build_route_change(self.size, self.version + 1),
            ORDER_S,
            f"{self.version:08x}",
        )
        self.version += status == 200
        return {
            "began": began,
            "status": status,
            "s": round(time.monotonic() - began, 3),
            "why": str(answer.get("error", ""))[:160],
        }

    def index(self) -> int:
        _, found = self.call("GET", "/status", None, 5.0)
        return int(found.get("index", 0))

    # ---- hollow ones
    def hollow(self, tenants: int) -> None:
        """All hollow gatekeepers and workers start at once; requests are those of so many tenants."""
        count, hosts = self.size.proxies - self.options.real, self.options.hosts
        if self.size.workers:
            self.workers = Hollow(self.folder / "workers.log")
        self.hosts = [
            Hollow(self.folder / f"hollow-{number}.log") for number in range(hosts if count > 0 else 0)
        ]
        if self.workers is not None:
            self.workers.ask(
                do="workers",
                numbers=[0, self.size.workers],
                size=self.size.to_json(),
                zones=self.zones,
                boards=[one.ip for one in self.core],
                heartbeat=self.heartbeat,
                lines=max(self.options.core, self.size.workers // WORKERS_LINE),
            )
        for number, host in enumerate(self.hosts):
            numbers = [count * number // hosts, count * (number + 1) // hosts]
            host.ask(
                do="gatekeepers",
                numbers=numbers,
                zones=self.zones,
                low=LOW,
                tenants=tenants,
                a_second=self.options.a_second / hosts,
                seeds=[one.ip for one in self.core[:3]],
            )

    def figures(self) -> Json:
        """Of all hollow ones together."""
        found = [host.ask(do="figures") for host in self.hosts]
        made: Json = {
            key: sum(one[key] for one in found) for key in ("pulls", "missed", "waited", "seen", "ready")
        }
        made |= {key: max((one[key] for one in found), default=0.0) for key in ("longest", "age")}
        made["took"] = sorted(took for one in found for took in one["took"])
        if self.workers is not None:
            told = self.workers.ask(do="figures")
            made |= {
                key: told[key]
                for key in ("beats", "beats_missed", "beats_out", "beats_in", "acked", "acked_at")
            }
        return made

    def pids(self) -> dict[int, str]:
        found = {program.pid: kind for (_, kind), program in self.programs.items() if program.pid is not None}
        found |= {host.process.pid: "hollow" for host in self.hosts}
        if self.workers is not None:
            found[self.workers.process.pid] = "workers"
        return found

    def ready(self) -> int:
        """How many gatekeepers the registries call ready."""
        _, found = self.call("GET", "/status", None, 5.0)
        return sum(bool(one["ready"]) for one in found.get("gatekeepers", ()))

    def leader(self) -> str:
        """IP of the store that leads."""
        return str(self.call("GET", "/status", None, 5.0)[1].get("leader") or "")
