"""Servers of simulated workers, each on its own loopback address."""

from typing import Any, Final, cast

import gevent
from gevent.server import StreamServer

from ashlift.lab.system.machine_layout import WORKER_PORT
from ashlift.lab.system.worker_connections import ServedRequest, WorkerConnection
from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import Arrival, History, Request
from ashlift.simulation.process import Network
from ashlift.simulation.worker import Worker
from ashlift.simulation.worker_attempts import WorkerAttempt
from ashlift.simulation.worker_pool import WorkerPool

FIRST_WORKER_ROLE: Final = 10  # third octet of the first addresses
ADDRESSES_PER_ROLE: Final = 250


class WorkerServers(WorkerPool):
    """All workers with their sockets; `sent_requests`: requests of all clients by attempt id."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        history: History,
        registries: list[str],
        heartbeat_interval: float,
        drain_seconds: float,
        network_number: int,
    ) -> None:
        """`network_number`: second octet of all addresses."""
        super().__init__(loop, net, history, registries, heartbeat_interval, drain_seconds)
        self.sent_requests: dict[str, Request] = {}
        self._network_number = network_number
        self._connections: dict[str, set[WorkerConnection]] = {}  # by worker
        self._servers: dict[str, StreamServer] = {}

    def allocate_address(self) -> str:
        """Return an address that no worker has used."""
        self.address_count += 1
        role, number = divmod(self.address_count, ADDRESSES_PER_ROLE)
        return f"127.{self._network_number}.{FIRST_WORKER_ROLE + role}.{number + 1}:{WORKER_PORT}"

    def add(
        self,
        service: str,
        zone: str,
        region: str,
        capacity: int,
        latency: float,
        warmup_seconds: float,
        address: str | None = None,
    ) -> Worker:
        """Start a worker and listen at its address. Raises OSError if that cannot be bound."""
        worker = super().add(service, zone, region, capacity, latency, warmup_seconds, address)
        connections: set[WorkerConnection] = set()
        self._connections[worker.id] = connections

        def serve(sock: Any, _address: Any) -> None:
            connection = WorkerConnection(self, worker, sock)
            connections.add(connection)
            connection.run()

        host, _, port = worker.address.rpartition(":")
        server = StreamServer((host, int(port)), serve)
        self._servers[worker.id] = server
        server.start()
        return worker

    def remove_connection(self, worker: Worker, connection: WorkerConnection) -> None:
        """Remove a closed connection."""
        self._connections.get(worker.id, set()).discard(connection)

    def release_address(self, worker: Worker) -> None:
        """Close the server and the connections of a worker that has ended."""
        super().release_address(worker)
        server = self._servers.pop(worker.id, None)
        if server is not None:
            server.close()
        for connection in list(self._connections.pop(worker.id, ())):
            connection.close()

    def record_arrival(
        self, worker: Worker, attempt: WorkerAttempt, ran: bool, rejection_status: int = 0
    ) -> None:
        """Record in the history that a request has arrived at a worker."""
        served = cast(ServedRequest, attempt)
        request = served.request
        arrival = Arrival(
            self.loop.now, worker.id, worker.service, served.tenant, request.proxy, ran, rejection_status
        )
        served.arrival = arrival
        request.arrivals.append(arrival)

    def send_response(
        self,
        worker: Worker,  # noqa: ARG002  (part of the interface)
        attempt: WorkerAttempt,
        outcome: AttemptOutcome,
    ) -> None:
        """Write the answer of a worker, or close the connection if the outcome is a lost connection."""
        served = cast(ServedRequest, attempt)
        if outcome.result is AttemptResult.CONNECTION_LOST or outcome.response is None:
            gevent.spawn(served.connection.close)
        else:
            ran = outcome.result is AttemptResult.RESPONSE
            served.connection.answer(served, outcome.response.status, ran)

    def stop(self) -> None:
        """Close the servers and connections of all workers."""
        for worker in list(self.workers.values()):
            self.release_address(worker)
