"""Polls a registry for configuration and cluster state, and reports this proxy's load and usage to it.

`ashlift.proxy.registry_client` builds the calls and applies the responses.
"""

import random
import time
from collections.abc import Callable
from typing import Final

from gevent.event import Event

from ashlift.config.settings import Settings
from ashlift.proxy.pull_messages import PULL_METHOD
from ashlift.proxy.registry_client import (
    LONG_POLL_SECONDS,
    MAX_RESPONSE_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    RegistryClient,
)
from ashlift.proxy.request_router import RequestRouter
from ashlift.rpc.client import ClientPool

RETRY_PAUSE_SECONDS: Final = 0.05
REGISTRY_PORT_OFFSET: Final = 1  # of the internal ports


class RegistryPoller:
    """The polling loop. Calls `on_change` after each applied response."""

    def __init__(
        self,
        settings: Settings,
        router: RequestRouter,
        incarnation: str,
        rng: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        self._port = settings.internal_ports[0] + REGISTRY_PORT_OFFSET
        self._on_change = on_change
        self._registry_client = RegistryClient(settings, router, incarnation, rng)
        self._rpc_clients = ClientPool()
        self._stopped = Event()

    @property
    def seeds(self) -> list[str]:
        """IPs of the registries in the settings file."""
        return self._registry_client.seeds

    @seeds.setter
    def seeds(self, seeds: list[str]) -> None:
        self._registry_client.seeds = seeds

    def run(self) -> None:
        """Poll until `stop` is called."""
        while not self._stopped.is_set():
            if not self._pull():
                self._stopped.wait(RETRY_PAUSE_SECONDS)

    def stop(self) -> None:
        """End the loop after the current call."""
        self._stopped.set()

    def _pull(self) -> bool:
        """Make one call; returns whether there was a valid response."""
        request = self._registry_client.next_request(time.monotonic())
        if request is None:
            return False
        answer = self._rpc_clients.client((request.registry_ip, self._port)).call(
            PULL_METHOD,
            request.body,
            LONG_POLL_SECONDS + RESPONSE_TIMEOUT_SECONDS,
            MAX_RESPONSE_SECONDS,
            request.connect_timeout,
        )
        if not self._registry_client.handle_response(request, time.monotonic(), answer):
            return False
        self._on_change()
        return True
