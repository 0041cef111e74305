"""The linearizability checker accepts linearizable histories and rejects all others."""

import math
import random

from ward import each, test

from ashlift.simulation.linearizability import (
    ACKNOWLEDGED,
    CONFLICT,
    IN_DOUBT,
    Call,
    ConfigurationWrite,
    find_unexplained_call,
    items_of,
)

# Each word is a call, with its start and end in seconds after `@`. `w1@0-1:200` writes version 1 based on
# version 0 (`w3on1@...` on another base), `w2b` writes other content as version 2, `p2` patches, `r1` reads.
# `?` stands for an unknown outcome. `+z@0-1` evacuates zone z, `-z@0-?2` restores it before 2 s or never.
# `s1z@2-3` reads version 1 with zone z evacuated, `s1@...` with no zone evacuated.
LINEARIZABLE = {
    "a write and a read of it": "w1@0-1:200 r1@2-3",
    "reads concurrent with a write see either version": "w1@0-9:200 r0@1-2 r1@3-4",
    "one of two writes on the same base is accepted": "w1@0-1:200 w2@2-5:200 w2b@2-6:412 r2@7-8",
    "a resend": "w1@0-? w1@2-3:200 w1@4-5:200 r1@6-7",
    "a patch keeps all other keys": "w1@0-1:200 p2@2-3:200 r2+1@4-5",
    "a write of unknown outcome takes effect later": "w1@0-1:200 w2@2-? r1@3-4 r2@5-6 r2@7-8",
    "a write of unknown outcome never takes effect": "w1@0-1:200 w2@2-? w2b@3-4:200 r2b@5-6",
    "a write rejected because of a concurrent one": "w2b@0-9:412 w1@1-2:200 w2@3-4:200",
    "a write rejected on a future base is not applied": "w1@0-1:200 w3@2-3:412 w2@4-5:200 w3@6-? r2@7-8",
    "a zone is evacuated and restored": "+z@0-1 s0z@2-3 -z@4-5 s0@6-7",
    "a first evacuation takes effect before the second call": "+z@0-?1 s0z@0.5-0.8 +z@1.5-2 -z@3-4 s0@5-6",
    "an evacuation of unknown outcome never takes effect": "+z@0-?1 s0@1-2 s0@5-6",
    "an evacuation before a read that does not return zones": "w1@0-1:200 +z@2-?3 r1@4-5 s1z@6-7",
}
NOT_LINEARIZABLE = {
    "a stale read": "w1@0-1:200 w2@2-3:200 r1@4-5",
    "reads that return an older version": "w1@0-9:200 r1@1-2 r0@3-4",
    "a lost acknowledged write": "w1@0-1:200 w2@2-3:200 w2b@4-5:200",
    "two accepted writes on the same base": "w1@0-1:200 w2@2-5:200 w2b@2-6:200",
    "a write of unknown outcome is read and lost": "w1@0-1:200 w2@2-? r2@3-4 r1@5-6",
    "a write of unknown outcome takes effect twice": "w1@0-1:200 w2@2-? r2@3-4 w3@4-5:200 r3@5-6 r2@7-8",
    "a write rejected without a reason": "w1@0-1:200 w2@2-3:412 r1@4-5",
    "a rejected write is read": "w1@0-1:200 w2b@1-2:412 r2b@3-4",
    "a read of content that was never written": "w1@0-1:200 r1b@2-3",
    "a patch that drops other keys": "w1@0-1:200 p2@2-3:200 r2@4-5",
    "a read of a write that starts later": "r1@0-1 w1@2-3:200",
    "a write rejected on a future base is applied later": "w1@0-1:200 w3@2-3:412 w2@4-5:200 w3@6-? r3@7-8",
    "a late call repeats an evacuation that was ended": "+z@0-?1 +z@1.5-2 -z@3-4 s0z@23-24",
    "a late call ends an evacuation after its deadline": "+z@0-1 -z@2-?3 s0z@4-5 s0@23-24",
    "an acknowledged evacuation is lost": "+z@0-1 s0@2-3",
    "an evacuation that no client requested": "+z@0-1 s0zy@2-3",
}


