"""What runs inside the process: calls of gatekeepers and other registries, and loops that pull from others.

The wanted state is a set of peers; `keep` starts and ends loops until what runs is what is wanted.
"""

import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event

from ashlift.errors import Failure, FailureReason
from ashlift.events import BROKEN, CRITICAL, tell
from ashlift.registry import events
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import Store
from ashlift.rpc.transport import Callers

WAIT_S = 0.25  # a call is held open for so long at most
LEAST_S = 0.05  # and for so long at least where nothing is new: a caller in a hurry must not spin
GATHER_S = 0.02  # news that come together are told together
CALLERS_FEW, PEERS_FEW = 2, 3  # with more of them, calls for news come less often: so much a head, s, up to
SPREAD_S, SPREAD_MOST_S = 0.02, 0.25
ANSWER_S = 0.6  # s for an answer beyond the wait
WATCH_S = 0.1  # the own store is asked so often: the age of its proof grows by this
PAUSE_S = (0.1, 1.0)  # after a call that failed: at first, at most
TICK_S = 0.25


def spread(heads: int, few: int) -> float:
    """s that one's calls are apart at least in times of much news: by each piece of it all would be woken."""
    return min(SPREAD_MOST_S, SPREAD_S * max(0, heads - few))


class Bell:
    """Wakes those who hold calls open."""

    def __init__(self, registry: Registry) -> None:
        self._registry, self._told = registry, registry.news
        self._event = Event()
        self.leaving = False
        self.held = 0  # calls at work

    def ring(self) -> None:
        if self._told != self._registry.news or self.leaving:
            self._told = self._registry.news
            event, self._event = self._event, Event()
            event.set()

    def leave(self) -> None:
        """Nobody waits any more."""
        self.leaving = True
        self.ring()

    def wait(self, until: float) -> bool:
        """Wait for news; False: time is up, or the process leaves."""
        left = until - time.monotonic()
        return not self.leaving and left > 0 and bool(self._event.wait(left)) and not self.leaving


class Calls:
    """What may be called by frames: `pull` and `swap`."""

    def __init__(self, registry: Registry, bell: Bell) -> None:
        self._registry, self._bell = registry, bell
        self.handlers = {"pull": self._pull, "swap": self._swap}

    def _pull(self, body: Any) -> Any:
        began, registry, bell = time.monotonic(), self._registry, self._bell
        fault = registry.pull(body, began)
        if fault is not None:
            return fault
        bell.ring()
        bell.held += 1
        try:
            have = body["have"]
            least = max(LEAST_S, spread(registry.callers, CALLERS_FEW))  # at a start, all are in a hurry
            until = began + min(WAIT_S, max(least, body["wait"]))
            eager = bool(body.get("eager"))
            while not (registry.lacks(have) or (eager and registry.proves(time.monotonic()))):
                if not bell.wait(until):
                    break
            if have and registry.lacks(have) and not bell.leaving and not body.get("part"):
                apart = spread(registry.callers, CALLERS_FEW)
                gevent.sleep(max(GATHER_S, began + apart - time.monotonic()))
            return registry.answer(body, began, time.monotonic())
        finally:
            bell.held -= 1
            registry.pulled(body["node"])

    def _swap(self, body: Any) -> Any:
        began, registry, bell = time.monotonic(), self._registry, self._bell
        asked = registry.asked(body, began)
        if isinstance(asked, Failure):
            return asked
        bell.held += 1
        try:
            while not registry.lacking(*asked) and bell.wait(began + WAIT_S):
                pass
            return registry.told(*asked, time.monotonic())
        finally:
            bell.held -= 1


class Loops:
    """Pulls from the other registries and from the store, and lets go what has lapsed."""

    def __init__(self, registry: Registry, store: Store, bell: Bell, callers: Callers, port: int) -> None:
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
        tell(BROKEN, level=CRITICAL, error=repr(greenlet.exception))
        self.broken.set()

    def stop(self) -> None:
        gevent.killall([*self._swaps.values(), *self._others], block=False)

    def _keep(self) -> None:
        wanted = self._registry.peers(time.monotonic())
        for ip in wanted - set(self._swaps):
            self._swaps[ip] = self._spawn(self._swap, ip)
        for ip in set(self._swaps) - wanted:
            self._swaps.pop(ip).kill(block=False)
            self._callers.to((ip, self._port)).close()

    def _tick(self) -> None:
        while True:
            for name in self._registry.tick(time.monotonic()):
                tell(*((events.PEER_LOST,) if name else (events.WOKE,)), source=name)
            self._bell.ring()
            self._keep()
            gevent.sleep(TICK_S)

    def _swap(self, ip: str) -> None:
        caller, registry = self._callers.to((ip, self._port)), self._registry
        greet, pause, known = True, PAUSE_S[0], set[str]()
        while True:
            sent = time.monotonic()
            answer = caller.call("swap", registry.ask(ip, greet, sent), WAIT_S + ANSWER_S)
            now = time.monotonic()
            fault = answer if isinstance(answer, Failure) else registry.heard(ip, answer, sent, now)
            if fault is not None:
                if fault.reason == FailureReason.OUTCOME_UNKNOWN:
                    caller.close()  # a connection that says nothing is not waited for again
                greet = True
                gevent.sleep(pause)
                pause = min(2 * pause, PAUSE_S[1])
                continue
            greet, pause = False, PAUSE_S[0]
            self._bell.ring()
            for name in set(registry.copies) - known:
                if registry.copies[name].ip == ip:
                    tell(events.PEER_FOUND, source=name, ip=ip)
                    known.add(name)
            gevent.sleep(max(GATHER_S, sent + spread(len(self._swaps), PEERS_FEW) - now))

    def _watch(self) -> None:
        own, missed = True, False
        while True:
            sent, have = time.monotonic(), self._registry.word.version
            answer = self._store.watch(have, WATCH_S if own else WAIT_S, own, self._registry.watches())
            now = time.monotonic()
            fresh = False
            if isinstance(answer, Failure):
                if own and not missed:
                    tell(events.STORE_AWAY, fault=answer)
                missed = missed or own
            else:
                fresh = self._registry.watched(answer, sent, now)
                missed = missed and not own
                self._bell.ring()
            own = fresh or not own
            if not fresh:
                gevent.sleep(max(0.0, sent + PAUSE_S[0] - now))
