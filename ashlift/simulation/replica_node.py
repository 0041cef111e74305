"""A simulated machine with one replica of the configuration store, and a client call to it."""

import math
from typing import Any

from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import PersistState
from ashlift.errors import Failure, FailureReason
from ashlift.simulation.linearizability import ACKNOWLEDGED, CONFLICT, Call, ConfigurationWrite, items_of


class ClientCall:
    """A client call; `kind` is put, read or members, `started` and `ended` are in simulated seconds."""

    def __init__(self, kind: str, started: float, base: int = 0, name: str = "") -> None:
        """`base` and `name` are those of a put, see `decide_history_command`."""
        self.kind = kind
        self.started = started
        self.base = base
        self.name = name
        self.answer: Any = None
        self.ended = math.inf

    @property
    def succeeded(self) -> bool:
        """Whether a put or a membership change was acknowledged."""
        return isinstance(self.answer, dict) and self.answer["status"] == 200

    def as_call(self) -> Call | None:
        """Return the call for the linearizability checker, or None if it constrains nothing."""
        match self.kind:
            case "read":
                return self._as_read()
            case "put":
                return self._as_write()
        return None

    def _as_read(self) -> Call | None:
        if not isinstance(self.answer, list):
            return None
        items = items_of({str(index): name for index, name in enumerate(self.answer)})
        return Call(self.started, self.ended, observed=(len(self.answer), items))

    def _as_write(self) -> Call | None:
        upserts = items_of({str(self.base): self.name})
        write = ConfigurationWrite(self.base, self.base + 1, upserts, frozenset())
        if isinstance(self.answer, dict):
            answer = ACKNOWLEDGED if self.succeeded else CONFLICT
            return Call(self.started, self.ended, write, answer, operator=self.name)
        if isinstance(self.answer, Failure) and self.answer.reason == FailureReason.UNAVAILABLE:
            return None  # rejected before it was proposed
        return Call(self.started, math.inf, write, operator=self.name)


class ReplicaNode:
    """A machine with its disk, its process if one is running, and the faults of both.

    frozen_events: events that arrived while the process is frozen; None while it is not.
    disk_delay: additional duration of each write, in seconds.
    seeds: seeds in its settings; if empty, the first machines.
    lost: the machine does not start again.
    lost_disk: contents of the disk when it was lost last.
    """

    def __init__(self, ip: str) -> None:
        self.ip = ip
        self.vote: PersistentVote | None = None
        self.snapshot: Snapshot | None = None
        self.replica: Replica | None = None
        self.incarnation = 0  # of the process
        self.disk_number = 0
        self.clock_offset = 0.0
        self.pending_write: PersistState | None = None
        self.frozen_events: list[Any] | None = None
        self.disk_fails = False
        self.disk_delay = 0.0
        self.seeds: list[str] = []
        self.lost = False
        self.lost_disk: tuple[PersistentVote | None, Snapshot | None] = (None, None)
