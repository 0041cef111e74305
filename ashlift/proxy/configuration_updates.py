"""Pulls news from the registry that `proxy.registry_client` chooses, and brings it this proxy's counts."""

import random
import time
from collections.abc import Callable

from gevent.event import Event

from ashlift.config.settings import Settings
from ashlift.proxy.registry_client import (
    LONG_POLL_SECONDS,
    MAX_RESPONSE_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    RegistryClient,
)
from ashlift.proxy.request_router import RequestRouter
from ashlift.rpc.client import ClientPool

RETRY_PAUSE_SECONDS = 0.05


class RegistryPoller:
    def __init__(
        self,
        settings: Settings,
        gate: RequestRouter,
        incarnation: str,
        rng: random.Random,
        changed: Callable[[], None],
    ) -> None:
        self._port, self._on_change = settings.internal_ports[0] + 1, changed
        self._registry_client = RegistryClient(settings, gate, incarnation, rng)
        self._rpc_clients = ClientPool()
        self._stopped = Event()

    @property
    def seeds(self) -> list[str]:
        return self._registry_client.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._registry_client.seeds = seeds

    def run(self) -> None:
        while not self._stopped.is_set():
            if not self._pull():
                self._stopped.wait(RETRY_PAUSE_SECONDS)

    def stop(self) -> None:
        self._stopped.set()

    def _pull(self) -> bool:
        pull = self._registry_client.next_request(time.monotonic())
        if pull is None:
            return False
        caller = self._rpc_clients.client((pull.registry_ip, self._port))
        answer = caller.call(
            "pull",
            pull.body,
            LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS,
            MAX_RESPONSE_SECONDS,
            pull.connect_timeout,
        )
        if not self._registry_client.handle_response(pull, time.monotonic(), answer):
            return False
        self._on_change()
        return True
