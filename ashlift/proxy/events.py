"""The proxy's log events, numbered 4xx; docs/events.md describes them."""

from typing import Final

from ashlift.events import EventType

READY: Final = EventType(401, "ready for clients")
NOT_READY: Final = EventType(402, "not ready for clients")
TENANTS_CHANGED: Final = EventType(403, "tenants changed")
REQUEST_UNANSWERED: Final = EventType(404, "request ended without a response")
STOPPED: Final = EventType(405, "stopped")
BODIES_TOO_LARGE: Final = EventType(406, "bodies of the maximum size do not fit in memory")
