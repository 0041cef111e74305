"""Sends the operator's changes, and waits until all gatekeepers in touch hold them.

A change that got no clear answer may be in force or not: it goes again, unchanged, to any core machine, and
the store knows what it has taken.
"""

import json
import time
from collections.abc import Callable
from typing import Any, Final

from ashlift.cli import sources
from ashlift.cli.tenants import Held, Standing, standing
from ashlift.errors import Failure, FailureReason

CALLS_MOST: Final = 40  # of one order
PAUSE_S: Final = (0.1, 1.0)  # between two calls: at first, at most
LOOKS_MOST: Final = 20  # at who holds it
LOOK_S: Final = 0.25
ORDER_S: Final = 1.0  # for an answer; and for each object
OBJECT_S: Final = 0.003
pause: Callable[[float], None] = time.sleep


def look(address: str) -> Standing | Failure:
    """What all core machines say that are known at `address`."""
    first = sources.call(address, "/status")
    if isinstance(first, Failure):
        return first
    if not isinstance(first, dict):
        return Failure(FailureReason.INVALID, f"{address}: GET /status: is not a JSON object")
    answers, silent = [first], []
    for other in core(address, first):
        answer = sources.call(other, "/status", wait=ORDER_S)
        if isinstance(answer, dict):
            answers.append(answer)
        else:
            silent.append(other)
    try:
        return standing(answers, silent)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return Failure(FailureReason.INVALID, f"{address}: GET /status: is none that is known: {error!r}")


def core(address: str, answer: dict[str, Any]) -> list[str]:
    """The other core machines' Control addresses: their port is alike everywhere."""
    target = sources.parse_address(address)
    ips = answer.get("members")
    if isinstance(target, Failure) or not isinstance(ips, list):
        return []
    return [f"{ip}:{target[1]}" for ip in ips if ip != target[0]]


def send(address: str, if_match: str, body: dict[str, Any]) -> Failure | None:
    """PATCH /config until there is a clear answer. None: acknowledged. Failure: `refused`, nothing is in
    force; `unanswered`, it may be in force, and the same call may be made again."""
    first = sources.call(address, "/status")
    places = [address, *(core(address, first) if isinstance(first, dict) else [])]
    data, between = json.dumps(body).encode(), PAUSE_S[0]
    objects = body.get("Upsert", {}).get("Objects", ())
    last: Any = None
    for number in range(CALLS_MOST):
        place = places[number % len(places)]
        last = sources.order(place, "PATCH", "/config", if_match, data, ORDER_S + OBJECT_S * len(objects))
        if not isinstance(last, Failure):
            status, words = last
            if status == 200:
                return None
            if 400 <= status < 500 and status not in (408, 429):
                return Failure(FailureReason.REJECTED, f"{place}: PATCH /config: {status} {words}".rstrip())
            last = Failure(
                FailureReason.OUTCOME_UNKNOWN, f"{place}: PATCH /config: {status} {words}".rstrip()
            )
        pause(between)
        between = min(PAUSE_S[1], 1.5 * between)
    return Failure(FailureReason.OUTCOME_UNKNOWN, f"no clear answer, it may be in force: {last.detail}")


def settled(address: str, version: str) -> tuple[Standing, list[Held]] | Failure:
    """Wait until all gatekeepers in touch hold this version; those that do not in the end."""
    index, now = 0, look(address)
    for _ in range(LOOKS_MOST):
        if isinstance(now, Standing) and int(now.version, 16) >= int(version, 16):
            index = index or now.index  # the first sight of it: later changes do not matter
            if not now.behind(index) or now.dim:
                break
        pause(LOOK_S)
        now = look(address)
    if isinstance(now, Failure):
        return now
    return now, now.behind(index) if index else now.gatekeepers
