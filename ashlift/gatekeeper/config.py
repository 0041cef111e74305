"""Reads the configuration from the environment and the platform's JSON file, with validation and defaults."""

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

RESERVED_DESCRIPTORS = 40  # for the machine list, the counter, the gRPC service, files and the runtime
IDLE_CONNECTION_SHARE = 0.125  # of all descriptors, for idle client connections
NODE_CONNECTION_SHARE = 0.35  # of the unreserved descriptors, for execute nodes; clients have the rest
RESPONSE_BUFFER_DIVISOR = 8  # of the memory limit: gives the response buffer, within RESPONSE_BUFFER_BYTES
RESPONSE_BUFFER_BYTES = (1 << 20, 8 << 20)  # minimum and maximum


class ConfigError(Exception):
    """A setting is invalid; the message names the key."""


class FeatureSettingsError(ConfigError):
    """The settings file is invalid; one line for each problem, `FILE:LINE:COL: key: message`."""


@dataclass(frozen=True, slots=True)
class RequestSchema:
    """Names and limits from the settings by which requests are validated."""

    classes: dict[bytes, int]  # index by name
    plans: dict[bytes, int]  # index by name
    max_units: float
    gateway_count: int
    client_timeouts_ms: tuple[float, ...]  # by class


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of a gatekeeper."""

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
    inherited_fd: int | None = None  # listening socket opened by the platform; otherwise `listen` is bound
    admin_address: tuple[str, int] | None = None  # None: no admin port
    response_buffer_bytes: int = RESPONSE_BUFFER_BYTES[1]  # for responses streamed without stream settings


def _address(where: str, value: object) -> tuple[str, int]:
    try:
        return parse_address(str(value))
    except ValueError as error:
        raise ConfigError(f"{where}: {error}") from None


def _descriptor(where: str, value: str | None) -> int | None:
    if not value:
        return None
    if not value.isdigit() or int(value) < 3:
        raise ConfigError(f"{where}: not a file descriptor number above 2: {value!r}")
    return int(value)


def _index_by_name(entries: list[dict[str, Any]], where: str) -> dict[bytes, int]:
    names = [entry.get("Name") for entry in entries]
    for index, name in enumerate(names):
        if not isinstance(name, str) or not name or names.index(name) != index:
            raise ConfigError(
                f"setting {where}[{index}].Name is missing, not a string or a duplicate: {name!r}"
            )
    return {str(name).encode(): index for index, name in enumerate(names)}


def normalize_customer(text: str) -> str:
    """Normalizes a customer's hexadecimal id, so that HTTP and gRPC requests are counted under one key."""
    if not 1 <= len(text) <= 16 or not text.isalnum():
        raise ValueError("not 1 to 16 hexadecimal digits")
    return f"{int(text, 16):016x}"


def load_feature_settings(env: Mapping[str, str]) -> FeatureSettings:
    """Loads the settings file that GW_SETTINGS names; without it, all features are off.

    The parser's libraries are imported only if needed, to save memory.
    """
    if env.get("GW_RATELIMIT"):
        raise ConfigError(
            "GW_RATELIMIT is no longer supported: add (ratelimit ...) to the file that GW_SETTINGS names, "
            "as in deploy/ashlift.sexp"
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
    """Reads the GW_* variables and the JSON file that GW_CONFIG names; raises ConfigError."""
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
    """Reads the file again after SIGHUP, without GW_DISCOVERY: it would hide a new address in the file."""
    return load({key: value for key, value in env.items() if key != "GW_DISCOVERY"})


def read(found: dict[str, Any], env: Mapping[str, str]) -> Config:
    """Validates the content of the JSON file; environment variables take precedence."""
    features = load_feature_settings(env)
    platform = table(found, "settings")
    settings = read_settings(platform)
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
        # During an upgrade two processes share the limits of one.
        sockets, memory = max(2 * RESERVED_DESCRIPTORS, sockets // 2), memory / 2
    response_buffer = int(
        min(
            RESPONSE_BUFFER_BYTES[1],
            max(RESPONSE_BUFFER_BYTES[0], memory * (1 << 20) / RESPONSE_BUFFER_DIVISOR),
        )
    )
    platform_limits = table(platform, "Limits")
    max_node_connections = int(NODE_CONNECTION_SHARE * (sockets - RESERVED_DESCRIPTORS))
    known = found.get("known") or {}
    if not isinstance(known, dict):
        raise ConfigError("known is not a JSON object")
    return Config(
        name=str(env.get("GW_NAME") or found.get("name") or "gatekeeper"),
        listen=_address("GW_LISTEN", env.get("GW_LISTEN") or found.get("listen")),
        discovery=_address("GW_DISCOVERY", env.get("GW_DISCOVERY") or found.get("discovery")),
        counter=_address("counter", counter) if settings.counter_enabled and not grpc_counter else None,
        seed=seed,
        settings=settings,
        request_schema=RequestSchema(
            _index_by_name(rows(platform, "Categories"), "Categories"),
            _index_by_name(rows(platform, "Plans"), "Plans"),
            settings.max_request_units,
            settings.gateway_count,
            tuple(request_class.client_timeout_ms for request_class in settings.classes),
        ),
        zones=tuple(str(zone) for zone in platform.get("Zones") or ()),
        idle_timeout_ms=number(platform_limits, "Limits.", "IdleCloseMs", 1.0)
        if "IdleCloseMs" in platform_limits
        else 15_000.0,
        connect_timeout_ms=number(platform_limits, "Limits.", "DialTimeoutMs", 1.0)
        if "DialTimeoutMs" in platform_limits
        else 250.0,
        max_idle_connections=int(IDLE_CONNECTION_SHARE * sockets),
        max_client_connections=sockets - RESERVED_DESCRIPTORS - max_node_connections,
        max_node_connections=max_node_connections,
        known_machines=known,
        features=features,
        inherited_fd=inherited,
        response_buffer_bytes=response_buffer,
        admin_address=_address("GW_MGMT", mgmt)
        if (mgmt := env.get("GW_MGMT") or found.get("mgmt"))
        else None,
    )
