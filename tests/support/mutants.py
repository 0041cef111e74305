"""Single lines of the store's core changed so that an invariant breaks: what the explorer must find; and of
what guards orders: what the scenes of orders must find.

`python -m tests.support.mutants MOST CELLS [NAME...]` looks for each in all cases.
"""

import inspect
import sys
import textwrap
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from ashlift.config import operator_config
from ashlift.configstore import commands
from ashlift.configstore.catch_up import CatchUp
from ashlift.configstore.election import Election
from ashlift.configstore.follower import Follower
from ashlift.configstore.freshness_lease import FreshnessLease
from ashlift.configstore.heartbeat_rounds import HeartbeatRounds
from ashlift.configstore.joining import Joining
from ashlift.configstore.peers import PeerTable
from ashlift.configstore.proposal_queue import ProposalQueue
from ashlift.configstore.replica import Replica
from ashlift.configstore.replication import Replication
from ashlift.registry.operator_request import OperatorRequest
from ashlift.simulation.explore import CASES, explore
from ashlift.simulation.registry_process import RegistryProcess

# name: where, what stands there, what stands there instead
MUTANTS: dict[str, tuple[Any, str, str, str]] = {
    "elected by one": (Election, "_count_votes", "quorum(len(attempt.voters))", "1"),
    "committed by one": (ProposalQueue, "commit_if_replicated", "quorum(len(voters))", "1"),
    "confirmed by one": (HeartbeatRounds, "confirm", "quorum(len(acknowledged))", "1"),
    "a round begun before the read": (
        HeartbeatRounds,
        "answer_after_next_round",
        "self.newest + 1",
        "self.newest",
    ),
    "read before a commit of the term": (HeartbeatRounds, "confirm", "not self.leader.commit_index or ", ""),
    "a 412 without a round": (
        ProposalQueue,
        "advance",
        "leader.rounds.answer_after_next_round(queued.reply_to, outcome.response)",
        "leader.replica.reply(queued.reply_to, {**outcome.response, 'index': leader.commit_index})",
    ),
    "an older map is voted for": (
        Election,
        "_is_current",
        "(request.last_term, request.last_index) >= self.replica.term_index",
        "True",
    ),
    "two votes in a term": (
        Election,
        "handle_vote_request",
        "replica.vote.voted_for == request.candidate",
        "True",
    ),
    "a vote said though the disk refused": (Election, "_vote", "if not succeeded:", "if False:"),
    "a yes though the disk refused": (Follower, "handle_append", "if not succeeded:", "if False:"),
    "a leader goes on though its disk refused": (
        ProposalQueue,
        "_handle_persisted",
        "if not succeeded:",
        "if False:",
    ),
    "the leader counts before it has kept": (
        PeerTable,
        "holds",
        "self.leader.replica.term_index == self.leader.proposed.term_index",
        "True",
    ),
    "a learner is counted": (PeerTable, "holds", "peer.learning is None and ", ""),
    "a learner confirms": (
        PeerTable,
        "acknowledged_round",
        "0 if peer.learning else peer.acknowledged_round",
        "peer.acknowledged_round",
    ),
    "a learner votes": (Election, "handle_vote_request", "if not replica.vote.is_voter:", "if False:"),
    "a lost disk counts": (Joining, "become_learner", "is_voter=False", "is_voter=True"),
    "promoted without a commit after": (
        Replication,
        "_restore_learner",
        "RestoringLearner(incarnation, newest + 1)",
        "RestoringLearner(incarnation, 0)",
    ),
    "promoted in any life": (
        Follower,
        "_is_promoted_by",
        "payload.incarnation == replica.incarnation and ",
        "",
    ),
    "promoted with what is not committed": (
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index",
    ),
    "promoted with what was committed before": (
        Replication,
        "_restore_learner",
        "peer.learning.promotion_index <= index <= leader.commit_index",
        "index <= leader.commit_index",
    ),
    "a later state taken for committed": (
        Follower,
        "_learn_commit",
        "replica.term_index[1] <= request.commit_index",
        "replica.term_index[1] <= request.commit_index + 1",
    ),
    "not mute": (
        Joining,
        "become_learner",
        "self.replica.now + LEARNER_QUARANTINE_SECONDS",
        "self.replica.now",
    ),
    "late votes count": (
        Election,
        "handle_vote_response",
        "now - event.sent_at >= CALL_TIMEOUT_SECONDS or now - attempt.started_at >= CALL_TIMEOUT_SECONDS",
        "False",
    ),
    "late yeses count": (
        Replication,
        "handle_response",
        "or replica.now - event.sent_at >= CALL_TIMEOUT_SECONDS",
        "",
    ),
    "an older leader is heard": (
        Follower,
        "handle_append",
        "if request.term < replica.vote.term:",
        "if False:",
    ),
    "a delta on another map": (Follower, "_apply_payload", "base != own.term_index", "False"),
    "a digest not compared": (Follower, "_apply_payload", "entries.digest() == payload.digest", "True"),
    "proven before it is confirmed": (FreshnessLease, "renew", "if is_confirmed and ", "if "),
    "proven without the commit": (
        FreshnessLease,
        "_holds_commit",
        "echo.commit_index != 0 and self.replica.committed_state.term_index >= commit",
        "True",
    ),
    "learnt by index alone": (Follower, "_learn_commit", "replica.term_index[0] == request.term and ", ""),
    "a proposal before the term's first is committed": (
        ProposalQueue,
        "advance",
        "and leader.commit_index and",
        "and",
    ),
    "in doubt told as not begun": (
        ProposalQueue,
        "fail_in_flight",
        "FailureReason.OUTCOME_UNKNOWN,",
        "FailureReason.UNAVAILABLE,",
    ),
    "a quorum of the old members": (
        ProposalQueue,
        "commit_if_replicated",
        "voters = leader.peers.voters()",
        "voters = leader.replica.voters(leader.replica.committed_state.snapshot) or leader.peers.voters()",
    ),
    "a learner that counts": (
        ProposalQueue,
        "commit_if_replicated",
        "for ip in voters)",
        "for ip in [*voters, *leader.peers.learners()])",
    ),
    "a removed one is asked": (
        Election,
        "_request_votes",
        "for ip in attempt.voters:",
        "for ip in {*attempt.voters, *replica.seeds}:",
    ),
    "whoever votes counts": (Election, "_count_votes", "attempt.votes & {*attempt.voters}", "attempt.votes"),
    "an old disk votes": (
        Election,
        "handle_vote_response",
        "attempt.voters.get(event.peer) not in (None, response.incarnation)",
        "False",
    ),
    "a removed one stands": (
        Replica,
        "can_stand_for_election",
        "incarnation_matches(entries, self.ip, self.vote.incarnation)",
        "True",
    ),
    "orders have no fence": (
        ProposalQueue,
        "advance",
        "queued.fencing_token is not None and self._is_overtaken(queued.fencing_token, outcome)",
        "False",
    ),
    "two proposals at a time": (ProposalQueue, "advance", "not self.in_flight and ", ""),
}
# These break no invariant: one that was away does not catch up (`tests/configstore/test_catch_up.py`).
LATE: dict[str, tuple[Any, str, str, str]] = {
    "promoted only with the newest": (
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index == newest == leader.commit_index",
    ),
    "taken for there because it was sent": (
        CatchUp,
        "_range_update",
        "elif sent.digest == entries.range_digest_in(range_digests, number):",
        "else:",
    ),
}
EIGHT = "eight operators on one base all the time, answers lost before and after the commit, resends anywhere"
# What guards orders against calls that come late or again, and the scene (`scenes/orders_*.txt`) that finds
# a breach of it.
GUARDS: dict[str, tuple[Any, str, str, str, str]] = {
    "an order of any age is begun": (
        ProposalQueue,
        "_is_overtaken",
        "age_seconds is None or age_seconds >= token.remaining_seconds",
        "False",
        "an evacuation that its operator has given up does not come into force 20 s later",
    ),
    "an order is begun whatever has changed since": (
        ProposalQueue,
        "_is_overtaken",
        "committed.may_have_changed_since(key, token.known_index)",
        "False",
        "taken back within the second: a call held up for half of it is void, and so are its copies at other "
        "stores",
    ),
    "a registry vouches for any call": (
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation held up between the operator and a registry",
    ),
    "a registry vouches for what came while it was frozen": (
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation in the buffers of a frozen registry, given up by its operator",
    ),
    "a silent store is waited for alone": (
        OperatorRequest,
        "next_store",
        "now + HEDGE_DELAY_SECONDS",
        "self.deadline",
        "a machine hears the leader and cannot call it: every order is passed on within a second",
    ),
    "what was taken is not known again": (
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "False",
        EIGHT,
    ),
    "a record of another order counts": (
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "True",
        EIGHT,
    ),
    "no base is compared": (operator_config, "apply_change", "base != now", "False", EIGHT),
    "a refusal is forgotten before its base comes": (
        commands,
        "_refuse_stale",
        "base < current_version",
        "True",
        "refused before its base came: the same order is refused for good, whoever sends it again",
    ),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """While it lasts, that line is changed."""
    owner, method, old, new, *_ = {**MUTANTS, **LATE, **GUARDS}[name]
    kept = getattr(owner, method)
    source = textwrap.dedent(inspect.getsource(kept))
    assert source.count(old) == 1, f"{name}: the line is not there any more"
    names: dict[str, Any] = {}
    exec(source.replace(old, new), kept.__globals__, names)
    setattr(owner, method, names[method])
    try:
        yield
    finally:
        setattr(owner, method, kept)


def main(most: int, cells: int, names: list[str]) -> None:
    """Tell of each which case finds it."""
    for name in names or MUTANTS:
        told = "not found"
        with mutated(name):
            for case, rules in CASES.items():
                report = explore(rules, min(most, rules.most) if rules.free else most, cells)
                if report.wrong:
                    told = f"{case}, {report.cells} cells: {report.wrong[:100]}"
                    break
        print(f"{name}: {told}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])
