"""An exclusive lock on the folder of a replica: two processes with one disk would vote twice."""

import errno
import fcntl
import os
from collections.abc import Callable
from typing import Final

import gevent

from ashlift.configstore import events
from ashlift.errors import Failure, FailureReason
from ashlift.events import WARNING, log_event

RETRY_SECONDS: Final = 0.1
REPORT_EVERY_ATTEMPTS: Final = 100
_LOCKED_BY_ANOTHER: Final = (errno.EAGAIN, errno.EACCES)


def lock_directory(folder: str, is_cancelled: Callable[[], bool] = lambda: False) -> Failure | None:
    """Lock `folder` for the life of this process, once no other process holds the lock.

    A disk without locks, or one that cannot be read, is used without. A Failure: UNAVAILABLE if the wait was
    cancelled.
    """
    try:
        os.makedirs(folder, exist_ok=True)
        descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    except OSError:
        return None  # reported when the replica reads its disk
    attempts = 0
    while not is_cancelled():
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return None
        except OSError as error:
            if error.errno not in _LOCKED_BY_ANOTHER:
                return None
        if attempts % REPORT_EVERY_ATTEMPTS == 0:
            log_event(events.DIRECTORY_IN_USE, level=WARNING, folder=folder)
        attempts += 1
        gevent.sleep(RETRY_SECONDS)
    return Failure(FailureReason.UNAVAILABLE, f"{folder}: cancelled")
