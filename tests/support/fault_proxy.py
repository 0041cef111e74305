"""A TCP proxy on loopback between a client and a server that injects faults at a chosen byte offset."""

import struct
from contextlib import suppress
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket
from gevent.event import Event
from gevent.server import StreamServer

from ashlift.rpc.addresses import Address

HOST: Final = "127.0.0.1"
RECEIVE_BYTES: Final = 65536
RESETTING_LINGER: Final = struct.pack("ii", 1, 0)  # SO_LINGER on with timeout 0: close() sends RST

# directions
TO_SERVER: Final = "to the server"
TO_CLIENT: Final = "to the client"

# kinds of faults
CLOSE: Final = "closed"  # both sides are closed
RESET: Final = "reset"  # both sides are reset
STALL: Final = "stalled"  # forwarding pauses until `end_faults`
STALL_AND_RESET: Final = (
    "stalled and reset"  # later bytes are discarded; both sides are reset at `end_faults`
)
DUPLICATE: Final = "duplicated"  # all bytes since the fault was injected are sent again
REPEAT: Final = "repeated"  # the rest of the received chunk is sent twice
FAULT_KINDS: Final = (CLOSE, RESET, STALL, STALL_AND_RESET, DUPLICATE)


@dataclass
class Fault:
    """A pending fault, which triggers after `remaining_bytes` more bytes in that direction."""

    direction: str
    remaining_bytes: int
    kind: str
    seen: bytes = b""  # forwarded since the fault was injected


class FaultProxy:
    """Forwards bytes between clients that connect to `address` and the server.

    A fault triggers on the connection that forwards the byte at its offset, counted over all connections.
    """

    def __init__(self, server_address: Address) -> None:
        self.server_address = server_address
        self.pending_faults: dict[str, Fault] = {}  # by direction
        self.fault_count = 0  # faults that have triggered
        self.fault_struck = Event()  # set once the bytes before the fault have been forwarded
        self.forwarded_bytes = {TO_SERVER: 0, TO_CLIENT: 0}
        self.connection_count = 0
        self._faults_ended = Event()
        self._sockets: set[socket.socket] = set()
        self._server = StreamServer((HOST, 0), self._handle_connection, backlog=64)
        self._server.start()
        self.address: Address = (HOST, self._server.server_port or 0)

    def inject(self, direction: str, after_bytes: int, kind: str) -> None:
        self._faults_ended.clear()
        self.fault_struck.clear()
        self.pending_faults[direction] = Fault(direction, after_bytes, kind)

    def end_faults(self) -> None:
        """Cancel pending faults and end stalls; stalled bytes are forwarded."""
        self.pending_faults.clear()
        self._faults_ended.set()

    def reset_connections(self) -> None:
        for sock in list(self._sockets):
            _reset(sock)

    def close(self) -> None:
        self._server.close()
        self.reset_connections()

    def _handle_connection(self, client: socket.socket, _: Address) -> None:
        self.connection_count += 1
        try:
            server = socket.create_connection(self.server_address)
        except OSError:
            _reset(client)
            return
        self._sockets |= {client, server}
        pumps = [
            gevent.spawn(self._forward, client, server, TO_SERVER),
            gevent.spawn(self._forward, server, client, TO_CLIENT),
        ]
        gevent.joinall(pumps)
        _shut_down(client)
        _shut_down(server)
        self._sockets -= {client, server}

    def _forward(self, source: socket.socket, target: socket.socket, direction: str) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                self.forwarded_bytes[direction] += len(data)
                fault = self.pending_faults.get(direction)
                if fault is not None and len(data) >= fault.remaining_bytes:
                    del self.pending_faults[direction]
                    self.fault_count += 1
                    data = self._strike(fault, data, source, target)
                elif fault is not None:
                    fault.remaining_bytes -= len(data)
                    fault.seen += data
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(source)
            _reset(target)

    def _strike(self, fault: Fault, data: bytes, source: socket.socket, target: socket.socket) -> bytes:
        """Apply the fault and return the bytes left to forward. Raises OSError if it ends the connection."""
        before = data[: fault.remaining_bytes]
        after = data[fault.remaining_bytes :]
        target.sendall(before)
        self.fault_struck.set()
        if fault.kind == DUPLICATE:
            return fault.seen + before + after
        if fault.kind == STALL:
            self._faults_ended.wait()
            return after
        if fault.kind == REPEAT:
            return after + after
        if fault.kind == STALL_AND_RESET:
            discarding = gevent.spawn(self._discard, source)
            self._faults_ended.wait()
            discarding.kill()
        end_connection = _shut_down if fault.kind == CLOSE else _reset
        end_connection(target)
        end_connection(source)
        raise OSError(fault.kind)

    @staticmethod
    def _discard(sock: socket.socket) -> None:
        with suppress(OSError):
            while sock.recv(RECEIVE_BYTES):
                pass


def _shut_down(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()


def _reset(sock: socket.socket) -> None:
    with suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESETTING_LINGER)
    sock.close()
