"""The proxy's numbered events."""

from typing import Final

from ashlift.events import EventType

READY: Final = EventType(401, "ready for clients")
UNREADY: Final = EventType(402, "not ready for clients")
TENANTS: Final = EventType(403, "tenants changed")
