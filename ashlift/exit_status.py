"""Exit statuses of the programs."""

import os
from typing import Final

OK: Final = 0
INVALID_SETTINGS: Final = 2  # of registry and proxy
INVALID_STORE_SETTINGS: Final = os.EX_CONFIG  # of the configuration store
CANNOT_LISTEN: Final = os.EX_OSERR  # an address can never be bound
INTERNAL_ERROR: Final = os.EX_SOFTWARE  # an unhandled error or a broken invariant
