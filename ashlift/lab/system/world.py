"""A world of real processes, as `ashlift.simulation.scenario_player.ScenarioPlayer` plays scenes in it.

The programs of the checkout run as processes on loopback; workers, clients and operators are ours, in this
process. Links between machines pass through our own proxies, which hold what a cut stops. What a scene may
not ask for here: `unfit`.
"""

import contextlib
import json
import os
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import gevent
from gevent import socket

from ashlift.errors import Failure
from ashlift.lab.faults import Fault as LinkFault
from ashlift.lab.faults import Schedule, State, Way
from ashlift.lab.proxy import TcpLink
from ashlift.lab.system.clients import WireCrowd
from ashlift.lab.system.control_calls import HttpNetwork
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.lab.system.machine_layout import (
    CONTROL_PORT,
    FRONT_PORT,
    LabMachine,
    lay_out_machines,
    machine_links,
)
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.lab.system.programs import Program, stop_programs
from ashlift.lab.system.real_time_loop import RealTimeLoop
from ashlift.lab.system.yard import WireWorkerPool
from ashlift.simulation.base_world import CORE, EDGE, HEARTBEAT_SECONDS, RESTART_SECONDS, BaseWorld
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.plan import ZONES, Plan
from ashlift.simulation.process import Machine
from ashlift.simulation.scenario import Scenario
from ashlift.simulation.worker_pool import WorkerPool

KINDS = {
    "configstore": ["configstore"],
    "registry": ["registry"],
    "proxy": ["proxy"],
    "core": ["configstore", "registry"],
    "all": ["configstore", "registry", "proxy"],
}
START_S = 30.0  # for all programs to listen
SECONDS_MOST = 120.0  # of a scene
RATE_MOST = 300.0  # requests a second
ASK_S = 2.0  # for an answer of a core machine
UNKNOWN_HERE = {
    "spoil": "disks are the real machine's",
    "loss": "links lose nothing at random",
    "closing": "there is no loss of power to play",
    "clock": "the time of day is the real machine's",
    "edit": "edits of single routes are simulated only",
    "confirm": "edits of single routes are simulated only",
    "reject": "edits of single routes are simulated only",
}


def unfit(scene: Scenario) -> list[str]:
    """What of a scene cannot be played on processes, a line each."""
    found = []
    if scene.plan.until > SECONDS_MOST:
        found.append(f"until {scene.plan.until:g}: {SECONDS_MOST:g} s is the most")
    if scene.plan.rate > RATE_MOST:
        found.append(f"rate {scene.plan.rate:g}: {RATE_MOST:g} a second is the most")
    if scene.plan.loss:
        found.append(f"loss: {UNKNOWN_HERE['loss']}")
    for line in scene.events:
        if line.words[0] in UNKNOWN_HERE:
            found.append(f"{line}: {UNKNOWN_HERE[line.words[0]]}")
        elif line.words[0] in ("cut", "oneway") and {"workers", "clients"} & {*line.words}:
            found.append(f"{line}: only links between machines pass through our proxies")
    return found


