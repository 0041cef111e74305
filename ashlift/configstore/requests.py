"""Requests of registries to the store, and its responses: this module alone knows their keys on the wire.

A registry asks any replica. One that does not lead forwards `submit`, `read` and `members` to the leader,
marked so that they are forwarded once at most.
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
    """A command. `fencing_token` None: one that may be begun whenever it arrives."""

    command: OperatorCommand
    fencing_token: FencingToken | None


class WatchRequest(NamedTuple):
    """A wait of `wait_seconds` at most for an index above `known_index`.

    `fragment`: the wanted one, as `ashlift.rpc.fragmentation` has it, of a caller that can reassemble them.
    """

    known_index: int
    wait_seconds: float
    accepts_fragments: bool
    fragment: list[Any] | None


class WatchStatus(NamedTuple):
    """What every response to `watch` says besides the changes.

    `age_seconds`: since the committed map was last known to be the newest; None: never. `heartbeat_round`:
    the newest one known, `(term, round)`.
    """

    age_seconds: float | None
    term: int
    leader: str | None
    heartbeat_round: tuple[int, int]


def decode_submit(body: Any) -> SubmitRequest | Failure:
    """`{kind, if_match, body, fence}`.

    A `merge` has no fence: stores send it by themselves, again and again, and its edits are resolved once by
    their ids.
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
    """The `submit` by which a store has its pending edits merged."""
    return {"kind": CommandKind.MERGE.value, "if_match": None, "body": {"edits": edits}}


def decode_membership(body: Any) -> MembershipCommand | Failure:
    """`{do, ip}`; do: `show`, or a change of `configstore.membership`."""
    if not isinstance(body, dict) or not isinstance(body.get("do"), str):
        return Failure(FailureReason.INVALID, MEMBERS)
    return MembershipCommand(body["do"], str(body.get("ip", "")))


def encode_members(members: Any) -> dict[str, Any]:
    """The response to `members` that shows them."""
    return {"status": OK, "members": members}


def decode_watch(body: Any) -> WatchRequest | Failure:
    """`{have, wait, part}`; a caller that says `part`, though null, can reassemble fragments."""
    try:
        known_index = int(body["have"])
        wait_seconds = min(float(body["wait"]), MAX_WATCH_SECONDS)
    except (LookupError, TypeError, ValueError):
        return Failure(FailureReason.INVALID, WATCH)
    return WatchRequest(known_index, wait_seconds, "part" in body, body.get("part"))


def encode_watch(changes: Mapping[str, Any], status: WatchStatus) -> dict[str, Any]:
    """The response to `watch`: `{index, set, gone, full, ...}` or a fragment of that, and the status."""
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
    """The request as a replica sends it on to the leader."""
    return {**body, _FORWARDED: True}


def is_forwarded(body: Mapping[str, Any]) -> bool:
    """Whether another replica has forwarded this request already."""
    return bool(body.get(_FORWARDED))
