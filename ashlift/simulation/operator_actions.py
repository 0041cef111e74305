"""Operator events of scenarios: configuration changes, evacuations, route edits, seeds."""

import math
from collections.abc import Callable
from typing import Any

from ashlift.simulation import route_edits
from ashlift.simulation.configurations import (
    configuration_change,
    edit_configuration,
    first_configuration,
    patch_between,
)
from ashlift.simulation.event_arguments import EventArguments, resolve_machines
from ashlift.simulation.operators import Operator
from ashlift.simulation.world import World

FIRST_CONFIGURATION_SECONDS = 0.5  # after the start
FIRST_VERSION = 1
DEFAULT_OPERATOR = "A"


class OperatorActions:
    """Performs operator events in a world. `actions` maps the first word of an event to its method.

    Keeps the body of each version, because an event describes a change only by its difference from the base.
    """

    def __init__(self, world: World) -> None:
        self._world = world
        self._bodies: dict[int, dict[str, Any]] = {FIRST_VERSION: first_configuration(world.plan)}
        self.actions: dict[str, Callable[[EventArguments], None]] = {
            "put": self._change,
            "patch": self._change,
            "evacuate": self._evacuate,
            "restore": self._evacuate,
            "edit": self._edit,
            "confirm": self._decide_edit,
            "reject": self._decide_edit,
            "read": self._read,
            "orders": self._orders,
            "seeds": self._seeds,
        }

    def send_first_configuration(self) -> None:
        """Schedule the first configuration, version 1."""
        first = configuration_change(FIRST_VERSION, 0, DEFAULT_OPERATOR, self._bodies[FIRST_VERSION], 0.0)
        operator = self._world.operator(DEFAULT_OPERATOR)
        self._world.loop.call_later(FIRST_CONFIGURATION_SECONDS, operator.send_change, first, None)

    def _operator(self, arguments: EventArguments) -> Operator:
        return self._world.operator(arguments.options.get("by", DEFAULT_OPERATOR))

    def _change(self, arguments: EventArguments) -> None:
        operator = self._operator(arguments)
        version = int(arguments.words[0])
        base = self._base_version(arguments.options.get("on", "newest"))
        base_body = self._bodies.get(base, self._bodies[FIRST_VERSION])  # the base may not exist yet
        body = self._bodies[version] = edit_configuration(base_body, version, arguments.words[1:])
        configuration = configuration_change(version, base, operator.name.rpartition("-")[2], body, 0.0)
        if arguments.word == "patch":
            configuration.patch = patch_between(base_body, body)
        operator.send_change(configuration, arguments.machine)

    def _base_version(self, base: str) -> int:
        changes = self._world.history.changes
        if base == "newest":
            return max((change.version for change in changes if not change.rejected_status), default=1)
        if base == "acked":
            return max((change.version for change in changes if change.acknowledged < math.inf), default=1)
        return int(base)

    def _evacuate(self, arguments: EventArguments) -> None:
        zone = arguments.words[0]
        once = "once" in arguments.words
        evacuate = arguments.word == "evacuate"
        self._operator(arguments).evacuate(zone, evacuate, arguments.machine, once)

    def _edit(self, arguments: EventArguments) -> None:
        edit_id, words = arguments.words
        operator = self._operator(arguments)
        registry = self._world.registry(resolve_machines(self._world, [arguments.options["at"]])[0])
        route_edits.send_edit(operator, self._world.history, edit_id, words, registry)

    def _decide_edit(self, arguments: EventArguments) -> None:
        operator = self._operator(arguments)
        machine = arguments.options["at"]
        overwrite = "over" in arguments.words
        route_edits.send_decision(
            operator, self._world.history, arguments.words[0], arguments.word, machine, overwrite
        )

    def _read(self, arguments: EventArguments) -> None:
        self._operator(arguments).read_configuration(arguments.machine)

    def _orders(self, arguments: EventArguments) -> None:
        count, until, *machines = arguments.words
        self._world.add_continuous_operators(
            int(count), float(until), resolve_machines(self._world, machines)
        )

    def _seeds(self, arguments: EventArguments) -> None:
        self._world.seeds = arguments.words
        self._world.apply_seeds()
