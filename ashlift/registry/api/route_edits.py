"""What the resources of single routes share: pending edits at the stores, time stamps, answers.

Modules of `ashlift.route_reconciliation` are loaded when an operator first needs them, not at the start.
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
    """Reads and keeps pending edits, and stamps new ones."""

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
        """The operator's entries by key, as known here."""
        return self._registry.operator_config.values

    def pending(self, new_edits: tuple[Json, ...] = ()) -> "tuple[dict[str, RouteEdit], list[str]]":
        """All edits that are pending at stores in reach, by ID, and the IPs of these stores, which keep
        `new_edits` first."""
        from ashlift.route_reconciliation.edit_sets import decode_edits, join_edits

        answers = self.store.exchange_pending_edits(list(new_edits))
        answered = {ip: edits for ip, edits in answers.items() if not isinstance(edits, Failure)}
        return join_edits(*(decode_edits(edits) for edits in answered.values())), sorted(answered)

    def next_timestamp(self, route: str, pending: "dict[str, RouteEdit]") -> "HybridTimestamp":
        """A new timestamp, later than all that are known of the route."""
        from ashlift.route_reconciliation.hybrid_clock import HybridLogicalClock
        from ashlift.route_reconciliation.proposals import latest_timestamp

        wall_time = time.time()
        now = time.monotonic()
        self._clock = self._clock or HybridLogicalClock(self.node, wall_time, now)
        latest = latest_timestamp(self.entries, pending, route)
        self._clock.observe(latest, wall_time, now)
        return self._clock.next_timestamp(latest, wall_time, now)

    def config_state(self) -> Json:
        """Which configuration this registry holds, and how long ago that was proven the newest."""
        age = self._registry.operator_config.lease_age(time.monotonic())
        return {"version": self.entries.get("Version"), "age": age}


def edit_response(status: int, body: Json, edit_id: str, route: str) -> HttpResponse:
    """The response to an edit, or to what an operator decides about one, which is logged."""
    log_event(events.EDIT_ANSWERED, id=edit_id, route=route, status=status, outcome=body.get("outcome", "-"))
    return HttpResponse(status, body, RETRY_AFTER_SECONDS if status == 503 else None)


def name_in_path(request: HttpRequest) -> str:
    """What the path names, after the resource."""
    return unquote("/".join(request.segments))
