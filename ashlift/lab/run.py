"""Executes a lab run: gatekeeper processes, stand-ins, fault-injecting proxies, load, and the history.

Every process that a run starts is ended by its process id, also when the run is interrupted.
`ashlift.lab.scenario` limits the size of a run.

Each gatekeeper has its own link to every endpoint that it calls, so that a fault can separate any pair:
`gK>counter` to the counter, `gK>nJ` to each node, and `gK>list` to its own machine list, which contains the
addresses of its links to the nodes.
"""

import signal
import tempfile
from pathlib import Path
from typing import Any, TextIO

import gevent

from ashlift.lab.gatekeeper_process import GatekeeperProcess
from ashlift.lab.gatekeeper_settings import gatekeeper_settings
from ashlift.lab.history_writer import HistoryWriter
from ashlift.lab.link_faults import FaultSchedule
from ashlift.lab.load_driver import LoadDriver, Progress
from ashlift.lab.scenario import ProcessActionKind, Scenario
from ashlift.lab.stand_ins import Address, CounterServer, ExecuteNode, MachineListServer
from ashlift.lab.tcp_fault_proxy import TcpFaultProxy


class Run:
    """Runs one scenario and writes its history as JSON lines to `stream`."""

    def __init__(self, scenario: Scenario, stream: TextIO, on_progress: Progress | None = None) -> None:
        self.directory = Path(tempfile.mkdtemp(prefix="ashlift-lab-"))
        self._scenario = scenario
        self._writer = HistoryWriter(stream)
        self._on_progress = on_progress
        self._schedule = FaultSchedule(scenario.all_faults())
        self._gatekeepers: list[GatekeeperProcess] = []
        self._links: list[TcpFaultProxy] = []
        self._machine_lists: list[MachineListServer] = []

    def play(self) -> None:
        """Run the scenario to its end. Raises LabError if a gatekeeper does not start."""
        nodes = [ExecuteNode(self._scenario.work_ms) for _ in range(self._scenario.nodes)]
        counter = CounterServer()
        self._writer.plan(self._scenario)
        try:
            for number in range(self._scenario.gatekeepers):
                self._start_gatekeeper(number, nodes, counter)
            for gatekeeper in self._gatekeepers:
                gatekeeper.wait_until_listening()
            self._begin()
            self._play_load()
            for link in self._links:
                self._writer.proxy_counts(link.counts)
        finally:
            self._stop_gatekeepers()
            for link in self._links:
                link.close()
            for server in [counter, *self._machine_lists, *nodes]:
                server.stop()

    def _start_gatekeeper(self, number: int, nodes: list[ExecuteNode], counter: CounterServer) -> None:
        node_links = {
            f"n{index}": self._open_link(number, f"n{index}", node.address)
            for index, node in enumerate(nodes)
        }
        machine_list = MachineListServer(node_links)
        self._machine_lists.append(machine_list)
        machine_list_link = self._open_link(number, "list", machine_list.address)
        counter_link = self._open_link(number, "counter", counter.address)
        gatekeeper = GatekeeperProcess(f"g{number}", self.directory)
        settings = gatekeeper_settings(self._scenario, number)
        gatekeeper.configure(self._scenario.seed * 100 + number, machine_list_link, counter_link, settings)
        gatekeeper.start()
        self._gatekeepers.append(gatekeeper)

    def _open_link(self, gatekeeper: int, callee: str, target: Address) -> Address:
        """Open a link and return the address at which the gatekeeper reaches the callee."""
        seed = self._scenario.seed * 1000 + len(self._links)
        link = TcpFaultProxy(f"g{gatekeeper}", callee, target, self._schedule, seed)
        self._links.append(link)
        return link.address

    def _begin(self) -> None:
        self._writer.begin()
        for link in self._links:
            link.begin(self._writer.began)
        for fault in self._schedule.faults:
            self._writer.fault(fault)

    def _play_load(self) -> None:
        actions = {
            ProcessActionKind.KILL: self._kill,
            ProcessActionKind.TERMINATE: self._terminate,
            ProcessActionKind.RESTART: self._restart,
            ProcessActionKind.PAUSE: self._pause,
        }
        greenlets: list[gevent.Greenlet[Any, Any]] = []
        for action in self._scenario.process_actions():
            gatekeeper = self._gatekeepers[action.gatekeeper]
            greenlets.append(gevent.spawn_later(action.second, actions[action.kind], gatekeeper))
        for number, _, end in self._scenario.pauses:
            greenlets.append(gevent.spawn_later(end, self._resume, self._gatekeepers[number]))
        LoadDriver(self._scenario, self._gatekeepers, self._writer, self._on_progress).run()
        gevent.killall(greenlets)

    def _kill(self, gatekeeper: GatekeeperProcess) -> None:
        gatekeeper.kill()
        self._writer.killed(gatekeeper.name)

    def _restart(self, gatekeeper: GatekeeperProcess) -> None:
        if gatekeeper.is_running:
            return
        listen_count = gatekeeper.listen_count()
        gatekeeper.start()
        gatekeeper.wait_until_listening(listen_count)
        self._writer.process_event(gatekeeper.name, "restarted")

    def _terminate(self, gatekeeper: GatekeeperProcess) -> None:
        gatekeeper.signal(signal.SIGTERM)
        self._writer.process_event(gatekeeper.name, "terminated")

    def _pause(self, gatekeeper: GatekeeperProcess) -> None:
        gatekeeper.signal(signal.SIGSTOP)
        self._writer.process_event(gatekeeper.name, "paused")

    def _resume(self, gatekeeper: GatekeeperProcess) -> None:
        gatekeeper.signal(signal.SIGCONT)
        self._writer.process_event(gatekeeper.name, "resumed")

    def _stop_gatekeepers(self) -> None:
        for gatekeeper in self._gatekeepers:
            gatekeeper.terminate()
        for gatekeeper in self._gatekeepers:
            gatekeeper.wait_or_kill()
