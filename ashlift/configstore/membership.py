"""Who belongs to the store: a wanted state in the agreed map, and what its leader does next about it. Pure.

`Members/IP` is a voter: `{}` or `{"life", "leaving", "until"}`; `Learners/IP` a non-voting learner: `{"life",
"held"}`. `life` is the incarnation of its disk (absent: any), `leaving` remove or replace, `until` how many
must vote without it, `held` true for one that an operator took off: it learns and does not vote.
Only the leader changes them, one commit at a time (docs/design/store.md, "Members change").
"""

from collections.abc import Mapping, Sequence
from typing import Any, Final, NamedTuple

from attrs import frozen

from ashlift.configstore.messages import Settled, Work

MEMBERS: Final = "Members/"
LEARNERS: Final = "Learners/"
SILENT_S: Final = 1.2  # while a voter is silent for longer, no learner is let in beside it
MOVE_S: Final = 5.0  # a voter not heard for so long gives its vote to a learner that is ready
LOST_S: Final = 10.0  # a voter not heard for so long may lose its vote, if as much is borne without it
GONE_S: Final = 60.0  # the same for two of an odd number, of whom the first alone gains nothing
REMOVE: Final = "remove"
REPLACE: Final = "replace"
ADD: Final = "add"


class Membership(NamedTuple):
    """An operator's order: `do` is remove, replace or add."""

    do: str
    ip: str


@frozen
class View:
    """What the leader sees of a process. `unheard`: s; `able`: heard now, counts, holds the newest map."""

    unheard: float = float("inf")
    able: bool = False
    life: int | None = None  # of a learner that is ready to vote


Views = Mapping[str, View]
NEVER: Final = View()


def quorum(voters: int) -> int:
    return voters // 2 + 1


def named(map: Mapping[str, Any], prefix: str) -> list[str]:
    return sorted(key.removeprefix(prefix) for key in map if key.startswith(prefix))


def entry(map: Mapping[str, Any], ip: str) -> dict[str, Any] | None:
    """What the map says of it, as a voter or a learner."""
    found = map.get(MEMBERS + ip, map.get(LEARNERS + ip))
    return found if isinstance(found, dict) else None


def lives(map: Mapping[str, Any]) -> dict[str, int | None]:
    """The voters, each with the incarnation of its disk; None: any."""
    return {ip: map[MEMBERS + ip].get("life") for ip in named(map, MEMBERS)}


def life_fits(map: Mapping[str, Any], ip: str, life: int | None) -> bool:
    """Whether a disk of that incarnation is the one that is a voter."""
    found = map.get(MEMBERS + ip)
    return isinstance(found, dict) and found.get("life") in (None, life)


def displaced(map: Mapping[str, Any], ip: str, life: int) -> bool:
    """Whether a committed map says that nothing of a disk of this incarnation counts any more."""
    if MEMBERS + ip in map:
        return not life_fits(map, ip, life)
    found = map.get(LEARNERS + ip)
    return not isinstance(found, dict) or found.get("life") != life


def borne(voters: Sequence[str], views: Views) -> int:
    """How many more voters may be lost; below 0: there is no majority."""
    return sum(views.get(ip, NEVER).able for ip in voters) - quorum(len(voters))


def without(voters: Sequence[str], ip: str) -> list[str]:
    return [one for one in voters if one != ip]


def ready(map: Mapping[str, Any], views: Views) -> list[str]:
    """Learners that hold the newest map and may vote, in order."""
    found = []
    for ip in named(map, LEARNERS):
        view, told = views.get(ip, NEVER), map[LEARNERS + ip]
        if view.able and view.life is not None and view.life == told.get("life") and not told.get("held"):
            found.append(ip)
    return found


def refusal(map: Mapping[str, Any], ip: str, views: Views, tolerated: int, do: str = REMOVE) -> str | None:
    """Why a voter may not be taken off now; None: it may."""
    voters = named(map, MEMBERS)
    if ip not in voters:
        return f"{ip} is no voter"
    left = without(voters, ip)
    until = map[MEMBERS + ip].get("until", 0)
    if do == REPLACE and len(left) < until:
        return f"{until} others must vote first, and {len(left)} do"
    least = max(3, 2 * tolerated + 1)
    if len(left) < 2 or len(left) + len(ready(map, views)) < least:
        return f"{len(left)} voters would be left, and {least} are needed to lose {tolerated}"
    more = borne(left, views)
    if more < 0:
        return f"{len(left)} would be left, and {-more} more of them must be heard and up to date"
    if more < (tolerated if views.get(ip, NEVER).able else min(borne(voters, views), tolerated)):
        return f"only {more} more could be lost then"
    return None


