"""RPC methods of a registry: `pull` for proxies and `swap` for other registries. Both are long polls."""

import time
from typing import Any

import gevent

from ashlift.errors import Failure
from ashlift.registry import codec
from ashlift.registry.change_notifier import ChangeNotifier
from ashlift.registry.messages import PullRequest
from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    LONG_POLL_SECONDS,
    MIN_LONG_POLL_SECONDS,
    UNTHROTTLED_SESSIONS,
    call_interval,
    pull_deadline,
)
from ashlift.registry.registry import Registry


class RegistryRpcService:
    """`handlers`: by method name, for `ashlift.rpc.server.serve`."""

    def __init__(self, registry: Registry, notifier: ChangeNotifier) -> None:
        self._registry = registry
        self._notifier = notifier
        self.handlers = {"pull": self._pull, "swap": self._swap}

    def _pull(self, body: Any) -> Any:
        received_at = time.monotonic()
        request = codec.decode_pull_request(body)
        if isinstance(request, Failure):
            return request
        self._registry.sessions.begin_pull(request, received_at)
        self._notifier.notify_if_changed()
        try:
            self._wait_for_updates(request, received_at)
            now = time.monotonic()
            response = self._registry.pull_response(request, received_at, now)
            return codec.encode_pull_response(response, now)
        finally:
            self._registry.sessions.end_pull(request.node)

    def _wait_for_updates(self, request: PullRequest, received_at: float) -> None:
        """Wait for updates for this proxy, and then for `BATCHING_DELAY_SECONDS` to send changes together."""
        interval = self._pull_interval()
        min_wait = max(MIN_LONG_POLL_SECONDS, interval)  # proxies without a configuration ask not to wait
        deadline = pull_deadline(received_at, request.wait_seconds, min_wait)
        while not self._can_respond_now(request):
            if not self._notifier.wait_for_change(deadline):
                break
        has_updates = bool(request.versions) and self._registry.has_updates_for(request.versions)
        if has_updates and not self._notifier.is_shutting_down and not request.fragment:
            earliest = received_at + self._pull_interval()
            gevent.sleep(max(BATCHING_DELAY_SECONDS, earliest - time.monotonic()))

    def _can_respond_now(self, request: PullRequest) -> bool:
        if self._registry.has_updates_for(request.versions):
            return True
        return request.urgent and self._registry.operator_config.has_fresh_lease(time.monotonic())

    def _pull_interval(self) -> float:
        return call_interval(len(self._registry.sessions), UNTHROTTLED_SESSIONS)

    def _swap(self, body: Any) -> Any:
        received_at = time.monotonic()
        request = codec.decode_swap_request(body)
        if isinstance(request, Failure):
            return request
        self._registry.receive_swap_request(request, received_at)
        while not self._registry.has_updates_for_peer(request):
            if not self._notifier.wait_for_change(received_at + LONG_POLL_SECONDS):
                break
        now = time.monotonic()
        return codec.encode_swap_response(self._registry.swap_response(request, received_at, now), now)
