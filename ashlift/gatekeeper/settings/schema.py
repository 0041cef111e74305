"""Validates a parsed settings file and builds the typed settings. Reports all problems with positions."""

import dataclasses
import difflib
import operator
import re
import typing
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES, FeatureSettings, SettingInfo
from ashlift.gatekeeper.settings.reader import Atom, ListNode, Position, Problem, SettingsError, parse

SIZES: dict[str, float] = {
    "B": 1,
    "KiB": 1 << 10,
    "MiB": 1 << 20,
    "GiB": 1 << 30,
    "kB": 10**3,
    "MB": 10**6,
    "GB": 10**9,
}
TIMES: dict[str, float] = {"ms": 1.0, "s": 1e3, "min": 60e3, "h": 3_600e3}
UNITS = {"bytes": SIZES, "rate": SIZES, "time": TIMES}
NUMBER = re.compile(r"(-?\d+(?:\.\d+)?)([A-Za-z/]*)\Z")
# Headers of a connection or of the message framing, which are never forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    }
)
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")


@dataclass(frozen=True, slots=True)
class Setting:
    """A field of a model and how it is written in a file."""

    key: str  # in files
    field: str
    value_type: Any  # without annotations
    info: SettingInfo
    default: Any

    @property
    def nested_model(self) -> type[Any] | None:
        return (
            self.value_type
            if dataclasses.is_dataclass(self.value_type) and isinstance(self.value_type, type)
            else None
        )

    @property
    def row_model(self) -> type[Any] | None:
        """The model of the rows, if the setting can be repeated."""
        inner = typing.get_args(self.value_type)
        return inner[0] if inner and dataclasses.is_dataclass(inner[0]) else None  # type: ignore[return-value]


def settings_of(model: type[Any]) -> dict[str, Setting]:
    """The settings of a model by their keys in files."""
    hints = typing.get_type_hints(model, include_extras=True)
    out = {}
    for model_field in dataclasses.fields(model):
        value_type, info = hints[model_field.name], SettingInfo(model.__doc__ or "")
        if typing.get_origin(value_type) is typing.Annotated:
            value_type, info = (
                value_type.__origin__,
                next(note for note in value_type.__metadata__ if isinstance(note, SettingInfo)),
            )
        elif dataclasses.is_dataclass(value_type):
            info = SettingInfo((value_type.__doc__ or "").strip())
        key = model_field.metadata.get("key", model_field.name.replace("_", "-"))
        out[key] = Setting(key, model_field.name, value_type, info, model_field.default)
    return out


