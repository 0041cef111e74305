"""The one place where configuration is read, checked and given defaults."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ashlift.net.machine_list import parse_address
from mintfront.interface import Settings
from mintfront.wirehost import WireError, number, read_settings, rows, table

RESERVE = 64  # descriptors kept for the list, the counter, the gRPC front, files and the runtime
NODE_SHARE = 0.35  # of the other descriptors: connections to execute nodes; the rest is for clients


class ConfigError(Exception):
    """A setting that cannot be right; the text names the key."""


@dataclass(frozen=True, slots=True)
class Names:
    """What the platform's front must know of the settings to read a request."""

    classes: dict[bytes, int]
    plans: dict[bytes, int]
    max_units: float
    group_size: int


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program goes by."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    settings: Settings
    names: Names
    zones: tuple[str, ...]
    idle_ms: float
    dial_ms: float
    client_links: int
    node_links: int
    known: dict[str, Any] = field(default_factory=dict)


def _address(where: str, value: object) -> tuple[str, int]:
    try:
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{where}: {error}") from None


def _names(found: list[dict[str, Any]], where: str) -> dict[bytes, int]:
    names = [row.get("Name") for row in found]
    for at, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != at:
            raise ConfigError(f"setting {where}[{at}].Name is missing, not text or given twice: {name!r}")
    return {str(name).encode(): at for at, name in enumerate(names)}


def load(env: Mapping[str, str] = os.environ) -> Config:
    """Read GW_* and the JSON file that GW_CONFIG names."""
    path = env.get("GW_CONFIG")
    if not path:
        raise ConfigError("GW_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            found = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"GW_CONFIG: {error}") from None
    if not isinstance(found, dict):
        raise ConfigError("GW_CONFIG: not a JSON object")
    try:
        return _read(found, env)
    except WireError as error:
        raise ConfigError(str(error)) from None


def _read(found: dict[str, Any], env: Mapping[str, str]) -> Config:
    facts = table(found, "settings")
    settings = read_settings(facts)
    counter = found.get("counter")
    if settings.counter and not counter:
        raise ConfigError("counter is missing, though setting FamilyInfo.MayCount is true")
    try:
        seed = int(str(found.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed is not a hex number: {found.get('seed')!r}") from None
    limits = table(found, "limits") if "limits" in found else {}
    sockets = int(number(limits, "limits.", "sockets", 2 * RESERVE)) if "sockets" in limits else 1024
    site = table(facts, "Limits")
    nodes = int(NODE_SHARE * (sockets - RESERVE))
    known = found.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known is not a table")
    return Config(
        name=str(env.get("GW_NAME") or found.get("name") or "gatekeeper"),
        listen=_address("GW_LISTEN", env.get("GW_LISTEN") or found.get("listen")),
        discovery=_address("GW_DISCOVERY", env.get("GW_DISCOVERY") or found.get("discovery")),
        counter=_address("counter", counter) if settings.counter else None,
        seed=seed,
        settings=settings,
        names=Names(
            _names(rows(facts, "Categories"), "Categories"), _names(rows(facts, "Plans"), "Plans"),
            settings.max_units, settings.group_size,
        ),
        zones=tuple(str(zone) for zone in facts.get("Zones") or ()),
        idle_ms=number(site, "Limits.", "IdleCloseMs", 1.0) if "IdleCloseMs" in site else 15_000.0,
        dial_ms=number(site, "Limits.", "DialTimeoutMs", 1.0) if "DialTimeoutMs" in site else 250.0,
        client_links=sockets - RESERVE - nodes,
        node_links=nodes,
        known=known,
    )  # fmt: skip
