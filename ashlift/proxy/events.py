"""The proxy's numbered events."""

from typing import Final

READY: Final = (401, "ready for clients")
UNREADY: Final = (402, "not ready for clients")
TENANTS: Final = (403, "tenants changed")
