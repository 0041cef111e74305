"""Keys of the records that registries replicate and proxies pull: a letter for the kind, a slash, a name."""

from typing import Final

# Key prefixes of the kinds of records.
WORKER_PREFIX: Final = "w/"
SESSION_PREFIX: Final = "g/"
USAGE_PREFIX: Final = "c/"
IN_FLIGHT_PREFIX: Final = "o/"
FAILURES_PREFIX: Final = "f/"
DEPARTURE_PREFIX: Final = "d/"
LEASE_REPORT_PREFIX: Final = "l/"
LEASE_TABLE_PREFIX: Final = "q/"
SILENCE_PREFIX: Final = "s/"
# In responses to `swap` alone: the age of the usage totals, and for how long the call was held.
USAGE_AGE_KEY: Final = "a/"
INSIGNIFICANT_PREFIXES: Final = (
    USAGE_PREFIX,
    IN_FLIGHT_PREFIX,
    FAILURES_PREFIX,
    DEPARTURE_PREFIX,
    LEASE_REPORT_PREFIX,
    LEASE_TABLE_PREFIX,
    SILENCE_PREFIX,
)
PREFIX_LENGTH: Final = 2
# Loops over all records compare these with `key[0]`, which is faster than `startswith`.
WORKER_KIND: Final = WORKER_PREFIX[0]
SESSION_KIND: Final = SESSION_PREFIX[0]
USAGE_KIND: Final = USAGE_PREFIX[0]
DEPARTURE_KIND: Final = DEPARTURE_PREFIX[0]
LEASE_REPORT_KIND: Final = LEASE_REPORT_PREFIX[0]
LEASE_TABLE_KIND: Final = LEASE_TABLE_PREFIX[0]
