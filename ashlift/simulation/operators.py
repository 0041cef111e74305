"""Operators: resend a command unchanged to any core machine until it gets a final status."""

from typing import Any

from ashlift.simulation import registry_process
from ashlift.simulation.event_loop import EventLoop
from ashlift.simulation.history import (
    ConfigurationChange,
    ConfigurationRead,
    EvacuationCall,
    EvacuationChange,
    History,
)
from ashlift.simulation.process import Machine, Network, Process, Task
from ashlift.simulation.registry_methods import RegistryMethod

CALL_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS_PER_OBJECT = 0.003
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 1.0
BACKOFF_FACTOR = 1.5
READ_RETRY_SECONDS = 0.2
MAX_REDIRECTS = 2
REDIRECT_STATUS = 307
FINAL_STATUSES = (200, 400, 404, 412, 422)


class Operator(Process):
    """An operator, which sends commands to the registries in random order."""

    def __init__(
        self, loop: EventLoop, net: Network, machine: Machine, history: History, registries: list[str]
    ) -> None:
        super().__init__(loop, net, machine, "operator")
        self.history = history
        self.registries = registries

    def on_start(self) -> None:
        """Do nothing until a command is requested."""

    def _registry_order(self, first_registry: str | None) -> list[str]:
        shuffled = self.loop.rng.sample(self.registries, len(self.registries))
        return ([first_registry] if first_registry else []) + [
            name for name in shuffled if name != first_registry
        ]

    def _send_until_final_status(
        self, command: dict[str, Any], first_registry: str | None, once: bool = False
    ) -> Task:
        """Returns the final status; with `once`, None if the first call did not get one."""
        backoff = INITIAL_BACKOFF_SECONDS
        registries = self._registry_order(first_registry)
        timeout = CALL_TIMEOUT_SECONDS
        if isinstance(command["body"], dict):
            timeout += CALL_TIMEOUT_SECONDS_PER_OBJECT * len(command["body"].get("Objects", ()))
        while True:
            response = yield from self._send_following_redirects(registries[0], command, timeout)
            if isinstance(response, tuple) and response[0] in FINAL_STATUSES:
                return response[0]
            if once:
                return None
            registries = registries[1:] or self._registry_order(None)
            yield backoff
            backoff = min(MAX_BACKOFF_SECONDS, BACKOFF_FACTOR * backoff)

    def _send_following_redirects(self, registry: str, command: dict[str, Any], timeout: float) -> Task:
        for _ in range(1 + MAX_REDIRECTS):
            sent = self.loop.now
            evacuation_call: EvacuationCall | None = None
            if command["kind"] in ("evacuate", "restore"):
                evacuated = command["kind"] == "evacuate"
                evacuation_call = EvacuationCall(command["body"], evacuated, sent, sent + timeout, self.name)
                self.history.evacuation_calls.append(evacuation_call)
            response = yield self.call(
                registry, registry_process.KIND, RegistryMethod.OPERATOR_COMMAND, command, timeout
            )
            if evacuation_call is not None and isinstance(response, tuple) and response[0] == 200:
                evacuation_call.ended = self.loop.now
            timeout -= self.loop.now - sent
            if not isinstance(response, tuple) or response[0] != REDIRECT_STATUS:
                break
        return response

    # ---- configurations
    def send_change(self, change: ConfigurationChange, first_registry: str | None = None) -> None:
        """Send a change until it gets a final status, to `first_registry` first."""
        change.sent = self.loop.now
        self.history.changes.append(change)
        self.spawn(self._send_change(change, first_registry))

    def _send_change(self, change: ConfigurationChange, first_registry: str | None) -> Task:
        status = yield from self._send_until_final_status(change.as_command(), first_registry)
        change.ended = self.loop.now
        if status == 200:
            change.acknowledged = self.loop.now
        else:
            change.rejected_status = status

    def read_configuration(self, first_registry: str | None = None) -> None:
        """Read the configuration, from `first_registry` first."""
        self.spawn(self._read_configuration(first_registry))

    def _read_configuration(self, first_registry: str | None) -> Task:
        registries = self._registry_order(first_registry)
        while True:
            started = self.loop.now
            response = yield self.call(
                registries[0], registry_process.KIND, RegistryMethod.READ_CONFIG, None, CALL_TIMEOUT_SECONDS
            )
            if isinstance(response, tuple) and response[0] in (200, 404):
                body, entries = response[1]
                version = int(body.get("ConfigVersion", "0"), 16)
                self.history.configuration_reads.append(
                    ConfigurationRead(started, self.loop.now, version, body, entries)
                )
                return
            registries = registries[1:] or self._registry_order(None)
            yield READ_RETRY_SECONDS

    # ---- evacuations
    def evacuate(
        self, zone: str, evacuated: bool, first_registry: str | None = None, once: bool = False
    ) -> None:
        """Evacuate a zone or end its evacuation; `once`: do not retry."""
        self.spawn(self._evacuate(zone, evacuated, first_registry, once))

    def _evacuate(self, zone: str, evacuated: bool, first_registry: str | None, once: bool = False) -> Task:
        evacuation = EvacuationChange(zone, evacuated, self.loop.now)
        self.history.evacuations.append(evacuation)
        command = {"kind": "evacuate" if evacuated else "restore", "if_match": None, "body": zone}
        status = yield from self._send_until_final_status(command, first_registry, once)
        if status == 200:
            evacuation.acknowledged = self.loop.now
