"""Settings and a driver for tests of a single admission gateway."""

from dataclasses import dataclass, field, replace

from ashlift.gatekeeper.admission import Gateway
from ashlift.gatekeeper.admission import interface as i

PURE = i.RequestClass(i.Effect.PURE, target_latency_ms=600, client_timeout_ms=2000)
KEYED = i.RequestClass(i.Effect.KEYED, target_latency_ms=600, client_timeout_ms=3000, key_ttl_ms=1000)
UNSAFE = i.RequestClass(i.Effect.UNSAFE, target_latency_ms=600, client_timeout_ms=3000)
BASE = i.Settings(
    classes=(PURE, KEYED, UNSAFE),
    plans=(i.Plan(rate=2, burst=6),),
    gateway_count=3,
    tick_ms=4,
    counter_enabled=True,
    counter_timeout_ms=30,
    cancel_enabled=True,
    probes_enabled=True,
    retry_after_enabled=True,
    max_retry_after_ms=1000,
    max_attempts=4,
    cold_capacity_ratio=0.2,
    warm_up_ms=10_000,
    cold_load_factor=2,
    cold_load_window_ms=3000,
)
PROVES_NOT_RUN = (i.Result.OVERLOADED, i.Result.CONNECT_FAILED, i.Result.NOT_SENT)


@dataclass
class Driver:
    """Sends events to one gateway, keeps its actions and runs its timers on a manual clock."""

    settings: i.Settings = BASE
    seed: int = 1
    now: float = 1000.0
    servers: int = 4
    log: list[i.Action] = field(default_factory=list)
    next_id: int = 1
    attempts: dict[int, int] = field(default_factory=dict)
    timers: list[tuple[float, int]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.boot()

    def boot(self) -> None:
        """Starts the gateway, or restarts it without its state."""
        self.gateway = Gateway(self.settings, self.seed)
        self.timers.clear()
        entries = tuple(i.Server(f"s{n}", cell=n % 2, zone=n % 3) for n in range(self.servers))
        self.do(i.ServerList(entries, complete=True))

    def do(self, event: i.Event) -> list[i.Action]:
        actions = self.gateway.handle(self.now, event)
        for action in actions:
            if isinstance(action, i.SetTimer):
                self.timers.append((self.now + action.delay_ms, action.token))
        self.log.extend(actions)
        return actions

    def run(self, ms: float) -> list[i.Action]:
        """Advances time and sends the timers that expire."""
        end, out = self.now + ms, []
        while self.timers and min(self.timers)[0] <= end:
            due = min(self.timers)
            self.timers.remove(due)
            self.now = max(self.now, due[0])
            out += self.do(i.Timer(due[1]))
        self.now = end
        return out

    def ask(self, **changes: object) -> tuple[int, list[i.Action]]:
        number, self.next_id = self.next_id, self.next_id + 1
        base = i.Request(number, 0, 0, "ab12", 2000.0, 1.0, 1)
        return number, self.do(replace(base, **changes))  # type: ignore[arg-type]

    def end(
        self,
        number: int,
        server: str,
        result: i.Result,
        waited: float = 50.0,
        attempt: int = 0,
        final: bool | None = None,
    ) -> list[i.Action]:
        closed = result is i.Result.OK if final is None else final
        return self.do(i.AttemptEnded(number, attempt, server, result, waited, final=closed))


def sends(actions: list[i.Action]) -> list[i.Send]:
    return [action for action in actions if isinstance(action, i.Send)]


def answers(actions: list[i.Action]) -> list[i.Action]:
    return [action for action in actions if isinstance(action, (i.Refuse, i.Fail))]


def counts(actions: list[i.Action]) -> list[i.AddToCounter]:
    return [action for action in actions if isinstance(action, i.AddToCounter)]
