"""Runs text scenarios on replicas of the store (`simulation.replica_world`).

One event per line; WHO: replica numbers, `leader`, `others` or `all`.

    # title of the next scenario
    members 5                     first start of the replicas; three of them are seeds
    run 3                         advance simulated time, in seconds
    put a -> 200                  a write at the leader, based on the newest version; `on N`: another base
                                  version, `at N`: another replica; or 412, doubt (no response),
                                  unready (not executed), none
    read -> a b                   a read at the leader, or `at N`; the history, `none` or `unready`
    kill WHO, wipe WHO, start WHO, freeze WHO, thaw WHO, leave WHO, break WHO (disk writes fail)
    cut A B, oneway A B, join     block the links both ways, or from A to B only; unblock all
    leader in 2                   a leader has committed in its term within this many seconds
    learners 0                    the number of learners
    lose WHO, back WHO            the machine is lost; it returns with its disk
    new                           add a machine at a new address, with the next number
    old WHO                       restore the disk that was lost last
    order remove 3 -> 200         a membership change at the leader: remove, replace, add; 409, unready, none
    voters 1 2 3 in 12            within this many seconds, the newest map on a disk has these voters
    term same                     there was no election since the last such line
    settle                        end all faults, wait for agreement and check all invariants
"""

from pathlib import Path
from typing import Any, Final

from ashlift.configstore.membership import VOTER_PREFIX, addresses_under
from ashlift.errors import Failure
from ashlift.simulation.replica_node import ClientCall
from ashlift.simulation.replica_world import ReplicaWorld

ANSWER_TIMEOUT_SECONDS: Final = 1.0
FAILURE_WORDS: Final = {"unanswered": "doubt"}  # words in scenarios; other failures use their reason


def read_scenarios(path: Path) -> list[tuple[str, list[str]]]:
    """Title and lines of each scenario in a file."""
    scenarios: list[tuple[str, list[str]]] = []
    for line in path.read_text().splitlines():
        if line.startswith("# "):
            scenarios.append((line[2:], []))
        elif line.strip():
            scenarios[-1][1].append(line.strip())
    return scenarios


def answer_word(call: ClientCall) -> str:
    """The word for a call's result in scenarios."""
    answer: Any = call.answer
    match answer:
        case None:
            return "none"
        case Failure(reason=reason):
            return FAILURE_WORDS.get(reason, reason)
        case list():
            return " ".join(answer)
        case _:
            return str(answer["status"])


class ReplicaScenarioPlayer:
    """Runs the lines of one scenario in order."""

    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.term = 0
        self.world = ReplicaWorld(1, seed)

    def has_committed_leader(self) -> bool:
        """Whether there is a leader that has committed in its term."""
        ip = self.world.leader()
        replica = self.world.nodes[ip].replica if ip else None
        return bool(replica and replica.leader_role and replica.leader_role.commit_index)

    def addresses(self, words: list[str]) -> list[str]:
        """The addresses of the replicas that WHO selects."""
        leader = self.world.leader()
        groups = {
            "all": self.world.ips,
            "leader": [leader] if leader else [],
            "others": [ip for ip in self.world.ips if ip != leader],
        }
        return [ip for word in words for ip in groups.get(word, [word])]

    def play(self, line: str) -> None:
        """Run a line; raises AssertionError if its expectation does not hold."""
        text, _, expected = (part.strip() for part in line.partition("->"))
        word, *arguments = text.split()
        match word:
            case "members":
                self.world = ReplicaWorld(int(arguments[0]), self.seed)
            case "put" | "read" | "order":
                op = self._submit(word, arguments)
                self.world.run(ANSWER_TIMEOUT_SECONDS, lambda: op.answer is not None)
                assert answer_word(op) == expected, f"{text}: {answer_word(op)} {op.answer}"
            case "voters" | "term" | "leader" | "learners" | "settle" | "run":
                self._run(word, arguments, text)
            case _:
                self._inject(word, arguments, text)

    def _submit(self, word: str, arguments: list[str]) -> ClientCall:
        """Submit a client's request; `on` selects the base version, `at` the replica."""
        if word == "order":
            return self.world.change_members(arguments[0], self.addresses(arguments[1:])[0])
        name = arguments[0] if word == "put" else ""
        pairs = arguments[word == "put" :]
        options = dict(zip(pairs[::2], pairs[1::2], strict=True))
        ip = options.get("at") or self.world.leader() or self.world.ips[0]
        if word == "read":
            return self.world.read(ip)
        return self.world.put(ip, int(options["on"]) if "on" in options else None, name)

    def _run(self, word: str, arguments: list[str], text: str) -> None:
        """Advance simulated time, or check an expectation."""
        world = self.world
        match word:
            case "run":
                world.run(float(arguments[0]))
            case "settle":
                world.settle()
            case "voters":
                *names, _, seconds = arguments
                expected = sorted(self.addresses(names))
                reached = world.run(
                    float(seconds), lambda: addresses_under(world.newest_entries(), VOTER_PREFIX) == expected
                )
                assert reached, f"{text}: {addresses_under(world.newest_entries(), VOTER_PREFIX)}"
            case "term":
                previous = self.term
                self.term = max(term for term, *_ in world.invariants.leaderships)
                assert arguments[0] != "same" or self.term == previous, f"term {self.term} after {previous}"
            case "leader":
                assert world.run(float(arguments[1]), self.has_committed_leader), text
            case "learners":
                assert world.learner_count() == int(arguments[0]), f"{text}: {world.learner_count()}"

    def _inject(self, word: str, arguments: list[str], text: str) -> None:
        """Inject or end a fault."""
        world = self.world
        faults = {
            "lose": world.lose_machine,
            "back": world.restore_machine,
            "old": world.restore_lost_disk,
            "leave": world.shut_down,
        }
        match word:
            case "kill" | "wipe" | "start" | "freeze" | "thaw":
                for ip in self.addresses(arguments):
                    getattr(world, word)(ip)
            case "lose" | "back" | "old" | "leave":
                for ip in self.addresses(arguments):
                    faults[word](ip)
            case "break":
                for ip in self.addresses(arguments):
                    world.nodes[ip].disk_fails = True
            case "cut" | "oneway":
                self._cut(arguments, both_ways=word == "cut")
            case "join":
                world.blocked_links.clear()
            case "new":
                world.add_machine()
            case _:
                raise ValueError(text)

    def _cut(self, arguments: list[str], *, both_ways: bool) -> None:
        senders = self.addresses(arguments[:1])
        receivers = self.addresses(arguments[1:])
        for sender, receiver in [(a, b) for a in senders for b in receivers if a != b]:
            self.world.block(sender, receiver)
            if both_ways:
                self.world.block(receiver, sender)


def membership_table(*lines: str) -> list[dict[str, Any]]:
    """The leader's membership table after these lines of a scenario."""
    player = ReplicaScenarioPlayer(1)
    for line in lines:
        player.play(line)
    replica = player.world.nodes[str(player.world.leader())].replica
    assert replica is not None
    assert replica.leader_role is not None
    return replica.leader_role.membership_table()
