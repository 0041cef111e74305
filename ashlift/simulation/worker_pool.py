"""All workers of a world, and the transport of attempts and responses between proxies and workers."""

from typing import Final

from ashlift.proxy.attempts import AttemptOutcome, AttemptResult
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import Arrival, History, WorkerRecord
from ashlift.simulation.network import as_simulated
from ashlift.simulation.process import Machine, Network
from ashlift.simulation.worker import Worker, worker_response
from ashlift.simulation.worker_attempts import WorkerAttempt

WORKER_PORT: Final = 8080
RECONNECT_TIMEOUT_SECONDS: Final = 0.25  # connect timeout after an idle connection turned out to be closed
MIN_REMAINING_SECONDS: Final = 0.001
RESET_DELAY_SECONDS: Final = 0.001  # from an address without a worker
MISDIRECTED_STATUS: Final = 421


class WorkerPool:
    """Workers by id and by address. Implements `WorkerTransport` for proxies."""

    def __init__(
        self,
        loop: EventLoop,
        net: Network,
        history: History,
        registries: list[str],
        heartbeat_interval: float,
        drain_seconds: float,
    ) -> None:
        self.loop = loop
        self.net = net
        self.history = history
        self.registries = registries
        self.heartbeat_interval = heartbeat_interval
        self.drain_seconds = drain_seconds
        self.workers: dict[str, Worker] = {}
        self._by_address: dict[str, Worker] = {}
        self._worker_counts: dict[str, int] = {}  # by service
        self.address_count = 0

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
        """Start a worker at the given address, or at a new one."""
        number = self._worker_counts.get(service, 0) + 1
        self._worker_counts[service] = number
        machine = Machine(f"{service}-{number}", zone, region, 0.0, "workers")
        self.net.machines[machine.name] = machine
        address = address or self.allocate_address()
        record = WorkerRecord(machine.name, service, zone, region, address, self.loop.now)
        worker = Worker(self.loop, self.net, machine, self, record, capacity, latency)
        if warmup_seconds:
            worker.warm_up(warmup_seconds)
        self.history.workers[worker.id] = record
        self.workers[worker.id] = worker
        self._by_address[address] = worker
        worker.start()
        return worker

    def allocate_address(self) -> str:
        """Return an address that no worker has had."""
        self.address_count += 1
        return f"10.128.0.{self.address_count}:{WORKER_PORT}"

    def release_address(self, worker: Worker) -> None:
        """Free the address of a worker that has ended, unless another worker has taken it over."""
        if self._by_address.get(worker.address) is worker:
            del self._by_address[worker.address]

    def record_arrival(
        self, worker: Worker, attempt: WorkerAttempt, ran: bool, rejection_status: int = 0
    ) -> None:
        """Record in the history that a request has reached a worker."""
        proxy_request = attempt.proxy_request
        tenant = proxy_request.admitted.tenant if proxy_request.admitted else None
        arrival = Arrival(
            self.loop.now,
            worker.id,
            worker.service,
            tenant.name if tenant else "",
            proxy_request.proxy.name,
            ran,
            rejection_status,
        )
        proxy_request.request.arrivals.append(arrival)

    def send_response(self, worker: Worker, attempt: WorkerAttempt, outcome: AttemptOutcome) -> None:
        """Send a worker's response, or the reset of its connection, to the proxy."""
        proxy = attempt.proxy_request.proxy
        net = as_simulated(self.net)
        status = outcome.response.status if outcome.response else 0
        net.observer.worker_responded(worker, proxy, attempt.proxy_request.request.id, status)
        if attempt.is_closed or not net.is_connected(proxy.machine.link_name, worker.machine.link_name):
            return
        started = attempt.started

        def arrive() -> None:
            measured = outcome._replace(elapsed=proxy.loop.now - started)
            attempt.finish(measured, outcome.result is not AttemptResult.CONNECTION_LOST)

        proxy.call_later(net.delay(worker.machine, proxy.machine), arrive)

    # ---- the transport of proxies
    def send(self, attempt: WorkerAttempt, reused: bool, connect_timeout: float) -> None:
        """Send the request to the worker at the address that the proxy knows."""
        proxy = attempt.proxy_request.proxy
        record = attempt.worker.record
        net = as_simulated(self.net)
        attempt.started = self.loop.now
        net.observer.attempt_sent(proxy, record.id, attempt.proxy_request.request.id, reused)
        host, port = record.address
        target = self.workers.get(record.id) if reused else self._by_address.get(f"{host}:{port}")
        destination = target or self.workers.get(record.id)
        if destination is None or not net.is_connected(
            proxy.machine.link_name, destination.machine.link_name
        ):
            attempt.sent = reused
            if not reused:
                outcome = AttemptOutcome(AttemptResult.CONNECT_FAILED)
                proxy.call_later(connect_timeout, attempt.finish, outcome)
            return
        delay = net.delay(proxy.machine, destination.machine)
        if reused:
            self._send_on_kept_connection(attempt, target, delay)
        else:
            self._connect(attempt, target, destination.machine, delay)

    def _send_on_kept_connection(self, attempt: WorkerAttempt, target: Worker | None, delay: float) -> None:
        proxy = attempt.proxy_request.proxy
        if target is not None and self.loop.now - target.record.ended > delay:
            # The proxy has already received the close of the connection.
            self.send(attempt, False, RECONNECT_TIMEOUT_SECONDS)
            return
        attempt.sent = True
        if target is not None and attempt.idle_seconds > target.connection_idle_timeout:
            proxy.call_later(2 * delay, proxy.connection_was_reset, attempt)
            return
        self.loop.call_later(delay, self._arrive, attempt, target)

    def _connect(
        self, attempt: WorkerAttempt, target: Worker | None, destination: Machine, delay: float
    ) -> None:
        proxy = attempt.proxy_request.proxy
        net = as_simulated(self.net)

        def connected() -> None:
            if target is None or not target.up:
                attempt.finish(AttemptOutcome(AttemptResult.CONNECT_FAILED))
                return
            if attempt.is_closed:
                return
            attempt.sent = True
            self.loop.call_later(net.delay(proxy.machine, destination), self._arrive, attempt, target)

        proxy.call_later(delay + net.delay(destination, proxy.machine), connected)

    def _arrive(self, attempt: WorkerAttempt, target: Worker | None) -> None:
        proxy = attempt.proxy_request.proxy
        net = as_simulated(self.net)
        worker_id = attempt.worker.record.id
        if target is None or not target.up:
            known = self.workers.get(worker_id)
            delay = net.delay(known.machine, proxy.machine) if known else RESET_DELAY_SECONDS
            proxy.call_later(delay, attempt.finish, AttemptOutcome(AttemptResult.CONNECTION_LOST))
            return
        if attempt.is_closed:
            return
        if not net.is_connected(proxy.machine.link_name, target.machine.link_name):
            return  # the link was blocked while the request was in transit
        if target.id != worker_id:
            self.record_arrival(target, attempt, False, MISDIRECTED_STATUS)
            response = worker_response(MISDIRECTED_STATUS)
            self.send_response(target, attempt, AttemptOutcome(AttemptResult.NOT_RUN, response))
            return
        target.receive(attempt, max(MIN_REMAINING_SECONDS, attempt.remaining))

    def close(self, attempt: WorkerAttempt) -> None:
        """Tell the worker that the proxy has closed the attempt's connection."""
        worker = self.workers.get(attempt.worker.record.id)
        if worker is not None:
            worker.connection_closed(attempt)