class _Validator:
    """Builds model instances from lists; collects problems and the positions of the settings in the file."""

    def __init__(self) -> None:
        self.problems: list[Problem] = []
        self.positions: dict[str, Position] = {}

    def build(self, model: type[Any], items: tuple[Atom | ListNode, ...], path: str) -> Any:
        known = settings_of(model)
        found: dict[str, Any] = {}
        key_positions: dict[str, Position] = {}
        for item in items:
            key = item.items[0] if isinstance(item, ListNode) and item.items else item
            if not isinstance(item, ListNode) or not isinstance(key, Atom):
                self._report(item.position, path, "expected a setting: (key value)")
                continue
            key_path, setting = f"{path}.{key.text}" if path else key.text, known.get(key.text)
            if setting is None:
                self._report(key.position, key_path, "unknown key" + suggest_name(key.text, known))
                continue
            if setting.row_model is not None:
                self._row(setting, item, found, key_path)
                continue
            if setting.field in found:
                first = key_positions[setting.field]
                self._report(key.position, key_path, f"duplicate key; first given at line {first.line}")
                continue
            key_positions[setting.field], self.positions[key_path] = key.position, key.position
            found[setting.field] = self._value(setting, item, key_path)
        return model(**{name: value for name, value in found.items() if value is not None})

    def _row(self, setting: Setting, item: ListNode, found: dict[str, Any], key_path: str) -> None:
        name = item.items[1] if len(item.items) > 1 else None
        if not isinstance(name, Atom) or not name.text:
            return self._report(item.position, key_path, "expected a name: (class NAME ...)")
        row = self.build(setting.row_model, item.items[2:], f"{key_path} {name.text}")  # type: ignore[arg-type]
        rows = found.setdefault(setting.field, ())
        if any(one.name == name.text for one in rows):
            return self._report(name.position, f"{key_path} {name.text}", "duplicate name")
        self.positions[f"{key_path} {name.text}"] = name.position
        found[setting.field] = (*rows, dataclasses.replace(row, name=name.text))

    def _value(self, setting: Setting, item: ListNode, key_path: str) -> Any:
        if setting.nested_model is not None:
            return self.build(setting.nested_model, item.items[1:], key_path)
        values = item.items[1:]
        nested = next((value for value in values if isinstance(value, ListNode)), None)
        if nested is not None:
            return self._report(nested.position, key_path, "expected a value, not a list")
        atoms = typing.cast(tuple[Atom, ...], values)
        if typing.get_origin(setting.value_type) is tuple:
            return self._headers(atoms, key_path)
        if len(atoms) != 1:
            position = atoms[1].position if len(atoms) > 1 else item.position
            return self._report(position, key_path, f"expected one value, got {len(atoms)}")
        try:
            return parse_value(setting, atoms[0])
        except ValueError as error:
            return self._report(atoms[0].position, key_path, str(error))

    def _headers(self, atoms: tuple[Atom, ...], key_path: str) -> tuple[str, ...]:
        out = []
        for atom in atoms:
            if not HEADER_NAME.match(atom.text):
                self._report(atom.position, key_path, f"not a header name: {atom.text!r}")
            elif atom.text.lower() in HOP_BY_HOP:
                self._report(
                    atom.position, key_path, f"{atom.text} is a hop-by-hop header, which is never forwarded"
                )
            else:
                out.append(atom.text.lower())
        return tuple(out)

    def _report(self, position: Position, key: str, message: str) -> None:
        self.problems.append(Problem(position, key, message))


def parse_value(setting: Setting, atom: Atom) -> Any:
    """Parses a value by the setting's type, unit and bounds; raises ValueError with the reason."""
    info, text = setting.info, atom.text
    value: Any = text
    if setting.value_type in (int, float):
        match = NUMBER.match(text)
        units: dict[str, float] = UNITS.get(info.unit, {"": 1.0})
        unit = match[2].removesuffix("/s") if match and info.unit == "rate" else match[2] if match else ""
        if match and not unit and match[1].strip("0.") == "":
            unit = next(iter(units))  # 0 needs no unit
        if not match or unit not in units:
            expected = ", ".join(name for name in units if name)
            raise ValueError(f"not a number{f' with a unit ({expected})' if expected else ''}: {text!r}")
        exact = float(match[1]) * units[unit]
        value = int(exact) if setting.value_type is int and exact == int(exact) else exact
    elif setting.value_type is bool:
        value = {"true": True, "false": False}.get(text, text) if not atom.quoted else text
    try:
        value = msgspec.convert(value, setting.value_type)
    except msgspec.ValidationError as error:
        raise ValueError(_explain_type_error(setting, str(error), text)) from None
    for side, limit, violates in (("least", info.minimum, operator.lt), ("most", info.maximum, operator.gt)):
        if limit is not None and violates(value, limit):
            raise ValueError(f"{text} is out of range: at {side} {format_value(setting, limit)}")
    if info.unit == "address" and value and not _is_address(value):
        raise ValueError(f"not host:port: {text!r}")
    return value


def _explain_type_error(setting: Setting, reason: str, text: str) -> str:
    if setting.value_type is bool:
        return f"expected true or false, got {text!r}"
    if typing.get_origin(setting.value_type) is typing.Literal:
        return f"expected one of {', '.join(typing.get_args(setting.value_type))}, got {text!r}"
    return f"{reason}, not {text!r}"


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 <= int(port) < 65536


