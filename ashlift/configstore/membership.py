"""Who belongs to the store: a wanted state in the agreed map, and what its leader does next about it. Pure.

`Members/IP` is a voter: `{}` or `{"life", "leaving", "until"}`; `Learners/IP` a non-voting learner: `{"life",
"held"}`. `life` is the incarnation of its disk (absent: any), `leaving` remove or replace, `until` how many
must vote without it, `held` true for one that an operator took off: it learns and does not vote.
Only the leader changes them, one commit at a time (docs/design/store.md, "Members change").
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from attrs import frozen

from ashlift.configstore.messages import Proposal, ReadOnlyResult

VOTER_PREFIX: Final = "Members/"
LEARNER_PREFIX: Final = "Learners/"
MAX_SILENCE_FOR_PROMOTION_SECONDS: Final = (
    1.2  # while a voter is silent for longer, no learner is let in beside it
)
REPLACE_VOTER_AFTER_SECONDS: Final = (
    5.0  # a voter not heard for so long gives its vote to a learner that is ready
)
REMOVE_VOTER_AFTER_SECONDS: Final = (
    10.0  # a voter not heard for so long may lose its vote, if as much is borne without it
)
REMOVE_VOTER_PAIR_AFTER_SECONDS: Final = (
    60.0  # the same for two of an odd number, of whom the first alone gains nothing
)
REMOVE: Final = "remove"
REPLACE: Final = "replace"
ADD: Final = "add"


class MembershipCommand(NamedTuple):
    """An operator's order: `do` is remove, replace or add."""

    action: str
    ip: str


@frozen
class ReplicaView:
    """What the leader sees of a process. `unheard`: s; `able`: heard now, counts, holds the newest map."""

    silent_seconds: float = float("inf")
    is_up_to_date: bool = False
    incarnation: int | None = None  # of a learner that is ready to vote


ReplicaViews = Mapping[str, ReplicaView]
NEVER: Final = ReplicaView()


def quorum(voters: int) -> int:
    return voters // 2 + 1


def addresses_under(map: Mapping[str, Any], prefix: str) -> list[str]:
    return sorted(key.removeprefix(prefix) for key in map if key.startswith(prefix))


def membership_entry(map: Mapping[str, Any], ip: str) -> dict[str, Any] | None:
    """What the map says of it, as a voter or a learner."""
    found = map.get(VOTER_PREFIX + ip, map.get(LEARNER_PREFIX + ip))
    return found if isinstance(found, dict) else None


def voter_incarnations(map: Mapping[str, Any]) -> dict[str, int | None]:
    """The voters, each with the incarnation of its disk; None: any."""
    return {ip: map[VOTER_PREFIX + ip].get("life") for ip in addresses_under(map, VOTER_PREFIX)}


def incarnation_matches(map: Mapping[str, Any], ip: str, life: int | None) -> bool:
    """Whether a disk of that incarnation is the one that is a voter."""
    found = map.get(VOTER_PREFIX + ip)
    return isinstance(found, dict) and found.get("life") in (None, life)


def is_displaced(map: Mapping[str, Any], ip: str, life: int) -> bool:
    """Whether a committed map says that nothing of a disk of this incarnation counts any more."""
    if VOTER_PREFIX + ip in map:
        return not incarnation_matches(map, ip, life)
    found = map.get(LEARNER_PREFIX + ip)
    return not isinstance(found, dict) or found.get("life") != life


def spare_voters(voters: Sequence[str], views: ReplicaViews) -> int:
    """How many more voters may be lost; below 0: there is no majority."""
    return sum(views.get(ip, NEVER).is_up_to_date for ip in voters) - quorum(len(voters))


def voters_without(voters: Sequence[str], ip: str) -> list[str]:
    return [one for one in voters if one != ip]


def ready_learners(map: Mapping[str, Any], views: ReplicaViews) -> list[str]:
    """Learners that hold the newest map and may vote, in order."""
    found = []
    for ip in addresses_under(map, LEARNER_PREFIX):
        view, told = views.get(ip, NEVER), map[LEARNER_PREFIX + ip]
        if (
            view.is_up_to_date
            and view.incarnation is not None
            and view.incarnation == told.get("life")
            and not told.get("held")
        ):
            found.append(ip)
    return found


def removal_refusal(
    map: Mapping[str, Any], ip: str, views: ReplicaViews, tolerated: int, do: str = REMOVE
) -> str | None:
    """Why a voter may not be taken off now; None: it may."""
    voters = addresses_under(map, VOTER_PREFIX)
    if ip not in voters:
        return f"{ip} is no voter"
    left = voters_without(voters, ip)
    until = map[VOTER_PREFIX + ip].get("until", 0)
    if do == REPLACE and len(left) < until:
        return f"{until} others must vote first, and {len(left)} do"
    least = max(3, 2 * tolerated + 1)
    if len(left) < 2 or len(left) + len(ready_learners(map, views)) < least:
        return f"{len(left)} voters would be left, and {least} are needed to lose {tolerated}"
    more = spare_voters(left, views)
    if more < 0:
        return f"{len(left)} would be left, and {-more} more of them must be heard and up to date"
    if more < (
        tolerated if views.get(ip, NEVER).is_up_to_date else min(spare_voters(voters, views), tolerated)
    ):
        return f"only {more} more could be lost then"
    return None


