"""Plays text scenes on members of the store (`simulation.members`). One line an event; WHO: numbers,
`leader`, `others`, `all`.

    # title of the next scene
    members 5                     started for the first time; three of them are the seeds
    run 3                         simulated time goes on, s
    put a -> 200                  at the leader, on top of all that is known; `on N` another base, `at N` a
                                  member; 412, doubt (no response), unready (not begun), none
    read -> a b                   at the leader, or `at N`; the history, or `none`, or `unready`
    kill WHO, wipe WHO, start WHO, freeze WHO, thaw WHO, leave WHO, break WHO (the disk refuses)
    cut A B, oneway A B, join     links: none both ways, none from A to B, all
    leader in 2                   one that has committed in its term, within so many s
    learners 0                    how many disks do not count
    lose WHO, back WHO            the machine is gone; it comes back, with its disk
    new                           a machine at a new address, with the next number
    old WHO                       the disk that was lost last is put back
    order remove 3 -> 200         of the members, at the leader; replace, add; 409, unready, none
    voters 1 2 3 in 12            exactly these vote, by the newest map on a disk, within so many s
    term same                     nobody has been elected since the last such line
    settle                        all well again: agreement, then all invariants
"""

from pathlib import Path
from typing import Any

from ashlift.configstore.membership import VOTER_PREFIX, addresses_under
from ashlift.errors import Failure
from ashlift.simulation.members import Op, World

ANSWER_S = 1.0


def scenes(path: Path) -> list[tuple[str, list[str]]]:
    found: list[tuple[str, list[str]]] = []
    for line in path.read_text().splitlines():
        if line.startswith("# "):
            found.append((line[2:], []))
        elif line.strip():
            found[-1][1].append(line.strip())
    return found


def told(op: Op) -> str:
    answer: Any = op.answer
    match answer:
        case None:
            return "none"
        case Failure(reason=reason):
            return {"unanswered": "doubt"}.get(reason, reason)
        case list():
            return " ".join(answer)
        case _:
            return str(answer["status"])


class Play:
    def __init__(self, seed: int = 1) -> None:
        self.seed = seed
        self.term = 0
        self.world = World(1, seed)

    def leads(self) -> bool:
        ip = self.world.leader()
        member = self.world.nodes[ip].member if ip else None
        return bool(member and member.leader_role and member.leader_role.commit_index)

    def who(self, words: list[str]) -> list[str]:
        all_, leader = self.world.ips, self.world.leader()
        lead = [leader] if leader else []
        groups = {"all": all_, "leader": lead, "others": [ip for ip in all_ if ip != leader]}
        return [ip for word in words for ip in groups.get(word, [word])]

    def line(self, text: str) -> None:
        text, _, wanted = (part.strip() for part in text.partition("->"))
        word, *rest = text.split()
        world = self.world
        match word:
            case "members":
                self.world = World(int(rest[0]), self.seed)
            case "run":
                world.run(float(rest[0]))
            case "put" | "read":
                options = dict(zip(rest[word == "put" :: 2], rest[(word == "put") + 1 :: 2], strict=True))
                ip = options.get("at") or world.leader() or world.ips[0]
                base = int(options["on"]) if "on" in options else None
                op = world.put(ip, base, rest[0]) if word == "put" else world.read(ip)
                world.run(ANSWER_S, lambda: op.answer is not None)
                assert told(op) == wanted, f"{text}: {told(op)}"
            case "kill" | "wipe" | "start" | "freeze" | "thaw" | "leave":
                for ip in self.who(rest):
                    getattr(world, word)(ip)
            case "lose" | "back" | "old":
                acts = {"lose": world.lose, "back": world.bring_back, "old": world.put_back}
                for ip in self.who(rest):
                    acts[word](ip)
            case "new":
                world.add()
            case "order":
                op = world.order(rest[0], self.who(rest[1:])[0])
                world.run(ANSWER_S, lambda: op.answer is not None)
                assert told(op) == wanted, f"{text}: {told(op)} {op.answer}"
            case "voters":
                *ips, _, within = rest
                wants = sorted(self.who(ips))
                came = world.run(float(within), lambda: addresses_under(world.map(), VOTER_PREFIX) == wants)
                assert came, f"{text}: {addresses_under(world.map(), VOTER_PREFIX)}"
            case "term":
                term, before = max(one[0] for one in world.invariants.leaderships), self.term
                self.term = term
                assert rest[0] != "same" or term == before, f"term {term} after {before}"
            case "break":
                for ip in self.who(rest):
                    world.nodes[ip].disk_fails = True
            case "cut" | "oneway":
                one, other = self.who(rest[:1]), self.who(rest[1:])
                for a, b in [(a, b) for a in one for b in other if a != b]:
                    world.cut(a, b)
                    if word == "cut":
                        world.cut(b, a)
            case "join":
                world.cuts.clear()
            case "leader":
                assert world.run(float(rest[1]), self.leads), text
            case "learners":
                assert world.learners() == int(rest[0]), f"{text}: {world.learners()}"
            case "settle":
                world.settle()
            case _:
                raise ValueError(text)
