"""Plans the order in which machines or workers are replaced. Performs no I/O."""

from collections import Counter
from collections.abc import Mapping, Sequence

from attrs import frozen

from ashlift.errors import Failure, FailureReason


@frozen
class RolloutTarget:
    """A proxy, core machine or worker that is to be replaced."""

    name: str
    zone: str
    group: str  # the limit on unavailable targets applies per group
    replace_last: bool = False  # after all others of its group, as for the leader


def plan_rollout(
    targets: Sequence[RolloutTarget], max_unavailable: int, needs_majority: bool = False
) -> list[list[str]] | Failure:
    """Return batches of names; each batch must be back in service before the next one starts.

    A batch has at most `max_unavailable` targets, all in one zone. From a group of three or more it takes
    less than half; from a smaller group it takes one, or fails if `needs_majority` is set.
    """
    if max_unavailable < 1:
        return Failure(FailureReason.INVALID, "the maximum number out of service must be at least 1")
    limits = _max_unavailable_by_group(targets, max_unavailable)
    if needs_majority and (too_small := next((group for group, limit in limits.items() if limit < 1), None)):
        size = sum(target.group == too_small for target in targets)
        return Failure(
            FailureReason.INVALID,
            f"{too_small}: none of {size} can be replaced: the others would not be a majority",
        )
    pending = sorted(
        targets, key=lambda target: (target.replace_last, target.zone, target.group, target.name)
    )
    batches: list[list[str]] = []
    while pending:
        batch = _next_batch(pending, max_unavailable, limits)
        pending = [target for target in pending if target not in batch]
        batches.append([target.name for target in batch])
    return batches


def _max_unavailable_by_group(targets: Sequence[RolloutTarget], max_unavailable: int) -> dict[str, int]:
    """Return how many of each group may be unavailable; 0 if the others would not be a majority."""
    sizes = Counter(target.group for target in targets)
    return {group: min(max_unavailable, (size - 1) // 2) for group, size in sizes.items()}


def _next_batch(
    pending: Sequence[RolloutTarget], max_unavailable: int, limits: Mapping[str, int]
) -> list[RolloutTarget]:
    """Return the first pending target and others of its zone within the limits; one per group always fits."""
    first = pending[0]
    batch: list[RolloutTarget] = []
    for target in pending:
        same_group = sum(other.group == target.group for other in batch)
        fits = len(batch) < max_unavailable and same_group < max(1, limits[target.group])
        if target.zone == first.zone and target.replace_last == first.replace_last and fits:
            batch.append(target)
    return batch