def decide(map: Mapping[str, Any], order: Membership, views: Views, tolerated: int) -> Work | Settled:
    """An operator's order on the leader's newest map. Answers as `configstore.commands.decide` gives them."""
    ip, voter = order.ip, map.get(MEMBERS + order.ip)
    done = {"status": 200}
    if order.do == ADD:
        if isinstance(voter, dict):
            stays = {key: value for key, value in voter.items() if key == "life"}
            return Work({MEMBERS + ip: stays}, [], done) if stays != voter else Settled(done)
        learner = map.get(LEARNERS + ip)
        if not isinstance(learner, dict):
            return Settled({"status": 409, "reason": f"{ip} has not asked to join"})
        frees = {key: value for key, value in learner.items() if key != "held"}
        return Work({LEARNERS + ip: frees}, [], done) if frees != learner else Settled(done)
    if order.do not in (REMOVE, REPLACE):
        return Settled({"status": 400, "reason": f"no change of members: {order.do[:40]}"})
    if not isinstance(voter, dict):
        if isinstance(map.get(LEARNERS + ip), dict):
            return Settled(done)  # taken off before
        return Settled({"status": 409, "reason": f"{ip} is no voter"})
    others = [one for one in leaving(map) if one != ip]
    if others:
        return Settled({"status": 409, "reason": f"{', '.join(others)} leaves already: one at a time"})
    wanted = {**voter, "leaving": order.do}
    if order.do == REPLACE:
        wanted["until"] = voter.get("until", len(named(map, MEMBERS)))
    else:
        wanted.pop("until", None)
        why = refusal(map, ip, views, tolerated)
        if why is not None:
            return Settled({"status": 409, "reason": why})
    return Work({MEMBERS + ip: wanted}, [], done) if wanted != voter else Settled(done)


def leaving(map: Mapping[str, Any]) -> list[str]:
    return [ip for ip in named(map, MEMBERS) if map[MEMBERS + ip].get("leaving")]


def next_change(
    map: Mapping[str, Any], me: str, asked: Mapping[str, int], views: Views, tolerated: int
) -> Work | None:
    """What the leader `me` proposes next; `asked`: who asks to join, with its incarnation. None: nothing."""
    voters = named(map, MEMBERS)
    new = {LEARNERS + ip: {"life": life} for ip, life in asked.items() if entry(map, ip) is None}
    silent = [
        LEARNERS + ip
        for ip in named(map, LEARNERS)
        if ip not in asked and not map[LEARNERS + ip].get("held") and views.get(ip, NEVER).unheard >= LOST_S
    ]
    if new or silent:
        return Work(new, silent, None)  # no quorum depends on learners: all at once
    for ip in leaving(map):
        do = map[MEMBERS + ip]["leaving"]
        if ip != me and refusal(map, ip, views, tolerated, do) is None:
            return Work({LEARNERS + ip: {"life": 0, "held": True}}, [MEMBERS + ip], None)
    able = sum(views.get(ip, NEVER).able for ip in voters)
    waiting = ready(map, views)
    silent_for = max((views.get(ip, NEVER).unheard for ip in voters if ip != me), default=0.0)
    if waiting and silent_for < SILENT_S and (able >= quorum(len(voters) + 1) or len(voters) == 1):
        ip = waiting[0]  # the others alone can commit it: it lowers nothing that may be lost
        return Work({MEMBERS + ip: {"life": views[ip].life}}, [LEARNERS + ip], None)
    after = MOVE_S if waiting else LOST_S
    lost = sorted(
        (ip for ip in voters if ip != me and views.get(ip, NEVER).unheard >= after),
        key=lambda ip: (-views.get(ip, NEVER).unheard, ip),
    )
    longer = sum(views.get(ip, NEVER).unheard >= GONE_S for ip in lost)
    if len(voters) % 2 and not waiting and longer < 2:
        return None  # nothing is gained by one of an odd number
    for ip in lost:
        as_much = borne(without(voters, ip), views) >= borne(voters, views)
        if as_much and refusal(map, ip, views, tolerated) is None:
            return Work({}, [MEMBERS + ip], None)
    return None
