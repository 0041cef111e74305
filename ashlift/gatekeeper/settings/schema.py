"""From a read file to the typed settings: every fault is found and told with its place, types by msgspec."""

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

from ashlift.gatekeeper.settings.model import MIN_LEASE_BYTES, About, FeatureSettings
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
# Headers that speak of one connection or of the framing: never passed on, whatever the settings say.
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
HEADER = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+\Z")


@dataclass(frozen=True, slots=True)
class Slot:
    """One field of the model, seen from a file."""

    key: str  # as written in a file
    field: str
    kind: Any  # its type, annotations taken off
    about: About
    default: Any

    @property
    def table(self) -> type[Any] | None:
        return self.kind if dataclasses.is_dataclass(self.kind) and isinstance(self.kind, type) else None

    @property
    def rows(self) -> type[Any] | None:
        """The type of its rows, if it may come more than once."""
        inner = typing.get_args(self.kind)
        return inner[0] if inner and dataclasses.is_dataclass(inner[0]) else None  # type: ignore[return-value]


def slots(model: type[Any]) -> dict[str, Slot]:
    """What may stand in a table, by the key as written."""
    hints = typing.get_type_hints(model, include_extras=True)
    out = {}
    for one in dataclasses.fields(model):
        kind, about = hints[one.name], About(model.__doc__ or "")
        if typing.get_origin(kind) is typing.Annotated:
            kind, about = kind.__origin__, next(a for a in kind.__metadata__ if isinstance(a, About))
        elif dataclasses.is_dataclass(kind):
            about = About((kind.__doc__ or "").strip())
        key = one.metadata.get("key", one.name.replace("_", "-"))
        out[key] = Slot(key, one.name, kind, about, one.default)
    return out


class _Check:
    """Walks a read file beside the model; `set` says where each value came from."""

    def __init__(self) -> None:
        self.faults: list[Problem] = []
        self.set: dict[str, Position] = {}

    def table(self, model: type[Any], items: tuple[Atom | ListNode, ...], path: str) -> Any:
        known = slots(model)
        found: dict[str, Any] = {}
        spots: dict[str, Position] = {}
        for item in items:
            key = item.items[0] if isinstance(item, ListNode) and item.items else item
            if not isinstance(item, ListNode) or not isinstance(key, Atom):
                self._tell(item.position, path, "a setting is written (key value)")
                continue
            here, slot = f"{path}.{key.text}" if path else key.text, known.get(key.text)
            if slot is None:
                self._tell(key.position, here, "unknown key" + nearest(key.text, known))
                continue
            if slot.rows is not None:
                self._row(slot, item, found, here)
                continue
            if slot.field in found:
                at = spots[slot.field]
                self._tell(key.position, here, f"given twice; it stands at line {at.line} already")
                continue
            spots[slot.field], self.set[here] = key.position, key.position
            found[slot.field] = self._value(slot, item, here)
        return model(**{name: value for name, value in found.items() if value is not None})

    def _row(self, slot: Slot, item: ListNode, found: dict[str, Any], here: str) -> None:
        name = item.items[1] if len(item.items) > 1 else None
        if not isinstance(name, Atom) or not name.text:
            return self._tell(item.position, here, "must have a name: (class NAME ...)")
        row = self.table(slot.rows, item.items[2:], f"{here} {name.text}")  # type: ignore[arg-type]
        rows = found.setdefault(slot.field, ())
        if any(one.name == name.text for one in rows):
            return self._tell(name.position, f"{here} {name.text}", "given twice")
        self.set[f"{here} {name.text}"] = name.position
        found[slot.field] = (*rows, dataclasses.replace(row, name=name.text))

    def _value(self, slot: Slot, item: ListNode, here: str) -> Any:
        if slot.table is not None:
            return self.table(slot.table, item.items[1:], here)
        values = item.items[1:]
        nested = next((value for value in values if isinstance(value, ListNode)), None)
        if nested is not None:
            return self._tell(nested.position, here, "takes no list")
        words = typing.cast(tuple[Atom, ...], values)
        if typing.get_origin(slot.kind) is tuple:
            return self._headers(words, here)
        if len(words) != 1:
            position = words[1].position if len(words) > 1 else item.position
            return self._tell(position, here, f"takes one value, not {len(words)}")
        try:
            return convert(slot, words[0])
        except ValueError as wrong:
            return self._tell(words[0].position, here, str(wrong))

    def _headers(self, words: tuple[Atom, ...], here: str) -> tuple[str, ...]:
        out = []
        for word in words:
            if not HEADER.match(word.text):
                self._tell(word.position, here, f"not a header's name: {word.text!r}")
            elif word.text.lower() in HOP_BY_HOP:
                self._tell(
                    word.position, here, f"{word.text} speaks of one connection and is never passed on"
                )
            else:
                out.append(word.text.lower())
        return tuple(out)

    def _tell(self, position: Position, key: str, what: str) -> None:
        self.faults.append(Problem(position, key, what))


