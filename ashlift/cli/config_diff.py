"""Compares two configurations, one line per changed object or field. Performs no I/O."""

import json
from collections.abc import Iterable, Mapping
from typing import Any, Final

from ashlift.config.operator_config import current_version

OBJECT_TYPES: Final = ("Routes", "Services", "Tenants", "Limits")


def diff_lines(old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    """Compare the entries of two configurations: `+` is added, `-` removed, `~` changed."""
    lines = []
    if current_version(old) != current_version(new):
        lines.append(f"~ ConfigVersion: {current_version(old)} -> {current_version(new)}")
    for key in _object_keys([*old, *(key for key in new if key not in old)]):
        name = key.replace("/", " ", 1)
        if key not in new:
            lines.append(f"- {name}")
        elif key not in old:
            lines.append(f"+ {name}")
        else:
            lines += _changed_fields(name, old[key], new[key])
    return lines


def _changed_fields(name: str, old: Mapping[str, Any], new: Mapping[str, Any]) -> list[str]:
    lines = []
    for field in dict.fromkeys([*old, *new]):
        old_text = _field_text(old, field)
        new_text = _field_text(new, field)
        if old_text != new_text:
            lines.append(f"~ {name}: {field}: {old_text} -> {new_text}")
    return lines


def _field_text(fields: Mapping[str, Any], field: str) -> str:
    return json.dumps(fields[field]) if field in fields else "not set"


def _object_keys(keys: Iterable[str]) -> list[str]:
    return [key for key in keys if key.partition("/")[0] in OBJECT_TYPES]
