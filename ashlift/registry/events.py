"""Log events of the registry (3xx), documented in docs/events.md."""

from typing import Final

from ashlift.events import EventType

PEER_FOUND: Final = EventType(301, "peer registry found")
PEER_LOST: Final = EventType(302, "peer registry lost: its records are dropped")
WORKER_DEREGISTERED: Final = EventType(303, "worker deregistered")
RESUMED_AFTER_PAUSE: Final = EventType(304, "resumed after a standstill: leases are renewed")
COMMAND_ANSWERED: Final = EventType(305, "operator command answered")
STORE_UNREACHABLE: Final = EventType(306, "own configuration store unreachable")
EDIT_ANSWERED: Final = EventType(307, "route edit answered")
READY_PROXIES_SHORT: Final = EventType(308, "region short of ready proxies, or no longer")
HEARTBEAT_REFUSED: Final = EventType(309, "heartbeat refused")
DEPARTURES_UNREADABLE: Final = EventType(310, "departures of workers cannot be read from the disk")
DEPARTURES_NOT_WRITTEN: Final = EventType(311, "departures of workers cannot be written to the disk")
