"""Where the commands get what they show: files, and the `Control` address of a core machine."""

import http.client
import json
import os
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlsplit

from ashlift.errors import Failure, FailureReason

WAIT_S: Final = 5.0  # for each step of a call
REDIRECTS: Final = 2
ANSWER_MOST: Final = 64 << 20  # bytes
Address = tuple[str, int]


def parse_address(text: str) -> Address | Failure:
    """`HOST:PORT`, with or without `http://`."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port[:9]) < 65536:
        return Failure(FailureReason.INVALID, f"{text}: is no address such as 10.0.0.4:8200")
    return host, int(port)


def call(address: str, path: str, wait: float = WAIT_S) -> Any | Failure:
    """The JSON value that `GET path` gives at a `Control` address; 307 is followed twice."""
    for _ in range(REDIRECTS + 1):
        target = parse_address(address)
        if isinstance(target, Failure):
            return target
        asked = f"{address}: GET {path}"
        answer = _ask(target, "GET", path, asked, wait=wait)
        if isinstance(answer, Failure):
            return answer
        status, location, data = answer
        if status == 307 and location:
            parts = urlsplit(location)
            address, path = parts.netloc or address, parts.path or path
            continue
        if status != 200:
            return Failure(FailureReason.REJECTED, f"{asked}: {status} {_words(data)}".rstrip())
        return parse_json(data, asked)
    return Failure(FailureReason.REJECTED, f"{address}: GET {path}: sent on more than {REDIRECTS} times")


def post(address: str, path: str, body: Any) -> tuple[int, Any] | Failure:
    """The status and the JSON value that `POST path` gives at a `Control` address."""
    target, asked = parse_address(address), f"{address}: POST {path}"
    data = json.dumps(body).encode()
    answer = target if isinstance(target, Failure) else _ask(target, "POST", path, asked, body=data)
    if isinstance(answer, Failure):
        return answer
    value = parse_json(answer[2], asked)
    return value if isinstance(value, Failure) else (answer[0], value)


def order(
    address: str, method: str, path: str, if_match: str, body: bytes, wait: float
) -> tuple[int, str] | Failure:
    """The status and the words that an order of the operator gets at one core machine; never sent on."""
    target = parse_address(address)
    if isinstance(target, Failure):
        return target
    headers = {"Content-Type": "application/json", "If-Match": if_match}
    answer = _ask(target, method, path, f"{address}: {method} {path}", body, headers, wait)
    return answer if isinstance(answer, Failure) else (answer[0], _words(answer[2]))


def _words(data: bytes) -> str:
    return " ".join(data[:200].decode(errors="replace").split())


def _ask(
    target: Address,
    method: str,
    path: str,
    asked: str,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
    wait: float = WAIT_S,
) -> tuple[int, str, bytes] | Failure:
    """Status, `Location` and body."""
    way = http.client.HTTPConnection(*target, timeout=wait)
    try:
        way.connect()
    except OSError as error:
        way.close()
        return Failure(FailureReason.UNREACHABLE, f"{asked}: no connection: {error}")
    try:
        way.request(method, path, body, dict(headers or {}))
        answer = way.getresponse()
        data = answer.read(ANSWER_MOST + 1)
    except (OSError, ValueError, http.client.HTTPException) as error:
        return Failure(FailureReason.OUTCOME_UNKNOWN, f"{asked}: no answer: {error!s:.200}")
    finally:
        way.close()
    if len(data) > ANSWER_MOST:
        return Failure(FailureReason.REJECTED, f"{asked}: more than {ANSWER_MOST} bytes")
    return answer.status, answer.getheader("Location") or "", data


def parse_json(data: bytes, place: str) -> Any | Failure:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        return Failure(FailureReason.INVALID, f"{place}: is no JSON: {error}")


def read_file(path: str) -> bytes | Failure:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        return Failure(FailureReason.INVALID, f"{path}: cannot be read: {error.strerror}")


def configuration(source: str) -> Any | Failure:
    """The JSON value of a configuration: from a file, or from a core machine where no file has that name."""
    if not os.path.exists(source) and isinstance(parse_address(source), tuple):
        return call(source, "/config")
    data = read_file(source)
    return data if isinstance(data, Failure) else parse_json(data, source)
