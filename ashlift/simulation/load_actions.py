"""Load events of scenarios: the rate of client requests, and workers and their faults."""

import math
from collections.abc import Callable

from ashlift.simulation.clients import RequestPattern
from ashlift.simulation.event_arguments import EventArguments
from ashlift.simulation.plan import ROUTES
from ashlift.simulation.worker import Worker
from ashlift.simulation.world import World

POLL_SECONDS = 0.001  # between checks whether a version was acknowledged
DEFAULT_SERVE_SECONDS = 4.0  # for which a worker serves after it has deregistered


class LoadActions:
    """Performs load events in a world. `actions` maps the first word of an event to its method."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.actions: dict[str, Callable[[EventArguments], None]] = {
            "load": self._load,
            "hot": self._hot,
            "ask": self._ask,
            "add": self._add,
            "crash": lambda arguments: self._worker(arguments).kill(),
            "drain": lambda arguments: self._worker(arguments).drain(),
            "leave": self._leave,
            "chill": lambda arguments: self._worker(arguments).warm_up(float(arguments.words[1])),
            "sick": self._set_worker_fault,
            "grey": self._set_worker_fault,
            "forget": self._set_worker_fault,
            "break": self._set_worker_fault,
        }

    def _worker(self, arguments: EventArguments) -> Worker:
        return self._world.worker_pool.workers[arguments.words[0]]

    def _load(self, arguments: EventArguments) -> None:
        self._world.load = float(arguments.words[0])

    def _hot(self, arguments: EventArguments) -> None:
        tenant, factor = arguments.words
        for population in self._world.client_populations:
            for pattern in population.patterns:
                if pattern.key.startswith(f"{tenant}-"):
                    pattern.rate *= float(factor)

    def _ask(self, arguments: EventArguments) -> None:
        key, rate = arguments.words
        self._ask_after(key, float(rate), int(arguments.options.get("after", 0)))

    def _ask_after(self, key: str, rate: float, version: int) -> None:
        """Start requests with this key, if a version is given only after it was acknowledged."""
        world = self._world
        if version and not any(
            change.version == version and change.acknowledged < math.inf for change in world.history.changes
        ):
            world.loop.call_later(POLL_SECONDS, self._ask_after, key, rate, version)
            return
        for population in world.client_populations:
            for name, route in ROUTES.items():
                population.add_pattern(
                    RequestPattern(f"/{name}/x", route.idempotent, key, rate / len(ROUTES))
                )

    def _add(self, arguments: EventArguments) -> None:
        service, zone = arguments.words
        replaced = arguments.options.get("as")
        address = self._world.worker_pool.workers[replaced].address if replaced is not None else None
        self._world.add_worker(service, zone, float(arguments.options.get("cold", 0.0)), address)

    def _leave(self, arguments: EventArguments) -> None:
        serve_seconds = float(arguments.options.get("on", DEFAULT_SERVE_SECONDS))
        late_seconds = float(arguments.options.get("late", 0.0))
        self._worker(arguments).leave(serve_seconds, late_seconds, arguments.machine)

    def _set_worker_fault(self, arguments: EventArguments) -> None:
        worker = self._worker(arguments)
        value = float(arguments.words[1])
        match arguments.word:
            case "sick":
                worker.lost_response_share = value
            case "grey":
                worker.failure_share = value
            case "forget":
                worker.connection_idle_timeout = value
            case "break":
                worker.broken_connection_share = value
