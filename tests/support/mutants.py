"""Mutants of the replica core and of command handling, each of which a test must detect.

`python -m tests.support.mutants MAX_FAULTS MAX_CELLS [NAME...]` runs mutants in all cases of the explorer.
"""

import sys
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, Final, NamedTuple

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
from tests.support.mutation import mutated_function


class Mutant(NamedTuple):
    """A piece of a function's or method's source and its replacement.

    `scenario`: the title of the scenario that must detect the mutant.
    """

    owner: Any
    function: str
    old: str
    new: str
    scenario: str = ""


# These violate an invariant of docs/design/store.md; the explorer or a test named there must detect them.
MUTANTS: Final[dict[str, Mutant]] = {
    "elected without a quorum": Mutant(Election, "_count_votes", "quorum(len(attempt.voters))", "1"),
    "committed without a quorum": Mutant(ProposalQueue, "commit_if_replicated", "quorum(len(voters))", "1"),
    "round confirmed without a quorum": Mutant(HeartbeatRounds, "confirm", "quorum(len(acknowledged))", "1"),
    "read confirmed by an earlier round": Mutant(
        HeartbeatRounds,
        "reply_after_next_round",
        "self.newest + 1",
        "self.newest",
    ),
    "read before the first commit of the term": Mutant(
        HeartbeatRounds, "confirm", "not self.leader.commit_index or ", ""
    ),
    "conflict reported without a heartbeat round": Mutant(
        ProposalQueue,
        "advance",
        "leader.rounds.reply_after_next_round(queued.reply_to, outcome.response)",
        "leader.replica.reply(queued.reply_to, {**outcome.response, 'index': leader.commit_index})",
    ),
    "vote for an outdated candidate": Mutant(
        Election,
        "_is_current",
        "(request.last_term, request.last_index) >= self.replica.term_index",
        "True",
    ),
    "two votes in one term": Mutant(
        Election,
        "handle_vote_request",
        "replica.vote.voted_for == request.candidate",
        "True",
    ),
    "vote granted although the write failed": Mutant(Election, "_vote", "if not succeeded:", "if False:"),
    "append acknowledged although the write failed": Mutant(
        Follower, "handle_append", "if not succeeded:", "if False:"
    ),
    "leader continues after a failed write": Mutant(
        ProposalQueue,
        "_handle_persisted",
        "if not succeeded:",
        "if False:",
    ),
    "leader counts itself before it has persisted": Mutant(
        PeerTable,
        "holds",
        "self.leader.replica.term_index == self.leader.proposed.term_index",
        "True",
    ),
    "learner counted as holding the proposal": Mutant(
        PeerTable, "holds", "peer.restoring_learner is None and ", ""
    ),
    "learner confirms heartbeat rounds": Mutant(
        PeerTable,
        "acknowledged_round",
        "0 if peer.restoring_learner else peer.acknowledged_round",
        "peer.acknowledged_round",
    ),
    "learner votes": Mutant(Election, "handle_vote_request", "if not replica.vote.is_voter:", "if False:"),
    "replica with a lost disk remains a voter": Mutant(
        Joining, "become_learner", "is_voter=False", "is_voter=True"
    ),
    "learner promoted without a new commit": Mutant(
        Replication,
        "_restore_learner",
        "RestoringLearner(incarnation, newest + 1)",
        "RestoringLearner(incarnation, 0)",
    ),
    "learner promoted in another incarnation": Mutant(
        Follower,
        "_is_promotion",
        "payload.incarnation == replica.incarnation and ",
        "",
    ),
    "learner promoted with an uncommitted map": Mutant(
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index",
    ),
    "learner promoted with an outdated map": Mutant(
        Replication,
        "_restore_learner",
        "peer.restoring_learner.promotion_index <= index <= leader.commit_index",
        "index <= leader.commit_index",
    ),
    "uncommitted state treated as committed": Mutant(
        Follower,
        "_update_committed",
        "replica.term_index[1] <= request.commit_index",
        "replica.term_index[1] <= request.commit_index + 1",
    ),
    "learner without quarantine": Mutant(
        Joining,
        "become_learner",
        "self.replica.now + LEARNER_QUARANTINE_SECONDS",
        "self.replica.now",
    ),
    "late votes counted": Mutant(
        Election,
        "handle_vote_response",
        "now - event.sent_at >= CALL_TIMEOUT_SECONDS or now - attempt.started_at >= CALL_TIMEOUT_SECONDS",
        "False",
    ),
    "late acknowledgements counted": Mutant(
        Replication,
        "handle_response",
        "or replica.now - event.sent_at >= CALL_TIMEOUT_SECONDS",
        "",
    ),
    "append of an outdated leader accepted": Mutant(
        Follower,
        "handle_append",
        "if request.term < replica.vote.term:",
        "if False:",
    ),
    "delta applied to another base": Mutant(Follower, "_apply_payload", "base != own.term_index", "False"),
    "digest not verified": Mutant(Follower, "_apply_payload", "entries.digest() == payload.digest", "True"),
    "freshness lease renewed before confirmation": Mutant(
        FreshnessLease, "renew", "if is_confirmed and ", "if "
    ),
    "freshness lease renewed without the commit": Mutant(
        FreshnessLease,
        "_holds_commit",
        "echo.commit_index != 0 and self.replica.committed_state.term_index >= commit",
        "True",
    ),
    "commit recognized by index alone": Mutant(
        Follower, "_update_committed", "replica.term_index[0] == request.term and ", ""
    ),
    "proposal before the first commit of the term": Mutant(
        ProposalQueue,
        "advance",
        "and leader.commit_index and",
        "and",
    ),
    "unknown outcome reported as not executed": Mutant(
        ProposalQueue,
        "fail_in_flight",
        "FailureReason.OUTCOME_UNKNOWN,",
        "FailureReason.UNAVAILABLE,",
    ),
    "quorum of the previous voters": Mutant(
        ProposalQueue,
        "commit_if_replicated",
        "voters = leader.peers.voters()",
        "voters = leader.replica.voters(leader.replica.committed_state.snapshot) or leader.peers.voters()",
    ),
    "learner counted in the quorum": Mutant(
        ProposalQueue,
        "commit_if_replicated",
        "for ip in voters)",
        "for ip in [*voters, *leader.peers.learners()])",
    ),
    "removed replica asked for its vote": Mutant(
        Election,
        "_request_votes",
        "for ip in attempt.voters:",
        "for ip in {*attempt.voters, *replica.seeds}:",
    ),
    "votes of non-voters counted": Mutant(
        Election, "_count_votes", "attempt.votes & {*attempt.voters}", "attempt.votes"
    ),
    "vote of another incarnation counted": Mutant(
        Election,
        "handle_vote_response",
        "attempt.voters.get(event.peer) not in (None, response.incarnation)",
        "False",
    ),
    "removed replica stands for election": Mutant(
        Replica,
        "can_stand_for_election",
        "incarnation_matches(entries, self.ip, self.vote.incarnation)",
        "True",
    ),
    "fencing token ignored": Mutant(
        ProposalQueue,
        "advance",
        "queued.fencing_token is not None and self._is_expired(queued.fencing_token, outcome)",
        "False",
    ),
    "two proposals in flight": Mutant(ProposalQueue, "advance", "not self.in_flight and ", ""),
}
# These violate no invariant, but a replica that was down does not catch up (test_catch_up).
CATCH_UP_MUTANTS: Final[dict[str, Mutant]] = {
    "learner promoted only with the newest map": Mutant(
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index == newest == leader.commit_index",
    ),
    "sent range assumed to be received": Mutant(
        CatchUp,
        "_range_update",
        "elif sent.digest == entries.range_digest_in(range_digests, number):",
        "else:",
    ),
}
EIGHT_OPERATORS = (
    "eight operators on one base all the time, answers lost before and after the commit, resends anywhere"
)
# These execute late or duplicate commands; the named scenario must detect them.
COMMAND_MUTANTS: Final[dict[str, Mutant]] = {
    "expired command executed": Mutant(
        ProposalQueue,
        "_is_expired",
        "age_seconds is None or age_seconds >= token.remaining_seconds",
        "False",
        "an evacuation that its operator has given up does not come into force 20 s later",
    ),
    "command executed after a later change of its key": Mutant(
        ProposalQueue,
        "_is_expired",
        "committed.may_have_changed_since(key, token.known_index)",
        "False",
        "taken back within the second: a call held up for half of it is void, and so are its copies at other "
        "stores",
    ),
    "registry ignores the age of a command": Mutant(
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation held up between the operator and a registry",
    ),
    "registry ignores the age of a command received while frozen": Mutant(
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation in the buffers of a frozen registry, given up by its operator",
    ),
    "no hedged request to another store": Mutant(
        OperatorRequest,
        "next_store",
        "now + HEDGE_DELAY_SECONDS",
        "self.deadline",
        "a machine hears the leader and cannot call it: every order is passed on within a second",
    ),
    "accepted command not recognized when resent": Mutant(
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "False",
        EIGHT_OPERATORS,
    ),
    "record of another command accepted as a resend": Mutant(
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "True",
        EIGHT_OPERATORS,
    ),
    "base version not compared": Mutant(
        operator_config, "apply_change", "base != current_number", "False", EIGHT_OPERATORS
    ),
    "rejection dropped before its base version is reached": Mutant(
        commands,
        "_refuse_stale",
        "base < current_version",
        "True",
        "refused before its base came: the same order is refused for good, whoever sends it again",
    ),
}


@contextmanager
def mutated(name: str) -> Iterator[None]:
    """Apply the mutant within the context."""
    mutant = {**MUTANTS, **CATCH_UP_MUTANTS, **COMMAND_MUTANTS}[name]
    with mutated_function(getattr(mutant.owner, mutant.function), mutant.old, mutant.new):
        yield


def main(max_faults: int, max_states: int, names: list[str]) -> None:
    """Print for each mutant the case of the explorer that detects it."""
    for name in names or MUTANTS:
        outcome = "not found"
        with mutated(name):
            for case, rules in CASES.items():
                report = explore(
                    rules, min(max_faults, rules.max_faults) if rules.any_order else max_faults, max_states
                )
                if report.violation:
                    outcome = f"{case}, {report.state_count} cells: {report.violation[:100]}"
                    break
        print(f"{name}: {outcome}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])
