"""Shared by the resources of route edits: pending edits at the stores, timestamps and responses.

Modules of `ashlift.route_reconciliation` are imported on first use, to keep the start fast.
"""

import time
from typing import TYPE_CHECKING
from urllib.parse import unquote

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.api.messages import HttpRequest, HttpResponse
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS
from ashlift.registry.messages import Json
from ashlift.registry.registry import Registry
from ashlift.registry.store_client import StoreClient

if TYPE_CHECKING:
    from ashlift.route_reconciliation.edits import RouteEdit
    from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock, HybridTimestamp


class RouteEditService:
    """Reads and stores pending edits, and assigns timestamps to new ones."""

    def __init__(self, registry: Registry, store: StoreClient) -> None:
        self.store = store
        self._registry = registry
        self._clock: HybridLogicalClock | None = None

    @property
    def node(self) -> str:
        """The name of this core machine."""
        return self._registry.identity.node

    @property
    def entries(self) -> Json:
        """The configuration entries by key, as known by this registry."""
        return self._registry.operator_config.values

    def pending(self, new_edits: tuple[Json, ...] = ()) -> "tuple[dict[str, RouteEdit], list[str]]":
        """All pending edits at reachable stores by ID, and the IPs of these stores.

        The stores first add `new_edits` to their pending edits.
        """
        from ashlift.route_reconciliation.edit_sets import decode_edits, join_edits

        answers = self.store.exchange_pending_edits(list(new_edits))
        answered = {ip: edits for ip, edits in answers.items() if not isinstance(edits, Failure)}
        return join_edits(*(decode_edits(edits) for edits in answered.values())), sorted(answered)

    def next_timestamp(self, route: str, pending: "dict[str, RouteEdit]") -> "HybridTimestamp":
        """A timestamp later than all known ones of the route."""
        from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock
        from ashlift.route_reconciliation.proposals import latest_timestamp

        wall_time = time.time()
        now = time.monotonic()
        self._clock = self._clock or HybridLogicalClock(self.node, wall_time, now)
        latest = latest_timestamp(self.entries, pending, route)
        self._clock.observe(latest, wall_time, now)
        return self._clock.next_timestamp(latest, wall_time, now)

    def config_state(self) -> Json:
        """Version of the configuration held by this registry, and the age of its freshness lease."""
        age = self._registry.operator_config.lease_age(time.monotonic())
        return {"version": self.entries.get("Version"), "age": age}


def edit_response(status: int, body: Json, edit_id: str, route: str) -> HttpResponse:
    """Log the result of an edit or of a decision on one, and return the response."""
    log_event(events.EDIT_ANSWERED, id=edit_id, route=route, status=status, outcome=body.get("outcome", "-"))
    return HttpResponse(status, body, RETRY_AFTER_SECONDS if status == 503 else None)


def name_in_path(request: HttpRequest) -> str:
    """The decoded path after the resource name."""
    return unquote("/".join(request.segments))
