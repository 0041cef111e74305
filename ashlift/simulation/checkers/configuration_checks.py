"""Rules for the configuration: changes take effect in time, are never lost, and versions only increase."""

import math
from collections import defaultdict
from collections.abc import Iterator

from attrs import frozen

from ashlift.simulation.checkers.checked_history import CheckedHistory, allows_run, explains_denial
from ashlift.simulation.checkers.request_checks import DENIAL_STATUSES
from ashlift.simulation.checkers.violation import Violation
from ashlift.simulation.history import ConfigurationChange, ConfigurationRead, EvacuationChange, Request
from ashlift.simulation.linearizability import (
    ACKNOWLEDGED,
    CONFLICT,
    IN_DOUBT,
    Call,
    find_unexplained_call,
)

CONFLICT_STATUS = 412


@frozen
class Observation:
    """Evidence of the configuration in force at a proxy: the versions that explain a request's outcome."""

    request: Request
    at: float
    versions: list[int]
    description: str
    ran: bool  # whether a worker ran the request; otherwise the proxy denied it


def check_configuration_in_force(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG: no proxy acts on a version that is outdated, conflicting, downgraded or was never in force."""
    observations = [
        observation
        for request in checked.history.requests
        for observation in _observations_of(request, checked.possible_changes)
    ]
    acknowledged = [change for change in checked.possible_changes if change.acknowledged < math.inf]
    for observation in observations:
        if observation.versions:
            yield from _outdated_versions(checked, observation, acknowledged)
        elif observation.ran:
            description = (
                f"{observation.request.describe()} {observation.description}, "
                "which no version that may be in force allows"
            )
            yield Violation("CONFIG", observation.at, description)
    explained = [observation for observation in observations if observation.versions]
    yield from _downgrades(checked, explained)
    yield from _conflicting_changes(checked)


def _observations_of(request: Request, changes: list[ConfigurationChange]) -> Iterator[Observation]:
    for arrival in request.arrivals:
        if arrival.ran:
            versions = [change.version for change in changes if allows_run(change.table, request, arrival)]
            description = f"ran at {arrival.worker} of {arrival.service} for {arrival.tenant or 'nobody'}"
            yield Observation(request, arrival.at, versions, description, ran=True)
    if request.status in DENIAL_STATUSES:
        versions = [change.version for change in changes if explains_denial(change.table, request)]
        yield Observation(request, request.ended, versions, f"got {request.status}", ran=False)


def _outdated_versions(
    checked: CheckedHistory, observation: Observation, acknowledged: list[ConfigurationChange]
) -> Iterator[Violation]:
    """All versions that explain the observation are older than a change that the proxy must have applied."""
    request = observation.request
    newest_version = max(observation.versions)
    for change in acknowledged:
        if newest_version < change.version and checked.must_have_applied(
            request.proxy, request.sent, change.acknowledged, checked.bounds.config_apply
        ):
            description = (
                f"{request.describe()} {observation.description}, "
                f"which no version newer than {newest_version} explains, "
                f"but {change.describe()} was acknowledged at {change.acknowledged:.3f}"
            )
            yield Violation("CONFIG", observation.at, description)


def _downgrades(checked: CheckedHistory, observations: list[Observation]) -> Iterator[Violation]:
    """An incarnation of a proxy acts on an older version than before."""
    effects = _observed_effects(checked, observations)
    for observation in observations:
        request = observation.request
        newest_version = max(observation.versions)
        for effect_at, version in effects.get((request.proxy, request.proxy_incarnation), ()):
            if effect_at + checked.bounds.downgrade_slack >= request.sent:
                break
            if newest_version < version:
                description = (
                    f"{request.describe()} {observation.description}: downgrade from version {version}, "
                    f"which was in effect there at {effect_at:.3f}, to {newest_version}"
                )
                yield Violation("CONFIG", observation.at, description)
                break


def _observed_effects(
    checked: CheckedHistory, observations: list[Observation]
) -> dict[tuple[str, int], list[tuple[float, int]]]:
    """For each incarnation of a proxy: times and the lowest version that it acted on, ordered by time."""
    first_version = checked.possible_changes[0].version if checked.possible_changes else 0
    effects: dict[tuple[str, int], list[tuple[float, int]]] = defaultdict(list)
    for observation in observations:
        request = observation.request
        oldest_version = min(observation.versions)
        if observation.ran and oldest_version > first_version:
            effects[request.proxy, request.proxy_incarnation].append((observation.at, oldest_version))
    for proxy_effects in effects.values():
        proxy_effects.sort()
    return effects


def _conflicting_changes(checked: CheckedHistory) -> Iterator[Violation]:
    """An invalid change was acknowledged, or two different changes on the same base version."""
    first_on_base: dict[int, ConfigurationChange] = {}
    for change in sorted(checked.changes, key=lambda change: change.acknowledged):
        if math.isinf(change.acknowledged):
            continue
        if not change.valid:
            description = f"{change.describe()} is invalid but was acknowledged"
            yield Violation("CONFIG", change.acknowledged, description)
        other = first_on_base.setdefault(change.base, change)
        if other is not change and other.as_write() != change.as_write():  # an equal change is a resend
            description = f"{change.describe()} and {other.describe()}: both acknowledged"
            yield Violation("CONFIG", change.acknowledged, description)


def check_revoked_keys(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG, in contact or not: no request runs with a key whose removal was acknowledged `revoke` s ago."""
    changes_with_key: dict[str, list[ConfigurationChange]] = {}
    for request, run in checked.runs():
        key = request.key
        if not key or not run.tenant:
            continue
        if key not in changes_with_key:
            changes_with_key[key] = [
                change for change in checked.possible_changes if change.table.find_tenant(key)
            ]
        removal = _acknowledged_removal(checked, request, changes_with_key[key])
        if removal is None or any(
            change.version > removal.version and change.sent <= run.at for change in changes_with_key[key]
        ):
            continue
        description = (
            f"{request.describe()} ran at {run.worker}, but {removal.describe()}, which removes its key, "
            f"was acknowledged at {removal.acknowledged:.3f}"
        )
        yield Violation("CONFIG", run.at, description)


def _acknowledged_removal(
    checked: CheckedHistory, request: Request, changes_with_key: list[ConfigurationChange]
) -> ConfigurationChange | None:
    """The newest change without the request's key that must have been in force when it was sent."""
    limit = request.sent - checked.bounds.revoke
    removals = [
        change
        for change in checked.possible_changes
        if change.acknowledged < limit and change not in changes_with_key
    ]
    return removals[-1] if removals else None


def check_configuration_reads(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG, LOST: a read returns a version as it was sent, not older than those acknowledged or read."""
    acknowledged = sorted(
        (change for change in checked.possible_changes if change.acknowledged < math.inf),
        key=lambda change: change.acknowledged,
    )
    earlier: list[tuple[float, int]] = []
    for reading in sorted(checked.history.configuration_reads, key=lambda reading: reading.started):
        yield from _outdated_reads(checked, reading, acknowledged)
        newest_read = max((version for ended, version in earlier if ended < reading.started), default=0)
        if reading.version < newest_read:
            yield Violation("CONFIG", reading.ended, f"read version {reading.version} after {newest_read}")
        earlier.append((reading.ended, reading.version))
        yield from _altered_or_rejected_read(checked, reading)


def _outdated_reads(
    checked: CheckedHistory, reading: ConfigurationRead, acknowledged: list[ConfigurationChange]
) -> Iterator[Violation]:
    for change in acknowledged:
        if change.acknowledged < reading.started and change.version > reading.version:
            rule = "LOST" if reading.started > checked.history.final_fault_at else "CONFIG"
            description = (
                f"read version {reading.version}, but {change.describe()} "
                f"was acknowledged at {change.acknowledged:.3f}"
            )
            yield Violation(rule, reading.ended, description)
            break


def _altered_or_rejected_read(checked: CheckedHistory, reading: ConfigurationRead) -> Iterator[Violation]:
    of_version = [change for change in checked.changes if change.version == reading.version]
    equal = [change for change in of_version if dict(reading.body) == change.body]
    if reading.version and not equal:
        description = f"the content read as version {reading.version} differs from what was sent"
        yield Violation("CONFIG", reading.ended, description)
    if equal and all(change.rejected_status or not change.valid for change in equal):
        yield Violation("CONFIG", reading.ended, f"{equal[0].describe()} was rejected but is in force")


def check_linearizability(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG: the operators' calls are linearizable."""
    history = checked.history
    calls = [
        Call(
            change.sent, change.ended, change.as_write(), _outcome_of_change(change), operator=change.operator
        )
        for change in checked.changes
        if change.valid and change.rejected_status in (0, CONFLICT_STATUS)
    ]
    calls += [
        Call(
            reading.started,
            reading.ended,
            observed=reading.observed(),
            evacuated_zones=reading.evacuated_zones(),
        )
        for reading in history.configuration_reads
    ]
    calls += [
        Call(
            call.sent,
            call.ended,
            evacuation=(call.zone, call.evacuated),
            effect_deadline=call.effect_deadline,
            operator=call.operator,
        )
        for call in history.evacuation_calls
    ]
    unexplained = find_unexplained_call(calls)
    if unexplained is not None:
        yield Violation(
            "CONFIG", unexplained.ended, f"not linearizable: no order of all calls explains {unexplained}"
        )


def _outcome_of_change(change: ConfigurationChange) -> str | None:
    if change.rejected_status:
        return CONFLICT
    return ACKNOWLEDGED if change.acknowledged < math.inf else IN_DOUBT


def check_resends(checked: CheckedHistory) -> Iterator[Violation]:
    """CONFIG: a resend of an acknowledged change is never rejected."""
    for resend in checked.history.resends:
        change = resend.change
        if change.acknowledged < resend.sent and 400 <= resend.status < 500:
            description = (
                f"{change.describe()}, acknowledged at {change.acknowledged:.3f}, "
                f"got {resend.status} at {resend.registry}"
            )
            yield Violation("CONFIG", resend.ended, description)


def check_evacuations_persisted(checked: CheckedHistory) -> Iterator[Violation]:
    """LOST: acknowledged evacuations are in force, and ended ones are not."""
    for reading in checked.history.configuration_reads:
        if reading.entries is None:
            continue
        last_by_zone: dict[str, EvacuationChange] = {}
        for evacuation in checked.history.evacuations:
            if evacuation.sent < reading.ended:
                last_by_zone[evacuation.zone] = evacuation
        for zone, last in last_by_zone.items():
            in_force = f"Evacuations/{zone}" in reading.entries
            if last.acknowledged < reading.started and in_force != last.evacuated:
                state = "is missing" if last.evacuated else "is still in force"
                description = (
                    f"the evacuation of {zone}, last acknowledged at {last.acknowledged:.3f}, {state}"
                )
                yield Violation("LOST", reading.ended, description)
