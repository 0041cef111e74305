"""HTTP/1.1 as clients, workers and the operator speak it, and the clock of a run.

`Clock` stands in for the simulator's `EventLoop` and `Calls` for its `SimulatedNetwork`: the same tasks
(heartbeats, look-ups, operators' calls) run on them, but time passes by itself and each call is an exchange
on a real socket.
"""

import json
import random
import time
import traceback
from collections.abc import Callable
from typing import Any

import gevent
from gevent import socket

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.replies import Reply, SpoiltAnswerError
from ashlift.lab.system.places import CONTROL, DIRECTORY, Place
from ashlift.simulation.event_loop import Future
from ashlift.simulation.history import HOST
from ashlift.simulation.process import Machine, Process, RpcCall

Address = tuple[str, int]
TARGETS = {"put": "PUT", "patch": "PATCH", "evacuate": "POST", "restore": "DELETE"}


class Clock:
    """Seconds since `begin`. `broken`: what went wrong in an action, told at the end of the run."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.broken: list[str] = []
        self.stopped = False
        self.lag = 0.0  # s, the most that this process was late to do anything
        self._began = time.monotonic()

    def begin(self) -> None:
        self._began = time.monotonic()
        gevent.spawn(self._look)

    def _look(self) -> None:
        while not self.stopped:
            due = time.monotonic() + 0.05
            gevent.sleep(0.05)
            self.lag = max(self.lag, time.monotonic() - due)

    @property
    def now(self) -> float:
        return time.monotonic() - self._began

    @property
    def began(self) -> float:
        return self._began

    def call_later(self, delay: float, action: Callable[..., None], *args: Any) -> None:
        gevent.spawn_later(max(0.0, delay), self._do, action, args)

    def call_process_later(
        self, process: Process, delay: float, action: Callable[..., None], *args: Any
    ) -> None:
        """As `call_later`, in the process: not after its end."""
        incarnation = process.incarnation

        def do() -> None:
            if process.incarnation == incarnation:
                action(*args)

        self.call_later(delay, do)

    def _do(self, action: Callable[..., None], args: tuple[Any, ...]) -> None:
        if self.stopped:
            return
        try:
            action(*args)
        except Exception:
            self.broken.append(traceback.format_exc())


def exchange(
    address: Address,
    head: bytes,
    body: bytes,
    timeout: float,
    sent: Callable[[], None] | None = None,
    dial: float | None = None,
) -> Reply | Failure:
    """One call on a connection of its own; `sent` is called once all is written; `dial`: s to connect.

    UNREACHABLE: there was no connection; OUTCOME_UNKNOWN with detail `late`: time is over; else closed.
    """
    until = time.monotonic() + timeout
    try:
        sock = socket.create_connection(address, timeout=min(timeout, dial or timeout))
    except OSError as error:
        return Failure(FailureReason.UNREACHABLE, str(error))
    reply = Reply()
    try:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(max(0.001, until - time.monotonic()))
        sock.sendall(head + body)
        if sent is not None:
            sent()
        while not reply.done:
            sock.settimeout(max(0.001, until - time.monotonic()))
            data = sock.recv(65536)
            if not data:
                return reply if reply.ended() else Failure(FailureReason.OUTCOME_UNKNOWN, "closed")
            reply.feed(data)
        return reply
    except TimeoutError:
        return Failure(FailureReason.OUTCOME_UNKNOWN, "late")
    except (OSError, SpoiltAnswerError) as error:
        return Failure(FailureReason.OUTCOME_UNKNOWN, str(error))
    finally:
        sock.close()


def request_head(method: str, target: str, host: str, body: bytes, **headers: str) -> bytes:
    """Names of headers have `_` for `-`."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body or method in ("PUT", "PATCH", "POST"):
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Calls:
    """The `Network` of workers, clients and the operator: their calls go to core machines over HTTP."""

    def __init__(self, machines: list[Place]) -> None:
        self.at = {one.name: one.ip for one in machines}
        self.names = {one.ip: one.name for one in machines}
        self.machines: dict[str, Machine] = {}

    def call(self, call: RpcCall) -> Future:
        """One exchange on a connection of its own, for the methods that callers from outside may call."""
        future = Future()
        gevent.spawn(lambda: future.set(self._call(call)))
        return future

    def reset_connections(self, process: Process) -> None:
        """The kernel tells whoever was connected."""

    def _call(self, call: RpcCall) -> Any:
        verb, target, value, headers = spoken(call.method, call.body)
        data = b"" if value is None else json.dumps(value).encode()
        port = DIRECTORY if call.method == "lookup" else CONTROL
        head = request_head(verb, target, self.at[call.machine], data, **headers)
        answer = exchange((self.at[call.machine], port), head, data, call.timeout, dial=call.connect_timeout)
        if isinstance(answer, Failure):
            return answer
        return self._understood(call.method, answer)

    def _understood(self, method: str, answer: Reply) -> Any:
        """As the roles of `dovetail` expect it: (status, value)."""
        try:
            value = json.loads(b"".join(answer.parts) or b"null")
        except ValueError:
            return Failure(FailureReason.OUTCOME_UNKNOWN, "no JSON")
        if method == "config":  # evacuations are not told there
            return answer.status, (value if answer.status == 200 else {}, None)
        if answer.status != 200:
            return answer.status, value
        if method == "lookup":
            return 200, [f"{self.names[front.partition(':')[0]]}:" for front in value["Addresses"]]
        if method == "beat":
            ip = (value or {}).get("HeartbeatTarget", "").partition(":")[0]
            return 200, f"{self.names[ip]}:" if ip in self.names else ""
        return 200, value


def spoken(method: str, body: Any) -> tuple[str, str, Any, dict[str, str]]:
    """A call as PROTOCOL.md has it: verb, target, JSON value (None: no body), headers."""
    match method:
        case "lookup":
            zone, region = body
            return "GET", f"/lookup?Name={HOST}&Region={region}&Zone={zone}", None, {}
        case "beat":
            name, told = body
            node = {
                "Service": told["service"],
                "ConfigVersion": told["version"],
                "Zone": told["zone"],
                "Capacity": told["capacity"],
            }
            status = {
                "State": told["state"],
                "CallSeq": told["seq"],
                "WarmupLeft": f"{round(told['warm'] * 1000)}ms",
            }
            return (
                "PUT",
                f"/instances/{name}",
                {"Address": told["address"], "NodeInfo": node, "Status": status},
                {},
            )
        case "delete":
            return "DELETE", f"/instances/{body}", None, {}
        case "config":
            return "GET", "/config", None, {}
        case "order" if body["kind"] in ("put", "patch"):
            return TARGETS[body["kind"]], "/config", body["body"], {"If_Match": body["if_match"]}
        case "order":
            return TARGETS[body["kind"]], f"/evacuation/{body['body']}", None, {}
    raise ValueError(method)
