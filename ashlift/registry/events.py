"""The registry's numbered events (3xx); the words are in docs/events.md."""

from typing import Final

PEER_FOUND: Final = (301, "another registry answers")
PEER_LOST: Final = (302, "a silent registry's records are dropped")
WORKER_GONE: Final = (303, "a worker has left")
WOKE: Final = (304, "woke after a standstill: leases start anew")
ORDER: Final = (305, "an order of the operator was answered")
STORE_AWAY: Final = (306, "the own store does not answer")
EDIT: Final = (307, "an edit of a route was answered")
