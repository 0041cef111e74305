"""The typed settings with their units, bounds, defaults and descriptions. Standard library only.

Fields are annotated with a `SettingInfo`, by which `schema.py` validates files and `settings explain` prints.
"""

from dataclasses import dataclass, field
from typing import Annotated, Literal


@dataclass(frozen=True, slots=True)
class SettingInfo:
    """Documentation and bounds of a setting.

    `unit` is "bytes", "time" (milliseconds in memory), "rate" (bytes a second), "address" (host:port) or ""
    (plain numbers and words). In a file, sizes, times and rates are written with a unit. `minimum` and
    `maximum` are in the unit used in memory.
    """

    description: str
    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None


KIB, MIB, GIB = 1 << 10, 1 << 20, 1 << 30
MIN_LEASE_BYTES = 4 * KIB  # that each direction of a stream may always buffer

Flag = Annotated[bool, SettingInfo("true or false")]


@dataclass(frozen=True, slots=True)
class StreamClass:
    """How the bodies of one class of requests are streamed."""

    name: Annotated[str, SettingInfo("name of the class in the platform's settings")] = ""
    head: Annotated[
        float,
        SettingInfo(
            "time limit for the head of the response, from the end of the request", "time", 1.0, 3_600_000.0
        ),
    ] = 3_000.0
    stall: Annotated[
        float,
        SettingInfo(
            "time limit without any byte from or to the peer that is waited for, in each direction",
            "time",
            10.0,
            3_600_000.0,
        ),
    ] = 2_000.0
    least_rate: Annotated[
        float,
        SettingInfo(
            "minimum average rate of the peer that is waited for, over rate-span of waiting; 0: no limit",
            "rate",
            0.0,
        ),
    ] = 0.0
    rate_span: Annotated[
        float, SettingInfo("time of waiting over which least-rate is averaged", "time", 100.0, 3_600_000.0)
    ] = 10_000.0
    total: Annotated[
        float,
        SettingInfo(
            "time limit for a request, from its head to the last byte of its response; 0: no limit",
            "time",
            0.0,
            86_400_000.0,
        ),
    ] = 3_600_000.0
    longest: Annotated[int, SettingInfo("maximum size of a body, in each direction", "bytes", 0)] = 4 * GIB
    request_headers: Annotated[
        tuple[str, ...],
        SettingInfo("request headers that are forwarded to execute nodes, besides the usual ones"),
    ] = ()
    answer_headers: Annotated[
        tuple[str, ...], SettingInfo("response headers that are forwarded to clients, besides the usual ones")
    ] = ()


@dataclass(frozen=True, slots=True)
class Streaming:
    """Streaming of request and response bodies as they arrive."""

    enabled: Annotated[bool, SettingInfo("whether bodies are streamed")] = False
    buffer_bytes: Annotated[
        int, SettingInfo("maximum number of bytes buffered by all streams together", "bytes", 64 * KIB)
    ] = 8 * MIB
    stream_buffer_bytes: Annotated[
        int,
        SettingInfo(
            "maximum number of bytes buffered by one direction of a stream", "bytes", 2 * MIN_LEASE_BYTES
        ),
    ] = 256 * KIB
    most_streams: Annotated[
        int, SettingInfo("maximum number of concurrent streams; further requests get 503", "", 1, 100_000)
    ] = 200
    retry_after: Annotated[
        float,
        SettingInfo(
            "minimum Retry-After of requests rejected for most-streams; drawn at random up to twice this",
            "time",
            1.0,
        ),
    ] = 1_000.0
    linger_bytes: Annotated[
        int,
        SettingInfo(
            "maximum number of bytes of a request that are discarded, within a second, after a response "
            "that was sent before the request's end",
            "bytes",
            0,
        ),
    ] = 64 * MIB
    classes: Annotated[
        tuple[StreamClass, ...], SettingInfo("one for each class whose bodies are streamed")
    ] = field(default=(), metadata={"key": "class"})


@dataclass(frozen=True, slots=True)
class RateLimitServer:
    """Envoy's gRPC rate limit service, offered to other programs."""

    listen: Annotated[str, SettingInfo("host:port to listen on; empty: off", "address")] = ""
    domain: Annotated[str, SettingInfo("rate limit domain that is served")] = "availability-lookup"


@dataclass(frozen=True, slots=True)
class RateLimitClient:
    """A gRPC rate limit service that is used as the shared quota counter."""

    address: Annotated[
        str, SettingInfo("host:port of the service; empty: the platform's text counter", "address")
    ] = ""
    domain: Annotated[str, SettingInfo("rate limit domain of the counters")] = "availability-counts"


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Server and client of the gRPC rate limit protocol."""

    server: RateLimitServer = RateLimitServer()
    client: RateLimitClient = RateLimitClient()


@dataclass(frozen=True, slots=True)
class Logging:
    """Logging to standard error."""

    form: Annotated[
        Literal["plain", "key-value", "json"],
        SettingInfo("format of the log lines: plain text, key=value pairs or JSON"),
    ] = "plain"
    level: Annotated[
        Literal["debug", "info", "warning", "error"], SettingInfo("minimum level that is logged")
    ] = "info"


@dataclass(frozen=True, slots=True)
class FeatureSettings:
    """All settings of a settings file, with their defaults."""

    streaming: Streaming = Streaming()
    ratelimit: RateLimit = RateLimit()
    logging: Logging = Logging()
