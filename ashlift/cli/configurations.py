"""Loads operator configurations from files and from core machines."""

import os
from typing import Any

from ashlift.cli.control_client import get_json, parse_address
from ashlift.cli.files import read_json_file
from ashlift.config import operator_config
from ashlift.errors import Failure


def load_entries(origin: str) -> dict[str, Any] | list[Failure]:
    """Return the entries of a configuration by key, or all its errors.

    `origin` is a file or a Control address; each error message starts with it.
    """
    body = _read_configuration(origin)
    if isinstance(body, Failure):
        return [body]
    entries = operator_config.load_configuration(body)
    return prefix_failures(origin, entries) if isinstance(entries, list) else entries


def is_patch(body: Any) -> bool:
    """Return whether a JSON value is a patch (`Upsert` or `Withdraw`), not a complete configuration."""
    return isinstance(body, dict) and "Objects" not in body and ("Upsert" in body or "Withdraw" in body)


def prefix_failures(origin: str, failures: list[Failure]) -> list[Failure]:
    """Return the failures with `origin` prepended to each detail."""
    return [Failure(failure.reason, f"{origin}: {failure.detail}") for failure in failures]


def _read_configuration(origin: str) -> Any | Failure:
    """Read a configuration from a file or, if no such file exists and `origin` is an address, over HTTP."""
    if not os.path.exists(origin) and isinstance(parse_address(origin), tuple):
        return get_json(origin, "/config")
    return read_json_file(origin)
