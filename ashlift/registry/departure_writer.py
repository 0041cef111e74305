"""Reads the departures of workers from the disk, and writes them whenever they change.

Disk calls run in a thread, so that a slow disk holds up acknowledgements of departures and nothing else.
"""

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Final, TypeVar

import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.events import ERROR, WARNING, log_event
from ashlift.registry import events
from ashlift.registry.change_notifier import ChangeNotifier
from ashlift.registry.worker_instances import WorkerInstances

if TYPE_CHECKING:
    from gevent.threadpool import ThreadPool

    from ashlift.registry.departure_storage import DepartureStorage

# Short against the bound `Contact`. When a whole core starts, the first work is to get proxies ready.
RESTORE_DELAY_SECONDS: Final = 1.0
RETRY_SECONDS: Final = 0.5  # after the disk refused
IDLE_CHECK_SECONDS: Final = 1.0  # between checks without a change
MIN_CHECK_SECONDS: Final = 0.02  # between checks while waits end at once, at shutdown

Result = TypeVar("Result")


class DepartureWriter:
    """The greenlet that keeps the disk up to date; `run` does not return."""

    def __init__(self, instances: WorkerInstances, data_directory: str, notifier: ChangeNotifier) -> None:
        self._instances = instances
        self._data_directory = data_directory
        self._notifier = notifier
        self._disk_has_failed = False
        self._threads: ThreadPool
        self._storage: DepartureStorage

    def run(self) -> None:
        """Restore the departures, then write each change. Nothing is written before all could be read."""
        self._wait_for_first_change(time.monotonic() + RESTORE_DELAY_SECONDS)
        self._load()
        while not self._restore():
            gevent.sleep(RETRY_SECONDS)
        while True:
            if not self._instances.departures.must_be_written(time.monotonic()):
                self._wait_for_change(time.monotonic() + IDLE_CHECK_SECONDS)
            elif not self._write():
                gevent.sleep(RETRY_SECONDS)

    def _load(self) -> None:
        """Load what only this greenlet needs."""
        from gevent.threadpool import ThreadPool

        from ashlift.registry.departure_storage import DepartureStorage

        self._threads = ThreadPool(1)
        self._storage = DepartureStorage(self._data_directory)

    def _wait_for_first_change(self, deadline: float) -> None:
        """Wait until the deadline, or until a departure is to be written."""
        while time.monotonic() < deadline:
            if self._instances.departures.must_be_written(time.monotonic()):
                return
            self._wait_for_change(deadline)

    def _wait_for_change(self, deadline: float) -> None:
        if not self._notifier.wait_for_change(deadline):
            gevent.sleep(MIN_CHECK_SECONDS)

    def _restore(self) -> bool:
        """Read the disk; returns False if that must be tried again."""
        stored = self._on_disk(lambda: self._storage.read(time.monotonic()))
        if isinstance(stored, Failure):
            if not self._disk_has_failed:
                log_event(events.DEPARTURES_UNREADABLE, level=WARNING, error=stored)
            self._disk_has_failed = True
            return stored.reason == FailureReason.INVALID  # torn files: what they held is lost
        self._instances.restore_departures(stored, time.monotonic())
        self._notifier.notify_if_changed()
        return True

    def _write(self) -> bool:
        """Write all departures; returns whether they are durable."""
        departures = self._instances.departures.to_write()
        failure = self._on_disk(lambda: self._storage.write(departures, time.monotonic()))
        if failure is None:
            self._instances.departures.record_written(departures, time.monotonic())
            self._notifier.notify_if_changed()
        elif not self._disk_has_failed:
            log_event(events.DEPARTURES_NOT_WRITTEN, level=ERROR, error=failure)
        self._disk_has_failed = failure is not None
        return failure is None

    def _on_disk(self, call: Callable[[], Result]) -> Result:
        result: Result = self._threads.apply(call)
        return result
