"""Carries the calls of workers, clients and operators to core machines over HTTP/1.1.

`encode_call` and `decode_answer` translate between the calls of the simulator's roles (method and body) and
the HTTP protocol. `HttpNetwork` sends the calls.
"""

import json
from typing import Any, Final

import attrs
import gevent

from ashlift.errors import Failure, FailureReason
from ashlift.gatekeeper.net.http_response import HttpResponse
from ashlift.lab.system.http_exchange import exchange, request_head
from ashlift.lab.system.machine_layout import CONTROL_PORT, DIRECTORY_PORT, LabMachine
from ashlift.simulation.event_loop import Future
from ashlift.simulation.history import HOST
from ashlift.simulation.process import Machine, Process, RpcCall
from ashlift.simulation.registry_methods import RegistryMethod

COMMAND_HTTP_METHODS: Final = {  # by the kind of an operator command
    "put": "PUT",
    "patch": "PATCH",
    "evacuate": "POST",
    "restore": "DELETE",
}
OK_STATUS: Final = 200


@attrs.frozen
class HttpCall:
    """A request to a core machine; `value`: the JSON body or None; names of `headers` have `_` for `-`."""

    method: str
    target: str
    value: Any = None
    headers: dict[str, str] = attrs.Factory(dict)
    port: int = CONTROL_PORT

    @property
    def body(self) -> bytes:
        """The encoded body."""
        return b"" if self.value is None else json.dumps(self.value).encode()


def encode_call(method: str, body: Any) -> HttpCall:
    """Return the request for a call of a simulated role. Raises ValueError for an unknown method."""
    match method:
        case RegistryMethod.LOOKUP:
            zone, region = body
            return HttpCall("GET", f"/lookup?Name={HOST}&Region={region}&Zone={zone}", port=DIRECTORY_PORT)
        case RegistryMethod.HEARTBEAT:
            worker_id, heartbeat = body
            return HttpCall("PUT", f"/instances/{worker_id}", _heartbeat_value(heartbeat))
        case RegistryMethod.DEREGISTER:
            return HttpCall("DELETE", f"/instances/{body}")
        case RegistryMethod.READ_CONFIG:
            return HttpCall("GET", "/config")
        case RegistryMethod.OPERATOR_COMMAND:
            return _encode_command(body)
    raise ValueError(method)


def _heartbeat_value(heartbeat: dict[str, Any]) -> dict[str, Any]:
    return {
        "Address": heartbeat["address"],
        "NodeInfo": {
            "Service": heartbeat["service"],
            "ConfigVersion": heartbeat["version"],
            "Zone": heartbeat["zone"],
            "Capacity": heartbeat["capacity"],
        },
        "Status": {
            "State": heartbeat["state"],
            "CallSeq": heartbeat["seq"],
            "WarmupLeft": f"{round(heartbeat['warm'] * 1000)}ms",
        },
    }


def _encode_command(command: dict[str, Any]) -> HttpCall:
    method = COMMAND_HTTP_METHODS[command["kind"]]
    if command["kind"] in ("put", "patch"):
        return HttpCall(method, "/config", command["body"], {"If_Match": command["if_match"]})
    return HttpCall(method, f"/evacuation/{command['body']}")


def decode_answer(method: str, answer: HttpResponse, names: dict[str, str]) -> Any:
    """Return (status, value) as the simulated roles expect it; `names`: machine names by IP."""
    try:
        value = json.loads(b"".join(answer.parts) or b"null")
    except ValueError:
        return Failure(FailureReason.OUTCOME_UNKNOWN, "no JSON")
    if method == RegistryMethod.READ_CONFIG:
        # The answer does not include evacuations.
        return answer.status, (value if answer.status == OK_STATUS else {}, None)
    if answer.status != OK_STATUS:
        return answer.status, value
    if method == RegistryMethod.LOOKUP:
        return OK_STATUS, [f"{names[address.partition(':')[0]]}:" for address in value["Addresses"]]
    if method == RegistryMethod.HEARTBEAT:
        ip = (value or {}).get("HeartbeatTarget", "").partition(":")[0]
        return OK_STATUS, f"{names[ip]}:" if ip in names else ""
    return OK_STATUS, value


class HttpNetwork:
    """The `Network` of workers, clients and operators, which sends their calls over HTTP."""

    def __init__(self, machines: list[LabMachine]) -> None:
        self.machines: dict[str, Machine] = {}
        self.names = {machine.ip: machine.name for machine in machines}
        self._ips = {machine.name: machine.ip for machine in machines}

    def call(self, call: RpcCall) -> Future:
        """Start an exchange on a new connection; the future resolves to the answer or a Failure."""
        future = Future()
        gevent.spawn(lambda: future.set(self._exchange(call)))
        return future

    def reset_connections(self, process: Process) -> None:
        """Do nothing: the kernel resets the connections of a process that exits."""

    def _exchange(self, call: RpcCall) -> Any:
        http_call = encode_call(call.method, call.body)
        body = http_call.body
        ip = self._ips[call.machine]
        head = request_head(http_call.method, http_call.target, ip, body, **http_call.headers)
        answer = exchange(
            (ip, http_call.port),
            head,
            body,
            call.timeout,
            connect_timeout=call.connect_timeout,
            held_seconds=call.held_seconds,
        )
        if isinstance(answer, Failure):
            return answer
        return decode_answer(call.method, answer, self.names)
