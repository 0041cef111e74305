"""What runs inside the process: calls of gatekeepers and other registries, and loops that pull from others.

The wanted state is a set of peers; `keep` starts and ends loops until what runs is what is wanted.
"""

import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ashlift.errors import Failure, FailureReason
from ashlift.events import CRITICAL, INVARIANT_VIOLATED, log_event
from ashlift.registry import events
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool

LONG_POLL_SECONDS = 0.25  # a call is held open for so long at most
MIN_LONG_POLL_SECONDS = (
    0.05  # and for so long at least where nothing is new: a caller in a hurry must not spin
)
BATCHING_DELAY_SECONDS = 0.02  # news that come together are told together
UNTHROTTLED_SESSIONS, UNTHROTTLED_PEERS = (
    2,
    3,
)  # with more of them, calls for news come less often: so much a head, s, up to
INTERVAL_PER_CALLER_SECONDS, MAX_CALL_INTERVAL_SECONDS = 0.02, 0.25
RESPONSE_TIMEOUT_SECONDS = 0.6  # s for an answer beyond the wait
OWN_STORE_WATCH_SECONDS = 0.1  # the own store is asked so often: the age of its proof grows by this
INITIAL_BACKOFF_SECONDS = 0.1  # after a call that failed
MAX_BACKOFF_SECONDS = 1.0
TICK_INTERVAL_SECONDS = 0.25


def call_interval(heads: int, few: int) -> float:
    """s that one's calls are apart at least in times of much news: by each piece of it all would be woken."""
    return min(MAX_CALL_INTERVAL_SECONDS, INTERVAL_PER_CALLER_SECONDS * max(0, heads - few))


class ChangeNotifier:
    """Wakes those who hold calls open."""

    def __init__(self, registry: Registry) -> None:
        self._registry, self._told = registry, registry.change_count
        self._event = Event()
        self.is_shutting_down = False
        self.held = 0  # calls at work

    def notify_if_changed(self) -> None:
        if self._told != self._registry.change_count or self.is_shutting_down:
            self._told = self._registry.change_count
            event, self._event = self._event, Event()
            event.set()

    def shut_down(self) -> None:
        """Nobody waits any more."""
        self.is_shutting_down = True
        self.notify_if_changed()

    def wait(self, until: float) -> bool:
        """Wait for news; False: time is up, or the process leaves."""
        left = until - time.monotonic()
        return (
            not self.is_shutting_down
            and left > 0
            and bool(self._event.wait(left))
            and not self.is_shutting_down
        )


class RegistryRpcService:
    """What may be called by frames: `pull` and `swap`."""

    def __init__(self, registry: Registry, bell: ChangeNotifier) -> None:
        self._registry, self._bell = registry, bell
        self.handlers = {"pull": self._pull, "swap": self._swap}

    def _pull(self, body: Any) -> Any:
        began, registry, bell = time.monotonic(), self._registry, self._bell
        fault = registry.begin_pull(body, began)
        if fault is not None:
            return fault
        bell.notify_if_changed()
        bell.held += 1
        try:
            have = body["have"]
            least = max(
                MIN_LONG_POLL_SECONDS, call_interval(registry.session_count, UNTHROTTLED_SESSIONS)
            )  # at a start, all are in a hurry
            until = began + min(LONG_POLL_SECONDS, max(least, body["wait"]))
            eager = bool(body.get("eager"))
            while not (
                registry.has_updates_for(have) or (eager and registry.has_fresh_lease(time.monotonic()))
            ):
                if not bell.wait(until):
                    break
            if have and registry.has_updates_for(have) and not bell.is_shutting_down and not body.get("part"):
                apart = call_interval(registry.session_count, UNTHROTTLED_SESSIONS)
                gevent.sleep(max(BATCHING_DELAY_SECONDS, began + apart - time.monotonic()))
            return registry.pull_response(body, began, time.monotonic())
        finally:
            bell.held -= 1
            registry.end_pull(body["node"])

    def _swap(self, body: Any) -> Any:
        began, registry, bell = time.monotonic(), self._registry, self._bell
        asked = registry.receive_swap_request(body, began)
        if isinstance(asked, Failure):
            return asked
        bell.held += 1
        try:
            while not registry.has_updates_for_peer(*asked) and bell.wait(began + LONG_POLL_SECONDS):
                pass
            return registry.swap_response(*asked, time.monotonic())
        finally:
            bell.held -= 1


