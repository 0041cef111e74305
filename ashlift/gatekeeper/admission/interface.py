"""The interface of the admission gateway: settings, events that it takes, actions that it returns.

Times are milliseconds of one clock.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request can be repeated safely."""

    PURE = "pure"  # no side effects
    KEYED = "keyed"  # it has an idempotency key, by which servers drop repeats for a limited time
    UNSAFE = "unsafe"  # its side effects would happen twice


class KeyScope(Enum):
    """Which servers share the idempotency keys of keyed requests."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    OVERLOADED = "full"  # rejected without being run
    TIMEOUT = "timeout"  # no answer in time; may have run
    CONNECT_FAILED = "connect failed"  # did not reach the server
    RESET = "reset"  # connection broke; may have run
    CANCELLED = "cancelled"  # by this gateway; may have run
    NOT_SENT = "moot"  # never sent


class ServerState(Enum):
    """State of a server according to the server list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests."""

    effect: Effect
    target_latency_ms: float  # answers up to then have the full value
    client_timeout_ms: float  # after which clients stop waiting
    value: float = 1.0
    late_value_ratio: float = 0.0  # part of the value that answers after the target latency have
    key_scope: KeyScope = KeyScope.ALL
    key_ttl_ms: float = 0.0  # for which servers remember an idempotency key


@dataclass(frozen=True, slots=True)
class Plan:
    """Limits of each customer on a plan, over all gateways together; a rate or cap of 0 is no limit.

    Requests beyond the quota (`rate`, `burst`) may be admitted at a charge; those beyond the ceiling are not.
    """

    rate: float = 0.0  # units a second
    burst: float = 0.0  # units
    max_in_flight: int = 0  # attempts
    price: float = 1.0  # factor on the value of requests
    over_quota_value_ratio: float = 0.0  # part of the value that a request beyond the quota has
    over_quota_cost_ratio: float = 0.0  # part of the value that a request beyond the quota is charged
    ceiling_rate: float = 0.0  # units a second
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units by which the ceiling may be passed; not used


@dataclass(frozen=True, slots=True)
class Settings:
    """Configuration of a gateway. Fields marked as not used are read from the settings and ignored."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    gateway_index: int = 0  # of this gateway, from 0
    gateway_count: int = 1
    zone: int = 0  # not used
    tick_ms: float = 1.0  # resolution of the clock
    counter_enabled: bool = False
    counter_timeout_ms: float = 50.0
    counter_call_fee: float = 0.0  # not used
    usage_meter_ms: float = 0.0  # not used
    max_request_units: float = 1.0
    units_known_after: bool = False  # not used
    cancel_enabled: bool = False
    probes_enabled: bool = False
    retry_after_enabled: bool = False
    max_retry_after_ms: float = 0.0
    hedging_enabled: bool = False  # not used
    max_attempts: int = 1  # of a request
    report_fields: tuple[str, ...] = ()  # names of the values in load reports
    subscribe_enabled: bool = False  # the server list is sent on request only
    max_poll_interval_ms: float = 0.0  # not used
    cold_capacity_ratio: float = 1.0  # part of its capacity that a server has when it starts
    warm_up_ms: float = 0.0  # until a started server has its full capacity
    cold_load_factor: float = 1.0  # permitted load of a cold server over its part of the capacity
    cold_load_window_ms: float = 0.0  # over which that load is measured; not used


# ---- events


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    name: str
    state: ServerState = ServerState.READY
    cell: int = 0
    zone: int = 0
    capacity: float = 1.0
    ready_at_ms: float = 0.0  # start of the process; 0: warm


@dataclass(frozen=True, slots=True)
class ServerList:
    """A complete server list, or changed entries of it; None: the call for the list failed."""

    servers: tuple[Server, ...] | None
    complete: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A request has arrived. It gets one final answer: Refuse, Fail, Admit, or that of an attempt."""

    request_id: int
    request_class: int
    plan: int
    customer: str
    time_left_ms: float  # until its client stops waiting
    units: float = 1.0  # of the quota
    gateway_count: int = 1  # gateways that the customer's requests are spread over
    retry: bool = False  # by the client; not used
    admit_only: bool = False  # asks only whether it is admitted: no server is picked
    streamed: bool = False  # its bodies are forwarded as they arrive


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended; `final` if the request has ended too."""

    request_id: int
    attempt: int
    server: str
    result: Result
    elapsed_ms: float
    final: bool = False
    quota_use_percent: float | None = None  # metered use of the customer's quota; not used
    units: float | None = None  # actual units, if known only now; not used
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """The transfer of a body has begun: the attempt has no time-out any longer."""

    request_id: int
    attempt: int
    request_body_sent: bool = False  # it is the request's body, which cannot be sent again; else the answer's


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client has disconnected: no answer is needed."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer has expired (see SetTimer)."""

    token: int


@dataclass(frozen=True, slots=True)
class ProbeEnded:
    """A probe has ended."""

    server: str
    result: Result
    elapsed_ms: float
    load_report: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class CounterCallEnded:
    """A call of the counter has ended; `total` is valid if the result is OK and no limit is exceeded."""

    key: int
    result: Result
    elapsed_ms: float
    total: float = 0.0
    limit_exceeded: bool = False  # the counter service has a limit of its own, which was reached


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway; it is ignored."""

    sender: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ProcessCountChanged:
    """Number of processes that run as this gateway, more than one during an upgrade; they split its shares of
    the ceilings and the caps on attempts in flight."""

    process_count: int


Event = (
    ServerList
    | Request
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | Timer
    | ProbeEnded
    | CounterCallEnded
    | PeerMessage
    | ProcessCountChanged
)


# ---- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; a time-out of 0 is none."""

    request_id: int
    server: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and safe to repeat."""

    request_id: int
    retry_after_ms: float = 0.0
    reason: str = field(default="", compare=False)  # for statistics: the limit that refused it


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, but the request may have run."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Final answer to an `admit_only` request: it is admitted."""

    request_id: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt."""

    request_id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a Timer event."""

    token: int
    delay_ms: float


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Add to a key of the shared counter; CounterCallEnded brings the total."""

    key: int
    amount: float
    ttl_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Send a health probe to a server."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the server list and its changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line for the operators."""

    text: str


Action = Send | Admit | Refuse | Fail | Cancel | SetTimer | AddToCounter | Probe | Subscribe | Log
