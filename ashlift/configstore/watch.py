"""Responses to watchers of the committed map. Waiting for changes is left to the server and the simulator."""

from typing import Any, Final

from ashlift.configstore.replica import Replica
from ashlift.configstore.requests import WatchRequest, WatchStatus, encode_watch
from ashlift.rpc.fragmentation import Fragmenter

FRAGMENT_BYTES: Final = 256 << 10  # larger responses are packed and sent in fragments


def new_fragmenter(replica: Replica) -> Fragmenter:
    """A splitter of large responses into fragments, whose ids are unique to this incarnation."""
    return Fragmenter(str(replica.incarnation), FRAGMENT_BYTES, FRAGMENT_BYTES)


def respond(fragmenter: Fragmenter, replica: Replica, request: WatchRequest, now: float) -> dict[str, Any]:
    """The response: changes since the watcher's index, and the status of leader and heartbeats."""
    committed = replica.committed_state
    age = now - committed.freshness_confirmed_at
    status = WatchStatus(
        age_seconds=age if age != float("inf") else None,
        term=replica.vote.term,
        leader=replica.leader_ip,
        heartbeat_round=replica.newest_heartbeat_round(),
    )
    changes = fragment_changes(fragmenter, committed.changes_since(request.known_index), request, now)
    return encode_watch(changes, status)


def fragment_changes(
    fragmenter: Fragmenter, changes: dict[str, Any], request: WatchRequest, now: float
) -> dict[str, Any]:
    """The changes `{index, set, gone, full}`, or the next fragment of them if they are large.

    In a fragment, `late` says whether more fragments follow before the watcher is at `index`.
    """
    if not request.accepts_fragments or not changes["set"]:
        return changes
    index = changes["index"]
    difference = {"version": index, **changes}
    del difference["index"]
    fragment = fragmenter.next_message(request.known_index, difference, request.fragment, now)
    is_late = fragment["version"] < index or "part" in fragment
    return {**fragment, "index": index, "late": is_late}
