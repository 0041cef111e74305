"""Plain values (of TOML or JSON) into attrs classes, by cattrs: strict types, every fault with its place.

A field's key is its name in capitals (`seed_lag`: `SeedLag`), or `key` of its metadata. Keys that no field
has are passed over; null stands for a key that is not there.
"""

import math
from collections.abc import Callable
from functools import partial
from operator import eq
from typing import Annotated, Any, TypeVar

import attrs
from cattrs import ClassValidationError, Converter
from cattrs.gen import make_dict_structure_fn, override

from ashlift.config.durations import parse_time
from ashlift.errors import Failure

T = TypeVar("T")
Seconds = Annotated[float, "s"]  # written as a time
Amount = Annotated[float, "not below 0"]
Count = Annotated[int, "not below 0"]
Texts = tuple[str, ...]
Endpoint = tuple[str, int]  # written as IP:PORT
Ports = Annotated[tuple[int, int], "first, last"]
Weights = tuple[tuple[str, float], ...]  # written as [{Service, Weight}]
Flaw = tuple[str, str]  # the key (dotted where it is nested), what is wrong


def key_of(field: "attrs.Attribute[Any]") -> str:
    told: str | None = field.metadata.get("key")
    return told or "".join(part.capitalize() for part in field.name.split("_"))


def _text(value: Any, _: Any = None) -> str:
    if not isinstance(value, str):
        raise ValueError("is not a text")
    return value


def _flag(value: Any, _: Any = None) -> bool:
    if not isinstance(value, bool):
        raise ValueError("is not true or false")
    return value


def _number(value: Any, _: Any = None) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError("is not a number")
    if not abs(value) < 1e15:  # NaN and the infinite too
        raise ValueError("is not a number that can be counted with")
    return float(value)


def _whole(value: Any, _: Any = None) -> int:
    number = _number(value)
    if number != math.floor(number):
        raise ValueError("is not a whole number")
    return int(value)


def _amount(value: Any, _: Any = None) -> float:
    number = _number(value)
    if number < 0:
        raise ValueError("is below 0")
    return number


def _count(value: Any, _: Any = None) -> int:
    number = _whole(value)
    if number < 0:
        raise ValueError("is below 0")
    return number


def _seconds(value: Any, _: Any = None) -> float:
    time = parse_time(value)
    if isinstance(time, Failure):
        raise ValueError(f"is {time.detail}")
    return time


def _texts(value: Any, _: Any = None) -> Texts:
    if not isinstance(value, list) or not all(isinstance(one, str) for one in value):
        raise ValueError("is not a list of texts")
    return tuple(value)


def _words(value: Any, _: Any = None) -> dict[str, str]:
    if not isinstance(value, dict) or not all(isinstance(one, str) for one in value.values()):
        raise ValueError("is not a table of texts")
    return dict(value)


def _endpoint(value: Any, _: Any = None) -> Endpoint:
    host, _colon, port = _text(value).rpartition(":")
    if not host or not (port.isascii() and port.isdigit() and len(port) < 6 and 0 < int(port) < 65536):
        raise ValueError(f"is no address such as 10.1.0.8:8206: {value[:40]!r}")
    return host, int(port)


def _endpoints(value: Any, _: Any = None) -> tuple[Endpoint, ...]:
    return tuple(_endpoint(one) for one in _texts(value))


def _ports(value: Any, _: Any = None) -> tuple[int, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise ValueError("is not a pair of ports")
    low, high = (_count(one) for one in value)
    if not 0 < low <= high < 65536:
        raise ValueError("is no range of ports")
    return low, high


def _weights(value: Any, _: Any = None) -> Weights:
    if not isinstance(value, list) or not all(isinstance(one, dict) for one in value):
        raise ValueError("is not a list of services with weights")
    found = []
    for place, one in enumerate(value, 1):
        for key, check in (("Service", _text), ("Weight", _amount)):
            if one.get(key) is None:
                raise ValueError(f"entry {place}: {key} is missing")
            try:
                check(one[key])
            except ValueError as error:
                raise ValueError(f"entry {place}: {key} {error}") from None
        found.append((one["Service"], float(one["Weight"])))
    return tuple(found)


def _table(cls: type[Any], converter: Converter) -> Callable[[Any, Any], Any]:
    overrides = {field.name: override(rename=key_of(field)) for field in attrs.fields(cls)}
    inner = make_dict_structure_fn(cls, converter, **overrides)  # type: ignore[arg-type]

    def structure(value: Any, _: Any = None) -> Any:
        if not isinstance(value, dict):
            raise ValueError("is not a table")
        return inner({key: one for key, one in value.items() if one is not None}, cls)

    return structure


def _converter() -> Converter:
    made = Converter(detailed_validation=True)
    made.register_structure_hook_factory(attrs.has, _table)
    hooks: list[tuple[Any, Callable[[Any, Any], Any]]] = [
        (str, _text),
        (bool, _flag),
        (float, _number),
        (int, _whole),
        (Seconds, _seconds),
        (Amount, _amount),
        (Count, _count),
        (Texts, _texts),
        (Endpoint, _endpoint),
        (tuple[Endpoint, ...], _endpoints),
        (Ports, _ports),
        (Weights, _weights),
        (dict[str, str], _words),
    ]
    for wanted, hook in hooks:
        if wanted in (str, bool, float, int):  # these go by class, before all that goes by a predicate
            made.register_structure_hook(wanted, hook)
        else:
            made.register_structure_hook_func(partial(eq, wanted), hook)
    return made


_CONVERTER = _converter()


def _flaws(cls: Any, error: BaseException) -> list[Flaw]:
    if isinstance(error, ClassValidationError):
        fields = {field.name: field for field in attrs.fields(cls)} if attrs.has(cls) else {}
        found = []
        inner, rest = error.group_exceptions()
        for one, note in inner:
            field = fields[note.name]
            key = key_of(field)
            if isinstance(one, KeyError) and one.args == (key,):
                found.append((key, "is missing"))
                continue
            for place, what in _flaws(field.type, one):
                found.append((f"{key}.{place}" if place else key, what))
        return found + [flaw for one in rest for flaw in _flaws(None, one)]
    return [("", str(error))]


def structure(cls: type[T], value: Any) -> T | list[Flaw]:
    """`value` as a `cls`, or all that is wrong with it."""
    try:
        return _CONVERTER.structure(value, cls)
    except (ClassValidationError, ValueError) as error:
        return _flaws(cls, error)
