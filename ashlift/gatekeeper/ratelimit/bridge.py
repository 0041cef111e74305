"""Passes calls from gRPC's threads to the gevent loop."""

from collections import deque
from collections.abc import Callable
from typing import Any

import gevent


class Bridge:
    """Runs functions in the gevent loop that other threads post.

    gevent's queues and events are not thread-safe; only async watchers are. gRPC's gevent mode is not
    used: it needs a monkey-patched program and takes more CPU time than gRPC's threads.
    """

    def __init__(self) -> None:
        self._posted: deque[tuple[Callable[..., Any], tuple[Any, ...]]] = deque()
        self._watcher = gevent.get_hub().loop.async_()
        self._watcher.start(self._drain)

    def post(self, function: Callable[..., Any], *args: Any) -> None:
        """Thread-safe. The function must not block."""
        self._posted.append((function, args))
        self._watcher.send()

    def _drain(self) -> None:
        while self._posted:
            function, args = self._posted.popleft()
            function(*args)
