"""All rules with their texts and checkers, and their verdict on the history of a simulated or real run."""

from collections.abc import Callable, Iterator
from typing import Final

from ashlift.config.settings import Bounds
from ashlift.simulation.checkers.checked_history import CheckedHistory
from ashlift.simulation.checkers.configuration_checks import (
    check_configuration_in_force,
    check_configuration_reads,
    check_evacuations_persisted,
    check_linearizability,
    check_resends,
    check_revoked_keys,
)
from ashlift.simulation.checkers.departure_checks import check_draining, check_evacuated_zones
from ashlift.simulation.checkers.limit_checks import check_rate_limits, check_retry_budget, check_slow_start
from ashlift.simulation.checkers.request_checks import (
    check_at_most_once,
    check_denial_share,
    check_home_regions,
    check_lookup_regions,
    check_no_busy_loop,
    check_no_denial_after_acknowledgement,
    check_rejected_never_ran,
    check_routing,
)
from ashlift.simulation.checkers.response_checks import (
    check_complete_responses,
    check_later_routes_served,
    check_only_sent_requests_run,
    check_recovery,
    check_responses_match_requests,
)
from ashlift.simulation.checkers.violation import Violation, earliest
from ashlift.simulation.history import History

Checker = Callable[[CheckedHistory], Iterator[Violation]]

# Of violations of the same rule at the same time, the one of the earlier checker is reported.
CHECKERS: Final[tuple[Checker, ...]] = (
    check_responses_match_requests,
    check_only_sent_requests_run,
    check_at_most_once,
    check_rejected_never_ran,
    check_routing,
    check_denial_share,
    check_no_denial_after_acknowledgement,
    check_configuration_in_force,
    check_later_routes_served,
    check_revoked_keys,
    check_configuration_reads,
    check_linearizability,
    check_resends,
    check_evacuations_persisted,
    check_complete_responses,
    check_recovery,
    check_draining,
    check_evacuated_zones,
    check_retry_budget,
    check_rate_limits,
    check_slow_start,
    check_home_regions,
    check_lookup_regions,
    check_no_busy_loop,
)

# The rules by name, with the texts that reports print.
RULE_TEXTS: Final = {
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
    "HOME": "a request with homes reaches workers there only, and clients are sent to proxies there or near",
    "EVAC": "nothing reaches a zone longer than Evacuation after its evacuation was acknowledged",
    "Fault": "a program hands back the processor",
}


def check_rules(history: History, bounds: Bounds) -> dict[str, Violation | None]:
    """Return the first violation of each rule, None for a rule without a violation."""
    checked = CheckedHistory(history, bounds)
    verdicts: dict[str, Violation | None] = dict.fromkeys(RULE_TEXTS)
    for checker in CHECKERS:
        for violation in checker(checked):
            known = verdicts[violation.rule]
            if known is None or violation.at < known.at:
                verdicts[violation.rule] = violation
    return verdicts


def first_violation(history: History, bounds: Bounds) -> Violation | None:
    """Return the earliest violation of any rule, None if there is none."""
    return earliest(violation for violation in check_rules(history, bounds).values() if violation is not None)


def explain(violation: Violation) -> str:
    """Return the violation with the text of its rule on a second line."""
    return f"{violation}\n  {violation.rule}: {RULE_TEXTS[violation.rule]}"
