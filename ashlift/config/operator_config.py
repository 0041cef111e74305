"""The operator's configuration as a flat map, and what changes it. Pure; nothing given is ever changed.

The map: `Routes/NAME`, `Services/NAME`, `Tenants/NAME`, `Limits`: the object's Specification as it was given.
`Version`: eight hexadecimal digits. `Place/KEY`: an object's place among all, rising, with gaps.
`Rest/KEY`: an object's other fields, where it has more than its type and its name; `Rest`: those of the
whole. Other keys belong to others and are left alone.
"""

import json
from collections.abc import Mapping
from hashlib import blake2b
from typing import Any, Final

import attrs

from ashlift.config.routing_table import SHAPES, RouteShape, ServiceShape, TenantShape, host_of, split_of
from ashlift.config.structuring import Flaw, structure
from ashlift.errors import Failure, FailureReason

STALE: Final = "stale"  # it builds on a version that is not the current one
FIRST: Final = "00000000"
MOST_TOLD = 5  # flaws that one answer tells
_OURS = (*SHAPES, "Place", "Rest", "Version")


@attrs.frozen
class Change:
    """What a change sets in the map and takes out of it; its own version; the digest of the call."""

    set: dict[str, Any]
    gone: list[str]
    version: str
    digest: str


@attrs.frozen
class _Object:
    key: str
    value: dict[str, Any]
    rest: dict[str, Any] | None


def number_of(version: Any) -> int | Failure:
    """A version (up to eight hexadecimal digits, as an If-Match may carry it) as a number."""
    text = version.strip().strip('"') if isinstance(version, str) else ""
    if not 0 < len(text) <= 8 or not all(digit in "0123456789abcdefABCDEF" for digit in text):
        return Failure(
            FailureReason.INVALID, f"is no version of eight hexadecimal digits: {str(version)[:40]!r}"
        )
    return int(text, 16)


def current_version(current: Mapping[str, Any]) -> str:
    version: str = current.get("Version", FIRST)
    return version


def digest(kind: str, if_match: str, body: Any) -> str:
    """Alike for calls that ask for exactly the same, however its JSON is written (order of keys, spaces, 1.0
    for 1, the version's zeros); "" for a body that is no JSON value."""
    base = number_of(if_match)
    try:
        version = number_of(body.get("ConfigVersion")) if isinstance(body, dict) else None
        whole = {**body, "ConfigVersion": version} if isinstance(version, int) else body
        call = [kind, base if isinstance(base, int) else str(if_match), _numbered(whole)]
        text = json.dumps(call, sort_keys=True, allow_nan=False)
    except (TypeError, ValueError, RecursionError):
        return ""
    return blake2b(text.encode(), digest_size=16).hexdigest()


def apply(current: Mapping[str, Any], kind: str, if_match: str, body: Any) -> Change | Failure:
    """What the call (`put`: all anew; `patch`: by name) makes of `current`. `if_match`: what it builds on.
    Failure: `stale`, or `invalid` with a detail of `OBJECT NAME: FIELD: what`, several parted by `; `."""
    base, now = number_of(if_match), number_of(current_version(current))
    if isinstance(base, Failure):
        return Failure(FailureReason.INVALID, f"If-Match: {base.detail}")
    assert isinstance(now, int)
    if base != now:
        return Failure(STALE, f"builds on {base:08x}, and {now:08x} is current")
    flaws, change = _changed(current, now, kind, if_match, body)
    if flaws or change is None:
        more = [f"and {len(flaws) - MOST_TOLD} more"] if len(flaws) > MOST_TOLD else []
        return Failure(FailureReason.INVALID, "; ".join(flaws[:MOST_TOLD] + more))
    return change


def faults(current: Mapping[str, Any], kind: str, body: Any) -> list[Failure]:
    """Everything that keeps a call from being applied to `current`, whatever it says that it builds on."""
    now = number_of(current_version(current))
    flaws, _ = _changed(current, now, kind, FIRST, body) if isinstance(now, int) else ([now.detail], None)
    return [Failure(FailureReason.INVALID, flaw) for flaw in flaws]


def laid_out(body: Any) -> dict[str, Any] | list[Failure]:
    """A whole configuration that stands by itself (no version before it) as a map, or all its faults."""
    flaws, change = _changed({}, -1, "put", "0", body)
    return change.set if change and not flaws else [Failure(FailureReason.INVALID, flaw) for flaw in flaws]


