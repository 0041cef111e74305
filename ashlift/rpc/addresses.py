"""Network addresses as host and port."""

from typing import Final

Address = tuple[str, int]  # host, port: the form that sockets take

MAX_PORT: Final = 65535


def parse_address(text: str) -> Address:
    """Read `HOST:PORT`.

    Raises ValueError where the host is missing or the port is no number from 1 to `MAX_PORT`.
    """
    host, _, port_text = text.rpartition(":")
    if not host:
        raise ValueError(f"no address: {text}")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"no address: {text}")
    return host, port
