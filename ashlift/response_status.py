"""Statuses of the configuration store's answers to operators: HTTP's numbers, which registries pass on."""

from typing import Final

OK: Final = 200
BAD_REQUEST: Final = 400
CONFLICT: Final = 409
PRECONDITION_FAILED: Final = 412
SERVICE_UNAVAILABLE: Final = 503
