"""Names of figures that are recorded and read by different modules: keys of docs/capacity/scale.json.

The names match existing records: a gatekeeper is a proxy, a beat a heartbeat, a sum a tenant's usage total,
and "the members" are the core machines. `@` in a name is followed by the number of entries.
"""

from typing import Final

PULL_IN_BYTES: Final = "registry: pull in, bytes"
TAKING_A_PULL_MS: Final = "registry: taking a pull, ms"
ANSWER_WITH_SUMS_MS: Final = "registry: answer with sums, ms"
ANSWER_WITH_SUMS_BYTES: Final = "registry: answer with sums, bytes"
SWAP_MS: Final = "registry: swap told, ms"
SWAP_BYTES: Final = "registry: swap told, bytes"
FIRST_ANSWER_MS: Final = "registry: first answer to a gatekeeper, ms"
FIRST_ANSWER_BYTES: Final = "registry: first answer to a gatekeeper, bytes"
HEARTBEAT_MS: Final = "registry: a beat, ms"
CORE_MEMBERS_MS: Final = "registry: of that and of each answer, the members looked for, ms"

CONFIGURATION_SIZE_RATIO: Final = "gatekeeper: configuration opened, x the most that is taken"
IDLE_PULL_MS: Final = "gatekeeper: a pull, nothing new, ms"
PULL_WITH_SUMS_MS: Final = "gatekeeper: a pull with sums, ms"
PROXY_MEMORY_PREFIX: Final = "gatekeeper: memory"

PUT_BYTES: Final = "store: PUT of a whole configuration, bytes"
PUT_MS: Final = "store: PUT checked and laid out, ms"
PATCH_MS: Final = "store: PATCH of one route checked, ms"
MAP_TO_REGISTRY_BYTES: Final = "store: whole map to a registry, bytes"

ENTRIES_SEPARATOR: Final = " @ "


def with_entries(name: str, entries: int | str) -> str:
    """The name of a figure for a message with `entries` entries."""
    return f"{name}{ENTRIES_SEPARATOR}{entries}"


def is_by_entries(name: str) -> bool:
    """Whether the name contains a number of entries."""
    return "@" in name


def entries_in(name: str) -> float:
    """The number of entries in the name of a figure."""
    return float(name.rpartition(ENTRIES_SEPARATOR)[2])
