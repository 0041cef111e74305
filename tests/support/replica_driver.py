"""Drives a single replica: feeds events at chosen times, returns effects, completes writes at once."""

import random
from typing import Any

from ashlift.configstore.codec import METHOD_APPEND, METHOD_VOTE
from ashlift.configstore.persistent_state import PersistentVote, Snapshot
from ashlift.configstore.ranged_map import RangedMap
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    RequestReceived,
    ResponseReceived,
    SendReply,
    SendRequest,
    StatePersisted,
)
from ashlift.configstore.replication import AppendContext
from ashlift.simulation.invariant_checker import decide_history_command

ELECTED_AT = 2.0


def make_replica(
    vote: PersistentVote | None, snapshot: Snapshot | None, ip: str = "1", members: str = "123"
) -> Replica:
    """A replica started at time 0 with this persisted state."""
    replica = Replica(ip, list(members), False, vote, snapshot, decide_history_command, random.Random(4))
    for effect in replica.start(0.0):
        assert not isinstance(effect, SendRequest)
    return replica


def held_snapshot(index: int = 3, members: str = "123") -> Snapshot:
    """A snapshot of term 1 with these voters."""
    return Snapshot((1, index), RangedMap({f"Members/{ip}": {} for ip in members}))


def elected_replica(members: str = "12345") -> Replica:
    """Replica 1, elected for term 2 at ELECTED_AT, with its first heartbeat round in flight."""
    replica = make_replica(PersistentVote(1, None, True), held_snapshot(members=members), members=members)
    effects = feed(replica, ELECTED_AT, ClockTicked())
    for term in (1, 2):  # pre-votes, then votes
        requests = requests_sent(effects, METHOD_VOTE)
        effects = []
        for request in requests[: len(members) // 2]:
            vote = ResponseReceived(request.peer, METHOD_VOTE, ELECTED_AT, request.context, [term, True])
            effects += feed(replica, ELECTED_AT, vote)
    assert replica.leader_role is not None
    assert replica.vote == PersistentVote(2, "1", True)
    return replica


def feed(replica: Replica, now: float, event: Any) -> list[Any]:
    """Handle an event, complete all writes successfully, and return all effects."""
    effects: list[Any] = replica.handle(now, event)
    while replica.is_persisting:
        effects += replica.handle(now, StatePersisted(True))
    return effects


def request_received(method: str, body: Any) -> RequestReceived:
    """A request from another replica."""
    return RequestReceived("r", method, body)


def append_request(body: list[Any]) -> RequestReceived:
    """An append request from another replica."""
    return request_received(METHOD_APPEND, body)


def append_response(
    peer: str, sent_at: float, heartbeat_round: int, index: int, body: Any, *, carried_payload: bool = True
) -> ResponseReceived:
    """A response to an append request of term 2, which carried a payload or requested range digests."""
    context = AppendContext(2, heartbeat_round, index, carried_payload, not carried_payload)
    return ResponseReceived(peer, METHOD_APPEND, sent_at, context, body)


def replies(effects: list[Any]) -> list[Any]:
    """The bodies of all replies in these effects."""
    return [effect.body for effect in effects if isinstance(effect, SendReply)]


def requests_sent(effects: list[Any], method: str) -> list[SendRequest]:
    """The requests of one method in these effects."""
    return [effect for effect in effects if isinstance(effect, SendRequest) and effect.method == method]
