"""The checker of linearizability: planted breaches are caught, what is allowed passes."""

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

# One call a word: `w1@0-1:200` writes version 1 on 0 (`w3on1@...` on another base), `p2` patches, `r1` reads,
# `w2b` writes something else as version 2; `?`: in doubt. `+z@0-1` evacuates z, `-z@0-?2` takes it back, in
# doubt and by 2 or never; `s1z@2-3` reads version 1 with z evacuated, `s1@...` with no zone.
GOOD = {
    "a write, read back": "w1@0-1:200 r1@2-3",
    "a read beside a write sees either": "w1@0-9:200 r0@1-2 r1@3-4",
    "one of two on a base": "w1@0-1:200 w2@2-5:200 w2b@2-6:412 r2@7-8",
    "a resend": "w1@0-? w1@2-3:200 w1@4-5:200 r1@6-7",
    "a patch leaves the rest": "w1@0-1:200 p2@2-3:200 r2+1@4-5",
    "in doubt, and in force much later": "w1@0-1:200 w2@2-? r1@3-4 r2@5-6 r2@7-8",
    "in doubt, and never in force": "w1@0-1:200 w2@2-? w2b@3-4:200 r2b@5-6",
    "refused beside the one that wins": "w2b@0-9:412 w1@1-2:200 w2@3-4:200",
    "refused before its base came, and not taken later": "w1@0-1:200 w3@2-3:412 w2@4-5:200 w3@6-? r2@7-8",
    "a zone evacuated and taken back": "+z@0-1 s0z@2-3 -z@4-5 s0@6-7",
    "a first call in doubt, in force before the second": "+z@0-?1 s0z@0.5-0.8 +z@1.5-2 -z@3-4 s0@5-6",
    "a call in doubt, never in force": "+z@0-?1 s0@1-2 s0@5-6",
    "a call in doubt behind a read that does not tell": "w1@0-1:200 +z@2-?3 r1@4-5 s1z@6-7",
}
BAD = {
    "a stale read": "w1@0-1:200 w2@2-3:200 r1@4-5",
    "reads that go back": "w1@0-9:200 r1@1-2 r0@3-4",
    "a lost acknowledged write": "w1@0-1:200 w2@2-3:200 w2b@4-5:200",
    "two on one base": "w1@0-1:200 w2@2-5:200 w2b@2-6:200",
    "in doubt, shows up and vanishes": "w1@0-1:200 w2@2-? r2@3-4 r1@5-6",
    "in doubt, shows up twice": "w1@0-1:200 w2@2-? r2@3-4 w3@4-5:200 r3@5-6 r2@7-8",
    "refused without cause": "w1@0-1:200 w2@2-3:412 r1@4-5",
    "refused, and in force": "w1@0-1:200 w2b@1-2:412 r2b@3-4",
    "read as it never was": "w1@0-1:200 r1b@2-3",
    "a patch that drops the rest": "w1@0-1:200 p2@2-3:200 r2@4-5",
    "in force before it was sent": "r1@0-1 w1@2-3:200",
    "refused before its base came, and taken later": "w1@0-1:200 w3@2-3:412 w2@4-5:200 w3@6-? r3@7-8",
    "a late call brings an evacuation back": "+z@0-?1 +z@1.5-2 -z@3-4 s0z@23-24",
    "a late call takes an evacuation back": "+z@0-1 -z@2-?3 s0z@4-5 s0@23-24",
    "an acknowledged evacuation is gone": "+z@0-1 s0@2-3",
    "an evacuation that nobody sent": "+z@0-1 s0zy@2-3",
}


def parse_call(word: str) -> Call:
    what, _, rest = word.partition("@")
    span, _, status = rest.partition(":")
    begun, _, ended = span.partition("-")
    times = float(begun), math.inf if ended.startswith("?") else float(ended)
    if what[0] in "+-":
        until = float(ended[1:]) if ended.startswith("?") else math.inf
        return Call(*times, evacuation=(what[1:], what[0] == "+"), effect_deadline=until)
    if what[0] == "s":
        number = int(what[1])
        seen = number, items_of({f"k{number}": str(number)} if number else {})
        return Call(*times, observed=seen, evacuated_zones=frozenset(what[2:]))
    name, _, base = what.partition("on")
    name, _, more = name.partition("+")
    number = int(name[1:].rstrip("b"))
    held = {f"k{number}": name[1:]} | ({f"k{more}": more} if more else {})
    if name[0] == "r":
        return Call(*times, observed=(number, items_of(held if number else {})))
    gone = frozenset[str]() if name[0] == "p" else None
    change = ConfigurationWrite(int(base) if base else number - 1, number, items_of(held), gone)
    return Call(*times, change, {"200": ACKNOWLEDGED, "412": CONFLICT, "": IN_DOUBT}[status])


@test("linearizable: {name}")
def _(name: str = each(*GOOD)) -> None:
    assert find_unexplained_call(map(parse_call, GOOD[name].split())) is None


@test("not linearizable: {name}")
def _(name: str = each(*BAD)) -> None:
    calls = [parse_call(word) for word in BAD[name].split()]
    assert find_unexplained_call(calls) is not None
    assert find_unexplained_call(calls[:1]) is None or name.startswith("in force before")


@test("not linearizable: a call that was answered, and whose effect came later than it may")
def _() -> None:
    late = Call(0.0, 5.0, evacuation=("z", True), effect_deadline=1.0)
    before = Call(2.0, 3.0, evacuated_zones=frozenset())
    assert find_unexplained_call([late, before]) is not None
    assert find_unexplained_call([late]) is None


def random_history(seed: int, count: int = 120) -> list[Call]:
    """A history of one true register, with effects at a random moment of each call."""
    chance, version, held, calls = random.Random(seed), 0, dict[str, str](), list[Call]()
    changes: list[ConfigurationWrite] = []
    for at in range(count):
        begun, ended = at - chance.uniform(0.1, 3), at + chance.uniform(0.1, 3)
        kind = chance.choice("rwwd")
        if kind == "r":
            calls.append(Call(begun, ended, observed=(version, items_of(held))))
            continue
        base = version if chance.random() < 0.6 else max(0, version - 1)
        gone = frozenset([f"k{at % 3}"]) if chance.random() < 0.5 else None
        change = ConfigurationWrite(base, max(base, version) + 1, items_of({f"k{at % 5}": str(at)}), gone)
        fits = base == version
        if fits and (kind == "w" or chance.random() < 0.5):
            kept = {} if gone is None else {key: value for key, value in held.items() if key not in gone}
            version, held = change.version, {**kept, **dict(change.upserts)}  # type: ignore[arg-type]
            changes.append(change)
        calls.append(
            Call(begun, math.inf, change)
            if kind == "d"
            else Call(begun, ended, change, ACKNOWLEDGED if fits else CONFLICT)
        )
    return calls


@test("long histories of a true register pass, and a read put out of place in them fails")
def _() -> None:
    for seed in range(6):
        calls = random_history(seed)
        assert find_unexplained_call(calls) is None
        first = next(call for call in calls if call.write is None)
        late = Call(1000.0, 1001.0, observed=first.observed)
        assert find_unexplained_call([*calls, late]) is not None
