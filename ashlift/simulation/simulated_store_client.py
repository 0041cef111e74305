"""The client of a simulated registry for the configuration stores, as `ashlift.registry.store_client` is."""

from collections.abc import Callable
from typing import Any

from ashlift.errors import Failure, FailureReason
from ashlift.registry.operator_request import OperatorRequest
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import COMMAND_TIMEOUT_SECONDS
from ashlift.registry.store_position import POSITION_REQUEST, StorePosition, stores_to_try
from ashlift.simulation import configstore_process
from ashlift.simulation.event_loop import Future
from ashlift.simulation.process import Process, Task


class SimulatedStoreClient:
    """Sends requests to one store after the other, for one incarnation of a registry."""

    def __init__(self, process: Process, registry: Registry) -> None:
        self._process = process
        self._registry = registry
        self._position = StorePosition()
        self._watch_number = 0
        self.local_store_hangs = False

    def stores(self) -> list[str]:
        """Return the core machines with a store, nearest first."""
        registry = self._registry
        identity = registry.identity
        members = registry.core_members()
        by_distance = registry.registries_by_distance(identity.zone, identity.region, self._process.clock())
        return [ip for ip in by_distance if ip in members]

    def next_remote_store(self) -> str | None:
        """Return another machine with a store, in turn; None if there is none."""
        others = [ip for ip in self.stores() if ip != self._process.name]
        self._watch_number += 1
        return others[self._watch_number % len(others)] if others else None

    def observe(self, response: Any) -> None:
        """Record the position in a store's response to `watch`."""
        self._position.observe(response)

    def submit(self, command: dict[str, Any], sent_since: float | None = None) -> Task:
        """Submit a command; `sent_since`: earliest time that it was sent, from which its timeout counts."""
        known_index = self._position.index
        started = self._process.clock() if sent_since is None else sent_since
        deadline = started + COMMAND_TIMEOUT_SECONDS

        def body() -> dict[str, Any]:
            return self._position.with_fencing_token(command, known_index, deadline - self._process.clock())

        response = yield from self.ask("submit", body, deadline)
        return response

    def read(self) -> Task:
        """Read the committed map."""
        response = yield from self.ask("read", dict, self._process.clock() + COMMAND_TIMEOUT_SECONDS)
        return response

    def ask(self, method: str, body: Callable[[], dict[str, Any]], deadline: float) -> Task:
        """Call the method of one store after the other; `body` returns the request body for each call."""
        process = self._process
        stores = stores_to_try(process.name, self.stores(), self.local_store_hangs)
        request = OperatorRequest(stores, process.clock(), deadline)
        responses: list[tuple[str, Any]] = []
        wake_up = Future()

        def call(ip: str) -> Task:
            response = yield from self._call_with_position(ip, method, body, deadline)
            responses.append((ip, response))
            wake_up.set(None)

        while wait := request.wait_seconds(process.clock()):
            ip = request.next_store(process.clock())
            if ip is not None:
                process.spawn(call(ip))
                continue
            if not responses:
                wake_up = Future()
                process.call_later(wait, wake_up.set, None)
                yield wake_up
            while responses:
                request.record_response(*responses.pop(0), process.clock())
        return request.outcome

    def _call_with_position(
        self, ip: str, method: str, body: Callable[[], dict[str, Any]], deadline: float
    ) -> Task:
        """Call once, and retry with the store's current position if the known one has expired."""
        process = self._process
        response = yield process.call(
            ip, configstore_process.KIND, method, body(), deadline - process.clock()
        )
        if isinstance(response, Failure) and response.reason == FailureReason.EXPIRED:
            remaining = deadline - process.clock()
            self.observe(
                (yield process.call(ip, configstore_process.KIND, "watch", POSITION_REQUEST, remaining))
            )
            response = yield process.call(
                ip, configstore_process.KIND, method, body(), deadline - process.clock()
            )
        return response
