"""A lab run: several real gatekeeper processes, our stand-ins, a proxy on every link, Poisson or ramped load,
faults by time, and the history that the checker reads.

Every process that a run starts is known by its id and ended by it (SIGTERM, then SIGKILL after `STOP_S`),
also when the run is interrupted. Every loop is bounded: at most `JOBS_MOST` jobs and `SECONDS_MOST` seconds
(`scenario.py`).

Each gatekeeper has links of its own to every end it talks to, so that a fault can split any pair:
`gK>counter` to the counter, `gK>list` to a machine list that names its own links to the nodes, `gK>nJ` to
each node.
"""

import contextlib
import json
import os
import random
import re
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import gevent
from gevent import socket, subprocess

from ashlift.lab.faults import Schedule
from ashlift.lab.proxy import TcpLink
from ashlift.lab.scenario import Scenario
from ashlift.lab.standins import Counter, MachineList, Node

START_S = 20.0  # for a gatekeeper to say where it listens
STOP_S = 3.0
ROOT = Path(__file__).resolve().parents[2]  # the checkout: the gatekeepers run its code
ANSWER_S = 5.0  # a job's patience is 2 s; what is not answered in this long is not answered


class LabError(RuntimeError):
    """A run that could not be made: the text names the part."""


def facts(scenario: Scenario, me: int) -> dict[str, Any]:
    """The platform's settings of one gatekeeper of the run."""
    return {
        "Categories": [
            {
                "Name": "availability-check",
                "Effect": "pure",
                "GiveUpMs": 2000.0,
                "TargetMs": 600.0,
                "LateShare": 0.0,
                "Value": 3.0,
            }
        ],
        "Discovery": "automatic",
        "FamilyInfo": {
            "MayCount": True,
            "CountFee": 0.02,
            "CounterTimeoutMs": 30,
            "MaxUnits": 1,
            "MeterMs": 0,
        },
        "GroupSize": scenario.gatekeepers,
        "Me": me,
        "TickMs": 4.0,
        "Zone": 1,
        "Unheard": {"of": 1},
        "Zones": ["memphis-dc"],
        "Limits": {
            "Cancel": True,
            "MaxRetryAfterMs": 2000.0,
            "Probing": True,
            "RetryAfter": True,
            "TryLimit": 3,
        },
        "Plans": [
            {
                "Name": "basic",
                "CeilingRate": 0.0,
                "CeilingSlack": 0.0,
                "HardBurst": 0.0,
                "MaxOut": 0,
                "MostAtOnce": scenario.burst,
                "OverWorth": 0.0,
                "OverrunCost": 1.0,
                "Pays": 0.8,
                "QuotaRate": scenario.quota,
            }
        ],
        "Report": {"Fields": [], "Via": "none"},
        "Rules": {"ColdFrom": 0.18, "ColdMs": 17000.0, "FallMultiple": 2.0, "TipAfterMs": 3000.0},
    }


@dataclass
class Gatekeeper:
    name: str
    process: "subprocess.Popen[bytes]"
    log: Path
    front: tuple[str, int] = ("127.0.0.1", 0)


