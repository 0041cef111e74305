"""Rules for membership changes by operator commands and by the leader itself. Pure functions.

For why quorums of successive memberships intersect see docs/design/store.md, "Members change".
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from ashlift.configstore.membership import (
    INCARNATION,
    LEARNER_PREFIX,
    LEAVING,
    VOTER_PREFIX,
    VOTERS_REQUIRED,
    VOTING_BLOCKED,
    Entries,
    addresses_under,
    leaving_voters,
    membership_entry,
    quorum,
)
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.response_status import BAD_REQUEST, CONFLICT, OK

# No learner is made a voter while another voter has been out of contact for longer.
MAX_CONTACT_AGE_FOR_PROMOTION_SECONDS: Final = 1.2
# A voter out of contact for this long is replaced by a learner that is ready.
REPLACE_VOTER_AFTER_SECONDS: Final = 5.0
# A voter out of contact for this long is removed, if that does not reduce the failures tolerated.
REMOVE_VOTER_AFTER_SECONDS: Final = 10.0
# The same for two of an odd number of voters, where removing only the first would gain nothing.
REMOVE_VOTER_PAIR_AFTER_SECONDS: Final = 60.0
MIN_VOTERS: Final = 2
MAX_SHOWN_ACTION_CHARACTERS: Final = 40

# Actions of a membership command, on the wire and in `LEAVING`.
REMOVE: Final = "remove"
REPLACE: Final = "replace"
ADD: Final = "add"


class MembershipCommand(NamedTuple):
    """An operator's command. `action` is unchecked input; REMOVE, REPLACE and ADD are valid."""

    action: str
    ip: str


class ReplicaView(NamedTuple):
    """The leader's view of a replica."""

    seconds_since_contact: float = float("inf")
    is_up_to_date: bool = False  # recent contact, counts in quorums, and holds the newest map or nearly so
    incarnation: int | None = None  # if up to date, and the replica has reported it


ReplicaViews = Mapping[str, ReplicaView]
NEVER_CONTACTED: Final = ReplicaView()


def spare_voters(voters: Sequence[str], views: ReplicaViews) -> int:
    """How many more voters may fail before the majority is lost; negative if it is lost already."""
    return sum(views.get(ip, NEVER_CONTACTED).is_up_to_date for ip in voters) - quorum(len(voters))


def ready_learners(entries: Entries, views: ReplicaViews) -> list[str]:
    """The sorted addresses of the learners that are up to date and may become voters."""
    return [ip for ip in addresses_under(entries, LEARNER_PREFIX) if _is_ready(entries, ip, views)]


def _is_ready(entries: Entries, ip: str, views: ReplicaViews) -> bool:
    view = views.get(ip, NEVER_CONTACTED)
    learner = entries[LEARNER_PREFIX + ip]
    return (
        view.is_up_to_date
        and view.incarnation is not None
        and view.incarnation == learner.get(INCARNATION)
        and not learner.get(VOTING_BLOCKED)
    )


def removal_refusal(
    entries: Entries, ip: str, views: ReplicaViews, tolerated_failures: int, action: str = REMOVE
) -> str | None:
    """The reason, shown to operators, why a voter may not be removed now; None if it may."""
    voters = addresses_under(entries, VOTER_PREFIX)
    if ip not in voters:
        return f"{ip} is no voter"
    remaining = _without(voters, ip)
    required = entries[VOTER_PREFIX + ip].get(VOTERS_REQUIRED, 0)
    if action == REPLACE and len(remaining) < required:
        return f"{required} others must vote first, and {len(remaining)} do"
    needed = max(3, 2 * tolerated_failures + 1)
    if len(remaining) < MIN_VOTERS or len(remaining) + len(ready_learners(entries, views)) < needed:
        return f"{len(remaining)} voters would be left, and {needed} are needed to lose {tolerated_failures}"
    spare = spare_voters(remaining, views)
    if spare < 0:
        return f"{len(remaining)} would be left, and {-spare} more of them must be heard and up to date"
    spare_needed = tolerated_failures
    if not views.get(ip, NEVER_CONTACTED).is_up_to_date:
        spare_needed = min(spare_voters(voters, views), tolerated_failures)
    if spare < spare_needed:
        return f"only {spare} more could be lost then"
    return None


# ---- operators' commands
def decide_membership_command(
    entries: Entries, command: MembershipCommand, views: ReplicaViews, tolerated_failures: int
) -> Proposal | ReadOnlyResult:
    """Decide an operator's command on the leader's newest map. The response is `{status, reason?}`."""
    if command.action == ADD:
        return _decide_add(entries, command.ip)
    if command.action not in (REMOVE, REPLACE):
        shown_action = command.action[:MAX_SHOWN_ACTION_CHARACTERS]
        return _refused(BAD_REQUEST, f"no change of members: {shown_action}")
    if not isinstance(entries.get(VOTER_PREFIX + command.ip), dict):
        if isinstance(entries.get(LEARNER_PREFIX + command.ip), dict):
            return _unchanged()  # already removed
        return _refused(CONFLICT, f"{command.ip} is no voter")
    other_voters = _without(leaving_voters(entries), command.ip)
    if other_voters:
        return _refused(CONFLICT, f"{', '.join(other_voters)} leaves already: one at a time")
    return _decide_removal(entries, command, views, tolerated_failures)


def _decide_add(entries: Entries, ip: str) -> Proposal | ReadOnlyResult:
    """Cancel the removal of a leaving voter, or allow a removed voter to be promoted again."""
    voter = entries.get(VOTER_PREFIX + ip)
    if isinstance(voter, dict):
        staying = {key: value for key, value in voter.items() if key == INCARNATION}
        return _changed(VOTER_PREFIX + ip, staying) if staying != voter else _unchanged()
    learner = entries.get(LEARNER_PREFIX + ip)
    if not isinstance(learner, dict):
        return _refused(CONFLICT, f"{ip} has not asked to join")
    released = {key: value for key, value in learner.items() if key != VOTING_BLOCKED}
    return _changed(LEARNER_PREFIX + ip, released) if released != learner else _unchanged()


