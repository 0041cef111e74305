"""The types that go into and come out of the decision module: settings, events and actions.

Times are milliseconds of one clock. Nothing here decides anything; `control.py` and what it stands on do.
"""

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """What a repeat of a request would do."""

    PURE = "pure"  # nothing: safe to repeat
    KEYED = "keyed"  # a group of servers drops repeats for a while
    UNSAFE = "unsafe"  # it would happen twice


class KeyScope(Enum):
    """Which servers drop repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a count ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    FULL = "full"  # turned away unseen
    TIMEOUT = "timeout"  # no answer in time; may have run
    CONNECT_FAILED = "connect failed"  # never reached the server
    RESET = "reset"  # connection broke; may have run
    CANCELLED = "cancelled"  # withdrawn by us; may have run
    MOOT = "moot"  # never sent


class ServerState(Enum):
    """What the server list says of a process."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """One class of requests. `aim_ms` earns full worth, `late_share` of it is left until the deadline."""

    effect: Effect
    aim_ms: float
    give_up_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    key_scope: KeyScope = KeyScope.ALL
    key_ttl_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Quota of a plan, for each customer, over all gateways together. A rate or limit of 0 means none."""

    rate: float = 0.0  # units a second
    burst: float = 0.0  # units
    max_out: int = 0  # attempts out at once
    price: float = 1.0
    over_worth: float = 0.0  # share of the worth that is earned beyond the quota
    over_cost: float = 0.0  # share of the worth that is charged beyond the quota
    ceiling_rate: float = 0.0  # units a second
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units


@dataclass(frozen=True, slots=True)
class Settings:
    """All that a gateway is told at its start."""

    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    me: int = 0
    group_size: int = 1
    zone: int = 0
    tick_ms: float = 1.0
    counter: bool = False
    counter_timeout_ms: float = 50.0
    count_fee: float = 0.0
    meter_ms: float = 0.0
    max_units: float = 1.0
    cost_after: bool = False
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0
    second_copies: bool = False
    max_attempts: int = 1
    report_fields: tuple[str, ...] = ()
    subscribe: bool = False
    must_ask_ms: float = 0.0
    cold_from: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0


# ---- events


@dataclass(frozen=True, slots=True)
class Server:
    """One line of the server list."""

    name: str
    state: ServerState = ServerState.READY
    cell: int = 0
    zone: int = 0
    size: float = 1.0
    ready_at_ms: float = 0.0  # start of the process; 0: long ago


@dataclass(frozen=True, slots=True)
class ServerList:
    """News of the server list; `complete` lists replace, others change. None: a call for it failed."""

    servers: tuple[Server, ...] | None
    complete: bool = False


@dataclass(frozen=True, slots=True)
class Request:
    """A client's try has arrived; it is owed exactly one final answer."""

    request: int
    request_class: int
    plan: int
    customer: str
    patience_ms: float
    units: float = 1.0
    set_size: int = 1
    retry: bool = False
    admit_only: bool = False  # may it pass? No server is picked
    streamed: bool = False  # its bodies pass as they arrive: a failed attempt is told as one


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt has ended. `final`: the request has ended with it or before."""

    request: int
    attempt: int
    server: str
    result: Result
    waited_ms: float
    final: bool = False
    use_percent: float | None = None  # the customer's metered use, percent of its quota
    units: float | None = None  # true units, where they are told afterwards
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A body has begun to flow: no time-out runs any longer. `spent`: it is the request's, which is not at
    hand any more for a further attempt; else the answer's."""

    request: int
    attempt: int
    spent: bool = False


@dataclass(frozen=True, slots=True)
class ClientLeft:
    """The client is gone; no answer is owed."""

    request: int


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that this gateway set is due."""

    token: int


@dataclass(frozen=True, slots=True)
class Probed:
    """A probe has ended."""

    server: str
    result: Result
    waited_ms: float
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class Counted:
    """A call to the counter has ended; `total` counts only where it is OK and not over."""

    name: int
    result: Result
    waited_ms: float
    total: float = 0.0
    over: bool = False  # a service with a limit of its own says that there is no room


@dataclass(frozen=True, slots=True)
class PeerNote:
    """A message of another gateway."""

    sender: int
    data: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Sharing:
    """This gateway runs as so many processes side by side for a while (an upgrade): its shares of ceilings
    and open attempts are split between them."""

    parts: int


Event = (
    ServerList
    | Request
    | Outcome
    | StreamStarted
    | ClientLeft
    | Timer
    | Probed
    | Counted
    | PeerNote
    | Sharing
)


# ---- actions


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; 0 waits until the client gives up."""

    request: int
    server: str
    timeout_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: not served, and trying again is harmless."""

    request: int
    retry_after_ms: float = 0.0
    cause: str = field(default="", compare=False)  # for counts; see `_enter` and `_answer`


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: not served, and nothing is promised."""

    request: int


@dataclass(frozen=True, slots=True)
class Admit:
    """Final answer to a request that only asked whether it may pass: it may."""

    request: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    request: int
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a Timer event."""

    token: int
    in_ms: float


@dataclass(frozen=True, slots=True)
class Count:
    """Add to a named number of the counter; the total comes back as Counted."""

    name: int
    amount: float
    expire_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a server for a sign of life."""

    server: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask for changes of the server list."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for whoever is on call."""

    text: str


Action = Send | Admit | Refuse | Fail | Cancel | SetTimer | Count | Probe | Subscribe | Log
