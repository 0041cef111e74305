"""HTTP status codes in the configuration store's responses to operators, which registries relay."""

from typing import Final

OK: Final = 200
BAD_REQUEST: Final = 400
CONFLICT: Final = 409
PRECONDITION_FAILED: Final = 412
SERVICE_UNAVAILABLE: Final = 503
