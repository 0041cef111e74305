"""Operator commands: the changes that each makes to the replicated map.

Pure functions: the leader calls `decide_command` with its newest map and replicates the outcome. A command
may arrive late, more than once, or out of order. Digests of accepted and refused commands are stored in the
map, so that a resent command gets the answer of its first copy.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import Any, Final, NamedTuple

from ashlift.config import operator_config
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.stored_names import (
    ACCEPTED_PREFIX,
    ACCEPTED_TRIMMED,
    EVACUATED_PREFIX,
    REFUSED_PREFIX,
)
from ashlift.errors import Failure
from ashlift.response_status import BAD_REQUEST, OK, PRECONDITION_FAILED, SERVICE_UNAVAILABLE

MAX_ACCEPTED_DIGESTS: Final = 512  # more than a day's changes
MAX_REFUSED_DIGESTS: Final = 64
MAX_ZONE_CHARACTERS: Final = 200
COMMAND_DIGEST_BYTES: Final = 8
MAX_SHOWN_KIND_CHARACTERS: Final = 40
_REFUSED_BEFORE_BASE: Final = "it was refused before what it builds on was current"


class CommandKind(StrEnum):
    """Kinds of commands. The values are used on the wire."""

    PUT = "put"  # replace the configuration
    PATCH = "patch"  # change individual objects of the configuration
    EVACUATE = "evacuate"  # drain all traffic from a zone
    RESTORE = "restore"  # end the evacuation of a zone
    EDIT = "edit"  # change one route; this kind and those below are handled by `route_reconciliation`
    CONFIRM = "confirm"
    REJECT = "reject"
    MERGE = "merge"


class OperatorCommand(NamedTuple):
    """A command as received; `decide_command` validates the fields.

    `kind` should be a `CommandKind`, `if_match` the version that the command builds on, and `body` a
    configuration, a patch, a zone's name or an edit.
    """

    kind: Any
    if_match: Any
    body: Any


def decide_command(current: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    """Decide a command on the map `current`. The response is `{status, reason?}`."""
    match command.kind:
        case CommandKind.PUT | CommandKind.PATCH:
            return _decide_configuration(current, command)
        case CommandKind.EVACUATE | CommandKind.RESTORE if _is_zone_name(command.body):
            return _decide_evacuation(current, command.body, command.kind == CommandKind.EVACUATE)
        case CommandKind.EDIT | CommandKind.CONFIRM | CommandKind.REJECT | CommandKind.MERGE:
            return _decide_edit(current, command)
    return _refusal(BAD_REQUEST, f"invalid command: {str(command.kind)[:MAX_SHOWN_KIND_CHARACTERS]}")


def _is_zone_name(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_ZONE_CHARACTERS


def _refusal(status: int, reason: str) -> ReadOnlyResult:
    return ReadOnlyResult({"status": status, "reason": reason})


def _decide_edit(current: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    from ashlift.route_reconciliation import merging  # loaded on first use; many systems have no route edits

    match command.kind:
        case CommandKind.MERGE:
            result = merging.decide_merge(current, command.body)
        case CommandKind.CONFIRM:
            result = merging.decide_confirmation(current, command.if_match, command.body)
        case CommandKind.REJECT:
            result = merging.decide_rejection(current, command.if_match, command.body)
        case _:
            result = merging.decide_edit(current, command.body)
    if not result.changed and not result.removed:
        return ReadOnlyResult(result.answer)
    return Proposal(result.changed, result.removed, result.answer)


def _decide_evacuation(current: Mapping[str, Any], zone: str, evacuated: bool) -> Proposal | ReadOnlyResult:
    key = EVACUATED_PREFIX + zone
    if (key in current) == evacuated:
        return ReadOnlyResult({"status": OK})
    set_keys = {key: True} if evacuated else {}
    removed_keys = [] if evacuated else [key]
    return Proposal(set_keys, removed_keys, {"status": OK}, unconditional_keys=(key,))


def _decide_configuration(current: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    if_match = command.if_match if isinstance(command.if_match, str) else ""
    digest = _command_digest(command.kind, if_match, command.body)
    resend_answer = _answer_to_resend(current, command.body, digest)
    if resend_answer is not None:
        return resend_answer
    change = operator_config.apply_change(current, command.kind, if_match, command.body)
    if isinstance(change, Failure):
        if change.reason == operator_config.STALE_VERSION:
            return _refuse_stale(current, if_match, digest, change.detail)
        return _refusal(BAD_REQUEST, change.detail)
    if _refused_key(operator_config.current_version(current), digest) in current:
        return _refusal(PRECONDITION_FAILED, _REFUSED_BEFORE_BASE)
    return _accept(current, change, digest)


def _command_digest(kind: str, if_match: str, body: Any) -> bytes:
    """The digest of a command; empty if the body is not a configuration."""
    return bytes.fromhex(operator_config.request_digest(kind, if_match, body))[:COMMAND_DIGEST_BYTES]


def _answer_to_resend(current: Mapping[str, Any], body: Any, digest: bytes) -> ReadOnlyResult | None:
    """The answer to a command that was, or may have been, accepted before; None if it is new."""
    version = operator_config.parse_version(body.get("ConfigVersion") if isinstance(body, dict) else None)
    if not isinstance(version, int) or not digest:
        return None
    accepted = current.get(f"{ACCEPTED_PREFIX}{version:08x}")
    if accepted is not None and _accepted_digest(accepted) == digest:
        return ReadOnlyResult({"status": OK})
    if accepted is None and version <= current.get(ACCEPTED_TRIMMED, 0):
        reason = f"version {version:08x} is too old to tell whether this command was accepted before"
        return _refusal(SERVICE_UNAVAILABLE, reason)
    return None


def _accepted_digest(stored: str | bytes) -> bytes:
    """The stored digest. Earlier releases stored the full digest as hexadecimal digits."""
    return bytes.fromhex(stored)[:COMMAND_DIGEST_BYTES] if isinstance(stored, str) else stored


def _accept(current: Mapping[str, Any], change: operator_config.ConfigChange, digest: bytes) -> Proposal:
    """The change together with its digest. Digests that are no longer needed are deleted."""
    # Versions only increase, so the lowest are the oldest.
    accepted_keys = sorted(key for key in current if key.startswith(ACCEPTED_PREFIX))
    oldest_keys = accepted_keys[: -(MAX_ACCEPTED_DIGESTS - 1)]
    passed_refusals = [
        key for key in current if key.startswith(REFUSED_PREFIX) and key < REFUSED_PREFIX + change.version
    ]
    set_keys = dict(change.entries)
    if oldest_keys:
        set_keys[ACCEPTED_TRIMMED] = int(oldest_keys[-1].removeprefix(ACCEPTED_PREFIX), 16)
    set_keys[ACCEPTED_PREFIX + change.version] = digest
    return Proposal(set_keys, [*change.removed_keys, *oldest_keys, *passed_refusals], {"status": OK})


def _refused_key(base: str, digest: bytes) -> str:
    return f"{REFUSED_PREFIX}{base}/{digest.hex()}"


def _refuse_stale(
    current: Mapping[str, Any], if_match: str, digest: bytes, reason: str
) -> Proposal | ReadOnlyResult:
    """Refuse a command that builds on another version than the current one.

    A refused command must never take effect. So if its base version is still to come, the refusal is stored
    until that version has passed.
    """
    answer = {"status": PRECONDITION_FAILED, "reason": reason}
    base = operator_config.parse_version(if_match)
    current_version = operator_config.parse_version(operator_config.current_version(current))
    if not digest or not isinstance(base, int) or not isinstance(current_version, int):
        return ReadOnlyResult(answer)
    if base < current_version:
        return ReadOnlyResult(answer)
    key = _refused_key(f"{base:08x}", digest)
    if key in current:
        return ReadOnlyResult(answer)
    if sum(stored_key.startswith(REFUSED_PREFIX) for stored_key in current) >= MAX_REFUSED_DIGESTS:
        reason = f"too many commands refused for future versions ({MAX_REFUSED_DIGESTS})"
        return _refusal(SERVICE_UNAVAILABLE, reason)
    return Proposal({key: True}, [], answer)
