"""The baseline: a TCP relay that forwards bytes unparsed, which shows the throughput of gevent itself."""

import gevent
from gevent import socket

from benchmarks.bodies.transfer_pace import MAX_STEP_BYTES


class ByteRelay:
    """Forwards each client connection to the target on a new connection."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))

    def serve(self, client: socket.socket, _address: object) -> None:
        """Forward bytes in both directions until both sides have ended."""
        with socket.create_connection(self._target) as server:
            for connection in (client, server):
                connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            gevent.joinall([gevent.spawn(_copy, client, server), gevent.spawn(_copy, server, client)])


def _copy(source: socket.socket, sink: socket.socket) -> None:
    buffer = memoryview(bytearray(MAX_STEP_BYTES))
    try:
        while received_bytes := source.recv_into(buffer):
            sink.sendall(buffer[:received_bytes])
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        pass  # either side closed its connection
