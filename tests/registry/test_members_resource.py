"""The `/members` resource: calls of the store, and responses."""

from typing import Any

from ward import test

from ashlift.errors import Failure
from ashlift.registry.api.members import MembersResource
from ashlift.registry.api.messages import HttpRequest
from ashlift.registry.messages import CommandResult
from ashlift.registry.store_client import StoreClient


class RecordingStore(StoreClient):
    """A store that records its calls."""

    def __init__(self, answer: Any) -> None:
        self.answer = answer
        self.calls: list[tuple[str, str]] = []

    def members(self, do: str, ip: str) -> Any:
        self.calls.append((do, ip))
        return self.answer


@test("/members: valid requests are forwarded, and each result of the store becomes a response")
def _() -> None:
    for body, status in (
        (b'{"Do": "remove", "Ip": "10.0.0.4"}', 200),
        (b'{"Do": "show", "Ip": "10.0.0.4"}', 400),
        (b"[]", 400),
        (b'{"Do": "add"}', 400),
        (b"{", 400),
    ):
        store = RecordingStore(CommandResult(200, {}))
        assert MembersResource(store).post(HttpRequest("POST", "/members", {}, {}, body)).status == status, (
            body
        )
        assert store.calls == ([("remove", "10.0.0.4")] if status == 200 else [])
    get = HttpRequest("GET", "/members", {}, {}, b"")
    response = MembersResource(RecordingStore(CommandResult(200, {"members": [{"ip": "1"}]}))).get(get)
    assert response.status == 200
    assert response.body == {"members": [{"ip": "1"}]}
    refused = RecordingStore(CommandResult(409, {"reason": "no"}))
    add = HttpRequest("POST", "/members", {}, {}, b'{"Do": "add", "Ip": "1"}')
    assert MembersResource(refused).post(add).status == 409
    assert MembersResource(RecordingStore(Failure("unanswered"))).get(get).status == 503
