"""`/instances/ID`: heartbeats and deregistrations of workers.

Drains and deregistrations are acknowledged after a majority of the registries holds them.
"""

import time
from collections.abc import Callable
from typing import Final

import gevent

from ashlift.errors import Failure
from ashlift.events import log_event
from ashlift.registry import events
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.registry.api.messages import HttpRequest, HttpResponse, error_response
from ashlift.registry.api.resource import RETRY_AFTER_SECONDS, Resource
from ashlift.registry.pacing import LEAVE_CONFIRMATION_POLL_SECONDS, LEAVE_CONFIRMATION_SECONDS
from ashlift.registry.records import WorkerState
from ashlift.registry.registry import Registry
from ashlift.registry.worker_instances import HeartbeatOutcome

MAX_WORKER_ID_LENGTH: Final = 200
REFUSALS: Final = {
    HeartbeatOutcome.DEPARTED: "the worker has left since",
    HeartbeatOutcome.OUTDATED: "a call with a higher CallSeq has come",
    HeartbeatOutcome.UNCERTAIN: "it may be late: send it again",
}


class InstancesResource(Resource):
    """Handles heartbeats; outdated ones are not acknowledged, because no record is kept of them."""

    def __init__(self, registry: Registry, notify_if_changed: Callable[[], None]) -> None:
        """`notify_if_changed`: wakes long polls after a change."""
        self._registry = registry
        self._notify_if_changed = notify_if_changed

    def put(self, request: HttpRequest) -> HttpResponse:
        """Record a heartbeat; the response has the registry to which to send the next one."""
        now = time.monotonic()
        worker_id = _worker_id(request)
        if worker_id is None:
            return error_response(400, "PUT /instances/ID")
        record = parse_heartbeat(request.body, now)
        if isinstance(record, Failure):
            return error_response(400, record.detail)
        outcome = self._registry.record_heartbeat(worker_id, record, request.not_written_before, now)
        self._notify_if_changed()
        if outcome is not HeartbeatOutcome.RECORDED:
            log_event(events.HEARTBEAT_REFUSED, worker=worker_id, seq=record.call_seq, reason=outcome.value)
            return error_response(503, REFUSALS[outcome], RETRY_AFTER_SECONDS)
        # The heartbeat is recorded, but the worker should use another registry.
        if self._registry.is_isolated(now):
            return error_response(503, "out of reach of the other registries", RETRY_AFTER_SECONDS)
        if record.state is WorkerState.DRAINING and not self._await_confirmation(worker_id, now):
            return error_response(503, "not confirmed by the other registries", RETRY_AFTER_SECONDS)
        return HttpResponse(200, {"HeartbeatTarget": self._registry.heartbeat_target(record.zone, now)})

    def delete(self, request: HttpRequest) -> HttpResponse:
        """Deregister the worker."""
        worker_id = _worker_id(request)
        if worker_id is None:
            return error_response(400, "DELETE /instances/ID")
        now = time.monotonic()
        self._registry.instances.deregister(worker_id, now)
        self._notify_if_changed()
        is_confirmed = self._await_confirmation(worker_id, now)
        log_event(events.WORKER_DEREGISTERED, worker=worker_id, confirmed=is_confirmed)
        if not is_confirmed:
            return error_response(503, "not confirmed by the other registries", RETRY_AFTER_SECONDS)
        return HttpResponse(200, {})

    def _await_confirmation(self, worker_id: str, recorded_at: float) -> bool:
        """Wait until a majority holds the departure recorded at that time; returns False on timeout."""
        deadline = recorded_at + LEAVE_CONFIRMATION_SECONDS
        while not self._registry.is_departure_confirmed(worker_id, recorded_at):
            if time.monotonic() >= deadline:
                return False
            gevent.sleep(LEAVE_CONFIRMATION_POLL_SECONDS)
        return True


def _worker_id(request: HttpRequest) -> str | None:
    segments = request.segments
    if len(segments) != 1 or not 0 < len(segments[0]) <= MAX_WORKER_ID_LENGTH:
        return None
    return segments[0]
