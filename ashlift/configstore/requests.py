"""Requests of registries to the store and the responses, with their encoding on the wire.

A registry may ask any replica. A replica that does not lead forwards `submit`, `read` and `members` to the
leader, marked so that they are forwarded at most once.
"""

from collections.abc import Mapping
from typing import Any, Final, NamedTuple

from ashlift.config.versions import VERSION_KEY
from ashlift.configstore.commands import CommandKind, OperatorCommand
from ashlift.configstore.membership_rules import MembershipCommand
from ashlift.configstore.persistent_state import Snapshot
from ashlift.configstore.proposals import FencingToken
from ashlift.errors import Failure, FailureReason
from ashlift.response_status import OK

SUBMIT: Final = "submit"
READ: Final = "read"
MEMBERS: Final = "members"
WATCH: Final = "watch"
PENDING_EDITS: Final = "drafts"

MAX_WATCH_SECONDS: Final = 30.0
SHOW_MEMBERS: Final = "show"

_FORWARDED: Final = "passed"


class SubmitRequest(NamedTuple):
    """A command to execute. Without a `fencing_token` it never expires."""

    command: OperatorCommand
    fencing_token: FencingToken | None


class WatchRequest(NamedTuple):
    """Waits up to `wait_seconds` for an index above `known_index`.

    `fragment`: the requested fragment of a large response, see `ashlift.rpc.fragmentation`.
    """

    known_index: int
    wait_seconds: float
    accepts_fragments: bool
    fragment: list[Any] | None


class WatchStatus(NamedTuple):
    """The status part of every response to `watch`.

    `age_seconds`: time since the committed map was last confirmed as the newest; None: never confirmed.
    `heartbeat_round`: the newest known one, as `(term, round)`.
    """

    age_seconds: float | None
    term: int
    leader: str | None
    heartbeat_round: tuple[int, int]


def decode_submit(body: Any) -> SubmitRequest | Failure:
    """Decode `{kind, if_match, body, fence}`.

    A `merge` has no fence: stores send it periodically on their own, and its edits are deduplicated by id.
    """
    if isinstance(body, dict) and body.get("kind") == CommandKind.MERGE:
        return SubmitRequest(_decode_command(body), None)
    try:
        term, heartbeat_round, index, seconds_left = body["fence"]
        token = FencingToken(int(term), int(heartbeat_round), int(index), float(seconds_left))
    except (LookupError, TypeError, ValueError):
        return Failure(FailureReason.INVALID, SUBMIT)
    return SubmitRequest(_decode_command(body), token)


def _decode_command(body: Mapping[str, Any]) -> OperatorCommand:
    return OperatorCommand(body.get("kind"), body.get("if_match"), body.get("body"))


def encode_merge(edits: list[dict[str, Any]]) -> dict[str, Any]:
    """The `submit` request with which a store merges its pending edits."""
    return {"kind": CommandKind.MERGE.value, "if_match": None, "body": {"edits": edits}}


def decode_membership(body: Any) -> MembershipCommand | Failure:
    """Decode `{do, ip}`, where `do` is `show` or an action of `membership_rules`."""
    if not isinstance(body, dict) or not isinstance(body.get("do"), str):
        return Failure(FailureReason.INVALID, MEMBERS)
    return MembershipCommand(body["do"], str(body.get("ip", "")))


def encode_members(members: Any) -> dict[str, Any]:
    """The response to `members` that shows the membership."""
    return {"status": OK, "members": members}


def decode_watch(body: Any) -> WatchRequest | Failure:
    """Decode `{have, wait, part}`. A caller that sends `part`, even as null, accepts fragments."""
    try:
        known_index = int(body["have"])
        wait_seconds = min(float(body["wait"]), MAX_WATCH_SECONDS)
    except (LookupError, TypeError, ValueError):
        return Failure(FailureReason.INVALID, WATCH)
    return WatchRequest(known_index, wait_seconds, "part" in body, body.get("part"))


def encode_watch(changes: Mapping[str, Any], status: WatchStatus) -> dict[str, Any]:
    """The response to `watch`: `{index, set, gone, full}` or a fragment of that, and the status."""
    return {
        **changes,
        "age": status.age_seconds,
        "term": status.term,
        "leader": status.leader,
        "round": [*status.heartbeat_round],
    }


def encode_snapshot(snapshot: Snapshot) -> dict[str, Any]:
    """The response to `read`: `{version, objects}`."""
    entries = dict(snapshot.entries.map)
    return {"version": entries.get(VERSION_KEY), "objects": entries}


def forwarded(body: Mapping[str, Any]) -> dict[str, Any]:
    """The request, marked as forwarded to the leader."""
    return {**body, _FORWARDED: True}


def is_forwarded(body: Mapping[str, Any]) -> bool:
    """Whether another replica forwarded this request."""
    return bool(body.get(_FORWARDED))
