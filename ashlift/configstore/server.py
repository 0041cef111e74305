"""The configuration store's process: one replica with its disk, its RPC server and its greenlets.

`ConfigStoreServer` puts the parts together: `replica_runner` runs the replica, `request_handlers` serves RPC,
`pending_edits` keeps edits of routes, which are loaded once one is there.
"""

import os
import random
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final

import gevent

from ashlift.config.settings import Settings
from ashlift.configstore import events, requests, snapshot_storage
from ashlift.configstore.commands import OperatorCommand, decide_command
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import ShutdownRequested
from ashlift.configstore.replica_runner import Clock, ReplicaRunner
from ashlift.configstore.replica_storage import ReplicaStorage
from ashlift.configstore.request_handlers import RegistryRequestHandler, replica_handlers
from ashlift.configstore.stored_names import PENDING_EDIT_STORAGE, SNAPSHOT_STORAGE, VOTE_STORAGE
from ashlift.errors import Failure
from ashlift.events import ERROR, WARNING, log_event
from ashlift.response_status import SERVICE_UNAVAILABLE
from ashlift.rpc.client import ClientPool
from ashlift.rpc.server import serve

if TYPE_CHECKING:
    from ashlift.configstore.pending_edits import PendingEditStorage

# For calls in progress to be answered after the replica has handed over: registries wait that long for a
# command, and try another store when the connection ends.
SHUTDOWN_SECONDS: Final = 1.0
_RANDOM_SEED_BYTES: Final = 16


def decide_or_refuse(current: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    """Decide a command; an error in the checks must not stop one leader after the other."""
    try:
        return decide_command(current, command)
    except Exception as error:
        log_event(events.COMMAND_EVALUATION_FAILED, level=ERROR, error=repr(error))
        return ReadOnlyResult({"status": SERVICE_UNAVAILABLE, "reason": "the order could not be worked out"})


class ConfigStoreServer:
    """One replica of the configuration store; `folder` is on its disk. Serves from its creation on."""

    def __init__(self, settings: Settings, folder: str, clock: Clock = time.monotonic) -> None:
        self._folder = folder
        self._pending_edits: PendingEditStorage | None = None
        port = settings.internal_ports[0]
        clients = ClientPool()
        storage = ReplicaStorage(folder)
        self.replica = _restore_replica(settings, storage)
        self._runner = ReplicaRunner(self.replica, storage, clients, port, clock)
        self._requests = RegistryRequestHandler(self._runner, clients, port)
        self._runner.start()
        if snapshot_storage.exists(folder, PENDING_EDIT_STORAGE):
            self._open_pending_edits()
        handlers = {
            **replica_handlers(self._runner),
            **self._requests.handlers(),
            requests.PENDING_EDITS: self._handle_pending_edits,
        }
        self.rpc_server = serve((settings.ip, port), handlers)

    def run(self) -> None:
        """Serve until the replica has handed over after `shut_down`."""
        self._runner.run()
        self._runner.end_waits()
        self.rpc_server.shut_down(SHUTDOWN_SECONDS)

    def shut_down(self) -> None:
        """Let the replica hand its role over; `run` returns after that."""
        self._runner.feed(ShutdownRequested())

    def _handle_pending_edits(self, body: Any) -> Any:
        return self._open_pending_edits().handle_request(body)

    def _open_pending_edits(self) -> "PendingEditStorage":
        """Open the pending edits, once, and have them merged from now on."""
        if self._pending_edits is None:
            from ashlift.configstore.pending_edits import PendingEditStorage  # most systems never need it

            storage = snapshot_storage.SnapshotStorage(self._folder, PENDING_EDIT_STORAGE)
            self._pending_edits = PendingEditStorage(storage, self._committed_map)
            gevent.spawn(self._merge_pending_edits, self._pending_edits)
        return self._pending_edits

    def _committed_map(self) -> tuple[int, Mapping[str, Any]]:
        committed = self.replica.committed_state
        return committed.index, committed.snapshot.entries.map

    def _merge_pending_edits(self, pending_edits: "PendingEditStorage") -> None:
        from ashlift.configstore.pending_edits import MERGE_INTERVAL_SECONDS

        while True:
            gevent.sleep(MERGE_INTERVAL_SECONDS)
            request = pending_edits.merge_request()
            pending_edits.finish_merge(self._requests.submit(request) if request else None)


def _restore_replica(settings: Settings, storage: ReplicaStorage) -> Replica:
    """The replica as its disk has it; unreadable parts are logged, and the replica learns them anew."""
    vote, snapshot = storage.read()
    _log_unreadable(VOTE_STORAGE, vote)
    _log_unreadable(SNAPSHOT_STORAGE, snapshot)
    seeds = sorted({host for host, _ in settings.seeds})
    random_source = random.Random(os.urandom(_RANDOM_SEED_BYTES))
    replica = Replica(settings.ip, seeds, settings.bootstrap, vote, snapshot, decide_or_refuse, random_source)
    replica.tolerated_failures = max(1, settings.fault_tolerance.machines)
    return replica


def _log_unreadable(name: str, stored: PersistentVote | Snapshot | Failure | None) -> None:
    if isinstance(stored, Failure):
        log_event(events.STORAGE_UNREADABLE, level=WARNING, storage=name, error=stored)