def whole(entries: Mapping[str, Any]) -> dict[str, Any]:
    """The configuration as it is put."""
    keys = [key for key in entries if key.partition("/")[0] in SHAPES]
    keys.sort(key=lambda key: (entries.get(f"Place/{key}", 0), key))
    objects = []
    for key in keys:
        kind, _, name = key.partition("/")
        bare = {"ObjectType": kind, "Metadata": {"Name": name} if name else {}}
        objects.append({**entries.get(f"Rest/{key}", bare), "Specification": entries[key]})
    return {**entries.get("Rest", {}), "ConfigVersion": current_version(entries), "Objects": objects}


def _changed(
    current: Mapping[str, Any], now: int, kind: str, if_match: str, body: Any
) -> tuple[list[str], Change | None]:
    mark = digest(kind, if_match, body)
    if not mark or not isinstance(body, dict) or not _plain(body):
        return ["the body is no JSON object that can be read whole"], None
    if kind not in ("put", "patch"):
        return [f"no such kind of change: {kind}"], None
    flaws: list[str] = []
    version = number_of(body.get("ConfigVersion"))
    if isinstance(version, Failure):
        flaws.append(f"ConfigVersion: {version.detail}")
    elif version <= now:
        flaws.append(f"ConfigVersion: {version:08x} is not above the current {now:08x}")
    made = _put(current, body, flaws) if kind == "put" else _patched(current, body, flaws)
    _fit(made, flaws)
    if flaws or isinstance(version, Failure):
        return flaws, None
    made["Version"] = f"{version:08x}"
    ours = {key: value for key, value in current.items() if key.partition("/")[0] in _OURS}
    entries = {key: value for key, value in made.items() if key not in ours or not _same(ours[key], value)}
    return [], Change(entries, [key for key in ours if key not in made], made["Version"], mark)


def _put(current: Mapping[str, Any], body: dict[str, Any], flaws: list[str]) -> dict[str, Any]:
    """The whole map anew. Places are kept where the order allows it, so that little changes."""
    objects = _objects(body.get("Objects"), flaws)
    rest = {key: value for key, value in body.items() if key not in ("ConfigVersion", "Objects")}
    made: dict[str, Any] = {"Rest": rest} if rest else {}
    last = 0
    for one in objects:
        place = current.get(f"Place/{one.key}", 0)
        last = place if place > last else last + 1
        _set(made, one, last)
    return made


def _patched(current: Mapping[str, Any], body: dict[str, Any], flaws: list[str]) -> dict[str, Any]:
    """The map with what is withdrawn taken out and then what is upserted set."""
    made = {key: value for key, value in current.items() if key.partition("/")[0] in _OURS}
    for key in _withdrawn(body.get("Withdraw"), flaws):
        for part in (key, f"Place/{key}", f"Rest/{key}"):
            made.pop(part, None)
    upsert = body.get("Upsert") or {}
    if not isinstance(upsert, dict) or (upsert and "Objects" not in upsert):
        flaws.append("Upsert: is not an object that holds Objects")
        return made
    last = max((place for key, place in made.items() if key.startswith("Place/")), default=0)
    for one in _objects(upsert.get("Objects", []), flaws):
        last += 1
        made.pop(f"Rest/{one.key}", None)
        _set(made, one, made.get(f"Place/{one.key}", last))
    return made


def _withdrawn(withdraw: Any, flaws: list[str]) -> list[str]:
    """The keys that are named, whether they are there or not."""
    if not isinstance(withdraw, dict):
        if withdraw is not None:
            flaws.append("Withdraw: is not an object")
        return []
    found = []
    for kind in SHAPES:
        names = withdraw.get(kind) or []
        if isinstance(names, list) and all(isinstance(name, str) for name in names):
            found += [_key(kind, name) for name in names]
        else:
            flaws.append(f"Withdraw: {kind}: is not a list of names")
    return found


def _set(made: dict[str, Any], one: _Object, place: int) -> None:
    made[one.key], made[f"Place/{one.key}"] = one.value, place
    if one.rest is not None:
        made[f"Rest/{one.key}"] = one.rest


def _key(kind: str, name: str) -> str:
    return "Limits" if kind == "Limits" else f"{kind}/{name}"


def _objects(listed: Any, flaws: list[str]) -> list[_Object]:
    """The objects of a list, each looked at by itself."""
    if not isinstance(listed, list):
        flaws.append("Objects: is not a list")
        return []
    found: dict[str, _Object] = {}
    for number, value in enumerate(listed, 1):
        one = _object(value)
        if isinstance(one, str):
            flaws.append(f"object {number}: {one}")
            continue
        kind, _, name = one.key.partition("/")
        place = f"{kind} {name}" if name else kind
        if one.key in found:
            flaws.append(f"{place}: is there twice")
        found[one.key] = one
        for key, what in _unsound(kind, one.value):
            flaws.append(f"{place}: {key}: {what}" if key else f"{place}: {what}")
    return list(found.values())


