"""Who a registry is, as its settings and its start determine it."""

from typing import NamedTuple


class RegistryIdentity(NamedTuple):
    """Name, place and addresses of one registry process.

    `incarnation` is random and new at each start. `http_port` is the port of the HTTP API, the same on
    all core machines. `heartbeat_seconds` is the interval at which workers send heartbeats.
    """

    node: str
    incarnation: str
    ip: str
    zone: str
    region: str
    http_port: int
    heartbeat_seconds: float

    @property
    def source(self) -> str:
        """The name of this registry's own records in version vectors."""
        return f"{self.node}#{self.incarnation}"
