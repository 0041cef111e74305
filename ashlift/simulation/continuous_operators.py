"""Operators that send commands one after the other, and sometimes resend accepted ones."""

from typing import Any

from ashlift.simulation import registry_process
from ashlift.simulation.configurations import configuration_change, edit_configuration, patch_between
from ashlift.simulation.history import ConfigurationChange, Resend
from ashlift.simulation.operators import CALL_TIMEOUT_SECONDS, Operator
from ashlift.simulation.process import Task
from ashlift.simulation.registry_methods import RegistryMethod

PAUSE_SECONDS = (0.4, 1.6)  # shortest and longest pause between commands
RESEND_SHARE = 0.4  # of changes, right after they were accepted
RESENT_CHANGES = 6  # a later resend picks one of the latest accepted changes
MAX_VERSION_STEP = 3  # above the base; small, so that operators pick conflicting versions
EDITS = ("look=desk", "look=fleet", "bill=desk", "bill=bill", "r+{new}=fleet", "q:t1=150", "q:t2=90")


class ContinuousOperator(Operator):
    """`zone`: evacuated and restored by this operator only; `preferred`: registries to call first."""

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
        """Read the configuration and send a change of it, possibly concurrent with other operators."""
        rng = self.loop.rng
        yield from self._read_configuration(self._first_registry())
        base = self.history.configuration_reads[-1]
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
        """Send an accepted change once more, without retries."""
        sent = self.loop.now
        registry = self._first_registry()
        command = change.as_command()
        response: Any = yield self.call(
            registry, registry_process.KIND, RegistryMethod.OPERATOR_COMMAND, command, CALL_TIMEOUT_SECONDS
        )
        status = response[0] if isinstance(response, tuple) else 0
        self.history.resends.append(Resend(change, registry, sent, self.loop.now, status))