@dataclass
class Run:
    """Starts, drives and ends one scenario; `history` is written as JSON lines to `out`."""

    scenario: Scenario
    out: TextIO
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="ashlift-lab-")))
    gatekeepers: list[Gatekeeper] = field(default_factory=list)
    began: float = 0.0
    progress: Callable[[float, int, int], None] | None = None  # (s, jobs sent, jobs done), about each second

    def record(self, row: dict[str, Any]) -> None:
        if "t" in row:
            row["t"] = round(row["t"], 3)
        self.out.write(json.dumps(row) + "\n")

    def now_ms(self) -> float:
        return (time.monotonic() - self.began) * 1000

    def play(self) -> None:
        sc = self.scenario
        nodes = [Node(sc.work_ms) for _ in range(sc.nodes)]
        counter = Counter()
        schedule = Schedule(sc.all_faults())
        links: list[TcpLink] = []
        listings: list[MachineList] = []

        def link(g: int, far: str, target: tuple[str, int]) -> TcpLink:
            links.append(TcpLink(f"g{g}", far, target, schedule, sc.seed * 1000 + len(links)))
            return links[-1]

        self.record({"kind": "plan", "name": "basic", "rate": sc.quota, "burst": sc.burst})
        try:
            for g in range(sc.gatekeepers):
                to_nodes = {f"n{n}": link(g, f"n{n}", node.address).address for n, node in enumerate(nodes)}
                listings.append(MachineList(to_nodes))
                listing = link(g, "list", listings[-1].address)
                self.gatekeepers.append(
                    self._start(g, link(g, "counter", counter.address).address, listing.address)
                )
            for keeper in self.gatekeepers:
                keeper.front = self._listening(keeper)
            self.began = time.monotonic()
            for each in links:
                each.begin(self.began)
            for fault in schedule.faults:
                ways = sorted(map(str, fault.ways))
                self.record(
                    {
                        "kind": "fault",
                        "t": fault.begin,
                        "until": fault.end,
                        "what": fault.state.kind,
                        "ways": ways,
                    }
                )
            doing = {"kill": self._kill, "term": self._term, "restart": self._restart, "pause": self._pause}
            acts = [gevent.spawn_later(s, doing[what], g) for s, what, g in sc.acts()]
            acts += [gevent.spawn_later(end, self._resume, g) for g, _, end in sc.pauses]
            self._load()
            gevent.killall(acts)
            for each in links:
                for key, count in sorted(each.counts.items()):
                    way, what = key.split(" ", 1)
                    self.record({"kind": "seen", "way": way, "what": what, "count": count})
        finally:
            self.stop()
            for each in links:
                each.close()
            counter.stop()
            for machines in listings:
                machines.stop()
            for node in nodes:
                node.stop()

    def _start(self, g: int, counter: tuple[str, int], listing: tuple[str, int]) -> Gatekeeper:
        name = f"g{g}"
        config = {
            "name": name,
            "listen": f"127.0.0.1:{_free_port()}",
            "discovery": "{}:{}".format(*listing),
            "counter": "{}:{}".format(*counter),
            "seed": str(self.scenario.seed * 100 + g),
            "limits": {"sockets": 256},
            "settings": facts(self.scenario, g),
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        log = self.folder / f"{name}.log"
        return Gatekeeper(name, self._spawn(path, log), log)

    def _spawn(self, path: Path, log: Path) -> "subprocess.Popen[bytes]":
        env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(self.folder)}
        with open(log, "ab") as err:
            return subprocess.Popen(
                [sys.executable, "-m", "ashlift.gatekeeper"], env=env, stdout=err, stderr=err, cwd=ROOT
            )

    def _listening(self, keeper: Gatekeeper, before: int = 0) -> tuple[str, int]:
        """Where it listens, once its log says so for the `before + 1`th time."""
        deadline = time.monotonic() + START_S
        while time.monotonic() < deadline:
            text = keeper.log.read_text(errors="replace")
            found = re.findall(rf"{keeper.name} listens on ([\d.]+):(\d+)", text)
            if len(found) > before:
                return found[-1][0], int(found[-1][1])
            if keeper.process.poll() is not None:
                raise LabError(f"{keeper.name}: ended with {keeper.process.returncode}; see {keeper.log}")
            gevent.sleep(0.05)
        raise LabError(f"{keeper.name}: did not listen within {START_S:g} s; see {keeper.log}")

    def _kill(self, g: int) -> None:
        keeper = self.gatekeepers[g]
        with contextlib.suppress(OSError):
            keeper.process.send_signal(signal.SIGKILL)
        keeper.process.wait()  # the kill is when the process is gone: until then its kernel still accepts
        self.record({"kind": "killed", "t": self.now_ms(), "gatekeeper": keeper.name})

    def _restart(self, g: int) -> None:
        keeper = self.gatekeepers[g]
        if keeper.process.poll() is None:
            return  # still there: nothing to start anew
        before = keeper.log.read_text(errors="replace").count(" listens on ")
        keeper.process = self._spawn(self.folder / f"{keeper.name}.json", keeper.log)
        keeper.front = self._listening(keeper, before)
        self.record({"kind": "process", "t": self.now_ms(), "gatekeeper": keeper.name, "what": "restarted"})

    def _term(self, g: int) -> None:
        self._signal(g, signal.SIGTERM, "terminated")

    def _pause(self, g: int) -> None:
        self._signal(g, signal.SIGSTOP, "paused")

    def _resume(self, g: int) -> None:
        self._signal(g, signal.SIGCONT, "resumed")

    def _signal(self, g: int, sign: signal.Signals, what: str) -> None:
        keeper = self.gatekeepers[g]
        with contextlib.suppress(OSError):
            keeper.process.send_signal(sign)
        self.record({"kind": "process", "t": self.now_ms(), "gatekeeper": keeper.name, "what": what})

    def _load(self) -> None:
        sc = self.scenario
        chance = random.Random(sc.seed)
        arrivals = sorted((t, f) for f in range(sc.firms) for t in _arrivals(chance, sc))
        jobs: list[gevent.Greenlet[Any, Any]] = []
        told = 0
        for number, (t, firm) in enumerate(arrivals):
            gevent.sleep(max(0.0, t - self.now_ms() / 1000))
            if self.progress is not None and int(t) > told:
                told = int(t)
                self.progress(t, number, sum(job.dead for job in jobs))
            keeper = self.gatekeepers[chance.randrange(len(self.gatekeepers))]
            jobs.append(gevent.spawn(self._job, f"j{number}", f"{firm + 1:016x}", keeper))
        gevent.joinall(jobs, timeout=ANSWER_S + 1)
        gevent.killall(jobs)

    def _job(self, job: str, firm: str, keeper: Gatekeeper) -> None:
        head = (
            f"GET /availability-check/memphis?day=7 HTTP/1.1\r\nHost: lab\r\nX-Trace-Id: {job}\r\n"
            f"X-Qos: availability-check\r\nApi-Plan: basic\r\nApi-Customer: {firm}\r\n"
            f"X-Expires-In: 2.000\r\n"
            f"Api-Terms: units=1,spread={len(self.gatekeepers)},first=0\r\n\r\n"
        ).encode()
        try:
            with socket.create_connection(keeper.front, timeout=ANSWER_S) as sock:
                sock.sendall(head)
                self.record(
                    {
                        "kind": "asked",
                        "t": self.now_ms(),
                        "job": job,
                        "firm": firm,
                        "plan": "basic",
                        "units": 1,
                        "gatekeeper": keeper.name,
                    }
                )
                answer = _read_head(sock)
        except OSError:
            return  # refused before it was asked, or left without an answer: the checker sees which
        if answer is not None:
            status, after = answer
            self.record(
                {"kind": "answered", "t": self.now_ms(), "job": job, "status": status, "retry_after": after}
            )

    def stop(self) -> None:
        """End every process this run started, by its id; a paused one is woken to hear SIGTERM."""
        for keeper in self.gatekeepers:
            if keeper.process.poll() is None:
                with contextlib.suppress(OSError):
                    keeper.process.send_signal(signal.SIGCONT)
                with contextlib.suppress(OSError):
                    keeper.process.send_signal(signal.SIGTERM)
        for keeper in self.gatekeepers:
            try:
                keeper.process.wait(timeout=STOP_S)
            except subprocess.TimeoutExpired:
                keeper.process.kill()
                keeper.process.wait()


