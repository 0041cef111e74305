"""Converts values from TOML or JSON to attrs classes by cattrs, with strict types and the key of each error.

A field's key is its name in CamelCase (`seed_lag`: `SeedLag`), or `key` in its metadata. Unknown keys are
ignored, and null counts as a missing key.
"""

import math
from collections.abc import Callable
from functools import partial
from operator import eq
from typing import Annotated, Any, Final, NamedTuple, TypeVar

import attrs
from cattrs import ClassValidationError, Converter
from cattrs.gen import make_dict_structure_fn, override

from ashlift.config.durations import parse_duration
from ashlift.errors import Failure

T = TypeVar("T")
Seconds = Annotated[float, "s"]  # written as a duration
NonNegativeFloat = Annotated[float, "not below 0"]
NonNegativeInt = Annotated[int, "not below 0"]
Strings = tuple[str, ...]
Endpoint = tuple[str, int]  # written as IP:PORT
PortRange = Annotated[tuple[int, int], "first, last"]
WeightedServices = tuple[tuple[str, float], ...]  # written as [{Service, Weight}]

MAX_NUMBER: Final = 1e15  # below 2**53, so that integers are exact as doubles
MAX_PORT: Final = 65535


class FieldError(NamedTuple):
    """The error of one field. `key`: dotted if it is nested, empty for the value as a whole."""

    key: str
    message: str

    def __str__(self) -> str:
        return f"{self.key}: {self.message}" if self.key else self.message


def key_of(field: "attrs.Attribute[Any]") -> str:
    """Return the key of a field in settings and request bodies."""
    key: str | None = field.metadata.get("key")
    return key or "".join(part.capitalize() for part in field.name.split("_"))


def structure(cls: type[T], value: Any) -> T | list[FieldError]:
    """Convert `value` to an instance of `cls`, or return all its errors."""
    try:
        return _CONVERTER.structure(value, cls)
    except (ClassValidationError, ValueError) as error:
        return _field_errors(cls, error)


def _field_errors(cls: Any, error: BaseException) -> list[FieldError]:
    if not isinstance(error, ClassValidationError):
        return [FieldError("", str(error))]
    fields = {field.name: field for field in attrs.fields(cls)} if attrs.has(cls) else {}
    errors: list[FieldError] = []
    with_note, without_note = error.group_exceptions()
    for cause, note in with_note:
        field = fields[note.name]
        key = key_of(field)
        if isinstance(cause, KeyError) and cause.args == (key,):
            errors.append(FieldError(key, "is missing"))
            continue
        for nested_key, message in _field_errors(field.type, cause):
            errors.append(FieldError(f"{key}.{nested_key}" if nested_key else key, message))
    for cause in without_note:
        errors += _field_errors(None, cause)
    return errors


# cattrs calls a structure hook with the value and the target type. An invalid value raises ValueError.


def _string(value: Any, _: Any = None) -> str:
    if not isinstance(value, str):
        raise ValueError("is not a text")
    return value


def _boolean(value: Any, _: Any = None) -> bool:
    if not isinstance(value, bool):
        raise ValueError("is not true or false")
    return value


def _number(value: Any, _: Any = None) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("is not a number")
    if not abs(value) < MAX_NUMBER:  # also rejects NaN and infinity
        raise ValueError("is not a number that can be counted with")
    return float(value)


def _integer(value: Any, _: Any = None) -> int:
    number = _number(value)
    if number != math.floor(number):
        raise ValueError("is not a whole number")
    return int(value)


def _non_negative_float(value: Any, _: Any = None) -> float:
    number = _number(value)
    if number < 0:
        raise ValueError("is below 0")
    return number


def _non_negative_int(value: Any, _: Any = None) -> int:
    number = _integer(value)
    if number < 0:
        raise ValueError("is below 0")
    return number


def _seconds(value: Any, _: Any = None) -> float:
    duration = parse_duration(value)
    if isinstance(duration, Failure):
        raise ValueError(f"is {duration.detail}")
    return duration


def _strings(value: Any, _: Any = None) -> Strings:
    if not isinstance(value, list) or not all(isinstance(item, str) for item in value):
        raise ValueError("is not a list of texts")
    return tuple(value)


def _string_table(value: Any, _: Any = None) -> dict[str, str]:
    if not isinstance(value, dict) or not all(isinstance(item, str) for item in value.values()):
        raise ValueError("is not a table of texts")
    return dict(value)


def _endpoint(value: Any, _: Any = None) -> Endpoint:
    host, _colon, port = _string(value).rpartition(":")
    # int() would accept signs, whitespace and underscores.
    is_number = port.isascii() and port.isdigit() and len(port) <= len(str(MAX_PORT))
    if not host or not is_number or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"is no address such as 10.1.0.8:8206: {value[:40]!r}")
    return host, int(port)


def _endpoints(value: Any, _: Any = None) -> tuple[Endpoint, ...]:
    return tuple(_endpoint(item) for item in _strings(value))


def _port_range(value: Any, _: Any = None) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("is not a pair of ports")
    first = _non_negative_int(value[0])
    last = _non_negative_int(value[1])
    if not 0 < first <= last <= MAX_PORT:
        raise ValueError("is no range of ports")
    return first, last


def _weighted_services(value: Any, _: Any = None) -> WeightedServices:
    if not isinstance(value, list) or not all(isinstance(item, dict) for item in value):
        raise ValueError("is not a list of services with weights")
    return tuple(_weighted_service(number, item) for number, item in enumerate(value, 1))


def _weighted_service(number: int, item: dict[str, Any]) -> tuple[str, float]:
    for key, check in (("Service", _string), ("Weight", _non_negative_float)):
        if item.get(key) is None:
            raise ValueError(f"entry {number}: {key} is missing")
        try:
            check(item[key])
        except ValueError as error:
            raise ValueError(f"entry {number}: {key} {error}") from None
    return item["Service"], float(item["Weight"])


def _attrs_class(cls: type[Any], converter: Converter) -> Callable[[Any, Any], Any]:
    """Return the structure hook of an attrs class."""
    overrides = {field.name: override(rename=key_of(field)) for field in attrs.fields(cls)}
    structure_fields = make_dict_structure_fn(cls, converter, **overrides)  # type: ignore[arg-type]

    def structure_class(value: Any, _: Any = None) -> Any:
        if not isinstance(value, dict):
            raise ValueError("is not a table")
        return structure_fields({key: item for key, item in value.items() if item is not None}, cls)

    return structure_class


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=True)
    converter.register_structure_hook_factory(attrs.has, _attrs_class)
    hooks: list[tuple[Any, Callable[[Any, Any], Any]]] = [
        (str, _string),
        (bool, _boolean),
        (float, _number),
        (int, _integer),
        (Seconds, _seconds),
        (NonNegativeFloat, _non_negative_float),
        (NonNegativeInt, _non_negative_int),
        (Strings, _strings),
        (Endpoint, _endpoint),
        (tuple[Endpoint, ...], _endpoints),
        (PortRange, _port_range),
        (WeightedServices, _weighted_services),
        (dict[str, str], _string_table),
    ]
    for target, hook in hooks:
        if target in (str, bool, float, int):  # hooks by class take precedence over hooks by predicate
            converter.register_structure_hook(target, hook)
        else:
            converter.register_structure_hook_func(partial(eq, target), hook)
    return converter


_CONVERTER: Final = _make_converter()
