"""Encoding of calls to core machines as HTTP requests. Starts no processes."""

import json

from ward import test

from ashlift.errors import Failure
from ashlift.lab.system.control_calls import HttpCall, encode_call
from ashlift.lab.system.http_exchange import request_head
from ashlift.registry.api.heartbeat_body import parse_heartbeat
from ashlift.simulation.registry_methods import RegistryMethod


@test("calls of workers and operators are encoded as HTTP requests")
def _() -> None:
    fields = {
        "service": "fleet",
        "address": "127.9.9.9:8080",
        "zone": "z1",
        "capacity": 4,
        "state": "ready",
        "seq": 3,
        "warm": 1.25,
        "version": "v1",
    }
    call = encode_call(RegistryMethod.HEARTBEAT, ("fleet-1", fields))
    heartbeat = parse_heartbeat(json.dumps(call.value).encode(), 10.0)
    assert (call.method, call.target) == ("PUT", "/instances/fleet-1")
    assert not isinstance(heartbeat, Failure)
    assert heartbeat.warm_at == 11.25
    assert heartbeat.call_seq == 3
    assert heartbeat.capacity == 4
    command = {"kind": "put", "if_match": "00000001", "body": {"ConfigVersion": "00000002"}}
    assert encode_call(RegistryMethod.OPERATOR_COMMAND, command) == HttpCall(
        "PUT", "/config", command["body"], {"If_Match": "00000001"}
    )
    restore = encode_call(
        RegistryMethod.OPERATOR_COMMAND, {"kind": "restore", "if_match": None, "body": "z1"}
    )
    assert (restore.method, restore.target, restore.value) == ("DELETE", "/evacuation/z1", None)
    head = request_head("PUT", "/config", "h", b"12", If_Match="00000001")
    assert head == b"PUT /config HTTP/1.1\r\nHost: h\r\nIf-Match: 00000001\r\nContent-Length: 2\r\n\r\n"
