"""The `expect` events of scenarios: each check returns a description of the problem, or an empty string."""

import math
from collections.abc import Callable

from ashlift.config.routing_table import RoutingTable
from ashlift.simulation import route_edits
from ashlift.simulation.clients import ClientOperation
from ashlift.simulation.event_arguments import EventArguments
from ashlift.simulation.history import ConfigurationChange
from ashlift.simulation.world import World


class Expectations:
    """Checks of a world, by the word after `expect`.

    `served`, `swift`, `idle` and `busy` count from the last of these checks, or from `mark`.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._counted_since = 0.0
        self._checks: dict[str, Callable[[EventArguments], str]] = {
            "version": self._version,
            "acked": self._answered,
            "refused": self._answered,
            "one": self._one_acknowledged,
            "swift": self._completed_within,
            "evacuated": self._evacuated,
            "served": self._served,
            "sure": self._served_with_key,
            "crew": self._workers_known,
            "edit": self._edit_outcome,
            "told": self._edit_status,
            "alike": self._routes_equal,
            "leader": self._leader,
            "idle": self._arrivals,
            "busy": self._arrivals,
        }

    def mark(self) -> None:
        """Restart the counting of the checks that count."""
        self._counted_since = self._world.loop.now

    def check(self, arguments: EventArguments) -> str:
        """Return the problem, or an empty string. Raises ValueError for an unknown check."""
        if arguments.words[0] not in self._checks:
            raise ValueError(" ".join(arguments.words))
        return self._checks[arguments.words[0]](arguments)

    def _take_count_start(self) -> float:
        start = self._counted_since
        self.mark()
        return start

    # ---- configuration
    def _version(self, arguments: EventArguments) -> str:
        expected = int(arguments.words[1])
        proxy = arguments.machine
        wrong = [
            f"{name} has {version}"
            for name, version in self._world.versions().items()
            if proxy in (None, name) and version != expected
        ]
        return ", ".join(wrong)

    def _answered(self, arguments: EventArguments) -> str:
        """`acked` or `refused`: all changes of the version were acknowledged, or all were rejected."""
        changes = self._changes_of_version(int(arguments.words[1]))
        if not changes:
            return "no change of this version was sent"
        if arguments.words[0] == "acked":
            as_expected = all(change.acknowledged < math.inf for change in changes)
        else:
            as_expected = all(change.rejected_status for change in changes)
        responses = (
            f"{change.describe()}: {change.rejected_status or change.acknowledged}" for change in changes
        )
        return "" if as_expected else ", ".join(responses)

    def _one_acknowledged(self, arguments: EventArguments) -> str:
        writes = {
            change.as_write()
            for change in self._changes_of_version(int(arguments.words[1]))
            if change.acknowledged < math.inf
        }
        return "" if len(writes) == 1 else f"{len(writes)} acknowledged"

    def _changes_of_version(self, version: int) -> list[ConfigurationChange]:
        return [change for change in self._world.history.changes if change.version == version]

    def _completed_within(self, arguments: EventArguments) -> str:
        """The first command since the last check that was not acknowledged or rejected within the bound."""
        start = self._take_count_start()
        bound = float(arguments.words[1])
        history = self._world.history
        commands = [(change.sent, change.ended, change.describe()) for change in history.changes]
        commands += [
            (evacuation.sent, evacuation.acknowledged, f"{evacuation.zone} {evacuation.evacuated}")
            for evacuation in history.evacuations
        ]
        due = [command for command in commands if start <= command[0] < self._world.loop.now - bound]
        for sent, answered, description in due:
            if answered - sent > bound:
                return f"{description} of {sent:.2f}: {answered:.2f}"
        return "" if due else "no command was sent long enough ago"

    def _evacuated(self, arguments: EventArguments) -> str:
        acknowledged = any(
            evacuation.acknowledged < math.inf
            for evacuation in self._world.history.evacuations
            if evacuation.zone == arguments.words[1]
        )
        return "" if acknowledged else "not acknowledged"

    def _edit_outcome(self, arguments: EventArguments) -> str:
        _, edit_id, expected = arguments.words
        outcome = route_edits.outcome_in(edit_id, self._world.configstores())
        return "" if outcome == expected.replace("-", " ") else outcome

    def _edit_status(self, arguments: EventArguments) -> str:
        _, edit_id, expected = arguments.words
        status = self._world.history.route_edits[edit_id].status
        return "" if status == int(expected) else str(status)

    def _routes_equal(self, _arguments: EventArguments) -> str:
        """All running proxies have exactly the committed routes."""
        agreed = _routes_as_bytes(
            RoutingTable.from_entries(route_edits.committed_entries(self._world.configstores()))
        )
        different = []
        for proxy in self._world.proxies():
            table = proxy.router.cluster.configuration.routing_table
            if proxy.up and (table is None or _routes_as_bytes(table) != agreed):
                different.append(proxy.name)
        return f"different routes at {', '.join(different)}" if different else ""

    def _leader(self, _arguments: EventArguments) -> str:
        return "" if self._world.has_leader() else "no leader with a committed entry"

    # ---- clients and workers
    def _served(self, arguments: EventArguments) -> str:
        start = self._take_count_start()
        operations = [operation for operation in self._operations() if operation.started > start]
        return _wrong_share(operations, float(arguments.words[1]))

    def _served_with_key(self, arguments: EventArguments) -> str:
        _, key, share = arguments.words
        operations = [operation for operation in self._operations() if operation.pattern.key == key]
        return _wrong_share(operations, float(share))

    def _operations(self) -> list[ClientOperation]:
        return [
            operation
            for population in self._world.client_populations
            for operation in population.operations
            if operation.finished
        ]

    def _arrivals(self, arguments: EventArguments) -> str:
        """`idle` or `busy`: whether the worker received requests since the last check."""
        start = self._take_count_start()
        expected, worker = arguments.words
        count = sum(
            arrival.at > start and arrival.worker == worker
            for request in self._world.history.requests
            for arrival in request.arrivals
        )
        return "" if bool(count) == (expected == "busy") else f"{count} requests"

    def _workers_known(self, _arguments: EventArguments) -> str:
        """All running proxies know the running workers and their state, and no others."""
        running = {
            name: worker.state == "ready"
            for name, worker in self._world.worker_pool.workers.items()
            if worker.up
        }
        for proxy, known in self._world.known_workers().items():
            missing = sorted(name for name in running if name not in known)
            wrong = sorted(name for name in known if known[name] != running.get(name, False))
            if missing or wrong:
                return f"{proxy}: missing {missing}, wrong {wrong}"
        return ""


def _wrong_share(operations: list[ClientOperation], expected: float) -> str:
    share = sum(operation.served for operation in operations) / max(1, len(operations))
    return "" if operations and share >= expected else f"{share:.3f} of {len(operations)}"


def _routes_as_bytes(table: RoutingTable) -> bytes:
    return repr((table.version, sorted((name, str(route)) for name, route in table.routes.items()))).encode()
