"""The registry's numbered events (3xx); the words are in docs/events.md."""

from typing import Final

PEER_FOUND: Final = (301, "peer registry found")
PEER_LOST: Final = (302, "peer registry lost: its records are dropped")
WORKER_DEREGISTERED: Final = (303, "worker deregistered")
STOOD_STILL: Final = (304, "resumed after a standstill: leases are renewed")
COMMAND_ANSWERED: Final = (305, "operator command answered")
STORE_UNREACHABLE: Final = (306, "own configuration store unreachable")
EDIT_ANSWERED: Final = (307, "route edit answered")
