"""Operators' commands: which stores are called, and the response to the operator."""

import json
from typing import Any

from ward import each, test

from ashlift.config.settings import Settings
from ashlift.errors import Failure, FailureReason
from ashlift.registry.api.config import ConfigResource
from ashlift.registry.api.evacuation import EvacuationResource
from ashlift.registry.api.messages import HttpRequest
from ashlift.registry.store_client import StoreClient
from ashlift.rpc.client import ClientPool
from tests.support.http_requests import http_request

SETTINGS = Settings(node_name="n", ip="own", internal_ports=(1, 2), seeds=(), zones={"za": "ra"})
ACCEPTED = {"status": 200, "index": 9}
STALE = {"status": 412, "reason": "stale"}
UNREACHABLE = Failure(FailureReason.UNREACHABLE)
UNAVAILABLE = Failure(FailureReason.UNAVAILABLE)
UNKNOWN = Failure(FailureReason.OUTCOME_UNKNOWN)
TOO_LARGE = Failure(FailureReason.INVALID)


class FakeStores(ClientPool):
    """Stores by IP, each with one response to all calls; `calls`: the calls made."""

    def __init__(self, answers: dict[str, Any]) -> None:
        super().__init__()
        self.answers = answers
        self.calls: list[tuple[str, Any]] = []

    def client(self, address: tuple[str, int]) -> Any:
        stores = self

        class Client:
            def call(self, method: str, body: Any, timeout: float) -> Any:
                stores.calls.append((address[0], body))
                return stores.answers[address[0]]

            def close(self) -> None:
                pass

        return Client()

    def called_ips(self) -> list[str]:
        return [ip for ip, _ in self.calls]


def store_client(**answers: Any) -> tuple[StoreClient, FakeStores]:
    """A client of the local store and others, and the fake stores."""
    stores = FakeStores(answers)
    return StoreClient("own", 7600, lambda: list(answers), stores), stores


def without_fence(command: Any) -> Any:
    """The command without its fencing token, which must be there."""
    assert len(command["fence"]) == 4
    return {key: value for key, value in command.items() if key != "fence"}


@test("a command gets the first conclusive response of a store")
def _() -> None:
    for own, other, status, called in (
        (ACCEPTED, ACCEPTED, 200, ["own"]),
        (UNREACHABLE, ACCEPTED, 200, ["own", "other"]),
        (UNAVAILABLE, STALE, 412, ["own", "other"]),
        # It may have been executed; sending it again unchanged is safe.
        (UNKNOWN, ACCEPTED, 200, ["own", "other"]),
        (UNKNOWN, UNKNOWN, 503, ["own", "other"]),
        (UNKNOWN, STALE, 412, ["own", "other"]),
        (TOO_LARGE, ACCEPTED, 413, ["own"]),
        (UNREACHABLE, UNREACHABLE, 503, ["own", "other"]),
    ):
        client, stores = store_client(own=own, other=other)
        request = http_request("PUT", "/config", b'{"ConfigVersion":"00000001"}', **{"if-match": ' "5" '})
        response = ConfigResource(client).handle(request)
        assert (response.status, stores.called_ips()[: len(called)]) == (status, called)
        all_unreachable = own is other is UNREACHABLE
        assert len(stores.calls) == len(called) or all_unreachable, "called again after a conclusive response"
        expected = {"kind": "put", "if_match": "5", "body": {"ConfigVersion": "00000001"}}
        assert all(without_fence(command) == expected for _, command in stores.calls)
        assert (response.retry_after_seconds is not None) == (status == 503)
        json.loads(response.encode(close=False).partition(b"\r\n\r\n")[2])


@test("commands go to remote stores first while the local store is unresponsive")
def _() -> None:
    client, stores = store_client(own=UNKNOWN, other=ACCEPTED)
    client._watch_clients = stores
    for own_answer, called in ((UNKNOWN, ["other"]), (UNREACHABLE, ["own"]), ({}, ["own"])):
        stores.answers["own"] = own_answer
        client.watch(0, 0.1, True)
        client.watch(0, 0.1, False)
        stores.calls.clear()
        stores.answers["own"] = ACCEPTED
        client.submit("put", None, {})
        assert stores.called_ips() == called


INVALID_REQUESTS = [
    (http_request("PUT", "/config", b'{"ConfigVersion":'), 400),
    (http_request("PATCH", "/config", b"[]"), 400),
    (http_request("PUT", "/config", b"[" * 100000), 400),
    (http_request("POST", "/evacuation/nowhere"), 404),
    (http_request("PUT", "/evacuation/za"), 405),
]


@test("invalid requests are not forwarded to a store: {request.method} {request.path}")
def _(
    request: HttpRequest = each(*(request for request, _ in INVALID_REQUESTS)),  # noqa: B008
    status: int = each(*(status for _, status in INVALID_REQUESTS)),
) -> None:
    client, stores = store_client(own=UNREACHABLE)
    evacuation = EvacuationResource(client, lambda: SETTINGS)
    resource = ConfigResource(client) if request.path == "/config" else evacuation
    assert resource.handle(request).status == status
    assert not stores.calls
    evacuation.handle(http_request("DELETE", "/evacuation/za"))
    commands = {(ip, *without_fence(command).values()) for ip, command in stores.calls}
    assert commands == {("own", "restore", None, "za")}
