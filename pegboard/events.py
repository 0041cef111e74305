"""The registry's numbered events (3xx); the words are in docs/events.md."""

from typing import Final

PEER_FOUND: Final = (301, "another registry answers")
PEER_LOST: Final = (302, "a silent registry's records are dropped")
WORKER_NEW: Final = (303, "a worker is known")
WORKER_GONE: Final = (304, "a worker is gone")
GATEKEEPER_NEW: Final = (305, "a gatekeeper's session stands")
GATEKEEPER_GONE: Final = (306, "a gatekeeper's session has ended")
WOKE: Final = (307, "woke after a standstill: leases start anew")
ORDER: Final = (308, "an order of the operator was answered")
STORE_AWAY: Final = (309, "the own store does not answer")
