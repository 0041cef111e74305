"""The typed settings, their units, bounds, defaults and meanings. Plain dataclasses: nothing to load.

A field's annotation carries an `About`; `schema.py` reads it to check a file, and `explain` to print it.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal


@dataclass(frozen=True, slots=True)
class About:
    """What a person must know of one setting.

    `unit` is "bytes", "time" (milliseconds in the program, written with a unit in a file), "rate" (bytes a
    second) or "" for plain numbers and words; `least` and `most` bound it in the program's unit.
    """

    text: str
    unit: str = ""
    least: float | None = None
    most: float | None = None


KIB, MIB, GIB = 1 << 10, 1 << 20, 1 << 30
MIN_LEASE_BYTES = 4 * KIB  # bytes that each direction of a stream may always hold

Flag = Annotated[bool, About("true or false")]


@dataclass(frozen=True, slots=True)
class StreamClass:
    """How the bodies of one class of requests are passed on."""

    name: Annotated[str, About("the class, as the platform's settings name it")] = ""
    head: Annotated[
        float,
        About(
            "longest wait for the answer's head once the request is written whole", "time", 1.0, 3_600_000.0
        ),
    ] = 3_000.0
    stall: Annotated[
        float,
        About(
            "longest time for which the side that is waited for moves no byte, in each direction by itself",
            "time",
            10.0,
            3_600_000.0,
        ),
    ] = 2_000.0
    least_rate: Annotated[
        float,
        About(
            "bytes a second that the side that is waited for moves at least, as a "
            "mean over rate-span of waiting; 0: no limit",
            "rate",
            0.0,
        ),
    ] = 0.0
    rate_span: Annotated[
        float, About("the waiting over which least-rate is taken", "time", 100.0, 3_600_000.0)
    ] = 10_000.0
    total: Annotated[
        float,
        About(
            "longest time of one job from its head to its last byte; 0: no limit", "time", 0.0, 86_400_000.0
        ),
    ] = 3_600_000.0
    longest: Annotated[int, About("longest body, each way", "bytes", 0)] = 4 * GIB
    request_headers: Annotated[
        tuple[str, ...], About("headers of a request that an execute node gets besides the usual ones")
    ] = ()
    answer_headers: Annotated[
        tuple[str, ...], About("headers of an answer that a client gets besides the usual ones")
    ] = ()


@dataclass(frozen=True, slots=True)
class Streaming:
    """Bodies passed on as they arrive."""

    enabled: Annotated[bool, About("whether bodies are streamed at all")] = False
    buffer_bytes: Annotated[int, About("bytes that all streams together hold at most", "bytes", 64 * KIB)] = (
        8 * MIB
    )
    stream_buffer_bytes: Annotated[
        int, About("bytes that one direction of one stream holds at most", "bytes", 2 * MIN_LEASE_BYTES)
    ] = 256 * KIB
    most_streams: Annotated[
        int, About("streamed jobs at once; beyond them the answer is 503", "", 1, 100_000)
    ] = 200
    retry_after: Annotated[
        float,
        About("advice to who is turned away for most-streams; drawn from this to twice as much", "time", 1.0),
    ] = 1_000.0
    linger_bytes: Annotated[
        int,
        About(
            "bytes of a request that are thrown away, within a second, after an "
            "answer that did not wait for them",
            "bytes",
            0,
        ),
    ] = 64 * MIB
    classes: Annotated[tuple[StreamClass, ...], About("one for each class that streams")] = field(
        default=(), metadata={"key": "class"}
    )


@dataclass(frozen=True, slots=True)
class RateLimitServer:
    """Envoy's gRPC rate limit service, for others."""

    listen: Annotated[str, About("host:port of the service; empty: off", "address")] = ""
    domain: Annotated[str, About("the domain that it answers for")] = "availability-lookup"


@dataclass(frozen=True, slots=True)
class RateLimitClient:
    """A gRPC rate limit service that keeps the quota counts."""

    address: Annotated[
        str, About("host:port of the service; empty: the platform's text counter", "address")
    ] = ""
    domain: Annotated[str, About("the domain of the counts there")] = "availability-counts"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Both sides of the gRPC rate limit service."""

    server: RateLimitServer = RateLimitServer()
    client: RateLimitClient = RateLimitClient()


@dataclass(frozen=True, slots=True)
class Logging:
    """The log on standard error."""

    form: Annotated[
        Literal["plain", "key-value", "json"], About("plain lines, key=value for a terminal, or JSON lines")
    ] = "plain"
    level: Annotated[Literal["debug", "info", "warning", "error"], About("least level that is written")] = (
        "info"
    )


@dataclass(frozen=True, slots=True)
class FeatureSettings:
    """All that a settings file may say; what it leaves out is off or as here."""

    streaming: Streaming = Streaming()
    ratelimit: RateLimit = RateLimit()
    logging: Logging = Logging()
