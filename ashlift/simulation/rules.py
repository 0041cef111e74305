"""All checkers of the rules, their words, and a verdict on a history: of a simulated run, or of processes."""

from collections.abc import Callable, Iterator

from ashlift.config.settings import Bounds
from ashlift.simulation.checks import Breach, Judge, first
from ashlift.simulation.history import History
from ashlift.simulation.wholeness import broken_off, mixed, recovered, slighted, unasked

Check = Callable[[Judge], Iterator[Breach]]
CHECKS: dict[str, Check] = {
    "mixed": mixed,
    "unasked": unasked,
    "twice": Judge.twice,
    "refused": Judge.refused,
    "route": Judge.route,
    "denied": Judge.denied,
    "stopped": Judge.stopped,
    "config": Judge.config,
    "slighted": slighted,
    "revoked": Judge.revoked,
    "read back": Judge.read_back,
    "linear": Judge.linear,
    "resent": Judge.resent,
    "lost": Judge.lost,
    "broken off": broken_off,
    "recovered": recovered,
    "drain": Judge.drain,
    "evacuated": Judge.evacuated,
    "budget": Judge.budget,
    "quota": Judge.quota,
    "failback": Judge.failback,
    "home": Judge.home,
    "spun": Judge.spun,
}
WORDS = {
    "MIXED": "a success is the worker's own: its seal, its whole body, and the answer to this request",
    "UNASKED": "a worker runs only what a client sent, as it was sent, for the tenant that holds the key",
    "TWICE": "a request that is not repeatable runs at most once",
    "REFUSED": "what is answered 429, 503, 408 or 421 has not run and never will",
    "ROUTE": "a request runs only where some configuration ever let it go, with a key that some held",
    "DENIED": "proper requests are not refused with a 3xx or 4xx of our own, but for a few",
    "STOPPED": "ours: no 401 or 404 for what was acknowledged before it was asked, at any gatekeeper",
    "CONFIG": "what was acknowledged is in force in time, does not go back, has one winner, and is read back",
    "DRAIN": "nothing reaches a worker longer than Drain after it was acknowledged that it leaves",
    "LOST": "a request that was read gets a whole answer; what was acknowledged outlives a loss",
    "RECOVER": "after a loss of everything, service is back within Recovery",
    "BUDGET": "further tries at a service stay within RetryBudgetRatio of its requests and RetrySlack",
    "QUOTA": "a tenant's requests that run stay within its limit and QuotaOverrun in every QuotaWindow",
    "FAILBACK": "a cold worker receives no more than WarmupRateS and ColdOverrun in any second",
    "HOME": "a request with homes reaches workers in these regions only",
    "EVAC": "nothing reaches a zone longer than Evacuation after its evacuation was acknowledged",
    "Fault": "a program hands back the processor",
}


def verdicts(history: History, bounds: Bounds, zones: dict[str, str]) -> dict[str, Breach | None]:
    """The first breach of each rule, None where it was kept."""
    judge_, found = Judge(history, bounds, zones), dict.fromkeys(WORDS, None)
    told: dict[str, Breach | None] = {**found}
    for check in CHECKS.values():
        for breach in check(judge_):
            old = told[breach.rule]
            if old is None or breach.at < old.at:
                told[breach.rule] = breach
    return told


def judge(history: History, bounds: Bounds, zones: dict[str, str]) -> Breach | None:
    """The first breach of any rule."""
    return first(one for one in verdicts(history, bounds, zones).values() if one is not None)


def explained(breach: Breach) -> str:
    """A breach by time, gatekeeper and request, and the rule's words."""
    return f"{breach}\n  {breach.rule}: {WORDS[breach.rule]}"
