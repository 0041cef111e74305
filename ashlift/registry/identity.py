"""The identity of a registry process, from its settings and its start."""

from typing import NamedTuple


class RegistryIdentity(NamedTuple):
    """Name, locality and addresses of a registry process.

    `incarnation`: random, new at each start. `http_port`: port of the HTTP API, the same on all core
    machines. `heartbeat_seconds`: interval at which workers send heartbeats.
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
        """The name of this registry's source in version vectors."""
        return f"{self.node}#{self.incarnation}"
