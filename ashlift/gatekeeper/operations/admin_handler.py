"""Executes admin requests: maintenance of nodes, changes of the lifecycle phase, status and metrics.

Runs in the owner's greenlet only, between two events of the admission gateway.
"""

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Protocol

from ashlift.gatekeeper.admission.interface import Server
from ashlift.gatekeeper.operations.admin_request import AdminRequest, RequestKind
from ashlift.gatekeeper.operations.lifecycle import Lifecycle, PhaseError
from ashlift.gatekeeper.operations.statsd_metrics import Gauges, format_metrics

JSON_TYPE = "application/json"
TEXT_TYPE = "text/plain; charset=utf-8"


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The response to an admin request."""

    status: HTTPStatus
    body: bytes
    content_type: str = JSON_TYPE
    allow: tuple[str, ...] = ()  # methods, for status 405


class NodeRotation(Protocol):
    """The machine list's interface for maintenance. Methods return the changed entries for the gateway."""

    def set_maintenance(self, worker: str, entered: bool, now: float) -> list[Server] | None:
        """Starts or ends the maintenance of a node; None for an unknown id."""

    def replace_maintenance(self, entered: dict[str, float], now: float) -> list[Server]:
        """Replaces the nodes in maintenance by those that another process wrote."""

    def in_maintenance(self) -> dict[str, float]:
        """Ids and when they entered maintenance (Unix ms)."""

    def has_machines(self) -> bool:
        """Whether the list has any node."""


class MaintenanceStore(Protocol):
    """Keeps the nodes in maintenance for other processes."""

    def save(self, nodes: dict[str, float], now: float) -> None:
        """Saves ids and when they entered maintenance (Unix ms)."""


class AdminHandler:
    """Executes admin requests. `drain(True)` starts draining client connections, `drain(False)` ends it."""

    def __init__(
        self,
        name: str,
        classes: Iterable[str],
        lifecycle: Lifecycle,
        rotation: NodeRotation,
        store: MaintenanceStore | None,
        drain: Callable[[bool], None],
        counts: Callable[[], dict[str, int]],
    ) -> None:
        self._name, self._classes, self.lifecycle, self._rotation = name, tuple(classes), lifecycle, rotation
        self._store, self._drain, self._counts = store, drain, counts

    def handle(self, request: AdminRequest, now: float, gauges: Gauges) -> tuple[AdminResponse, list[Server]]:
        """Returns the response and the changed server entries, which the gateway must get next."""
        match request.kind:
            case RequestKind.STATUS:
                ready = self.lifecycle.ready(self._rotation.has_machines())
                status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
                return self._json_response(status, ready=ready, **self._status(gauges)), []
            case RequestKind.METRICS:
                return AdminResponse(
                    HTTPStatus.OK, format_metrics(self._counts(), self._classes, gauges), TEXT_TYPE
                ), []
            case RequestKind.ENTER | RequestKind.EXIT:
                return self._set_maintenance(request, now)
            case RequestKind.STANDBY | RequestKind.ACTIVE:
                return self._change_phase(request.kind is RequestKind.STANDBY), []

    def adopt(self, entered: dict[str, float], now: float) -> list[Server]:
        """Replaces the nodes in maintenance by those that another process wrote."""
        return self._rotation.replace_maintenance(entered, now)

    def _set_maintenance(self, request: AdminRequest, now: float) -> tuple[AdminResponse, list[Server]]:
        entered = request.kind is RequestKind.ENTER
        changed = self._rotation.set_maintenance(request.worker, entered, now)
        if changed is None:
            return self._json_response(
                HTTPStatus.NOT_FOUND, error=f"no worker {request.worker!r} is known"
            ), []
        if self._store is not None:
            self._store.save(self._rotation.in_maintenance(), now)
        return self._json_response(HTTPStatus.OK, worker=request.worker, out_by_hand=entered), changed

    def _change_phase(self, standby: bool) -> AdminResponse:
        try:
            changed = self.lifecycle.standby() if standby else self.lifecycle.active()
        except PhaseError as error:
            return self._json_response(HTTPStatus.CONFLICT, error=str(error))
        if changed:
            self._drain(standby)
        return self._json_response(HTTPStatus.OK, phase=self.lifecycle.phase.value)

    def _status(self, gauges: Gauges) -> dict[str, Any]:
        return {
            "gatekeeper": self._name,
            "phase": self.lifecycle.phase.value,
            "out_by_hand": sorted(self._rotation.in_maintenance()),
            "open_requests": gauges.open_requests,
            "registry_entries": gauges.registry_entries,
            "out_of_rotation": gauges.out_of_rotation,
        }

    @staticmethod
    def _json_response(status: HTTPStatus, **fields: Any) -> AdminResponse:
        return AdminResponse(status, json.dumps(fields, sort_keys=True).encode() + b"\n")
