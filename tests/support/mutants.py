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
    "elected by one": Mutant(Election, "_count_votes", "quorum(len(attempt.voters))", "1"),
    "committed by one": Mutant(ProposalQueue, "commit_if_replicated", "quorum(len(voters))", "1"),
    "confirmed by one": Mutant(HeartbeatRounds, "confirm", "quorum(len(acknowledged))", "1"),
    "a round begun before the read": Mutant(
        HeartbeatRounds,
        "reply_after_next_round",
        "self.newest + 1",
        "self.newest",
    ),
    "read before a commit of the term": Mutant(
        HeartbeatRounds, "confirm", "not self.leader.commit_index or ", ""
    ),
    "a 412 without a round": Mutant(
        ProposalQueue,
        "advance",
        "leader.rounds.reply_after_next_round(queued.reply_to, outcome.response)",
        "leader.replica.reply(queued.reply_to, {**outcome.response, 'index': leader.commit_index})",
    ),
    "an older map is voted for": Mutant(
        Election,
        "_is_current",
        "(request.last_term, request.last_index) >= self.replica.term_index",
        "True",
    ),
    "two votes in a term": Mutant(
        Election,
        "handle_vote_request",
        "replica.vote.voted_for == request.candidate",
        "True",
    ),
    "a vote said though the disk refused": Mutant(Election, "_vote", "if not succeeded:", "if False:"),
    "a yes though the disk refused": Mutant(Follower, "handle_append", "if not succeeded:", "if False:"),
    "a leader goes on though its disk refused": Mutant(
        ProposalQueue,
        "_handle_persisted",
        "if not succeeded:",
        "if False:",
    ),
    "the leader counts before it has kept": Mutant(
        PeerTable,
        "holds",
        "self.leader.replica.term_index == self.leader.proposed.term_index",
        "True",
    ),
    "a learner is counted": Mutant(PeerTable, "holds", "peer.restoring_learner is None and ", ""),
    "a learner confirms": Mutant(
        PeerTable,
        "acknowledged_round",
        "0 if peer.restoring_learner else peer.acknowledged_round",
        "peer.acknowledged_round",
    ),
    "a learner votes": Mutant(Election, "handle_vote_request", "if not replica.vote.is_voter:", "if False:"),
    "a lost disk counts": Mutant(Joining, "become_learner", "is_voter=False", "is_voter=True"),
    "promoted without a commit after": Mutant(
        Replication,
        "_restore_learner",
        "RestoringLearner(incarnation, newest + 1)",
        "RestoringLearner(incarnation, 0)",
    ),
    "promoted in any life": Mutant(
        Follower,
        "_is_promotion",
        "payload.incarnation == replica.incarnation and ",
        "",
    ),
    "promoted with what is not committed": Mutant(
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index",
    ),
    "promoted with what was committed before": Mutant(
        Replication,
        "_restore_learner",
        "peer.restoring_learner.promotion_index <= index <= leader.commit_index",
        "index <= leader.commit_index",
    ),
    "a later state taken for committed": Mutant(
        Follower,
        "_update_committed",
        "replica.term_index[1] <= request.commit_index",
        "replica.term_index[1] <= request.commit_index + 1",
    ),
    "not mute": Mutant(
        Joining,
        "become_learner",
        "self.replica.now + LEARNER_QUARANTINE_SECONDS",
        "self.replica.now",
    ),
    "late votes count": Mutant(
        Election,
        "handle_vote_response",
        "now - event.sent_at >= CALL_TIMEOUT_SECONDS or now - attempt.started_at >= CALL_TIMEOUT_SECONDS",
        "False",
    ),
    "late yeses count": Mutant(
        Replication,
        "handle_response",
        "or replica.now - event.sent_at >= CALL_TIMEOUT_SECONDS",
        "",
    ),
    "an older leader is heard": Mutant(
        Follower,
        "handle_append",
        "if request.term < replica.vote.term:",
        "if False:",
    ),
    "a delta on another map": Mutant(Follower, "_apply_payload", "base != own.term_index", "False"),
    "a digest not compared": Mutant(Follower, "_apply_payload", "entries.digest() == payload.digest", "True"),
    "proven before it is confirmed": Mutant(FreshnessLease, "renew", "if is_confirmed and ", "if "),
    "proven without the commit": Mutant(
        FreshnessLease,
        "_holds_commit",
        "echo.commit_index != 0 and self.replica.committed_state.term_index >= commit",
        "True",
    ),
    "learnt by index alone": Mutant(
        Follower, "_update_committed", "replica.term_index[0] == request.term and ", ""
    ),
    "a proposal before the term's first is committed": Mutant(
        ProposalQueue,
        "advance",
        "and leader.commit_index and",
        "and",
    ),
    "in doubt told as not begun": Mutant(
        ProposalQueue,
        "fail_in_flight",
        "FailureReason.OUTCOME_UNKNOWN,",
        "FailureReason.UNAVAILABLE,",
    ),
    "a quorum of the old members": Mutant(
        ProposalQueue,
        "commit_if_replicated",
        "voters = leader.peers.voters()",
        "voters = leader.replica.voters(leader.replica.committed_state.snapshot) or leader.peers.voters()",
    ),
    "a learner that counts": Mutant(
        ProposalQueue,
        "commit_if_replicated",
        "for ip in voters)",
        "for ip in [*voters, *leader.peers.learners()])",
    ),
    "a removed one is asked": Mutant(
        Election,
        "_request_votes",
        "for ip in attempt.voters:",
        "for ip in {*attempt.voters, *replica.seeds}:",
    ),
    "whoever votes counts": Mutant(
        Election, "_count_votes", "attempt.votes & {*attempt.voters}", "attempt.votes"
    ),
    "an old disk votes": Mutant(
        Election,
        "handle_vote_response",
        "attempt.voters.get(event.peer) not in (None, response.incarnation)",
        "False",
    ),
    "a removed one stands": Mutant(
        Replica,
        "can_stand_for_election",
        "incarnation_matches(entries, self.ip, self.vote.incarnation)",
        "True",
    ),
    "orders have no fence": Mutant(
        ProposalQueue,
        "advance",
        "queued.fencing_token is not None and self._is_expired(queued.fencing_token, outcome)",
        "False",
    ),
    "two proposals at a time": Mutant(ProposalQueue, "advance", "not self.in_flight and ", ""),
}
# These violate no invariant, but a replica that was down does not catch up (test_catch_up).
CATCH_UP_MUTANTS: Final[dict[str, Mutant]] = {
    "promoted only with the newest": Mutant(
        Replication,
        "_restore_learner",
        "<= index <= leader.commit_index",
        "<= index == newest == leader.commit_index",
    ),
    "taken for there because it was sent": Mutant(
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
    "an order of any age is begun": Mutant(
        ProposalQueue,
        "_is_expired",
        "age_seconds is None or age_seconds >= token.remaining_seconds",
        "False",
        "an evacuation that its operator has given up does not come into force 20 s later",
    ),
    "an order is begun whatever has changed since": Mutant(
        ProposalQueue,
        "_is_expired",
        "committed.may_have_changed_since(key, token.known_index)",
        "False",
        "taken back within the second: a call held up for half of it is void, and so are its copies at other "
        "stores",
    ),
    "a registry vouches for any call": Mutant(
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation held up between the operator and a registry",
    ),
    "a registry vouches for what came while it was frozen": Mutant(
        RegistryProcess,
        "_handle_command",
        'self.earliest_send_time if command["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation in the buffers of a frozen registry, given up by its operator",
    ),
    "a silent store is waited for alone": Mutant(
        OperatorRequest,
        "next_store",
        "now + HEDGE_DELAY_SECONDS",
        "self.deadline",
        "a machine hears the leader and cannot call it: every order is passed on within a second",
    ),
    "what was taken is not known again": Mutant(
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "False",
        EIGHT_OPERATORS,
    ),
    "a record of another order counts": Mutant(
        commands,
        "_answer_to_resend",
        "_accepted_digest(accepted) == digest",
        "True",
        EIGHT_OPERATORS,
    ),
    "no base is compared": Mutant(
        operator_config, "apply_change", "base != current_number", "False", EIGHT_OPERATORS
    ),
    "a refusal is forgotten before its base comes": Mutant(
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


def main(max_faults: int, max_cells: int, names: list[str]) -> None:
    """Print for each mutant the case of the explorer that detects it."""
    for name in names or MUTANTS:
        outcome = "not found"
        with mutated(name):
            for case, rules in CASES.items():
                report = explore(
                    rules, min(max_faults, rules.max_faults) if rules.any_order else max_faults, max_cells
                )
                if report.wrong:
                    outcome = f"{case}, {report.cells} cells: {report.wrong[:100]}"
                    break
        print(f"{name}: {outcome}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3:])
