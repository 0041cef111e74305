"""Computes the change that a request makes to the operator's configuration, or all errors in it. No I/O.

The stored map is described in `ashlift.config.stored_objects`. Arguments are never modified.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, Final, NamedTuple

from ashlift.config.stored_objects import (
    configuration_entries,
    export_configuration,
    is_identical,
    put_objects,
    remove_object,
    upsert_objects,
)
from ashlift.config.validation import (
    ConfigError,
    config_error,
    cross_object_errors,
    read_objects,
    read_withdrawn_keys,
)
from ashlift.config.versions import (
    INITIAL_VERSION,
    VERSION_KEY,
    current_version,
    format_version,
    parse_version,
)
from ashlift.errors import Failure, FailureReason

PUT: Final = "put"  # a request with a complete configuration
PATCH: Final = "patch"  # a request that upserts and withdraws objects by name
STALE_VERSION: Final = "stale"  # reason of a Failure: the request builds on a version that is not current
MAX_REPORTED_ERRORS: Final = 5  # per response
DIGEST_BYTES: Final = 16


class ConfigChange(NamedTuple):
    """The entries that a request sets and the keys that it removes, its version and its digest."""

    entries: dict[str, Any]
    removed_keys: list[str]
    version: str
    digest: str


def request_digest(kind: str, if_match: str, body: Any) -> str:
    """Return a digest that identifies repetitions of a request; "" for a body that is not a JSON value.

    It does not depend on the formatting: order of keys, whitespace, 1.0 for 1, leading zeros of versions.
    """
    base_version = parse_version(if_match)
    try:
        version = parse_version(body.get("ConfigVersion")) if isinstance(body, dict) else None
        normalized = {**body, "ConfigVersion": version} if isinstance(version, int) else body
        request = [
            kind,
            base_version if isinstance(base_version, int) else str(if_match),
            _integral_floats_to_ints(normalized),
        ]
        text = json.dumps(request, sort_keys=True, allow_nan=False)
    except (TypeError, ValueError, RecursionError):
        return ""
    return blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def apply_change(current: Mapping[str, Any], kind: str, if_match: str, body: Any) -> ConfigChange | Failure:
    """Return the change that a request makes to `current`.

    `kind`: `PUT` or `PATCH`. `if_match`: the version that the request builds on. Fails with `STALE_VERSION`,
    or with INVALID and the errors as `OBJECT NAME: KEY: MESSAGE`, separated by `; `.
    """
    base = parse_version(if_match)
    if isinstance(base, Failure):
        return Failure(FailureReason.INVALID, f"If-Match: {base.detail}")
    current_number = parse_version(current_version(current))
    assert isinstance(current_number, int)
    if base != current_number:
        return Failure(
            STALE_VERSION,
            f"builds on {format_version(base)}, and {format_version(current_number)} is current",
        )
    change = _make_change(current, current_number, kind, if_match, body)
    if isinstance(change, ConfigChange):
        return change
    reported = change[:MAX_REPORTED_ERRORS]
    if len(change) > len(reported):
        reported.append(f"and {len(change) - len(reported)} more")
    return Failure(FailureReason.INVALID, "; ".join(reported))


def validate_change(current: Mapping[str, Any], kind: str, body: Any) -> list[Failure]:
    """Return all errors of a request against `current`, without checking the version that it builds on."""
    current_number = parse_version(current_version(current))
    if isinstance(current_number, Failure):
        return [Failure(FailureReason.INVALID, current_number.detail)]
    change = _make_change(current, current_number, kind, INITIAL_VERSION, body)
    return [] if isinstance(change, ConfigChange) else _failures(change)


def load_configuration(body: Any) -> dict[str, Any] | list[Failure]:
    """Return a complete configuration as a stored map, or all its errors."""
    before_any_version = -1
    change = _make_change({}, before_any_version, PUT, "0", body)
    return change.entries if isinstance(change, ConfigChange) else _failures(change)


def _failures(messages: list[str]) -> list[Failure]:
    return [Failure(FailureReason.INVALID, message) for message in messages]


def _make_change(
    current: Mapping[str, Any], current_number: int, kind: str, if_match: str, body: Any
) -> ConfigChange | list[str]:
    """Return the change, or the messages of all errors."""
    digest = request_digest(kind, if_match, body)
    if not digest or not isinstance(body, dict) or not _is_encodable(body):
        return ["the body is no JSON object that can be read whole"]
    if kind not in (PUT, PATCH):
        return [f"no such kind of change: {kind}"]
    errors: list[ConfigError] = []
    version = _read_version(body, current_number, errors)
    entries = _put(current, body, errors) if kind == PUT else _patch(current, body, errors)
    errors += cross_object_errors(entries)
    if errors:
        return [str(error) for error in errors]
    entries[VERSION_KEY] = format_version(version)
    return _difference(configuration_entries(current), entries, digest)


def _read_version(body: dict[str, Any], current_number: int, errors: list[ConfigError]) -> int:
    """Return the new version in the request; 0 and an error added if it is invalid."""
    version = parse_version(body.get("ConfigVersion"))
    if isinstance(version, Failure):
        errors.append(config_error("ConfigVersion", "", version.detail))
        return 0
    if version <= current_number:
        message = f"{format_version(version)} is not above the current {format_version(current_number)}"
        errors.append(config_error("ConfigVersion", "", message))
    return version


def _put(current: Mapping[str, Any], body: dict[str, Any], errors: list[ConfigError]) -> dict[str, Any]:
    """Return the map after a put."""
    return put_objects(current, body, read_objects(body.get("Objects"), errors))


def _patch(current: Mapping[str, Any], body: dict[str, Any], errors: list[ConfigError]) -> dict[str, Any]:
    """Return the map after a patch: objects are withdrawn first, then upserted."""
    entries = configuration_entries(current)
    for key in read_withdrawn_keys(body.get("Withdraw"), errors):
        remove_object(entries, key)
    upsert = body.get("Upsert") or {}
    if not isinstance(upsert, dict) or (upsert and "Objects" not in upsert):
        errors.append(config_error("Upsert", "", "is not an object that holds Objects"))
        return entries
    upsert_objects(entries, read_objects(upsert.get("Objects", []), errors))
    return entries


def _difference(before: dict[str, Any], after: dict[str, Any], digest: str) -> ConfigChange:
    changed = {
        key: value
        for key, value in after.items()
        if key not in before or not is_identical(before[key], value)
    }
    removed_keys = [key for key in before if key not in after]
    return ConfigChange(changed, removed_keys, after[VERSION_KEY], digest)


def _is_encodable(body: dict[str, Any]) -> bool:
    """Whether all strings can be encoded as UTF-8: JSON permits unpaired surrogates."""
    try:
        json.dumps(body, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True


def _integral_floats_to_ints(value: Any) -> Any:
    """Replace floats with integral values by integers, recursively."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, list):
        return [_integral_floats_to_ints(item) for item in value]
    if isinstance(value, dict):
        return {key: _integral_floats_to_ints(item) for key, item in value.items()}
    return value


__all__ = [
    "INITIAL_VERSION",
    "PATCH",
    "PUT",
    "STALE_VERSION",
    "ConfigChange",
    "apply_change",
    "current_version",
    "export_configuration",
    "load_configuration",
    "parse_version",
    "request_digest",
    "validate_change",
]