def _free_port() -> int:
    """A port that nothing holds now; the gatekeeper binds it a moment later (it takes no port 0)."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


def _arrivals(chance: random.Random, sc: Scenario) -> list[float]:
    """Seconds of one firm's jobs: Poisson at `rate_at`, by thinning a Poisson stream at the highest rate
    (Lewis and Shedler, 1979)."""
    most = max(sc.rate, sc.ramp_to or 0.0)
    times: list[float] = []
    t = chance.expovariate(most) if most > 0 else sc.seconds
    while t < sc.seconds:
        if chance.random() * most < sc.rate_at(t):
            times.append(t)
        t += chance.expovariate(most)
    return times


def _read_head(sock: socket.socket) -> tuple[int, float | None] | None:
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return None
        data += more
    lines = data.split(b"\r\n\r\n", 1)[0].decode("latin-1").split("\r\n")
    status = int(lines[0].split()[1])
    advice = [line.split(":", 1)[1] for line in lines[1:] if line.lower().startswith("retry-after:")]
    after = next((float(value) for value in advice), None)
    return status, after


def commit() -> str:
    """The checkout's commit, short, with `+` where it has changes; `unknown` outside git."""
    try:
        found = subprocess.run(
            ["git", "describe", "--always", "--dirty=+"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=5,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return "unknown"
    return found.stdout.strip() or "unknown"