def _decide_removal(
    entries: Entries, command: MembershipCommand, views: ReplicaViews, tolerated_failures: int
) -> Proposal | ReadOnlyResult:
    voter = entries[VOTER_PREFIX + command.ip]
    leaving = {**voter, LEAVING: command.action}
    if command.action == REPLACE:
        voter_count = len(addresses_under(entries, VOTER_PREFIX))
        leaving[VOTERS_REQUIRED] = voter.get(VOTERS_REQUIRED, voter_count)
    else:
        leaving.pop(VOTERS_REQUIRED, None)
        refusal = removal_refusal(entries, command.ip, views, tolerated_failures)
        if refusal is not None:
            return _refused(CONFLICT, refusal)
    return _changed(VOTER_PREFIX + command.ip, leaving) if leaving != voter else _unchanged()


def _changed(key: str, entry: dict[str, Any]) -> Proposal:
    return Proposal({key: entry}, [], {"status": OK})


def _unchanged() -> ReadOnlyResult:
    return ReadOnlyResult({"status": OK})


def _refused(status: int, reason: str) -> ReadOnlyResult:
    return ReadOnlyResult({"status": status, "reason": reason})


# ---- changes initiated by the leader
def next_membership_change(
    entries: Entries,
    leader_ip: str,
    join_requests: Mapping[str, int],
    views: ReplicaViews,
    tolerated_failures: int,
) -> Proposal | None:
    """The change that the leader proposes next, if any. `join_requests` has each sender's incarnation."""
    learners = _change_learners(entries, join_requests, views)
    if learners is not None:
        return learners
    for ip in leaving_voters(entries):
        action = entries[VOTER_PREFIX + ip][LEAVING]
        if ip != leader_ip and removal_refusal(entries, ip, views, tolerated_failures, action) is None:
            blocked_learner = {LEARNER_PREFIX + ip: {INCARNATION: 0, VOTING_BLOCKED: True}}
            return Proposal(blocked_learner, [VOTER_PREFIX + ip], None)
    ready = ready_learners(entries, views)
    if ready and _may_promote(entries, leader_ip, views):
        ip = ready[0]
        return Proposal(
            {VOTER_PREFIX + ip: {INCARNATION: views[ip].incarnation}}, [LEARNER_PREFIX + ip], None
        )
    return _remove_lost_voter(entries, leader_ip, views, tolerated_failures, has_ready_learner=bool(ready))


def _change_learners(
    entries: Entries, join_requests: Mapping[str, int], views: ReplicaViews
) -> Proposal | None:
    """Add joining learners and remove those out of contact, all at once as no quorum depends on learners."""
    new = {
        LEARNER_PREFIX + ip: {INCARNATION: incarnation}
        for ip, incarnation in join_requests.items()
        if membership_entry(entries, ip) is None
    }
    gone = [
        LEARNER_PREFIX + ip
        for ip in addresses_under(entries, LEARNER_PREFIX)
        if ip not in join_requests
        and not entries[LEARNER_PREFIX + ip].get(VOTING_BLOCKED)
        and views.get(ip, NEVER_CONTACTED).seconds_since_contact >= REMOVE_VOTER_AFTER_SECONDS
    ]
    return Proposal(new, gone, None) if new or gone else None


def _may_promote(entries: Entries, leader_ip: str, views: ReplicaViews) -> bool:
    """Whether the current voters could commit on their own after a voter is added."""
    voters = addresses_under(entries, VOTER_PREFIX)
    up_to_date = sum(views.get(ip, NEVER_CONTACTED).is_up_to_date for ip in voters)
    longest_contact_age = max(
        (views.get(ip, NEVER_CONTACTED).seconds_since_contact for ip in voters if ip != leader_ip),
        default=0.0,
    )
    if longest_contact_age >= MAX_CONTACT_AGE_FOR_PROMOTION_SECONDS:
        return False
    return up_to_date >= quorum(len(voters) + 1) or len(voters) == 1


def _remove_lost_voter(
    entries: Entries,
    leader_ip: str,
    views: ReplicaViews,
    tolerated_failures: int,
    *,
    has_ready_learner: bool,
) -> Proposal | None:
    """Remove the voter out of contact for longest, unless that reduces the failures tolerated."""
    voters = addresses_under(entries, VOTER_PREFIX)
    contact_ages = {
        ip: views.get(ip, NEVER_CONTACTED).seconds_since_contact for ip in voters if ip != leader_ip
    }
    limit = REPLACE_VOTER_AFTER_SECONDS if has_ready_learner else REMOVE_VOTER_AFTER_SECONDS
    lost_voters = sorted(
        (ip for ip in contact_ages if contact_ages[ip] >= limit), key=lambda ip: (-contact_ages[ip], ip)
    )
    long_lost = sum(contact_ages[ip] >= REMOVE_VOTER_PAIR_AFTER_SECONDS for ip in lost_voters)
    if len(voters) % 2 and not has_ready_learner and long_lost < 2:
        return None  # removing one of an odd number of voters does not make the quorum smaller
    for ip in lost_voters:
        tolerates_as_many = spare_voters(_without(voters, ip), views) >= spare_voters(voters, views)
        if tolerates_as_many and removal_refusal(entries, ip, views, tolerated_failures) is None:
            return Proposal({}, [VOTER_PREFIX + ip], None)
    return None


def _without(addresses: Sequence[str], ip: str) -> list[str]:
    return [address for address in addresses if address != ip]
