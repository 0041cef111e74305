"""The configuration store's process: one replica with its disk, RPC server and greenlets.

`ConfigStoreServer` connects the parts: `replica_runner` runs the replica, `request_handlers` serves RPC, and
`pending_edits`, which is loaded on first use, stores route edits.
"""

import os
import random
import time
from collections.abc import Mapping
from typing import TYPE_CHECKING, Any, Final

import gevent

from ashlift import snapshot_storage
from ashlift.config.settings import Settings
from ashlift.configstore import events, requests
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
from ashlift.rpc.concurrency_limit import ConcurrencyLimit
from ashlift.rpc.connection_limit import affordable_connections
from ashlift.rpc.server import serve
from ashlift.rpc.sockets import Listener

if TYPE_CHECKING:
    from ashlift.configstore.pending_edits import PendingEditStorage

# Time for calls in progress to finish after the leadership transfer; registries retry at another store when
# the connection closes.
SHUTDOWN_SECONDS: Final = 1.0
RPC_CONNECTIONS_FRACTION: Final = 0.5  # of all connections: accepted ones
_RANDOM_SEED_BYTES: Final = 16


def decide_or_refuse(current: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    """Decide a command. A bug in the decision must not crash one leader after another."""
    try:
        return decide_command(current, command)
    except Exception as error:
        log_event(events.COMMAND_EVALUATION_FAILED, level=ERROR, error=repr(error))
        return ReadOnlyResult({"status": SERVICE_UNAVAILABLE, "reason": "the order could not be worked out"})


class ConfigStoreServer:
    """One replica of the configuration store, serving from its creation on.

    Its state is in `folder`. `listener`: for RPC, opened before the state is read.
    """

    def __init__(
        self, settings: Settings, folder: str, listener: Listener, clock: Clock = time.monotonic
    ) -> None:
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
        limit = ConcurrencyLimit({requests.SUBMIT})
        machine_limits = settings.machine_limits
        connections = affordable_connections(machine_limits.file_descriptors, machine_limits.memory_mb)
        max_connections = int(RPC_CONNECTIONS_FRACTION * connections)
        self.rpc_server = serve(listener, handlers, limit, max_connections)

    def run(self) -> None:
        """Serve until the replica has handed over its role after `shut_down`."""
        self._runner.run()
        self._runner.cancel_waits()
        self.rpc_server.shut_down(SHUTDOWN_SECONDS)

    def shut_down(self) -> None:
        """Make the replica hand over its role, after which `run` returns."""
        self._runner.feed(ShutdownRequested())

    def _handle_pending_edits(self, body: Any) -> Any:
        return self._open_pending_edits().handle_request(body)

    def _open_pending_edits(self) -> "PendingEditStorage":
        """Open the pending edits on first use, and start merging them periodically."""
        if self._pending_edits is None:
            from ashlift.configstore.pending_edits import PendingEditStorage  # loaded on first use

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
    """Create the replica from its disk. Unreadable parts are logged and later restored from the leader."""
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
