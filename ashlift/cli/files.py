"""Reads files and parses JSON; errors are returned as a `Failure` that names the file."""

import json
from typing import Any

from ashlift.errors import Failure, FailureReason


def parse_json(data: bytes, origin: str) -> Any | Failure:
    """Return the JSON value of `data`; `origin` names its source in the error message."""
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        return Failure(FailureReason.INVALID, f"{origin}: is no JSON: {error}")


def read_file(path: str) -> bytes | Failure:
    """Return the content of a file."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        return Failure(FailureReason.INVALID, f"{path}: cannot be read: {error.strerror}")


def read_json_file(path: str) -> Any | Failure:
    """Return the JSON value in a file."""
    data = read_file(path)
    return data if isinstance(data, Failure) else parse_json(data, path)
