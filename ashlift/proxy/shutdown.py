"""The schedule of a graceful shutdown. No I/O; times are monotonic, in seconds.

After SIGTERM the proxy still accepts connections for a while, since clients may use an outdated response of
/lookup, and asks clients to close their connections. Then it stops accepting, closes idle connections, and
exits when the last request has its response.
"""

from typing import Final, NamedTuple

# Fractions are of the setting `Grace`.
ACCEPT_FRACTION: Final = 0.55
# Requests sent later than 3 s after SIGTERM must not be aborted, so none of them may be accepted.
MAX_ACCEPT_SECONDS: Final = 2.8
FIRST_REQUEST_SECONDS: Final = 1.0  # time for the first request on a connection accepted just before the end
SERVE_FRACTION: Final = 0.93  # then open requests are rejected
FINAL_RESPONSE_FRACTION: Final = 0.03  # for sending these rejections


class ShutdownSchedule(NamedTuple):
    """The times of one shutdown.

    New connections are accepted until `accept_until`. Requests are processed until `serve_until`; those
    admitted after `accept_until` are rejected if their deadline is later. The process exits at `exit_at` at
    the latest.
    """

    accept_until: float
    serve_until: float
    exit_at: float


def accept_seconds(grace: float) -> float:
    """Seconds after SIGTERM for which connections are accepted; `grace`: `Grace`, in seconds."""
    return min(ACCEPT_FRACTION * grace, MAX_ACCEPT_SECONDS)


def shutdown_schedule(started_at: float, grace: float) -> ShutdownSchedule:
    """The schedule of a shutdown that began at `started_at`; `grace`: `Grace`, in seconds."""
    serve_until = started_at + SERVE_FRACTION * grace
    return ShutdownSchedule(
        accept_until=started_at + accept_seconds(grace),
        serve_until=serve_until,
        exit_at=serve_until + FINAL_RESPONSE_FRACTION * grace,
    )
