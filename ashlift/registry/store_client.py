"""The way to the store: the own machine's, or another member's where that one is not there."""

import time
from collections.abc import Callable
from typing import Any

import gevent
from gevent.queue import Empty, Queue

from ashlift.errors import Failure, FailureReason
from ashlift.registry.operator_request import OperatorRequest
from ashlift.rpc.client import ClientPool

COMMAND_TIMEOUT_SECONDS = 0.9  # callers move on after a second
EXTRA_TIMEOUT_SECONDS_PER_BYTE = 1e-5  # s more for each byte of a body: callers wait longer for large ones
WATCH_GRACE_SECONDS = 0.6  # s for a watch's answer beyond its wait
IMMEDIATE_WATCH = {
    "have": 1 << 62,
    "wait": 0.0,
}  # a watch that is answered at once, with nothing but the round
PENDING_EDITS_TIMEOUT_SECONDS = 0.6  # s for all stores' answers about edits of routes


class StoreClient:
    def __init__(self, own: str, port: int, members: Callable[[], list[str]], callers: ClientPool) -> None:
        """`own`: IP; `members`: IPs of all stores, near ones first."""
        self._own, self._port, self._members, self._callers = own, port, members, callers
        self._watchers = ClientPool()  # apart: closed when it says nothing, and orders must not go with it
        self._turn = 0
        self._hangs = False  # the own store takes calls and says nothing: its disk hangs, or it is frozen
        self._round, self._index = [0, 0], 0  # the newest known, for the fence of orders

    def submit(
        self, kind: str, if_match: str | None, body: Any, size: int = 0, since: float | None = None
    ) -> Any:
        """`{status, reason?, index?}` or a Failure: no clear answer. `size`: bytes of the body as it came;
        `since`: steady time before which the call was not written, None: now."""
        now, index = time.monotonic(), self._index
        until = (
            (now if since is None else since)
            + COMMAND_TIMEOUT_SECONDS
            + size * EXTRA_TIMEOUT_SECONDS_PER_BYTE
        )

        def call() -> dict[str, Any]:
            """With a fence of this moment, so many s before the caller gives up."""
            fence = [*self._round, index, until - time.monotonic()]
            return {"kind": kind, "if_match": if_match, "body": body, "fence": fence}

        return self._call("submit", call, until)

    def read(self) -> Any:
        """The operator's word as committed, or a Failure."""
        return self._call("read", dict, time.monotonic() + COMMAND_TIMEOUT_SECONDS)

    def members(self, do: str, ip: str) -> Any:
        """Who votes and learns (`show`), or a change of that: `{status, reason?, members?}`, or a Failure."""
        return self._call("members", lambda: {"do": do, "ip": ip}, time.monotonic() + COMMAND_TIMEOUT_SECONDS)

    def watch(self, have: int, wait: float, own: bool, part: list[Any] | None = None) -> Any:
        """News of the operator's word from the own store, or from the next of the others.

        `part`: the piece that is wanted of a large one."""
        address = self._own, self._port
        if not own:
            others = [ip for ip in self._members() if ip != self._own]
            if not others:
                return Failure(FailureReason.UNREACHABLE, "there is no other store")
            self._turn += 1
            address = others[self._turn % len(others)], self._port
        caller = self._watchers.client(address)
        answer = caller.call("watch", {"have": have, "wait": wait, "part": part}, wait + WATCH_GRACE_SECONDS)
        silent = isinstance(answer, Failure) and answer.reason == FailureReason.OUTCOME_UNKNOWN
        if silent:
            caller.close()
        if own:
            self._hangs = silent
        self._note(answer)
        return answer

    def _note(self, news: Any) -> None:
        if not isinstance(news, Failure):
            self._round = max(self._round, news.get("round", [0, 0]))
            self._index = max(self._index, news.get("index", 0))

    def exchange_pending_edits(self, add: list[dict[str, Any]]) -> dict[str, Any]:
        """By IP, what every store answers to `drafts`, or its Failure."""
        ips = dict.fromkeys([self._own, *self._members()])
        asked = {
            ip: gevent.spawn(
                self._callers.client((ip, self._port)).call,
                "drafts",
                {"add": add},
                PENDING_EDITS_TIMEOUT_SECONDS,
            )
            for ip in ips
        }
        return {ip: one.get() for ip, one in asked.items()}

    def _call(self, method: str, body: Callable[[], dict[str, Any]], until: float) -> Any:
        """The first clear answer of a store; else the least clear Failure."""
        others = [ip for ip in self._members() if ip != self._own]
        stores = [*others, self._own] if self._hangs else [self._own, *others]
        asking, answers = OperatorRequest(stores, time.monotonic(), until), Queue[tuple[str, Any]]()

        def ask(ip: str) -> None:
            caller = self._callers.client((ip, self._port))
            answer = caller.call(method, body(), until - time.monotonic())
            if (
                isinstance(answer, Failure) and answer.reason == FailureReason.EXPIRED
            ):  # what is known of rounds here may be old
                self._note(caller.call("watch", IMMEDIATE_WATCH, until - time.monotonic()))
                answer = caller.call(method, body(), until - time.monotonic())
            answers.put((ip, answer))

        asked = []
        while wait := asking.wait_seconds(time.monotonic()):
            ip = asking.next_store(time.monotonic())
            if ip is not None:
                asked.append(gevent.spawn(ask, ip))
                continue
            try:
                heard, answer = answers.get(timeout=wait)
            except Empty:
                continue
            asking.record_response(heard, answer, time.monotonic())
        gevent.killall(asked, block=False)
        return asking.outcome