def suggest_name(name: str, known: typing.Iterable[str]) -> str:
    """The part of an error message that suggests a name in place of an unknown one."""
    close = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {close[0]}?" if close else f"; known names: {', '.join(known)}"


def format_value(setting: Setting, value: Any) -> str:
    """Formats a value as it is written in a file."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if setting.info.unit in ("bytes", "rate") and isinstance(value, int | float):
        largest_unit, factor = max(
            (
                (unit, size)
                for unit, size in SIZES.items()
                if unit.endswith("iB") and value and value % size == 0
            ),
            key=lambda pair: pair[1],
            default=("B", 1),
        )
        return f"{value / factor:.15g}{largest_unit}" + ("/s" if setting.info.unit == "rate" else "")
    if setting.info.unit == "time" and isinstance(value, int | float):
        return f"{value / 1000:.15g}s" if value >= 1000 else f"{value:.15g}ms"
    if isinstance(value, tuple):
        return " ".join(value) or "(none)"
    return f'"{value}"' if isinstance(value, str) and not re.match(r'[^\s()";]+\Z', value) else str(value)


@dataclass(frozen=True, slots=True)
class LoadedSettings:
    """The settings of a file, and the positions of the keys in it."""

    settings: FeatureSettings
    file_name: str
    positions: dict[str, Position]


def parse_settings(text: str, file_name: str) -> LoadedSettings:
    """Parses and validates the text of a file; raises SettingsError with all problems in the file's order."""
    root = parse(text)
    if isinstance(root, Problem):
        raise SettingsError([root.format(file_name)])
    first = root.items[0] if root.items else None
    if not isinstance(first, Atom) or first.text != "ashlift":
        raise SettingsError([Problem(root.position, "", "expected (ashlift ...)").format(file_name)])
    validator = _Validator()
    settings = validator.build(FeatureSettings, root.items[1:], "")
    if not validator.problems:
        validator.problems += _check_combinations(settings, validator.positions)
    if validator.problems:
        validator.problems.sort(key=lambda problem: (problem.position.line, problem.position.column))
        raise SettingsError([problem.format(file_name) for problem in validator.problems])
    return LoadedSettings(settings, file_name, validator.positions)


def _check_combinations(settings: FeatureSettings, positions: dict[str, Position]) -> Iterator[Problem]:
    """Finds settings that are invalid together."""
    streaming, limits = settings.streaming, settings.ratelimit
    reserved = 2 * streaming.most_streams * MIN_LEASE_BYTES
    if reserved + 2 * MIN_LEASE_BYTES > streaming.buffer_bytes:
        position = (
            positions.get("streaming.buffer-bytes")
            or positions.get("streaming.most-streams")
            or Position(1, 1)
        )
        yield Problem(
            position,
            "streaming.buffer-bytes",
            f"too small for most-streams {streaming.most_streams}: each needs {2 * MIN_LEASE_BYTES} "
            f"bytes, so at least {reserved + 2 * MIN_LEASE_BYTES} are needed",
        )
    for key, address, domain in (
        ("server", limits.server.listen, limits.server.domain),
        ("client", limits.client.address, limits.client.domain),
    ):
        if address and not domain:
            key_path = f"ratelimit.{key}.domain"
            yield Problem(
                positions.get(key_path, Position(1, 1)), key_path, "must not be empty if the address is given"
            )


def load_settings(path: Path) -> LoadedSettings:
    """Reads and validates a file; raises SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return parse_settings(text, str(path))


def iterate_settings(value: Any, model: type[Any], path: str = "") -> Iterator[tuple[str, Setting, Any]]:
    """All settings with their dotted keys and values."""
    for key, setting in settings_of(model).items():
        key_path, current = f"{path}.{key}" if path else key, getattr(value, setting.field)
        if setting.nested_model is not None:
            yield from iterate_settings(current, setting.nested_model, key_path)
        elif setting.row_model is not None:
            for row in current:
                yield from iterate_settings(row, setting.row_model, f"{key_path} {row.name}")
        elif not (key == "name" and path):
            yield key_path, setting, current
