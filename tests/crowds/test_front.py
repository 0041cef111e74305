"""A proxy lives, within its memory and descriptors, whatever hundreds of clients send or leave unread.

Each test starts the system's own processes with lowered limits, connects a crowd that stays connected, and
checks that every process lives, that resident memory together with unread bytes never passed `MemoryMb`, that
descriptors stayed under their limit, and that one ordinary request is served while the crowd is still there.
"""

from typing import Final

import gevent
from ward import each, test

from tests.support.crowd_clients import (
    Behaviour,
    in_chunks,
    nothing,
    one_request,
    piece_by_piece,
    pipelined,
    shortest_requests,
    tiny_headers,
    with_length,
    with_trailers,
)
from tests.support.crowd_runs import checked_cluster

MEBIBYTE: Final = 1 << 20
MAX_BODY_BYTES: Final = 64 * MEBIBYTE
LARGE_BODY_CLIENTS: Final = 300
LONG_RESPONSE_BYTES: Final = 8 * MEBIBYTE
MORE_THAN_DESCRIPTORS: Final = 1500
STORM_SECONDS: Final = 6.0
MIXED_CLIENTS: Final = 100  # of each behaviour

UPLOADS: Final[dict[str, Behaviour]] = {
    "64 KiB with a length": with_length(65536),
    "1 MiB with a length": with_length(MEBIBYTE),
    "just under 1 MiB with a length": with_length(MEBIBYTE - 200),
    "8 MiB with a length": with_length(8 * MEBIBYTE),
    "1 MiB piece by piece": piece_by_piece(MEBIBYTE, 8192, 0.01),
    "chunks of 64 KiB": in_chunks(MEBIBYTE, 65536),
    "chunks of 300 bytes": in_chunks(MEBIBYTE, 300),
    "chunks of 1 byte with extensions": in_chunks(100_000, 1, b";a=b"),
    "chunks and endless trailers": with_trailers(1000, 20_000),
}
HEADS: Final[dict[str, Behaviour]] = {
    "3,000 headers of one letter": tiny_headers(3000),
    "20,000 shortest requests behind one another": shortest_requests(20_000),
    "5,000 requests behind one another": pipelined(5000),
}


@test("bodies that stop short of their end: {what}")
def _(what: str = each(*UPLOADS)) -> None:
    with checked_cluster() as run:
        run.send("front", UPLOADS[what])


@test("bodies of MaxBodyBytes that stop short of their end")
def _() -> None:
    with checked_cluster() as run:
        run.send("front", with_length(MAX_BODY_BYTES), LARGE_BODY_CLIENTS)


@test("heads and requests without an end: {what}")
def _(what: str = each(*HEADS)) -> None:
    with checked_cluster() as run:
        run.send("front", HEADS[what])


@test("long responses {framing} that are read {how}")
def _(
    framing: str = each("with a length", "in chunks", "with a length"),
    how: str = each("not at all", "not at all", "by a byte at a time"),
) -> None:
    with checked_cluster() as run:
        run.cluster.workers.response_bytes = LONG_RESPONSE_BYTES
        run.cluster.workers.chunked_responses = framing == "in chunks"
        run.send("front", one_request(), reads_bytes=0 if how == "not at all" else 1)


@test("responses of 60 kB that are not read")
def _() -> None:
    with checked_cluster() as run:
        run.cluster.workers.response_bytes = 60_000
        run.send("front", one_request())


@test("connections up to the descriptors, without a byte")
def _() -> None:
    with checked_cluster() as run:
        run.start("front", nothing, MORE_THAN_DESCRIPTORS)
        gevent.sleep(STORM_SECONDS)


@test("bodies that are reset, and sent again at once")
def _() -> None:
    with checked_cluster() as run:
        run.start("front", with_length(300_000), connects_again=True, resets=True)
        gevent.sleep(STORM_SECONDS)


@test("all of it at once, {how}")
def _(how: str = each("on connections that stay", "again the moment it is refused")) -> None:
    behaviours: list[Behaviour] = [*UPLOADS.values(), *HEADS.values(), one_request()]
    with checked_cluster() as run:
        run.cluster.workers.response_bytes = LONG_RESPONSE_BYTES
        for behaviour in behaviours:
            run.start("front", behaviour, MIXED_CLIENTS, connects_again="again" in how)
        gevent.sleep(STORM_SECONDS)
