"""Plans the order in which machines or workers are replaced. Pure."""

from collections import Counter
from collections.abc import Mapping, Sequence

from attrs import frozen

from ashlift.errors import Failure, FailureReason


@frozen
class Replaceable:
    """A proxy, core machine or worker that is to be replaced."""

    name: str
    zone: str
    group: str  # of which it is one: bounded is how many of a group are out
    is_last: bool = False  # such as the leader: it is replaced when all others of its group are back


def plan_rollout(
    items: Sequence[Replaceable], max_out: int, needs_majority: bool = False
) -> list[list[str]] | Failure:
    """Return batches of names, each to be back before the next.

    At most `max_out` are out at a time, all in one zone, and less than half of a group that has three or
    more; where the group needs a majority, never so many that none is left.
    """
    if max_out < 1:
        return Failure(FailureReason.INVALID, "at most 0 may be out: nothing can be replaced")
    limits = _limits_by_group(items, max_out)
    if needs_majority and (too_small := next((group for group, limit in limits.items() if limit < 1), None)):
        size = sum(item.group == too_small for item in items)
        return Failure(
            FailureReason.INVALID,
            f"{too_small}: of {size} none may be out, for the others are no majority",
        )
    waiting = sorted(items, key=lambda item: (item.is_last, item.zone, item.group, item.name))
    batches: list[list[str]] = []
    while waiting:
        batch = _next_batch(waiting, max_out, limits)
        waiting = [item for item in waiting if item not in batch]
        batches.append([item.name for item in batch])
    return batches


def _limits_by_group(items: Sequence[Replaceable], max_out: int) -> dict[str, int]:
    """How many of each group may be out; 0 where the others would be no majority."""
    sizes = Counter(item.group for item in items)
    return {group: min(max_out, (size - 1) // 2) for group, size in sizes.items()}


def _next_batch(waiting: Sequence[Replaceable], max_out: int, limits: Mapping[str, int]) -> list[Replaceable]:
    """The first that waits, and others of its zone as far as the limits allow; one of a group always may."""
    first = waiting[0]
    batch: list[Replaceable] = []
    for item in waiting:
        same_group = sum(other.group == item.group for other in batch)
        fits = len(batch) < max_out and same_group < max(1, limits[item.group])
        if item.zone == first.zone and item.is_last == first.is_last and fits:
            batch.append(item)
    return batch
