"""Reads the status of the registries of a run from GET /status."""

import json
from collections.abc import Iterable
from typing import Any, Final

from ashlift.errors import Failure
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.lab.system.machine_layout import CONTROL_PORT

STATUS_TIMEOUT_SECONDS: Final = 2.0


class RegistryStatus:
    """Queries core machines; `ips`: by machine name. A registry that does not answer has an empty status."""

    def __init__(self, ips: dict[str, str]) -> None:
        self._ips = ips
        self._names = {ip: name for name, ip in ips.items()}

    def versions(self, machines: Iterable[str]) -> dict[str, int]:
        """Return the configuration version of each registry, 0 if it has none."""
        versions: dict[str, int] = {}
        for name in machines:
            version = self._read(name).get("version") or 0
            versions[name] = int(version, 16) if isinstance(version, str) else version
        return versions

    def known_workers(self, machines: Iterable[str]) -> dict[str, dict[str, bool]]:
        """Return the workers known to each registry, and whether they are ready."""
        return {
            name: {worker["id"]: worker["state"] == "ready" for worker in self._read(name).get("workers", ())}
            for name in machines
        }

    def leader(self, machines: Iterable[str]) -> str | None:
        """Return the leader of the newest term known to any of the registries."""
        statuses = [self._read(name) for name in machines]
        with_leader = [status for status in statuses if status.get("leader")]
        newest = max(with_leader, key=lambda status: status.get("term") or 0, default=None)
        return self._names.get(newest["leader"]) if newest else None

    def _read(self, machine: str) -> dict[str, Any]:
        ip = self._ips[machine]
        head = request_head("GET", "/status", ip, b"")
        answer = exchange((ip, CONTROL_PORT), head, b"", STATUS_TIMEOUT_SECONDS)
        if isinstance(answer, Failure) or answer.status != 200:
            return {}
        status = json.loads(b"".join(answer.parts))
        return status if isinstance(status, dict) else {}