def decide(
    map: Mapping[str, Any], order: MembershipCommand, views: ReplicaViews, tolerated: int
) -> Proposal | ReadOnlyResult:
    """An operator's order on the leader's newest map. Answers as `configstore.commands.decide` gives them."""
    ip, voter = order.ip, map.get(VOTER_PREFIX + order.ip)
    done = {"status": 200}
    if order.action == ADD:
        if isinstance(voter, dict):
            stays = {key: value for key, value in voter.items() if key == "life"}
            return Proposal({VOTER_PREFIX + ip: stays}, [], done) if stays != voter else ReadOnlyResult(done)
        learner = map.get(LEARNER_PREFIX + ip)
        if not isinstance(learner, dict):
            return ReadOnlyResult({"status": 409, "reason": f"{ip} has not asked to join"})
        frees = {key: value for key, value in learner.items() if key != "held"}
        return Proposal({LEARNER_PREFIX + ip: frees}, [], done) if frees != learner else ReadOnlyResult(done)
    if order.action not in (REMOVE, REPLACE):
        return ReadOnlyResult({"status": 400, "reason": f"no change of members: {order.action[:40]}"})
    if not isinstance(voter, dict):
        if isinstance(map.get(LEARNER_PREFIX + ip), dict):
            return ReadOnlyResult(done)  # taken off before
        return ReadOnlyResult({"status": 409, "reason": f"{ip} is no voter"})
    others = [one for one in leaving_voters(map) if one != ip]
    if others:
        return ReadOnlyResult({"status": 409, "reason": f"{', '.join(others)} leaves already: one at a time"})
    wanted = {**voter, "leaving": order.action}
    if order.action == REPLACE:
        wanted["until"] = voter.get("until", len(addresses_under(map, VOTER_PREFIX)))
    else:
        wanted.pop("until", None)
        why = removal_refusal(map, ip, views, tolerated)
        if why is not None:
            return ReadOnlyResult({"status": 409, "reason": why})
    return Proposal({VOTER_PREFIX + ip: wanted}, [], done) if wanted != voter else ReadOnlyResult(done)


def leaving_voters(map: Mapping[str, Any]) -> list[str]:
    return [ip for ip in addresses_under(map, VOTER_PREFIX) if map[VOTER_PREFIX + ip].get("leaving")]


def next_membership_change(
    map: Mapping[str, Any], me: str, asked: Mapping[str, int], views: ReplicaViews, tolerated: int
) -> Proposal | None:
    """What the leader `me` proposes next; `asked`: who asks to join, with its incarnation. None: nothing."""
    voters = addresses_under(map, VOTER_PREFIX)
    new = {
        LEARNER_PREFIX + ip: {"life": life} for ip, life in asked.items() if membership_entry(map, ip) is None
    }
    silent = [
        LEARNER_PREFIX + ip
        for ip in addresses_under(map, LEARNER_PREFIX)
        if ip not in asked
        and not map[LEARNER_PREFIX + ip].get("held")
        and views.get(ip, NEVER).silent_seconds >= REMOVE_VOTER_AFTER_SECONDS
    ]
    if new or silent:
        return Proposal(new, silent, None)  # no quorum depends on learners: all at once
    for ip in leaving_voters(map):
        do = map[VOTER_PREFIX + ip]["leaving"]
        if ip != me and removal_refusal(map, ip, views, tolerated, do) is None:
            return Proposal({LEARNER_PREFIX + ip: {"life": 0, "held": True}}, [VOTER_PREFIX + ip], None)
    able = sum(views.get(ip, NEVER).is_up_to_date for ip in voters)
    waiting = ready_learners(map, views)
    silent_for = max((views.get(ip, NEVER).silent_seconds for ip in voters if ip != me), default=0.0)
    if (
        waiting
        and silent_for < MAX_SILENCE_FOR_PROMOTION_SECONDS
        and (able >= quorum(len(voters) + 1) or len(voters) == 1)
    ):
        ip = waiting[0]  # the others alone can commit it: it lowers nothing that may be lost
        return Proposal({VOTER_PREFIX + ip: {"life": views[ip].incarnation}}, [LEARNER_PREFIX + ip], None)
    after = REPLACE_VOTER_AFTER_SECONDS if waiting else REMOVE_VOTER_AFTER_SECONDS
    lost = sorted(
        (ip for ip in voters if ip != me and views.get(ip, NEVER).silent_seconds >= after),
        key=lambda ip: (-views.get(ip, NEVER).silent_seconds, ip),
    )
    longer = sum(views.get(ip, NEVER).silent_seconds >= REMOVE_VOTER_PAIR_AFTER_SECONDS for ip in lost)
    if len(voters) % 2 and not waiting and longer < 2:
        return None  # nothing is gained by one of an odd number
    for ip in lost:
        as_much = spare_voters(voters_without(voters, ip), views) >= spare_voters(voters, views)
        if as_much and removal_refusal(map, ip, views, tolerated) is None:
            return Proposal({}, [VOTER_PREFIX + ip], None)
    return None