class ReplicationLoops:
    """Pulls from the other registries and from the store, and lets go what has lapsed."""

    def __init__(
        self, registry: Registry, store: StoreClient, bell: ChangeNotifier, callers: ClientPool, port: int
    ) -> None:
        """`port`: of the frames, alike on all machines. `broken` is set once a loop has ended by an error."""
        self._registry, self._store, self._bell, self._callers = registry, store, bell, callers
        self._port = port
        self._swaps: dict[str, gevent.Greenlet[..., None]] = {}
        self._others: list[gevent.Greenlet[..., None]] = []
        self.broken = Event()

    def start(self) -> None:
        self._others = [self._spawn(self._watch), self._spawn(self._tick)]

    def _spawn(self, run: Callable[..., None], *args: str) -> "gevent.Greenlet[..., None]":
        greenlet = gevent.spawn(run, *args)
        greenlet.link_exception(self._broken)
        return greenlet

    def _broken(self, greenlet: "gevent.Greenlet[..., None]") -> None:
        """A loop has ended by an error: what it keeps up would go stale unseen, so the process ends."""
        log_event(INVARIANT_VIOLATED, level=CRITICAL, error=repr(greenlet.exception))
        self.broken.set()

    def stop(self) -> None:
        gevent.killall([*self._swaps.values(), *self._others], block=False)

    def _keep(self) -> None:
        wanted = self._registry.peer_ips(time.monotonic())
        for ip in wanted - set(self._swaps):
            self._swaps[ip] = self._spawn(self._swap, ip)
        for ip in set(self._swaps) - wanted:
            self._swaps.pop(ip).kill(block=False)
            self._callers.client((ip, self._port)).close()

    def _tick(self) -> None:
        while True:
            for name in self._registry.tick(time.monotonic()):
                log_event(*((events.PEER_LOST,) if name else (events.WOKE,)), source=name)
            self._bell.notify_if_changed()
            self._keep()
            gevent.sleep(TICK_INTERVAL_SECONDS)

    def _swap(self, ip: str) -> None:
        caller, registry = self._callers.client((ip, self._port)), self._registry
        greet, pause, known = True, INITIAL_BACKOFF_SECONDS, set[str]()
        while True:
            sent = time.monotonic()
            answer = caller.call(
                "swap", registry.swap_request(ip, greet, sent), LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS
            )
            now = time.monotonic()
            fault = (
                answer
                if isinstance(answer, Failure)
                else registry.receive_swap_response(ip, answer, sent, now)
            )
            if fault is not None:
                if fault.reason == FailureReason.OUTCOME_UNKNOWN:
                    caller.close()  # a connection that says nothing is not waited for again
                greet = True
                gevent.sleep(pause)
                pause = min(2 * pause, MAX_BACKOFF_SECONDS)
                continue
            greet, pause = False, INITIAL_BACKOFF_SECONDS
            self._bell.notify_if_changed()
            for name in set(registry.peers) - known:
                if registry.peers[name].ip == ip:
                    log_event(events.PEER_FOUND, source=name, ip=ip)
                    known.add(name)
            gevent.sleep(
                max(BATCHING_DELAY_SECONDS, sent + call_interval(len(self._swaps), UNTHROTTLED_PEERS) - now)
            )

    def _watch(self) -> None:
        own, missed = True, False
        while True:
            sent, have = time.monotonic(), self._registry.operator_config.version
            answer = self._store.watch(
                have,
                OWN_STORE_WATCH_SECONDS if own else LONG_POLL_SECONDS,
                own,
                self._registry.wanted_fragment(),
            )
            now = time.monotonic()
            fresh = False
            if isinstance(answer, Failure):
                if own and not missed:
                    log_event(events.STORE_AWAY, fault=answer)
                missed = missed or own
            else:
                fresh = self._registry.receive_watch_response(answer, sent, now)
                missed = missed and not own
                self._bell.notify_if_changed()
            own = fresh or not own
            if not fresh:
                gevent.sleep(max(0.0, sent + INITIAL_BACKOFF_SECONDS - now))
