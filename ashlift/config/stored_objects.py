"""Converts the operator's configuration to the flat map that is stored and replicated, and back.

Keys: `Routes/NAME`, `Services/NAME`, `Tenants/NAME`, `Limits`: an object's Specification as it was received.
`Version`: the current version. `Place/KEY`: an object's position, rising with gaps, which keeps the order of
objects. `Rest/KEY`: an object's other fields, if it has any besides type and name; `Rest`: those of the
configuration itself. Other keys of the map do not belong to the configuration and are not modified.
"""

import json
from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ashlift.config.object_schema import LIMITS, SPECIFICATIONS, object_key
from ashlift.config.versions import VERSION_KEY, current_version

POSITION: Final = "Place"  # first part of a key
OTHER_FIELDS: Final = "Rest"  # first part of a key, or the whole key
_KEY_PREFIXES: Final = frozenset({*SPECIFICATIONS, POSITION, OTHER_FIELDS, VERSION_KEY})


class ConfigObject(NamedTuple):
    """One object. `other_fields`: all but its Specification; None if these are only its type and name."""

    key: str
    specification: dict[str, Any]
    other_fields: dict[str, Any] | None

    @property
    def label(self) -> str:
        """The object's name in errors: `Routes NAME`, or `Limits`."""
        object_type, _, name = self.key.partition("/")
        return f"{object_type} {name}" if name else object_type


def make_object(object_type: str, name: str, value: Mapping[str, Any]) -> ConfigObject:
    """Return an object of a request; its fields have been validated."""
    other_fields = {key: item for key, item in value.items() if key != "Specification"}
    minimal = {"ObjectType": object_type, "Metadata": {} if object_type == LIMITS else {"Name": name}}
    return ConfigObject(
        key=object_key(object_type, name),
        specification=value["Specification"],
        other_fields=None if other_fields == minimal else other_fields,
    )


def configuration_entries(entries: Mapping[str, Any]) -> dict[str, Any]:
    """Return the entries that belong to the configuration."""
    return {key: value for key, value in entries.items() if key.partition("/")[0] in _KEY_PREFIXES}


def set_object(entries: dict[str, Any], config_object: ConfigObject, position: int) -> None:
    """Add an object to `entries`, or replace its specification and its position."""
    entries[config_object.key] = config_object.specification
    entries[f"{POSITION}/{config_object.key}"] = position
    if config_object.other_fields is not None:
        entries[f"{OTHER_FIELDS}/{config_object.key}"] = config_object.other_fields


def remove_object(entries: dict[str, Any], key: str) -> None:
    """Remove an object from `entries`, if it exists."""
    for part in (key, f"{POSITION}/{key}", f"{OTHER_FIELDS}/{key}"):
        entries.pop(part, None)


def put_objects(
    current: Mapping[str, Any], body: dict[str, Any], objects: list[ConfigObject]
) -> dict[str, Any]:
    """Return the complete map of a put. Positions are kept where possible, so that few entries change."""
    other_fields = {key: value for key, value in body.items() if key not in ("ConfigVersion", "Objects")}
    entries: dict[str, Any] = {OTHER_FIELDS: other_fields} if other_fields else {}
    last_position = 0
    for config_object in objects:
        position = current.get(f"{POSITION}/{config_object.key}", 0)
        last_position = position if position > last_position else last_position + 1
        set_object(entries, config_object, last_position)
    return entries


def upsert_objects(entries: dict[str, Any], objects: list[ConfigObject]) -> None:
    """Set objects in `entries`; new ones are placed after all others."""
    positions = [position for key, position in entries.items() if key.startswith(f"{POSITION}/")]
    last_position = max(positions, default=0)
    for config_object in objects:
        last_position += 1
        entries.pop(f"{OTHER_FIELDS}/{config_object.key}", None)
        position = entries.get(f"{POSITION}/{config_object.key}", last_position)
        set_object(entries, config_object, position)


def export_configuration(entries: Mapping[str, Any]) -> dict[str, Any]:
    """Return the stored configuration as the body of a put."""
    keys = [key for key in entries if key.partition("/")[0] in SPECIFICATIONS]
    keys.sort(key=lambda key: (entries.get(f"{POSITION}/{key}", 0), key))
    objects = []
    for key in keys:
        object_type, _, name = key.partition("/")
        minimal = {"ObjectType": object_type, "Metadata": {"Name": name} if name else {}}
        other_fields = entries.get(f"{OTHER_FIELDS}/{key}", minimal)
        objects.append({**other_fields, "Specification": entries[key]})
    return {
        **entries.get(OTHER_FIELDS, {}),
        "ConfigVersion": current_version(entries),
        "Objects": objects,
    }


def is_identical(value: Any, other: Any) -> bool:
    """Whether both have the same JSON: 1, 1.0 and true differ, and so do orders of keys."""
    return value is other or (bool(value == other) and json.dumps(value) == json.dumps(other))
