"""The way to the store: the own machine's, or another member's where that one is not there."""

import time
from collections.abc import Callable
from typing import Any

import gevent

from workbench.bench import Callers
from workbench.faults import UNANSWERED, UNKNOWN, UNREACHED, UNREADY, Fault

ANSWER_S = 0.9  # callers move on after a second
BYTE_S = 1e-5  # s more for each byte of a body: callers wait longer for large ones
LATE_S = 0.6  # s for a watch's answer beyond its wait
DRAFTS_S = 0.6  # s for all stores' answers about edits of routes
HOP_S = 0.25  # s kept for a further store
ELSEWHERE = frozenset((UNREACHED, UNREADY, UNKNOWN))  # not done, and another store may do it


class Store:
    def __init__(self, own: str, port: int, members: Callable[[], list[str]], callers: Callers) -> None:
        """`own`: IP; `members`: IPs of all stores, near ones first."""
        self._own, self._port, self._members, self._callers = own, port, members, callers
        self._watchers = Callers()  # apart: closed when it says nothing, and orders must not go with it
        self._turn = 0
        self._hangs = False  # the own store takes calls and says nothing: its disk hangs, or it is frozen

    def submit(self, kind: str, if_match: str | None, body: Any, size: int = 0) -> Any:
        """`{status, reason?, index?}` or a Fault: no clear answer. `size`: bytes of the body as it came."""
        call = {"kind": kind, "if_match": if_match, "body": body}
        return self._call("submit", call, ANSWER_S + size * BYTE_S)

    def read(self) -> Any:
        """The operator's word as committed, or a Fault."""
        return self._call("read", {}, ANSWER_S)

    def watch(self, have: int, wait: float, own: bool) -> Any:
        """News of the operator's word from the own store, or from the next of the others."""
        address = self._own, self._port
        if not own:
            others = [ip for ip in self._members() if ip != self._own]
            if not others:
                return Fault(UNREACHED, "there is no other store")
            self._turn += 1
            address = others[self._turn % len(others)], self._port
        caller = self._watchers.to(address)
        answer = caller.call("watch", {"have": have, "wait": wait}, wait + LATE_S)
        silent = isinstance(answer, Fault) and answer.reason == UNANSWERED
        if silent:
            caller.close()
        if own:
            self._hangs = silent
        return answer

    def drafts(self, add: list[dict[str, Any]]) -> dict[str, Any]:
        """By IP, what every store answers to `drafts`, or its Fault."""
        ips = dict.fromkeys([self._own, *self._members()])
        asked = {
            ip: gevent.spawn(self._callers.to((ip, self._port)).call, "drafts", {"add": add}, DRAFTS_S)
            for ip in ips
        }
        return {ip: one.get() for ip, one in asked.items()}

    def _call(self, method: str, body: Any, within: float) -> Any:
        until = time.monotonic() + within
        others = [ip for ip in self._members() if ip != self._own]
        answer: Any = Fault(UNREACHED, "there is no store")
        for ip in [*others, self._own] if self._hangs else [self._own, *others]:
            left = until - time.monotonic()
            if left < HOP_S:
                break
            answer = self._callers.to((ip, self._port)).call(method, body, left)
            if not isinstance(answer, Fault) or answer.reason not in ELSEWHERE:
                break
        return answer
