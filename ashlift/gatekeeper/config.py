"""The one place where configuration is read, checked and given defaults."""

import json
import os
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ashlift.gatekeeper.admission.interface import Settings
from ashlift.gatekeeper.admission.wirehost import WireError, number, read_settings, rows, table
from ashlift.gatekeeper.net.machine_list import parse_address
from ashlift.gatekeeper.settings.model import FeatureSettings

RESERVED_DESCRIPTORS = 40  # descriptors kept for the list, the counter, the gRPC front, files and the runtime
IDLE_CONNECTION_SHARE = 0.125  # of all descriptors: client connections on which nothing is open
NODE_CONNECTION_SHARE = (
    0.35  # of the other descriptors: connections to execute nodes; the rest is for clients
)
RESPONSE_BUFFER_DIVISOR = 8  # of the memory: at most so small a part holds answers that pass on as they come
RESPONSE_BUFFER_BYTES = (1 << 20, 8 << 20)  # least and most of that


class ConfigError(Exception):
    """A setting that cannot be right; the text names the key."""


class FeatureSettingsError(ConfigError):
    """Faults of our own settings file: a line each, `FILE:LINE:COL: key: what is wrong`."""


@dataclass(frozen=True, slots=True)
class RequestSchema:
    """What the platform's front must know of the settings to read a request."""

    classes: dict[bytes, int]
    plans: dict[bytes, int]
    max_units: float
    gateway_count: int
    client_timeouts_ms: tuple[float, ...]


@dataclass(frozen=True, slots=True)
class Config:
    """All that the program goes by."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    counter: tuple[str, int] | None
    seed: int
    settings: Settings
    request_schema: RequestSchema
    zones: tuple[str, ...]
    idle_timeout_ms: float
    connect_timeout_ms: float
    max_client_connections: int
    max_idle_connections: int
    max_node_connections: int
    known_machines: dict[str, Any] = field(default_factory=dict)
    features: FeatureSettings = FeatureSettings()
    inherited_fd: int | None = None  # the clients' listening socket, held by the platform: nothing is bound
    admin_address: tuple[str, int] | None = None  # the operators' door; none where not named
    response_buffer_bytes: int = RESPONSE_BUFFER_BYTES[
        1
    ]  # for answers that pass on as they come, where streams are not set


def _address(where: str, value: object) -> tuple[str, int]:
    try:
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{where}: {error}") from None


def _descriptor(where: str, value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdigit() or int(value) < 3:
        raise ConfigError(f"{where}: not the number of an open descriptor above 2: {value!r}")
    return int(value)


def _names(found: list[dict[str, Any]], where: str) -> dict[bytes, int]:
    names = [row.get("Name") for row in found]
    for at, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != at:
            raise ConfigError(f"setting {where}[{at}].Name is missing, not text or given twice: {name!r}")
    return {str(name).encode(): at for at, name in enumerate(names)}


def normalize_customer(text: str) -> str:
    """One spelling of a firm's name, so that both fronts and all gatekeepers count it under the same."""
    if not 1 <= len(text) <= 16 or not text.isalnum():
        raise ValueError("not up to 16 hex digits")
    return f"{int(text, 16):016x}"


def load_feature_settings(env: Mapping[str, str]) -> FeatureSettings:
    """Our own settings: of the file that GW_SETTINGS names. With none named all is off, and nothing that
    reads such files is loaded: the platform's memory is short."""
    if env.get("GW_RATELIMIT"):
        raise ConfigError(
            "GW_RATELIMIT is not read any more: write (ratelimit ...) into the file that "
            "GW_SETTINGS names; deploy/ashlift.sexp shows the form"
        )
    path = env.get("GW_SETTINGS")
    if not path:
        return FeatureSettings()
    from ashlift.gatekeeper.settings.reader import SettingsError
    from ashlift.gatekeeper.settings.schema import load_settings

    try:
        return load_settings(Path(path)).settings
    except SettingsError as error:
        raise FeatureSettingsError(str(error)) from None


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
        return read(found, env)
    except WireError as error:
        raise ConfigError(str(error)) from None


def reload_config(env: Mapping[str, str] = os.environ) -> Config:
    """Read the file again, as SIGHUP asks. Guards against a move that is not seen: what the environment said
    of discovery at the start holds no longer, the file does."""
    return load({key: value for key, value in env.items() if key != "GW_DISCOVERY"})


def read(found: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Check what the JSON file holds; the environment goes first."""
    features = load_feature_settings(env)
    facts = table(found, "settings")
    settings = read_settings(facts)
    grpc_counter = features.ratelimit.client.address
    counter = found.get("counter")
    if settings.counter_enabled and not counter and not grpc_counter:
        raise ConfigError("counter is missing, though setting FamilyInfo.MayCount is true")
    try:
        seed = int(str(found.get("seed", "0")), 16)
    except ValueError:
        raise ConfigError(f"seed is not a hex number: {found.get('seed')!r}") from None
    limits = table(found, "limits") if "limits" in found else {}
    sockets = (
        int(number(limits, "limits.", "sockets", 2 * RESERVED_DESCRIPTORS)) if "sockets" in limits else 1024
    )
    memory = number(limits, "limits.", "memory_mb", 16.0) if "memory_mb" in limits else 192.0
    inherited = _descriptor("GW_INHERITED_FD", env.get("GW_INHERITED_FD"))
    if inherited is not None:
        # Guards against two processes over the limits of one: a successor starts beside this one with the
        # same limits, and the platform counts both together.
        sockets, memory = max(2 * RESERVED_DESCRIPTORS, sockets // 2), memory / 2
    response_buffer = int(
        min(
            RESPONSE_BUFFER_BYTES[1],
            max(RESPONSE_BUFFER_BYTES[0], memory * (1 << 20) / RESPONSE_BUFFER_DIVISOR),
        )
    )
    site = table(facts, "Limits")
    nodes = int(NODE_CONNECTION_SHARE * (sockets - RESERVED_DESCRIPTORS))
    known = found.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known is not a table")
    return Config(
        name=str(env.get("GW_NAME") or found.get("name") or "gatekeeper"),
        listen=_address("GW_LISTEN", env.get("GW_LISTEN") or found.get("listen")),
        discovery=_address("GW_DISCOVERY", env.get("GW_DISCOVERY") or found.get("discovery")),
        counter=_address("counter", counter) if settings.counter_enabled and not grpc_counter else None,
        seed=seed,
        settings=settings,
        request_schema=RequestSchema(
            _names(rows(facts, "Categories"), "Categories"),
            _names(rows(facts, "Plans"), "Plans"),
            settings.max_request_units,
            settings.gateway_count,
            tuple(one.client_timeout_ms for one in settings.classes),
        ),
        zones=tuple(str(zone) for zone in facts.get("Zones") or ()),
        idle_timeout_ms=number(site, "Limits.", "IdleCloseMs", 1.0) if "IdleCloseMs" in site else 15_000.0,
        connect_timeout_ms=number(site, "Limits.", "DialTimeoutMs", 1.0)
        if "DialTimeoutMs" in site
        else 250.0,
        max_idle_connections=int(IDLE_CONNECTION_SHARE * sockets),
        max_client_connections=sockets - RESERVED_DESCRIPTORS - nodes,
        max_node_connections=nodes,
        known_machines=known,
        features=features,
        inherited_fd=inherited,
        response_buffer_bytes=response_buffer,
        admin_address=_address("GW_MGMT", mgmt)
        if (mgmt := env.get("GW_MGMT") or found.get("mgmt"))
        else None,
    )
