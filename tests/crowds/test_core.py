"""Registry and store live, within their memory and descriptors, whatever callers send to them.

Like `test_front.py`, with crowds before the listeners of the core machines and before the proxy's others.
"""

from typing import Final

import gevent
from ward import each, test

from tests.support.crowd_clients import Behaviour, nothing, raw
from tests.support.crowd_runs import checked_cluster

BODY_BYTES: Final = 1_000_000
CHUNK: Final = b"10000\r\n" + bytes(65536) + b"\r\n"
CHUNKS: Final = 100
FRAME_BYTES: Final = 7 << 20
FRAME_CLIENTS: Final = 100
MORE_THAN_DESCRIPTORS: Final = 1500
STORM_SECONDS: Final = 6.0
FRAME_HEADER: Final = FRAME_BYTES.to_bytes(4, "big") + bytes(4)

CALLS: Final[dict[str, tuple[str, Behaviour]]] = {
    "configurations with a length": (
        "control",
        raw(b"PUT /config HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % BODY_BYTES + bytes(BODY_BYTES - 1)),
    ),
    "configurations in chunks": (
        "control",
        raw(b"PUT /config HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + CHUNK * CHUNKS),
    ),
    "look-ups behind one another": (
        "directory",
        raw(b"GET /lookup?Name=h HTTP/1.1\r\nHost: h\r\n\r\n" * 20_000),
    ),
}


@test("calls that stop short of their end or are not read: {what}")
def _(what: str = each(*CALLS)) -> None:
    listener, behaviour = CALLS[what]
    with checked_cluster() as run:
        run.send(listener, behaviour)


@test("connections up to the descriptors, without a byte, before {listener}")
def _(listener: str = each("control", "directory", "readiness", "store rpc", "registry rpc")) -> None:
    with checked_cluster() as run:
        run.start(listener, nothing, MORE_THAN_DESCRIPTORS, connects_again=True)
        gevent.sleep(STORM_SECONDS)


@test("frames that stop short of their end, before {listener}")
def _(listener: str = each("store rpc", "registry rpc")) -> None:
    with checked_cluster() as run:
        run.send(listener, raw(FRAME_HEADER + bytes(FRAME_BYTES - 1)), FRAME_CLIENTS)
