"""The phase of the process as the operators see it: serving, on standby (drained), or stopping. No I/O.

Ready to serve means serving with a machine list that names some node. Standby and its end are told by the
door; stopping (SIGTERM) is for good, and neither of the others undoes it.
"""

from enum import Enum


class Phase(Enum):
    SERVING = "serving"
    STANDBY = "standby"  # the front says no to `GET /up`, and connections end after their answers
    STOPPING = "stopping"


class PhaseError(Exception):
    """A change that the phase does not allow."""


class Life:
    def __init__(self) -> None:
        self.phase = Phase.SERVING

    def ready(self, listed: bool) -> bool:
        """Whether this process is ready to serve: serving, with some node to send jobs to (`GET /status`)."""
        return self.phase is Phase.SERVING and listed

    def up(self, listed: bool) -> bool:
        """What the front is told (`GET /up`): no on standby. Stopping is not told: a front hears late of a
        restart anyway, and where the listening socket is shared, a successor answers the next `/up`."""
        return self.phase is not Phase.STANDBY and listed

    def standby(self) -> bool:
        """Drain; whether that changed the phase. Raises PhaseError while stopping."""
        return self._to(Phase.STANDBY)

    def active(self) -> bool:
        """Back to work; whether that changed the phase. Raises PhaseError while stopping."""
        return self._to(Phase.SERVING)

    def stopping(self) -> None:
        self.phase = Phase.STOPPING

    def _to(self, phase: Phase) -> bool:
        if self.phase is Phase.STOPPING:
            raise PhaseError("the process is stopping")
        changed, self.phase = self.phase is not phase, phase
        return changed