def convert(slot: Slot, word: Atom) -> Any:
    """One value by its type, unit and bounds; ValueError tells what it should be."""
    about, text = slot.about, word.text
    value: Any = text
    if slot.kind in (int, float):
        match = NUMBER.match(text)
        units: dict[str, float] = UNITS.get(about.unit, {"": 1.0})
        unit = match[2].removesuffix("/s") if match and about.unit == "rate" else match[2] if match else ""
        if match and not unit and match[1].strip("0.") == "":
            unit = next(iter(units))  # 0 is 0 in every unit
        if not match or unit not in units:
            wanted = ", ".join(name for name in units if name)
            raise ValueError(f"not a number{f' with a unit ({wanted})' if wanted else ''}: {text!r}")
        exact = float(match[1]) * units[unit]
        value = int(exact) if slot.kind is int and exact == int(exact) else exact
    elif slot.kind is bool:
        value = {"true": True, "false": False}.get(text, text) if not word.quoted else text
    try:
        value = msgspec.convert(value, slot.kind)
    except msgspec.ValidationError as wrong:
        raise ValueError(_plainly(slot, str(wrong), text)) from None
    for side, limit, past in (("least", about.least, operator.lt), ("most", about.most, operator.gt)):
        if limit is not None and past(value, limit):
            raise ValueError(f"{text} is out of range: at {side} {show(slot, limit)}")
    if about.unit == "address" and value and not _address(value):
        raise ValueError(f"not host:port: {text!r}")
    return value


def _plainly(slot: Slot, wrong: str, text: str) -> str:
    if slot.kind is bool:
        return f"neither true nor false: {text!r}"
    if typing.get_origin(slot.kind) is typing.Literal:
        return f"one of {', '.join(typing.get_args(slot.kind))}, not {text!r}"
    return f"{wrong}, not {text!r}"


def _address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdigit() and 0 <= int(port) < 65536


def nearest(name: str, known: typing.Iterable[str]) -> str:
    """Advice for a name that is not known."""
    close = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {close[0]}?" if close else f"; known here: {', '.join(known)}"


def show(slot: Slot, value: Any) -> str:
    """A value as a file would have it."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if slot.about.unit in ("bytes", "rate") and isinstance(value, int | float):
        name, size = max(
            ((n, s) for n, s in SIZES.items() if n.endswith("iB") and value and value % s == 0),
            key=lambda pair: pair[1],
            default=("B", 1),
        )
        return f"{value / size:.15g}{name}" + ("/s" if slot.about.unit == "rate" else "")
    if slot.about.unit == "time" and isinstance(value, int | float):
        return f"{value / 1000:.15g}s" if value >= 1000 else f"{value:.15g}ms"
    if isinstance(value, tuple):
        return " ".join(value) or "(none)"
    return f'"{value}"' if isinstance(value, str) and not re.match(r'[^\s()";]+\Z', value) else str(value)


@dataclass(frozen=True, slots=True)
class Loaded:
    """The settings of a file, and where each key that it names stands."""

    settings: FeatureSettings
    name: str
    set: dict[str, Position]


def check(text: str, name: str) -> Loaded:
    """Read and check a file's text; raises SettingsError with every fault, in the file's order."""
    form = parse(text)
    if isinstance(form, Problem):
        raise SettingsError([form.format(name)])
    first = form.items[0] if form.items else None
    if not isinstance(first, Atom) or first.text != "ashlift":
        raise SettingsError([Problem(form.position, "", "a settings file begins with (ashlift").format(name)])
    walk = _Check()
    settings = walk.table(FeatureSettings, form.items[1:], "")
    if not walk.faults:
        walk.faults += _together(settings, walk.set)
    if walk.faults:
        walk.faults.sort(key=lambda fault: (fault.position.line, fault.position.column))
        raise SettingsError([fault.format(name) for fault in walk.faults])
    return Loaded(settings, name, walk.set)


def _together(settings: FeatureSettings, places: dict[str, Position]) -> Iterator[Problem]:
    """What no single value shows."""
    streaming, limits = settings.streaming, settings.ratelimit
    least = 2 * streaming.most_streams * MIN_LEASE_BYTES
    if least + 2 * MIN_LEASE_BYTES > streaming.buffer_bytes:
        position = (
            places.get("streaming.buffer-bytes") or places.get("streaming.most-streams") or Position(1, 1)
        )
        yield Problem(
            position,
            "streaming.buffer-bytes",
            f"too small for most-streams {streaming.most_streams}: each holds {2 * MIN_LEASE_BYTES} "
            f"bytes at least, so {least + 2 * MIN_LEASE_BYTES} are needed",
        )
    for key, address, domain in (
        ("server", limits.server.listen, limits.server.domain),
        ("client", limits.client.address, limits.client.domain),
    ):
        if address and not domain:
            here = f"ratelimit.{key}.domain"
            yield Problem(places.get(here, Position(1, 1)), here, "empty, though the address is given")


def load(path: Path) -> Loaded:
    """Read and check a file; raises SettingsError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        raise SettingsError([f"{path}: {error}"]) from None
    return check(text, str(path))


def walk(value: Any, model: type[Any], path: str = "") -> Iterator[tuple[str, Slot, Any]]:
    """Every setting with its dotted key and its value."""
    for key, slot in slots(model).items():
        here, own = f"{path}.{key}" if path else key, getattr(value, slot.field)
        if slot.table is not None:
            yield from walk(own, slot.table, here)
        elif slot.rows is not None:
            for row in own:
                yield from walk(row, slot.rows, f"{here} {row.name}")
        elif not (key == "name" and path):
            yield here, slot, own
