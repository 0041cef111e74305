"""Commands with fencing tokens: started only while their caller still waits."""

from typing import Any

from ward import each, test

from ashlift.configstore.codec import (
    CODE_ACCEPTED,
)
from ashlift.configstore.leader import Leader
from ashlift.configstore.proposals import FencingToken, Proposal, ReadOnlyResult
from ashlift.configstore.replica import Replica
from ashlift.configstore.replica_io import (
    ClockTicked,
    CommandSubmitted,
)
from ashlift.errors import FailureReason
from tests.support.replica_driver import (
    append_response,
    elected_replica,
    feed,
    replies,
)


def leader_deciding_zones() -> tuple[Replica, Leader, int]:
    """A leader with a commit in its term and `decide_zone` as its command handler; the time is 2.05 s."""
    replica = elected_replica()
    index = replica.snapshot.term_index[1]
    for peer in "23":
        feed(replica, 2.0, append_response(peer, 2.0, 1, index, [2, CODE_ACCEPTED, 5]))
    leader = replica.leader_role
    assert leader is not None
    assert leader.commit_index == index
    leader.command_handler = decide_zone
    feed(replica, 2.05, ClockTicked())
    return replica, leader, index


def decide_zone(entries: Any, command: Any) -> Proposal | ReadOnlyResult:
    """`+z` evacuates the zone z, `-z` restores it."""
    evacuates = command[0] == "+"
    key = f"Evacuations/{command[1:]}"
    if (key in entries) == evacuates:
        return ReadOnlyResult({"status": 200})
    updates = {key: True} if evacuates else {}
    return Proposal(updates, [] if evacuates else [key], {"status": 200}, (key,))


def submit(replica: Replica, now: float, command: str, token: FencingToken) -> list[Any]:
    """The replies sent immediately after the command is submitted."""
    return replies(feed(replica, now, CommandSubmitted(command, command, token)))


def accept_all(replica: Replica, leader: Leader, now: float) -> list[Any]:
    """All replies once a majority has accepted the proposal and acknowledged the newest round."""
    heartbeat_round = leader.rounds.newest
    index = leader.proposed.term_index[1]
    answers = []
    for peer in "23":
        accepted = append_response(peer, now, heartbeat_round, index, [2, CODE_ACCEPTED, 7])
        answers += replies(feed(replica, now, accepted))
    return answers


def failure_reasons(answers: list[Any]) -> list[str]:
    return [failure.reason for failure in answers]


@test("a command is started only while its caller still waits: {case}")
def _(
    case: str = each("in time", "delayed", "other term", "unknown round", "queued too long", "superseded"),
) -> None:
    replica, leader, index = leader_deciding_zones()
    known_round = leader.rounds.newest
    token = FencingToken(2, known_round, index, 0.9)
    match case:
        case "in time":
            submit(replica, 2.6, "+z", token)
            assert leader.proposals.in_flight
            assert accept_all(replica, leader, 2.61) == [{"status": 200, "index": index + 1}]
        case "delayed":
            answers = submit(replica, 2.96, "+z", token)
            assert failure_reasons(answers) == [FailureReason.EXPIRED]
            assert not leader.proposals.in_flight
        case "other term":
            answers = submit(replica, 2.06, "+z", token._replace(term=1))
            assert failure_reasons(answers) == [FailureReason.EXPIRED]
            assert not leader.proposals.in_flight
        case "unknown round":
            answers = submit(replica, 2.06, "+z", token._replace(heartbeat_round=0))
            assert failure_reasons(answers) == [FailureReason.EXPIRED]
            assert not leader.proposals.in_flight
        case "queued too long":
            submit(replica, 2.1, "+y", token)
            assert not submit(replica, 2.1, "+z", token)
            first_answer, *other_answers = accept_all(replica, leader, 3.0)
            assert first_answer["status"] == 200
            assert failure_reasons(other_answers) == [FailureReason.EXPIRED]
            assert not leader.proposals.in_flight
        case "superseded":
            for at, command in ((2.1, "+z"), (2.15, "-z")):
                newest = FencingToken(2, leader.rounds.newest, leader.commit_index, 0.9)
                submit(replica, at, command, newest)
                accept_all(replica, leader, at)
            assert leader.commit_index == index + 2
            assert "Evacuations/z" not in leader.proposed.entries.map
            answers = submit(replica, 2.2, "+z", token)
            assert failure_reasons(answers) == [FailureReason.EXPIRED], (
                "an evacuation took effect after its zone was restored"
            )
            assert not leader.proposals.in_flight
            submit(replica, 2.2, "+z", token._replace(known_index=index + 2))
            assert leader.proposals.in_flight, "a caller that knows of the restore may evacuate again"
