"""Simulated workers: send the heartbeats of many workers over shared connections, and serve no requests."""

import json
import random
import time
from typing import Final

import gevent
from attrs import evolve
from gevent import socket

from ashlift.gatekeeper.net.http_response import HttpResponse
from benchmarks.scale.host_messages import HostFigures, StartWorkers
from benchmarks.scale.sample_objects import heartbeat_body, service_name, worker_address, worker_id

REGISTRY_CONTROL_PORT: Final = 8200
HEARTBEAT_TIMEOUT_SECONDS: Final = 1.0
HEARTBEAT_RETRY_SECONDS: Final = 0.2
WARMUP_SECONDS: Final = 3.0
RECEIVE_BYTES: Final = 65536


class SimulatedWorker:
    """The reported state of one worker.

    `acknowledged_at`: monotonic time of its first acknowledged heartbeat, 0 if none.
    """

    def __init__(self, number: int, command: StartWorkers) -> None:
        self.acknowledged_at = 0.0
        self._number = number
        self._service = service_name(number % command.cluster_size.services)
        self._zone = command.zones[number % len(command.zones)]
        self._incarnation = 0
        self._sequence = 0
        self._warm_at = 0.0  # workers at the start of a run are warm

    def restart(self) -> None:
        """Crash and restart with a new id, warming up."""
        self._incarnation += 1
        self._sequence = 0
        self.acknowledged_at = 0.0
        self._warm_at = time.monotonic() + WARMUP_SECONDS

    def next_heartbeat(self) -> bytes:
        """The HTTP request of the next heartbeat."""
        self._sequence += 1
        warmup_left_ms = round(1000 * max(0.0, self._warm_at - time.monotonic()))
        address = worker_address(self._number)
        body = json.dumps(
            heartbeat_body(address, self._service, self._zone, self._sequence, warmup_left_ms)
        ).encode()
        instance_id = worker_id(self._number, self._incarnation)
        head = f"PUT /instances/{instance_id} HTTP/1.1\r\nHost: core\r\nContent-Length: {len(body)}\r\n\r\n"
        return head.encode() + body


class HeartbeatConnection:
    """Sends the heartbeats of several workers sequentially over one connection.

    After a failure it connects to the next registry.
    """

    def __init__(
        self, workers: list[SimulatedWorker], registry_ips: list[str], heartbeat_seconds: float
    ) -> None:
        self.workers = workers
        self.heartbeats = 0
        self.failed_heartbeats = 0
        self._registry_ips = registry_ips
        self._heartbeat_seconds = heartbeat_seconds
        self._socket: socket.socket | None = None
        self._registry_index = 0

    def run(self) -> None:
        """Send heartbeats forever, evenly spread over the interval."""
        interval = self._heartbeat_seconds / len(self.workers)
        due_at = time.monotonic() + interval * random.random()
        while True:
            for worker in self.workers:
                gevent.sleep(max(0.0, due_at - time.monotonic()))
                # Delays beyond one heartbeat interval are not caught up.
                due_at = max(due_at + interval, time.monotonic() - self._heartbeat_seconds)
                while not self._send_heartbeat(worker):
                    self.failed_heartbeats += 1
                    gevent.sleep(HEARTBEAT_RETRY_SECONDS)

    def _send_heartbeat(self, worker: SimulatedWorker) -> bool:
        """Send one heartbeat; returns whether it was acknowledged."""
        try:
            with gevent.Timeout(HEARTBEAT_TIMEOUT_SECONDS, OSError("no response in time")):
                connection = self._connected_socket()
                connection.sendall(worker.next_heartbeat())
                status = _receive_status(connection)
        except OSError:
            self._use_next_registry()
            return False
        self.heartbeats += 1
        if status != 200:
            return False
        worker.acknowledged_at = worker.acknowledged_at or time.monotonic()
        return True

    def _connected_socket(self) -> socket.socket:
        if self._socket is None:
            registry_ip = self._registry_ips[self._registry_index % len(self._registry_ips)]
            self._socket = socket.create_connection(
                (registry_ip, REGISTRY_CONTROL_PORT), timeout=HEARTBEAT_TIMEOUT_SECONDS
            )
            self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return self._socket

    def _use_next_registry(self) -> None:
        if self._socket is not None:
            self._socket.close()
        self._socket = None
        self._registry_index += 1


class SimulatedWorkers:
    """All simulated workers of this process."""

    def __init__(self) -> None:
        self._connections: list[HeartbeatConnection] = []
        self._restarts: gevent.Greenlet[..., None] | None = None

    def start(self, command: StartWorkers) -> None:
        """Start all workers; distribute them over connections, and the connections over registries."""
        workers = [SimulatedWorker(number, command) for number in range(command.first, command.end)]
        registry_ips = command.registry_ips
        for index in range(command.connections):
            own_workers = workers[index :: command.connections]
            first_registry = index % len(registry_ips)
            rotated_ips = registry_ips[first_registry:] + registry_ips[:first_registry]
            if own_workers:
                self._connections.append(
                    HeartbeatConnection(own_workers, rotated_ips, command.heartbeat_seconds)
                )
        for connection in self._connections:
            gevent.spawn(connection.run)

    def set_restart_rate(self, restarts_per_second: float) -> None:
        """Set the number of workers per second that crash and restart."""
        if self._restarts is not None:
            self._restarts.kill()
            self._restarts = None
        if restarts_per_second:
            self._restarts = gevent.spawn(self._restart_workers, 1 / restarts_per_second)

    def add_figures(self, figures: HostFigures) -> HostFigures:
        """Add the figures of the workers."""
        acknowledged_at = [worker.acknowledged_at for worker in self._all_workers()]
        return evolve(
            figures,
            heartbeats=sum(connection.heartbeats for connection in self._connections),
            failed_heartbeats=sum(connection.failed_heartbeats for connection in self._connections),
            acknowledged_workers=sum(at > 0 for at in acknowledged_at),
            last_acknowledged_at=max(acknowledged_at, default=0.0),
        )

    def _all_workers(self) -> list[SimulatedWorker]:
        return [worker for connection in self._connections for worker in connection.workers]

    def _restart_workers(self, interval_seconds: float) -> None:
        workers = self._all_workers()
        while True:
            gevent.sleep(interval_seconds)
            random.choice(workers).restart()


def _receive_status(connection: socket.socket) -> int:
    reply = HttpResponse()
    while not reply.done:
        data = connection.recv(RECEIVE_BYTES)
        if not data:
            raise OSError("connection closed before the response")
        reply.feed(data)
    return reply.status
