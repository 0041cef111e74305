"""When a proxy that is told to stop does what. Pure; times are steady, in seconds.

Who was accepted is answered: connections are accepted for a while, as clients may hold an old answer of
/lookup; each response asks its client to close the connection; then nobody is accepted any more, idle
connections are closed, and the process goes on until the last request has its response.
"""

from typing import Final, NamedTuple

ACCEPT_FRACTION: Final = 0.55  # of `Grace`, for which connections are accepted
# What a client sends up to 3 s after the SIGTERM may be broken off at the end of `Grace`, later requests not.
MAX_ACCEPT_SECONDS: Final = 2.8
# A connection that was accepted in the last moment has so long for its first request.
FIRST_REQUEST_SECONDS: Final = 1.0
SERVE_FRACTION: Final = 0.93  # of `Grace`, after which what is open gets the proxy's own response
LAST_RESPONSE_FRACTION: Final = 0.03  # of `Grace`, for these responses to leave


class ShutdownSchedule(NamedTuple):
    """The times of one shutdown.

    `accept_until`: new connections are accepted. `answer_until`: requests are processed; what is accepted
    after `accept_until` must be able to end by then. `end_at`: the process ends, whatever is open.
    """

    accept_until: float
    answer_until: float
    end_at: float


def accept_seconds(grace: float) -> float:
    """How long after SIGTERM connections are accepted; `grace`: `Grace`, in seconds."""
    return min(ACCEPT_FRACTION * grace, MAX_ACCEPT_SECONDS)


def shutdown_schedule(started_at: float, grace: float) -> ShutdownSchedule:
    """The times of a shutdown that began at `started_at`; `grace`: `Grace`, in seconds."""
    answer_until = started_at + SERVE_FRACTION * grace
    return ShutdownSchedule(
        accept_until=started_at + accept_seconds(grace),
        answer_until=answer_until,
        end_at=answer_until + LAST_RESPONSE_FRACTION * grace,
    )
