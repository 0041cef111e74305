"""Pulls news from the registry that `proxy.registry_client` chooses, and brings it this proxy's counts."""

import random
import time
from collections.abc import Callable

from gevent.event import Event

from ashlift.config.settings import Settings
from ashlift.proxy.registry_client import ANSWER_S, MOST_S, WAIT_S, RegistryClient
from ashlift.proxy.request_router import RequestRouter
from ashlift.rpc.client import ClientPool

PAUSE_S = 0.05


class RegistryPoller:
    def __init__(
        self,
        settings: Settings,
        gate: RequestRouter,
        incarnation: str,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        self._port, self._changed = settings.internal_ports[0] + 1, changed
        self._pulling = RegistryClient(settings, gate, incarnation, rng)
        self._callers = ClientPool()
        self._stopped = Event()

    @property
    def seeds(self) -> list[str]:
        return self._pulling.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._pulling.seeds = seeds

    def run(self) -> None:
        while not self._stopped.is_set():
            if not self._pull():
                self._stopped.wait(PAUSE_S)

    def stop(self) -> None:
        self._stopped.set()

    def _pull(self) -> bool:
        pull = self._pulling.begin(time.monotonic())
        if pull is None:
            return False
        caller = self._callers.client((pull.ip, self._port))
        answer = caller.call("pull", pull.body, WAIT_S + ANSWER_S, MOST_S, pull.dial)
        if not self._pulling.ended(pull, time.monotonic(), answer):
            return False
        self._changed()
        return True
