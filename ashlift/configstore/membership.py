"""Membership records in the replicated map. Pure functions; `membership_rules` decides on changes.

`Members/IP` is a voter: `{}` or `{"life", "leaving", "until"}`. `Learners/IP` is a learner: `{"life",
"held"}`. `life` is the incarnation of the disk (absent: any), `leaving` is "remove" or "replace", `until` is
the number of other voters required before a voter that is being replaced may leave, and `held` is true for a
voter that an operator removed, which must not be promoted. Only the leader changes these records, one change
per commit (docs/design/store.md, "Members change").
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
    """The size of a majority of `voter_count` voters."""
    return voter_count // 2 + 1


def addresses_under(entries: Entries, prefix: str) -> list[str]:
    """The sorted addresses of the voters (VOTER_PREFIX) or learners (LEARNER_PREFIX)."""
    return sorted(key.removeprefix(prefix) for key in entries if key.startswith(prefix))


def membership_entry(entries: Entries, ip: str) -> dict[str, Any] | None:
    """The record of a voter or learner; None if `ip` is neither."""
    entry = entries.get(VOTER_PREFIX + ip, entries.get(LEARNER_PREFIX + ip))
    return entry if isinstance(entry, dict) else None


def leaving_voters(entries: Entries) -> list[str]:
    """The sorted addresses of the voters that are to be removed or replaced."""
    return [ip for ip in addresses_under(entries, VOTER_PREFIX) if entries[VOTER_PREFIX + ip].get(LEAVING)]


def voter_incarnations(entries: Entries) -> dict[str, int | None]:
    """The incarnation of each voter's disk; None: any."""
    return {ip: entries[VOTER_PREFIX + ip].get(INCARNATION) for ip in addresses_under(entries, VOTER_PREFIX)}


def incarnation_matches(entries: Entries, ip: str, incarnation: int | None) -> bool:
    """Whether `ip` is a voter with a disk of this incarnation."""
    voter = entries.get(VOTER_PREFIX + ip)
    return isinstance(voter, dict) and voter.get(INCARNATION) in (None, incarnation)


def is_displaced(entries: Entries, ip: str, incarnation: int) -> bool:
    """Whether a committed map includes `ip` neither as a voter nor as a learner with this incarnation."""
    if VOTER_PREFIX + ip in entries:
        return not incarnation_matches(entries, ip, incarnation)
    learner = entries.get(LEARNER_PREFIX + ip)
    return not isinstance(learner, dict) or learner.get(INCARNATION) != incarnation
