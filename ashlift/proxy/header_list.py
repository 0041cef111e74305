"""Holds the headers of a request in little more memory than their bytes, however short they are. No I/O."""

from array import array
from collections.abc import Iterator


class HeaderList:
    """Names and values, in the order in which they were received."""

    __slots__ = ("_lengths", "_text")

    def __init__(self) -> None:
        self._text = bytearray()
        self._lengths = array("I")  # of each name, and of the value behind it

    def append(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        self._text += name
        self._text += value
        self._lengths.append(len(name))
        self._lengths.append(len(value))

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        text = bytes(self._text)
        lengths = self._lengths
        start = 0
        for index in range(0, len(lengths), 2):
            value_start = start + lengths[index]
            end = value_start + lengths[index + 1]
            yield text[start:value_start], text[value_start:end]
            start = end
