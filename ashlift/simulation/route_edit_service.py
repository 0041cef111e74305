"""Edits of single routes at a simulated registry, as `ashlift.registry.api` handles them."""

from typing import Any

from ashlift.errors import Failure
from ashlift.registry.operator_request import NOT_EXECUTED_REASONS
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import PENDING_EDITS_TIMEOUT_SECONDS
from ashlift.route_reconciliation.edit_codec import encode_edit
from ashlift.route_reconciliation.edit_sets import decode_edits, join_edits
from ashlift.route_reconciliation.edits import RouteChanged, RouteEdit
from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock, HybridTimestamp
from ashlift.route_reconciliation.proposals import decode_request, latest_timestamp, prepare_pending
from ashlift.route_reconciliation.stored_records import outcome_of
from ashlift.simulation import configstore_process
from ashlift.simulation.process import Process, Task
from ashlift.simulation.simulated_store_client import SimulatedStoreClient


class RouteEditService:
    """Handles edits and decisions for one incarnation of a registry; returns a status and a value."""

    def __init__(self, process: Process, registry: Registry, store_client: SimulatedStoreClient) -> None:
        self._process = process
        self._registry = registry
        self._store_client = store_client
        self._hybrid_clock = HybridLogicalClock(process.name, self._wall_clock(), process.clock())

    def _wall_clock(self) -> float:
        return self._process.loop.now + self._process.machine.wall_clock_skew

    def edit(self, request: dict[str, Any]) -> Task:
        """Submit an edit; if the stores did not decide it, leave it pending at the reachable stores."""
        name = request["name"]
        entries = self._registry.operator_config.values
        edit = decode_request(entries, name, request, self._timestamp(name, {}), self._process.name)
        assert isinstance(edit, RouteEdit)
        command = {"kind": "edit", "if_match": None, "body": {"edit": encode_edit(edit)}}
        response = yield from self._store_client.submit(command)
        if not isinstance(response, Failure):
            return response["status"], response
        pending_edits, _ = yield from self._pending_edits([])
        may_have_run = response.reason not in NOT_EXECUTED_REASONS
        pending = prepare_pending(entries, pending_edits, edit, may_have_run)
        if isinstance(pending, RouteChanged):
            return 409, pending.encode()
        _, holders = yield from self._pending_edits([encode_edit(pending)])
        if not holders:
            return 503, {}
        return 202, {"outcome": "waits", "auto": pending.automatic, "held": holders}

    def decide(self, request: dict[str, Any]) -> Task:
        """Submit the operator's decision on a pending edit."""
        outcome = outcome_of(self._registry.operator_config.values, request["id"])
        if outcome:
            return 200, outcome
        pending_edits, _ = yield from self._pending_edits([])
        edit = pending_edits.get(request["id"])
        if edit is None:
            return 404, {}
        decision = {"edit": encode_edit(edit), "who": request["who"], "over": request["over"]}
        decision["stamp"] = [*self._timestamp(edit.route, pending_edits)]
        version = self._registry.operator_config.values.get("Version")
        command = {"kind": request["word"], "if_match": version, "body": decision}
        response = yield from self._store_client.submit(command)
        return (503, {}) if isinstance(response, Failure) else (response["status"], response)

    def _pending_edits(self, added: list[dict[str, Any]]) -> Task:
        """Add pending edits at all stores; returns all pending edits, and the stores that responded."""
        ips = dict.fromkeys([self._process.name, *self._store_client.stores()])
        responses = {
            ip: self._process.call(
                ip, configstore_process.KIND, "drafts", {"add": added}, PENDING_EDITS_TIMEOUT_SECONDS
            )
            for ip in ips
        }
        pending_edits: dict[str, RouteEdit] = {}
        holders = []
        for ip, future in responses.items():
            response = yield future
            if not isinstance(response, Failure):
                holders.append(ip)
                pending_edits = join_edits(pending_edits, decode_edits(response["edits"]))
        return pending_edits, holders

    def _timestamp(self, route: str, pending_edits: dict[str, RouteEdit]) -> HybridTimestamp:
        latest = latest_timestamp(self._registry.operator_config.values, pending_edits, route)
        self._hybrid_clock.observe(latest, self._wall_clock(), self._process.clock())
        return self._hybrid_clock.next_timestamp(latest, self._wall_clock(), self._process.clock())
