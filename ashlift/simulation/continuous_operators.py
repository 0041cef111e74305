"""Operators who always have a command under way at some core machine, and resend what was accepted."""

from typing import Any

from ashlift.simulation import registry_process
from ashlift.simulation.configurations import configuration_change, edit_configuration, patch_between
from ashlift.simulation.history import ConfigurationChange, Resend
from ashlift.simulation.operators import CALL_TIMEOUT_SECONDS, Operator
from ashlift.simulation.process import Task
from ashlift.simulation.registry_methods import RegistryMethod

PAUSE_SECONDS = (0.4, 1.6)  # between two commands
RESEND_SHARE = 0.4  # of changes, as soon as they are accepted
RESENT_CHANGES = 6  # one of so many last changes is sent again
MAX_VERSION_STEP = 3  # above the base: two operators may pick the same version
EDITS = ("look=desk", "look=fleet", "bill=desk", "bill=bill", "r+{new}=fleet", "q:t1=150", "q:t2=90")


class ContinuousOperator(Operator):
    """`zone`: the one that it alone evacuates and restores; `preferred`: registries that it asks first."""

    zone: str | None = None
    preferred: list[str] = []
    until = 0.0

    def on_start(self) -> None:
        """Send commands until `until`."""
        self._accepted: list[ConfigurationChange] = []
        self._evacuated = False
        self.spawn(self._send_commands())

    def _first_registry(self) -> str:
        return self.loop.rng.choice(self.preferred or self.registries)

    def _send_commands(self) -> Task:
        rng = self.loop.rng
        while self.loop.now < self.until:
            match rng.choice(("put", "patch", "zone", "read", "again")):
                case "put" | "patch" as kind:
                    yield from self._change(kind == "patch")
                case "zone" if self.zone is not None:
                    self._evacuated = not self._evacuated
                    yield from self._evacuate(self.zone, self._evacuated, self._first_registry())
                case "again" if self._accepted:
                    yield from self._resend(rng.choice(self._accepted[-RESENT_CHANGES:]))
                case _:
                    yield from self._read_configuration(self._first_registry())
            yield rng.uniform(*PAUSE_SECONDS)

    def _change(self, patch: bool) -> Task:
        """Change what is read just before; others may do the same."""
        rng = self.loop.rng
        yield from self._read_configuration(self._first_registry())
        base = self.history.readings[-1]
        if not base.version:
            return
        version = base.version + rng.randint(1, MAX_VERSION_STEP)
        edit = rng.choice(EDITS).format(new=f"{self.name[-1]}{version}")
        body = edit_configuration(base.body, version, [edit])
        change = configuration_change(version, base.version, self.name, body, self.loop.now)
        if patch:
            change.patch = patch_between(base.body, change.body)
        self.history.changes.append(change)
        yield from self._send_change(change, self._first_registry())
        if not change.rejected_status:
            self._accepted.append(change)
            if rng.random() < RESEND_SHARE:
                yield from self._resend(change)

    def _resend(self, change: ConfigurationChange) -> Task:
        """Call once with what was accepted."""
        sent = self.loop.now
        registry = self._first_registry()
        command = change.as_command()
        response: Any = yield self.call(
            registry, registry_process.KIND, RegistryMethod.OPERATOR_COMMAND, command, CALL_TIMEOUT_SECONDS
        )
        status = response[0] if isinstance(response, tuple) else 0
        self.history.resends.append(Resend(change, registry, sent, self.loop.now, status))
