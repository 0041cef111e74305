"""Where the commands get what they show: files, and the `Control` address of a core machine."""

import http.client
import json
import os
from collections.abc import Mapping
from typing import Any, Final
from urllib.parse import urlsplit

from ashlift.errors import INVALID, REFUSED, UNANSWERED, UNREACHED, Fault

WAIT_S: Final = 5.0  # for each step of a call
REDIRECTS: Final = 2
ANSWER_MOST: Final = 64 << 20  # bytes
Address = tuple[str, int]


def parse_address(text: str) -> Address | Fault:
    """`HOST:PORT`, with or without `http://`."""
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not (port.isascii() and port.isdigit()) or not 0 < int(port[:9]) < 65536:
        return Fault(INVALID, f"{text}: is no address such as 10.0.0.4:8200")
    return host, int(port)


def call(address: str, path: str, wait: float = WAIT_S) -> Any | Fault:
    """The JSON value that `GET path` gives at a `Control` address; 307 is followed twice."""
    for _ in range(REDIRECTS + 1):
        target = parse_address(address)
        if isinstance(target, Fault):
            return target
        asked = f"{address}: GET {path}"
        answer = _ask(target, "GET", path, asked, wait=wait)
        if isinstance(answer, Fault):
            return answer
        status, location, data = answer
        if status == 307 and location:
            parts = urlsplit(location)
            address, path = parts.netloc or address, parts.path or path
            continue
        if status != 200:
            return Fault(REFUSED, f"{asked}: {status} {_words(data)}".rstrip())
        return parse_json(data, asked)
    return Fault(REFUSED, f"{address}: GET {path}: sent on more than {REDIRECTS} times")


def post(address: str, path: str, body: Any) -> tuple[int, Any] | Fault:
    """The status and the JSON value that `POST path` gives at a `Control` address."""
    target, asked = parse_address(address), f"{address}: POST {path}"
    data = json.dumps(body).encode()
    answer = target if isinstance(target, Fault) else _ask(target, "POST", path, asked, body=data)
    if isinstance(answer, Fault):
        return answer
    value = parse_json(answer[2], asked)
    return value if isinstance(value, Fault) else (answer[0], value)


def order(
    address: str, method: str, path: str, if_match: str, body: bytes, wait: float
) -> tuple[int, str] | Fault:
    """The status and the words that an order of the operator gets at one core machine; never sent on."""
    target = parse_address(address)
    if isinstance(target, Fault):
        return target
    headers = {"Content-Type": "application/json", "If-Match": if_match}
    answer = _ask(target, method, path, f"{address}: {method} {path}", body, headers, wait)
    return answer if isinstance(answer, Fault) else (answer[0], _words(answer[2]))


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
) -> tuple[int, str, bytes] | Fault:
    """Status, `Location` and body."""
    way = http.client.HTTPConnection(*target, timeout=wait)
    try:
        way.connect()
    except OSError as error:
        way.close()
        return Fault(UNREACHED, f"{asked}: no connection: {error}")
    try:
        way.request(method, path, body, dict(headers or {}))
        answer = way.getresponse()
        data = answer.read(ANSWER_MOST + 1)
    except (OSError, ValueError, http.client.HTTPException) as error:
        return Fault(UNANSWERED, f"{asked}: no answer: {error!s:.200}")
    finally:
        way.close()
    if len(data) > ANSWER_MOST:
        return Fault(REFUSED, f"{asked}: more than {ANSWER_MOST} bytes")
    return answer.status, answer.getheader("Location") or "", data


def parse_json(data: bytes, place: str) -> Any | Fault:
    try:
        return json.loads(data)
    except (ValueError, RecursionError) as error:
        return Fault(INVALID, f"{place}: is no JSON: {error}")


def read_file(path: str) -> bytes | Fault:
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        return Fault(INVALID, f"{path}: cannot be read: {error.strerror}")


def configuration(source: str) -> Any | Fault:
    """The JSON value of a configuration: from a file, or from a core machine where no file has that name."""
    if not os.path.exists(source) and isinstance(parse_address(source), tuple):
        return call(source, "/config")
    data = read_file(source)
    return data if isinstance(data, Fault) else parse_json(data, source)