def _object(value: Any) -> _Object | str:
    """An object of the list, or why it is none."""
    if not isinstance(value, dict):
        return "is not an object"
    kind, meta, specification = (value.get(key) for key in ("ObjectType", "Metadata", "Specification"))
    if not isinstance(kind, str) or kind not in SHAPES:
        return f"ObjectType: is none that is known: {str(kind)[:40]!r}"
    if meta is not None and not isinstance(meta, dict):
        return "Metadata: is not an object"
    name = (meta or {}).get("Name")
    if kind != "Limits" and (not isinstance(name, str) or not name):
        return "Metadata: Name: is missing"
    if not isinstance(specification, dict):
        return f"{kind} {name}: Specification: is not an object"
    rest = {key: one for key, one in value.items() if key != "Specification"}
    bare = {"ObjectType": kind, "Metadata": {} if kind == "Limits" else {"Name": name}}
    return _Object(_key(kind, str(name)), specification, None if rest == bare else rest)


def _unsound(kind: str, value: dict[str, Any]) -> list[Flaw]:
    shape = structure(SHAPES[kind], value)
    if isinstance(shape, list):
        return shape
    found: list[Flaw] = []
    if isinstance(shape, RouteShape):
        if not shape.host:
            found.append(("Host", "is empty"))
        if not shape.path_prefix.startswith("/") or not shape.path_prefix.endswith("/"):
            found.append(("PathPrefix", "does not begin and end with a slash"))
        if shape.service is None and value.get("TrafficSplit") is None:
            found.append(("Service", "is missing, and there is no TrafficSplit"))
        elif not sum(weight for _, weight in split_of(shape)) > 0:
            found.append(("TrafficSplit", "its weights sum to 0"))
    elif isinstance(shape, ServiceShape):
        if not shape.health_check.startswith("/"):
            found.append(("HealthCheck", "does not begin with a slash"))
    elif isinstance(shape, TenantShape) and not all(shape.api_keys):
        found.append(("ApiKeys", "has an empty key"))
    return found


def _fit(made: dict[str, Any], flaws: list[str]) -> None:
    """What only all objects together show. Those that are unsound by themselves have been told already."""
    places: dict[tuple[str, str], str] = {}
    holders: dict[str, str] = {}
    for key, value in made.items():
        kind, _, name = key.partition("/")
        if kind == "Routes":
            host, prefix = value.get("Host"), value.get("PathPrefix")
            if isinstance(host, str) and isinstance(prefix, str):
                other = places.setdefault((host_of(host), prefix), name)
                if other != name:
                    flaws.append(f"Routes {name}: PathPrefix: Routes {other} has this host and prefix too")
            for service in _services(value):
                if f"Services/{service}" not in made:
                    flaws.append(f"Routes {name}: Service: no such service: {service[:40]!r}")
        elif kind == "Tenants":
            keys = value.get("ApiKeys")
            for one in keys if isinstance(keys, list) else []:
                if isinstance(one, str) and holders.setdefault(one, name) != name:
                    flaws.append(f"Tenants {name}: ApiKeys: Tenants {holders[one]} has one of them too")


def _services(route: Mapping[str, Any]) -> set[str]:
    """All services that a route names."""
    split = route.get("TrafficSplit")
    entries = split if isinstance(split, list) else []
    named = [route.get("Service"), *(one.get("Service") for one in entries if isinstance(one, dict))]
    return {name for name in named if isinstance(name, str)}


def _plain(body: dict[str, Any]) -> bool:
    """Whether all its texts can be written: JSON may hold halves of surrogate pairs."""
    try:
        json.dumps(body, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return False
    return True


def _numbered(value: Any) -> Any:
    """Whole numbers alike, however they are written."""
    if isinstance(value, float) and value.is_integer():
        return int(value)
    if isinstance(value, list):
        return [_numbered(one) for one in value]
    return {key: _numbered(one) for key, one in value.items()} if isinstance(value, dict) else value


def _same(one: Any, other: Any) -> bool:
    """Alike as they are written too: 1, 1.0 and true are three values."""
    return one is other or (bool(one == other) and json.dumps(one) == json.dumps(other))
