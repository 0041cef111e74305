"""The lifecycle phase of the process: serving, on standby (drained) or stopping. No I/O.

Standby is entered and left through the admin port. Stopping (SIGTERM) is final.
"""

from enum import Enum


class Phase(Enum):
    """Lifecycle phase, as reported by `GET /status`."""

    SERVING = "serving"
    STANDBY = "standby"  # `GET /up` answers 503, and connections close after their responses
    STOPPING = "stopping"


class PhaseError(Exception):
    """The requested change is not possible in the current phase."""


class Lifecycle:
    """The current phase and what health checks report in it."""

    def __init__(self) -> None:
        self.phase = Phase.SERVING

    def ready(self, has_nodes: bool) -> bool:
        """Result of `GET /status`: whether the process is serving and knows at least one execute node."""
        return self.phase is Phase.SERVING and has_nodes

    def up(self, has_nodes: bool) -> bool:
        """Result of `GET /up`, by which load balancers select gatekeepers.

        A stopping process still reports up: it serves through the grace period, and where the listening
        socket is shared, the next health check may reach its successor.
        """
        return self.phase is not Phase.STANDBY and has_nodes

    def standby(self) -> bool:
        """Enters standby; returns whether the phase changed. Raises PhaseError while stopping."""
        return self._change_to(Phase.STANDBY)

    def active(self) -> bool:
        """Returns to serving; returns whether the phase changed. Raises PhaseError while stopping."""
        return self._change_to(Phase.SERVING)

    def stopping(self) -> None:
        self.phase = Phase.STOPPING

    def _change_to(self, phase: Phase) -> bool:
        if self.phase is Phase.STOPPING:
            raise PhaseError("the process is stopping")
        changed, self.phase = self.phase is not phase, phase
        return changed
