"""Holds the body of a request once, in blocks that all of its attempts send from. No I/O."""

from collections.abc import Iterator
from typing import Final

BLOCK_BYTES: Final = 64 << 10


class BodyBuffer:
    """A body received so far. Small parts are joined, so that each byte takes one byte of memory."""

    __slots__ = ("_blocks", "_tail")

    def __init__(self) -> None:
        self._blocks: list[bytes] = []  # each of BLOCK_BYTES
        self._tail = bytearray()

    def __len__(self) -> int:
        return len(self._blocks) * BLOCK_BYTES + len(self._tail)

    def __bytes__(self) -> bytes:
        return b"".join(self.parts())

    def append(self, data: bytes) -> None:
        """Add received bytes."""
        view = memoryview(data)
        while view:
            room = BLOCK_BYTES - len(self._tail)
            self._tail += view[:room]
            view = view[room:]
            if len(self._tail) == BLOCK_BYTES:
                self._blocks.append(bytes(self._tail))
                self._tail.clear()

    def parts(self) -> Iterator[bytes | bytearray]:
        """The body in order, without copying it."""
        yield from self._blocks
        if self._tail:
            yield self._tail

    def clear(self) -> None:
        """Free the memory."""
        self._blocks = []
        self._tail = bytearray()
