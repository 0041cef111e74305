"""Requests of registries: their encoding on the wire, and malformed bodies."""

from typing import Any

from ward import each, test

from ashlift.configstore import requests
from ashlift.configstore.commands import OperatorCommand
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.requests import SubmitRequest, WatchRequest, WatchStatus
from ashlift.errors import Failure, FailureReason


@test("requests: a submit has a command and a fencing token, a merge only a command")
def _() -> None:
    body = {"kind": "put", "if_match": "1", "body": {"a": 1}, "fence": [3, 7, 12, 0.5]}
    expected = SubmitRequest(OperatorCommand("put", "1", {"a": 1}), FencingToken(3, 7, 12, 0.5))
    assert requests.decode_submit(body) == expected
    assert requests.decode_submit(requests.forwarded(body)) == expected
    merge = requests.encode_merge([{"id": "e"}])
    assert merge == {"kind": "merge", "if_match": None, "body": {"edits": [{"id": "e"}]}}
    assert type(merge["kind"]) is str
    command = OperatorCommand("merge", None, {"edits": [{"id": "e"}]})
    assert requests.decode_submit(merge) == SubmitRequest(command, None)


@test("requests: a submit without a fencing token is invalid: {body}")
def _(body: Any = each(None, [], {}, {"kind": "put"}, {"kind": "put", "fence": [1, 2, 3]})) -> None:
    assert requests.decode_submit(body) == Failure(FailureReason.INVALID, "submit")


@test("requests: a watch waits for a bounded time, and may ask for fragments")
def _() -> None:
    assert requests.decode_watch({"have": 4, "wait": 0.5}) == WatchRequest(4, 0.5, False, None)
    bounded = WatchRequest(4, requests.MAX_WATCH_SECONDS, True, None)
    assert requests.decode_watch({"have": 4, "wait": 1e9, "part": None}) == bounded
    with_fragment = requests.decode_watch({"have": 4, "wait": 1, "part": ["7-1", 48]})
    assert with_fragment == WatchRequest(4, 1.0, True, ["7-1", 48])
    invalid_bodies: list[Any] = [None, [], {}, {"have": 4}, {"have": "x", "wait": 1}]
    for body in invalid_bodies:
        assert requests.decode_watch(body) == Failure(FailureReason.INVALID, "watch")


@test("requests: a membership request has an action and an address")
def _() -> None:
    assert requests.decode_membership({"do": "show"}) == MembershipCommand("show", "")
    command = MembershipCommand("remove", "10.0.0.4")
    assert requests.decode_membership({"do": "remove", "ip": "10.0.0.4"}) == command
    invalid_bodies: list[Any] = [None, {}, {"do": 3}]
    for body in invalid_bodies:
        assert requests.decode_membership(body) == Failure(FailureReason.INVALID, "members")


@test("responses: keys and their order on the wire")
def _() -> None:
    status = WatchStatus(age_seconds=0.25, term=3, leader="10.0.0.1", heartbeat_round=(3, 9))
    response = requests.encode_watch({"index": 5, "set": {}, "gone": [], "full": False}, status)
    assert list(response) == ["index", "set", "gone", "full", "age", "term", "leader", "round"]
    assert list(response.values()) == [5, {}, [], False, 0.25, 3, "10.0.0.1", [3, 9]]
    entries = {"Version": "00000002", "Limits": {}}
    snapshot = requests.encode_snapshot(Snapshot((1, 2), RangedMap(entries)))
    assert list(snapshot.items()) == [("version", "00000002"), ("objects", entries)]
    assert requests.encode_members([]) == {"status": 200, "members": []}


@test("requests: forwarding adds only the forwarded mark")
def _() -> None:
    body = {"do": "remove", "ip": "10.0.0.4"}
    assert not requests.is_forwarded(body)
    assert requests.forwarded(body) == {**body, "passed": True}
    assert requests.is_forwarded(requests.forwarded(body))
