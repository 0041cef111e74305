"""Responses that are relayed while they are received, since they are too long to be held."""

import time
from collections.abc import Callable
from typing import Final

import gevent
from gevent import socket

from ashlift.memory.pool import MemoryPool
from ashlift.proxy.responses import WorkerResponse

UNCOUNTED_BYTES: Final = 4 << 10  # covered by the allowance for the connection
MAX_BUFFERED_BYTES: Final = 256 << 10  # longer responses are relayed while they are received
MAX_PARTS: Final = 16  # held separately; each takes more memory than its bytes
RECEIVE_BYTES: Final = 64 << 10
FIRST_RECEIVE_BYTES: Final = 16 << 10  # of a response that may be held whole
MIN_RECEIVE_BYTES: Final = 4 << 10  # when no memory is left
SILENCE_TIMEOUT_SECONDS: Final = 5.0  # after the deadline, without anything from the worker


class ResponseMemory:
    """The memory of the response to one attempt."""

    def __init__(self, pool: MemoryPool) -> None:
        self._pool = pool
        self._share = pool.open(0)

    def hold(self, response: WorkerResponse) -> bool:
        """Count what has been received of a response; returns whether all of it may be held."""
        if response.size <= UNCOUNTED_BYTES and len(response.parts) <= MAX_PARTS:
            if response.done:
                self.release()
            return True
        if response.not_run:
            response.parts = []  # only its head is used
        elif len(response.parts) > MAX_PARTS:
            response.parts = [response.take_body()]
        held_bytes = response.size if response.parts else 0
        if response.done:
            self.take(held_bytes)
            return True
        if held_bytes <= MAX_BUFFERED_BYTES and self._pool.try_grow(self._share, held_bytes):
            return True
        self.take(held_bytes)
        return False

    def take(self, held_bytes: int) -> None:
        """The response holds so many bytes, which have already been received."""
        self._pool.take(self._share, held_bytes)

    def first_receive_size(self, held_bytes: int) -> int:
        """How many bytes to receive next of a response of which `held_bytes` are held."""
        wanted_bytes = held_bytes + FIRST_RECEIVE_BYTES
        return FIRST_RECEIVE_BYTES if self._pool.try_grow(self._share, wanted_bytes) else MIN_RECEIVE_BYTES

    def receive_size(self) -> int:
        """How many bytes to receive next of a response that is relayed."""
        return RECEIVE_BYTES if self._pool.try_grow(self._share, RECEIVE_BYTES) else MIN_RECEIVE_BYTES

    def release(self) -> None:
        """The response is no longer held."""
        if self._share.held_bytes:
            self._pool.release(self._share)


class ResponseStream:
    """The rest of a response. Its reader receives from the worker no faster than it relays to the client."""

    def __init__(
        self,
        response: WorkerResponse,
        memory: ResponseMemory,
        sock: socket.socket,
        deadline: float,
        finish: Callable[[], None],
    ) -> None:
        """`deadline`: monotonic time; the worker may be silent until then. `finish`: frees the connection."""
        self._response = response
        self._memory = memory
        self._sock = sock
        self._deadline = deadline
        self._finish = finish
        self._is_closed = False

    def read(self) -> bytes:
        """The next part of the body, empty at its end.

        Raises OSError or MalformedResponseError if the response breaks off.
        """
        response = self._response
        while not (part := response.take_body()) and not response.done:
            response.feed(self._receive())
        self._memory.take(len(part))
        return part

    def close(self) -> None:
        """Return the connection to the pool, or close it if the response is incomplete."""
        if not self._is_closed:
            self._is_closed = True
            self._finish()

    def _receive(self) -> bytes:
        silence = max(SILENCE_TIMEOUT_SECONDS, self._deadline - time.monotonic())
        with gevent.Timeout(silence, TimeoutError("the worker sends nothing")):
            data = self._sock.recv(self._memory.receive_size())
        if not data:
            raise ConnectionError("the worker closed the connection")
        return data
