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
from ashlift.configstore.leader import Leader
from ashlift.configstore.replica import Replica
from ashlift.registry.operator_request import OperatorRequest
from ashlift.simulation import board
from ashlift.simulation.explore import CASES, explore

# name: where, what stands there, what stands there instead
MUTANTS: dict[str, tuple[Any, str, str, str]] = {
    "elected by one": (Replica, "_elected", "quorum(len(attempt.members))", "1"),
    "committed by one": (Leader, "_count", "quorum(len(members))", "1"),
    "confirmed by one": (Leader, "_confirm", "quorum(len(answered))", "1"),
    "a round begun before the read": (Leader, "read", "self.heartbeat_round + 1", "self.heartbeat_round"),
    "read before a commit of the term": (Leader, "_confirm", "not self.commit_index or ", ""),
    "a 412 without a round": (
        Leader,
        "_advance",
        "self.pending_reads.append((self.heartbeat_round + 1, ref, outcome.response))",
        "self.replica.reply(ref, {**outcome.response, 'index': self.commit_index})",
    ),
    "an older map is voted for": (Replica, "_request_vote", "(last_term, index) >= self.term_index", "True"),
    "two votes in a term": (Replica, "_request_vote", "self.vote.voted_for == candidate", "True"),
    "a vote said though the disk refused": (
        Replica,
        "_request_vote",
        'if ok else Failure(FailureReason.REJECTED, "disk")',
        "",
    ),
    "a yes though the disk refused": (Replica, "_append", "if not ok:", "if False:"),
    "a leader goes on though its disk refused": (Leader, "_proposed", "if not ok:", "if False:"),
    "the leader counts before it has kept": (
        Leader,
        "_holds",
        "self.replica.term_index == self.proposed.term_index",
        "True",
    ),
    "a learner is counted": (Leader, "_holds", "peer.learning is None and ", ""),
    "a learner confirms": (
        Leader,
        "_answered_round",
        "0 if peer.learning else peer.acknowledged_round",
        "peer.acknowledged_round",
    ),
    "a learner votes": (Replica, "_request_vote", "if not self.vote.is_voter:", "if False:"),
    "a lost disk counts": (Replica, "_become_learner", "is_voter=False", "is_voter=True"),
    "promoted without a commit after": (Leader, "_learner", "(incarnation, newest + 1)", "(incarnation, 0)"),
    "promoted in any life": (
        Replica,
        "_promoted",
        "rest[0] == self.incarnation and ",
        "",
    ),
    "promoted with what is not committed": (
        Leader,
        "_learner",
        "<= index <= self.commit_index",
        "<= index",
    ),
    "promoted with what was committed before": (
        Leader,
        "_learner",
        "peer.learning[1] <= index <= self.commit_index",
        "index <= self.commit_index",
    ),
    "a later state taken for committed": (
        Replica,
        "_learn",
        "self.term_index[1] <= commit",
        "self.term_index[1] <= commit + 1",
    ),
    "not mute": (Replica, "_become_learner", "self.now + LEARNER_QUARANTINE_SECONDS", "self.now"),
    "late votes count": (
        Replica,
        "_voted",
        "or self.now - event.sent_at >= CALL_TIMEOUT_SECONDS\n"
        "        or self.now - attempt.started >= CALL_TIMEOUT_SECONDS",
        "",
    ),
    "late yeses count": (Leader, "answered", "or self.replica.now - sent_at >= CALL_TIMEOUT_SECONDS", ""),
    "an older leader is heard": (Replica, "_append", "if term < self.vote.term:", "if False:"),
    "a delta on another map": (Replica, "_received", "(term, index) != self.term_index", "False"),
    "a digest not compared": (Replica, "_received", "entries.digest() == digest", "True"),
    "proven before it is confirmed": (Replica, "_renew", "round_ <= proved and ", ""),
    "proven without the commit": (
        Replica,
        "_renew",
        "commit and term_index >= (self.vote.term, commit)",
        "True",
    ),
    "learnt by index alone": (
        Replica,
        "_learn",
        "self.term_index[0] == term and ",
        "",
    ),
    "a proposal before the term's first is committed": (
        Leader,
        "_advance",
        "and self.commit_index and",
        "and",
    ),
    "in doubt told as not begun": (
        Leader,
        "end",
        "FailureReason.OUTCOME_UNKNOWN,",
        "FailureReason.UNAVAILABLE,",
    ),
    "a quorum of the old members": (
        Leader,
        "_count",
        "members = self._members()",
        "members = self.replica.voters(self.replica.committed_state.snapshot) or self._members()",
    ),
    "a learner that counts": (
        Leader,
        "_count",
        "for ip in members)",
        "for ip in [*members, *self._learners()])",
    ),
    "a removed one is asked": (
        Replica,
        "_ask",
        "for ip in attempt.members:",
        "for ip in {*attempt.members, *self.seeds}:",
    ),
    "whoever votes counts": (Replica, "_elected", "attempt.votes & {*attempt.members}", "attempt.votes"),
    "an old disk votes": (
        Replica,
        "_voted",
        "attempt.members.get(event.peer) not in (None, *life)",
        "False",
    ),
    "a removed one stands": (
        Replica,
        "_can_stand_for_election",
        "incarnation_matches(entries, self.ip, self.vote.incarnation)",
        "True",
    ),
    "orders have no fence": (Leader, "_advance", "fence is not None and self._late(fence, outcome)", "False"),
    "two proposals at a time": (Leader, "_advance", "not self.proposal_in_flight and ", ""),
}
# These break no invariant: one that was away does not catch up (`tests/configstore/test_catch_up.py`).
LATE: dict[str, tuple[Any, str, str, str]] = {
    "promoted only with the newest": (
        Leader,
        "_learner",
        "<= index <= self.commit_index",
        "<= index == newest == self.commit_index",
    ),
    "taken for there because it was sent": (
        CatchUp,
        "_parts",
        "elif sent[1] == entries.range_digest_in(digests, one):",
        "else:",
    ),
}
EIGHT = "eight operators on one base all the time, answers lost before and after the commit, resends anywhere"
# What guards orders against calls that come late or again, and the scene (`scenes/orders_*.txt`) that finds
# a breach of it.
GUARDS: dict[str, tuple[Any, str, str, str, str]] = {
    "an order of any age is begun": (
        Leader,
        "_late",
        "began is None or self.replica.now - began >= fence.remaining_seconds",
        "False",
        "an evacuation that its operator has given up does not come into force 20 s later",
    ),
    "an order is begun whatever has changed since": (
        Leader,
        "_late",
        "self.replica.committed_state.may_have_changed_since(key, fence.known_index)",
        "False",
        "taken back within the second: a call held up for half of it is void, and so are its copies at other "
        "stores",
    ),
    "a registry vouches for any call": (
        board.Board,
        "_order",
        'self.earliest_send_time if body["kind"] in ("evacuate", "restore") else None',
        "None",
        "an evacuation held up between the operator and a registry",
    ),
    "a registry vouches for what came while it was frozen": (
        board.Board,
        "_order",
        'self.earliest_send_time if body["kind"] in ("evacuate", "restore") else None',
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
