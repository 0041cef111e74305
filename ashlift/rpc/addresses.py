"""Network addresses as host and port."""

from typing import Final

Address = tuple[str, int]  # host and port, as sockets expect them

MAX_PORT: Final = 65535


def parse_address(text: str) -> Address:
    """Parse `HOST:PORT`.

    Raises ValueError if the host is missing or the port is not a number from 1 to `MAX_PORT`.
    """
    host, _, port_text = text.rpartition(":")
    if not host:
        raise ValueError(f"address without a host: {text!r}")
    port = int(port_text)
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"port is not between 1 and {MAX_PORT}: {text!r}")
    return host, port
