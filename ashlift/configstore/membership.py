"""Who belongs to the store, as the replicated map says it. Pure; `membership_rules` says what may change.

`Members/IP` is a voter: `{}` or `{"life", "leaving", "until"}`; `Learners/IP` a non-voting learner: `{"life",
"held"}`. `life` is the incarnation of its disk (absent: any), `leaving` remove or replace, `until` how many
must vote without it, `held` true for one that an operator removed: it learns and does not vote. Only the
leader changes these records, one commit at a time (docs/design/store.md, "Members change").
"""

from collections.abc import Mapping
from typing import Any, Final

VOTER_PREFIX: Final = "Members/"
LEARNER_PREFIX: Final = "Learners/"
# Fields of the records.
INCARNATION: Final = "life"
LEAVING: Final = "leaving"
VOTERS_REQUIRED: Final = "until"
VOTING_BLOCKED: Final = "held"

Entries = Mapping[str, Any]  # of the replicated map, by key


def quorum(voter_count: int) -> int:
    """The size of a majority."""
    return voter_count // 2 + 1


def addresses_under(entries: Entries, prefix: str) -> list[str]:
    """The voters (VOTER_PREFIX) or learners (LEARNER_PREFIX), in order."""
    return sorted(key.removeprefix(prefix) for key in entries if key.startswith(prefix))


def membership_entry(entries: Entries, ip: str) -> dict[str, Any] | None:
    """The record of a voter or learner; None: it is neither."""
    entry = entries.get(VOTER_PREFIX + ip, entries.get(LEARNER_PREFIX + ip))
    return entry if isinstance(entry, dict) else None


def leaving_voters(entries: Entries) -> list[str]:
    """The voters that are to be removed or replaced, in order."""
    return [ip for ip in addresses_under(entries, VOTER_PREFIX) if entries[VOTER_PREFIX + ip].get(LEAVING)]


def voter_incarnations(entries: Entries) -> dict[str, int | None]:
    """The voters, each with the incarnation of its disk; None: any."""
    return {ip: entries[VOTER_PREFIX + ip].get(INCARNATION) for ip in addresses_under(entries, VOTER_PREFIX)}


def incarnation_matches(entries: Entries, ip: str, incarnation: int | None) -> bool:
    """Whether a disk of that incarnation is the one that is a voter."""
    voter = entries.get(VOTER_PREFIX + ip)
    return isinstance(voter, dict) and voter.get(INCARNATION) in (None, incarnation)


def is_displaced(entries: Entries, ip: str, incarnation: int) -> bool:
    """Whether a committed map says that nothing on a disk of this incarnation counts any more."""
    if VOTER_PREFIX + ip in entries:
        return not incarnation_matches(entries, ip, incarnation)
    learner = entries.get(LEARNER_PREFIX + ip)
    return not isinstance(learner, dict) or learner.get(INCARNATION) != incarnation