def parse_call(word: str) -> Call:
    operation, _, rest = word.partition("@")
    times_text, _, status = rest.partition(":")
    started, _, ended = times_text.partition("-")
    times = float(started), math.inf if ended.startswith("?") else float(ended)
    if operation[0] in "+-":
        deadline = float(ended[1:]) if ended.startswith("?") else math.inf
        return Call(*times, evacuation=(operation[1:], operation[0] == "+"), effect_deadline=deadline)
    if operation[0] == "s":
        number = int(operation[1])
        observed = number, items_of({f"k{number}": str(number)} if number else {})
        return Call(*times, observed=observed, evacuated_zones=frozenset(operation[2:]))
    name, _, base = operation.partition("on")
    name, _, other_key = name.partition("+")
    number = int(name[1:].rstrip("b"))
    content = {f"k{number}": name[1:]} | ({f"k{other_key}": other_key} if other_key else {})
    if name[0] == "r":
        return Call(*times, observed=(number, items_of(content if number else {})))
    removed_keys = frozenset[str]() if name[0] == "p" else None
    write = ConfigurationWrite(int(base) if base else number - 1, number, items_of(content), removed_keys)
    return Call(*times, write, {"200": ACKNOWLEDGED, "412": CONFLICT, "": IN_DOUBT}[status])


@test("linearizable: {name}")
def _(name: str = each(*LINEARIZABLE)) -> None:
    assert find_unexplained_call(map(parse_call, LINEARIZABLE[name].split())) is None


@test("not linearizable: {name}")
def _(name: str = each(*NOT_LINEARIZABLE)) -> None:
    calls = [parse_call(word) for word in NOT_LINEARIZABLE[name].split()]
    assert find_unexplained_call(calls) is not None
    assert find_unexplained_call(calls[:1]) is None or name == "a read of a write that starts later"


@test("not linearizable: an answered call that took effect after its deadline")
def _() -> None:
    late = Call(0.0, 5.0, evacuation=("z", True), effect_deadline=1.0)
    before = Call(2.0, 3.0, evacuated_zones=frozenset())
    assert find_unexplained_call([late, before]) is not None
    assert find_unexplained_call([late]) is None


def random_history(seed: int, count: int = 120) -> list[Call]:
    """Return a history of a correct register, with calls that overlap at random."""
    rng, version, content, calls = random.Random(seed), 0, dict[str, str](), list[Call]()
    writes: list[ConfigurationWrite] = []
    for at in range(count):
        started, ended = at - rng.uniform(0.1, 3), at + rng.uniform(0.1, 3)
        kind = rng.choice("rwwd")
        if kind == "r":
            calls.append(Call(started, ended, observed=(version, items_of(content))))
            continue
        base = version if rng.random() < 0.6 else max(0, version - 1)
        removed_keys = frozenset([f"k{at % 3}"]) if rng.random() < 0.5 else None
        write = ConfigurationWrite(
            base, max(base, version) + 1, items_of({f"k{at % 5}": str(at)}), removed_keys
        )
        applicable = base == version
        if applicable and (kind == "w" or rng.random() < 0.5):
            kept = (
                {}
                if removed_keys is None
                else {key: value for key, value in content.items() if key not in removed_keys}
            )
            version, content = write.version, {**kept, **dict(write.upserts)}  # type: ignore[arg-type]
            writes.append(write)
        calls.append(
            Call(started, math.inf, write)
            if kind == "d"
            else Call(started, ended, write, ACKNOWLEDGED if applicable else CONFLICT)
        )
    return calls


@test("linearizability: long histories of a correct register pass, and fail with a stale read added")
def _() -> None:
    for seed in range(6):
        calls = random_history(seed)
        assert find_unexplained_call(calls) is None
        first = next(call for call in calls if call.write is None)
        late = Call(1000.0, 1001.0, observed=first.observed)
        assert find_unexplained_call([*calls, late]) is not None
