"""Greenlets that replicate from the other registries and the configuration store, and expire leases.

One swap loop runs for each peer; each tick starts and ends loops as peers appear and disappear.
"""

import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent.event import Event

from ashlift.errors import Failure, FailureReason
from ashlift.events import CRITICAL, UNHANDLED_ERROR, log_event
from ashlift.registry import codec, events
from ashlift.registry.change_notifier import ChangeNotifier
from ashlift.registry.messages import Json
from ashlift.registry.pacing import (
    BATCHING_DELAY_SECONDS,
    INITIAL_BACKOFF_SECONDS,
    LONG_POLL_SECONDS,
    UNTHROTTLED_PEERS,
    call_interval,
    next_backoff,
)
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool

RESPONSE_TIMEOUT_SECONDS: Final = 0.6  # for the response, in addition to the long poll
LOCAL_STORE_WATCH_SECONDS: Final = 0.1  # long poll at the local store; it adds to the age of the lease
TICK_INTERVAL_SECONDS: Final = 0.25


class ReplicationLoops:
    """`failed` is set when a loop raises an exception; the process must then end, as records go stale."""

    def __init__(
        self, registry: Registry, store: StoreClient, notifier: ChangeNotifier, clients: ClientPool, port: int
    ) -> None:
        """`port`: RPC port of the registries, the same on all core machines."""
        self._registry = registry
        self._store = store
        self._notifier = notifier
        self._clients = clients
        self._port = port
        self._swap_loops: dict[str, gevent.Greenlet[..., None]] = {}  # by IP of the peer
        self._loop_functions: list[Callable[[], None]] = [self._watch_loop, self._tick_loop]
        self._other_loops: list[gevent.Greenlet[..., None]] = []
        self.failed = Event()

    def add(self, run: Callable[[], None]) -> None:
        """Have `start` start another loop beside those of this class."""
        self._loop_functions.append(run)

    def start(self) -> None:
        """Start all loops."""
        self._other_loops = [self._spawn(run) for run in self._loop_functions]

    def stop(self) -> None:
        """End all loops immediately."""
        gevent.killall([*self._swap_loops.values(), *self._other_loops], block=False)

    def _spawn(self, run: Callable[..., None], *args: str) -> "gevent.Greenlet[..., None]":
        greenlet = gevent.spawn(run, *args)
        greenlet.link_exception(self._fail)
        return greenlet

    def _fail(self, greenlet: "gevent.Greenlet[..., None]") -> None:
        log_event(UNHANDLED_ERROR, level=CRITICAL, error=repr(greenlet.exception))
        self.failed.set()

    def _tick_loop(self) -> None:
        while True:
            result = self._registry.tick(time.monotonic())
            if result.was_paused:
                log_event(events.RESUMED_AFTER_PAUSE)
            for source in result.dropped_peers:
                log_event(events.PEER_LOST, source=source)
            self._notifier.notify_if_changed()
            self._adjust_swap_loops()
            gevent.sleep(TICK_INTERVAL_SECONDS)

    def _adjust_swap_loops(self) -> None:
        wanted = self._registry.peer_ips(time.monotonic())
        for ip in wanted - set(self._swap_loops):
            self._swap_loops[ip] = self._spawn(self._swap_loop, ip)
        for ip in set(self._swap_loops) - wanted:
            self._swap_loops.pop(ip).kill(block=False)
            self._clients.client((ip, self._port)).close()

    def _swap_loop(self, ip: str) -> None:
        include_caller_ip = True
        backoff = INITIAL_BACKOFF_SECONDS
        logged: set[str] = set()
        while True:
            sent_at = time.monotonic()
            failure = self._swap(ip, include_caller_ip, sent_at)
            include_caller_ip = failure is not None
            if failure is not None:
                if failure.reason == FailureReason.OUTCOME_UNKNOWN:
                    self._clients.client((ip, self._port)).close()  # do not reuse an unresponsive connection
                gevent.sleep(backoff)
                backoff = next_backoff(backoff)
                continue
            received_at = time.monotonic()
            backoff = INITIAL_BACKOFF_SECONDS
            self._notifier.notify_if_changed()
            self._log_new_incarnations(ip, logged)
            interval = call_interval(len(self._swap_loops), UNTHROTTLED_PEERS)
            gevent.sleep(max(BATCHING_DELAY_SECONDS, sent_at + interval - received_at))

    def _swap(self, ip: str, include_caller_ip: bool, sent_at: float) -> Failure | None:
        """Request the records of a peer once."""
        body = codec.encode_swap_request(self._registry.peers.swap_request(ip, include_caller_ip))
        client = self._clients.client((ip, self._port))
        answer = client.call("swap", body, LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS)
        if isinstance(answer, Failure):
            return answer
        response = codec.decode_swap_response(answer, time.monotonic())
        if isinstance(response, Failure):
            return response
        self._registry.receive_swap_response(ip, response, sent_at)
        return None

    def _log_new_incarnations(self, ip: str, logged: set[str]) -> None:
        """Log each incarnation of the peer at `ip` once; `logged`: the sources logged before."""
        replicas = self._registry.peers.replicas
        for source in set(replicas) - logged:
            if replicas[source].ip == ip:
                log_event(events.PEER_FOUND, source=source, ip=ip)
                logged.add(source)

    def _watch_loop(self) -> None:
        """Watch the local store, and a remote one after each response that does not renew the lease."""
        use_local_store = True
        local_store_is_unreachable = False
        while True:
            sent_at = time.monotonic()
            answer = self._watch(use_local_store)
            received_at = time.monotonic()
            has_proof = False
            if isinstance(answer, Failure):
                if use_local_store and not local_store_is_unreachable:
                    log_event(events.STORE_UNREACHABLE, error=answer)
                local_store_is_unreachable = local_store_is_unreachable or use_local_store
            else:
                has_proof = self._registry.operator_config.receive_watch_response(answer, sent_at)
                local_store_is_unreachable = local_store_is_unreachable and not use_local_store
                self._notifier.notify_if_changed()
            use_local_store = has_proof or not use_local_store
            if not has_proof:
                gevent.sleep(max(0.0, sent_at + INITIAL_BACKOFF_SECONDS - received_at))

    def _watch(self, use_local_store: bool) -> Json | Failure:
        config = self._registry.operator_config
        wait_seconds = LOCAL_STORE_WATCH_SECONDS if use_local_store else LONG_POLL_SECONDS
        return self._store.watch(config.version, wait_seconds, use_local_store, config.wanted_fragment())