class ProcessWorld(BaseWorld):
    """`begin` starts everything and returns when all listen; `stop` ends all that was started."""

    def __init__(self, plan: Plan, progress: Callable[[str], None] | None = None) -> None:
        net = 20 + os.getpid() % 200  # so that two runs do not meet
        self.places = lay_out_machines(plan, net)
        self._at = {one.name: one for one in self.places}
        self._net_number, self.progress = net, progress
        self.clock, self.calls = RealTimeLoop(plan.seed), HttpNetwork(self.places)
        core = [one.name for one in self.places if one.kind == CORE]
        edge = [one.name for one in self.places if one.kind == EDGE]
        super().__init__(plan, core, edge, cast(EventLoop, self.clock), self.calls)
        self.cuts: set[tuple[str, str]] = set()
        self.did: list[tuple[float, str, str]] = []  # s, machine, what befell it
        self.folder = Path(tempfile.mkdtemp(prefix="ashlift-system-"))
        self.schedule = Schedule([])
        self.wires: list[TcpLink] = []
        self.programs: dict[tuple[str, str], Program] = {}
        self.powered = {one.name: True for one in self.places}
        for zone in ZONES:
            machine = Machine(f"clients-{zone}", zone, ZONES[zone], 0.0, "clients")
            crowd = WireCrowd(self.loop, self.net, machine, self.history, self.core, self.load_share)
            ips = {name: self._at[name].ip for name in self.edge}
            crowd.reach(ips, self.wire_workers.sent, self._life)
            self.client_populations.append(crowd)
        self.calls.machines = {one.name: Machine(one.name, one.zone, one.region, 0.0) for one in self.places}

    # ---- begin and end
    def begin(self) -> None:
        """OSError where an address cannot be had; RuntimeError where a program does not come up."""
        for number, described in enumerate(machine_links(self.places)):
            link = TcpLink(
                described.caller,
                described.callee,
                described.target_address,
                self.schedule,
                number,
                described.listen_address,
            )
            self.wires.append(link)
        for place in self.places:
            self._write(place, True)
            kinds = KINDS["core"] if place.kind == CORE else KINDS["proxy"]
            for kind in kinds:
                log = self.folder / f"{kind}@{place.name}.log"
                program = Program(place.name, kind, self._path(place), log)
                self.programs[place.name, kind] = program
                program.start()
        self._await_all()
        self.clock.begin()
        for link in self.wires:
            link.begin(self.clock.started)
        for place in self.places:
            self._write(place, False)  # whoever starts again does not begin anew
        self.populate()

    def new_worker_pool(self) -> WorkerPool:
        self.wire_workers = WireWorkerPool(
            self.loop,
            self.net,
            self.history,
            self.core,
            HEARTBEAT_SECONDS,
            self.bounds.drain,
            self._net_number,
        )
        return self.wire_workers

    def _path(self, place: LabMachine) -> Path:
        return self.folder / f"{place.name}.toml"

    def _write(self, place: LabMachine, first: bool) -> None:
        disk = self.folder / f"disk-{place.name}"
        if place.kind == CORE:
            disk.mkdir(exist_ok=True)
        text = ClusterSettings(self.places, self.seeds, self.bounds).to_toml(place, str(disk), first)
        fresh = self._path(place).with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self._path(place))

    def _await_all(self) -> None:
        """Until every program listens."""
        until = time.monotonic() + START_S
        for (name, kind), program in self.programs.items():
            place = self._at[name]
            port = {"configstore": place.store_port, "registry": CONTROL_PORT, "proxy": FRONT_PORT}[kind]
            while True:
                try:
                    socket.create_connection((place.ip, port), timeout=1.0).close()
                    break
                except OSError:
                    if not program.is_running or time.monotonic() > until:
                        raise RuntimeError(f"{kind}@{name} does not listen: {program.log_tail()}") from None
                    gevent.sleep(0.05)

    def stop(self) -> None:
        self.clock.is_stopped = True
        self.wire_workers.stop()
        stop_programs(list(self.programs.values()))
        for link in self.wires:
            link.close()

    def clear(self) -> None:
        """Forget the folder of settings, disks and logs."""
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- what scenes ask for
    def run(self, until: float) -> None:
        while True:
            left = until - self.clock.now
            if left <= 0 or self.clock.failures:
                break
            gevent.sleep(min(0.5, left))
            if self.progress is not None:
                self.progress(self.told())
        if self.clock.failures:
            raise RuntimeError(self.clock.failures[0])
        self.history.end = self.clock.now

    def told(self) -> str:
        requests = self.history.requests
        served = sum(200 <= one.status < 300 for one in requests)
        refused = sum(one.status in (429, 503) for one in requests)
        return (
            f"{self.clock.now:5.1f} / {self.plan.until:g} s  requests {len(requests)}  served {served}  "
            f"refused {refused}"
        )

    def _life(self, name: str) -> int:
        return self.programs[name, "proxy"].incarnation

    # ---- looking, by what the registries say of themselves
    def _status(self, name: str) -> dict[str, Any]:
        head = request_head("GET", "/status", self._at[name].ip, b"")
        answer = exchange((self._at[name].ip, CONTROL_PORT), head, b"", ASK_S)
        if isinstance(answer, Failure) or answer.status != 200:
            return {}
        found = json.loads(b"".join(answer.parts))
        return found if isinstance(found, dict) else {}

    def versions(self) -> dict[str, int]:
        """The version that each running core machine says."""
        told = {name: self._status(name).get("version") or 0 for name in self.core if self.is_running(name)}
        return {
            name: int(version, 16) if isinstance(version, str) else version for name, version in told.items()
        }

    def known_workers(self) -> dict[str, dict[str, bool]]:
        return {
            name: {one["id"]: one["state"] == "ready" for one in self._status(name).get("workers", ())}
            for name in self.core
            if self.is_running(name)
        }

    def leader(self) -> str | None:
        found = [self._status(name) for name in self.core if self.is_running(name)]
        best = max(
            (one for one in found if one.get("leader")), key=lambda one: one.get("term") or 0, default=None
        )
        return self.calls.names.get(best["leader"]) if best else None

    def has_leader(self) -> bool:
        return self.leader() is not None

    # ---- what befalls machines
    def is_running(self, machine: str) -> bool:
        return self.powered[machine] and all(
            one.is_running and not one.is_frozen for (at, _), one in self.programs.items() if at == machine
        )

    def is_connected(self, one: str, other: str) -> bool:
        return (one, other) not in self.cuts and (other, one) not in self.cuts

    def _mark(self, machine: str, what: str) -> None:
        self.did.append((self.clock.now, machine, what))

    def _each(self, kind: str, names: list[str]) -> list[Program]:
        return [one for name in names for wanted in KINDS[kind] if (one := self.programs.get((name, wanted)))]

    def kill(self, kind: str, names: list[str], seconds: float = RESTART_SECONDS) -> None:
        for program in self._each(kind, names):
            if program.is_running:
                self.begin_fault(program.machine)
                program.kill()
                self._mark(program.machine, f"{program.kind} killed")
                self.clock.call_later(seconds, self._start, program)

    def _start(self, program: Program) -> None:
        if self.powered[program.machine] and not program.is_running:
            program.start()
            self._mark(program.machine, f"{program.kind} started")
            self.end_faults(program.machine)

    def terminate(self, kind: str, names: list[str]) -> None:
        for program in self._each(kind, names):
            if program.is_running:
                self.begin_fault(program.machine, termination=True)
                program.signal(signal.SIGTERM)
                self._mark(program.machine, f"{program.kind} told to end")
                self._again(program)

    def _again(self, program: Program) -> None:
        if program.is_running:
            self.clock.call_later(0.1, self._again, program)
        else:
            self.clock.call_later(RESTART_SECONDS, self._start, program)

    def freeze(self, kind: str, names: list[str], seconds: float) -> None:
        for program in self._each(kind, names):
            if program.is_running and not program.is_frozen:
                program.freeze()
                self._mark(program.machine, f"{program.kind} frozen")
                self.begin_fault(program.machine)
                self.clock.call_later(seconds, self._thaw, program, program.incarnation)

    def _thaw(self, program: Program, life: int) -> None:
        if program.incarnation == life:
            program.unfreeze()
            self._mark(program.machine, f"{program.kind} thawed")
            self.end_faults(program.machine)

    def power_off(self, names: list[str], seconds: float | None = None, wipe: bool = False) -> None:
        for name in names:
            self.begin_fault(name)
            self.powered[name] = False
            for program in self._each("all", [name]):
                program.kill()
            self._mark(name, "disk lost" if wipe else "power lost")
            if wipe:
                shutil.rmtree(self.folder / f"disk-{name}", ignore_errors=True)
                self._write(self._at[name], False)
            if seconds is not None:
                self.clock.call_later(seconds, self.power_on, [name])

    def power_on(self, names: list[str]) -> None:
        for name in names:
            self.powered[name] = True
            for program in self._each("all", [name]):
                self._start(program)

    def block_links(self, ones: list[str], others: list[str], both: bool = True) -> None:
        pairs = [
            (a, b)
            for one in ones
            for other in others
            if one != other
            for a, b in [(one, other), *([(other, one)] if both else [])]
        ]
        self.cuts.update(pairs)
        self._links({*ones, *others}, "cut")

    def unblock_links(self, ones: list[str] | None = None, others: list[str] | None = None) -> None:
        pairs = {(a, b) for a in ones or () for b in others or ()}
        gone = [one for one in sorted(self.cuts) if ones is None or one in pairs or one[::-1] in pairs]
        self.cuts.difference_update(gone)
        self._links({name for pair in gone for name in pair}, "joined")

    def _links(self, names: set[str], what: str) -> None:
        ways = frozenset(Way(one, other) for one, other in self.cuts)
        self.schedule.faults[:] = [LinkFault(ways, 0.0, float("inf"), State("hold"))] if ways else []
        for name in sorted(names):
            self._mark(name, what)
        self.links_changed(names, {name for pair in self.cuts for name in pair})

    def apply_seeds(self) -> None:
        """Tell all programs the seeds as they are now."""
        for place in self.places:
            self._write(place, False)
            for program in self._each("all", [place.name]):
                with contextlib.suppress(OSError):
                    program.signal(signal.SIGHUP)
