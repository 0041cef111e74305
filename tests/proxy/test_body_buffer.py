"""The buffer of a request's body keeps its bytes in order, and each of them once."""

import sys

from ward import each, test

from ashlift.proxy.body_buffer import BLOCK_BYTES, BodyBuffer


@test("a body of {size} bytes in pieces of {piece} bytes comes out unchanged")
def _(
    size: int = each(0, 1, BLOCK_BYTES, 3 * BLOCK_BYTES + 5, 3 * BLOCK_BYTES + 5),
    piece: int = each(1, 1, BLOCK_BYTES, 7, BLOCK_BYTES * 2),
) -> None:
    body = bytes(index % 251 for index in range(size))
    buffer = BodyBuffer()
    for offset in range(0, size, piece):
        buffer.append(body[offset : offset + piece])
    assert len(buffer) == size
    assert bytes(buffer) == body
    assert b"".join(buffer.parts()) == body
    buffer.clear()
    assert len(buffer) == 0


@test("many small pieces take no more memory than their bytes and one block")
def _() -> None:
    buffer = BodyBuffer()
    for _ in range(200_000):
        buffer.append(b"ab")
    assert sum(sys.getsizeof(part) for part in buffer.parts()) < len(buffer) + BLOCK_BYTES
