"""Campaigns of troubles (`benchmarks.campaign`): drawn whole, seeded, read back as days, and counted."""

import tomllib
from collections import Counter

from attrs import evolve
from ward import each, raises, test

from benchmarks.campaign import (
    CLOSINGS,
    LEAST,
    PLANNED,
    Campaign,
    Day,
    Entry,
    UnknownKindError,
    cells_of,
    kinds_of,
    site_of,
    table,
)

KINDS = """Each entry has 'at' (seconds) and 'kind'. for_s: how long (5).

srv_grey: share (.15) fail x (.4) of them; how: errors hang, slow (x (8) times as long), + one_zone (some)
srv_lying_health: share say well and fail all (how: errors reset), or say ill and are well (how: bad)
node_kill: share (.1) of the machines: SIGKILL; how: power (dark for for_s)
roll_term: share (1) get SIGTERM, x (1) at a time, each gap_s, and start again; how: remove (they leave)
herd_kill: share (.6) are killed at once; how: power; on core: all of them; how taken: all lose power
after_ack_kill: the acknowledging one loses power; how: kill, timed (5 to 400 ms, or not), taken (it too)
core_cut: count (1) are cut off; how: one_way, seeds (new ones begin), both (those that are cut off)
config_change: how: route weights tenant
evacuate: a zone's servers are to get nothing for for_s; they are cold at the end unless how: warm
seed_turnover: the settings name other seeds
"""
SETTINGS = """
name = "small"
length_s = 32.0
zones = [{ name = "z1", region = "r1" }, { name = "z2", region = "r2" }]
troubles = [{ kind = "node_kill", on = "core", how = "leader race drain" }]
[[day]]
name = "one"
closing = { kind = "wipe_after_ack", how = "aimed", down_s = 1.0 }
plan = []
faults = [{ at = 3.0, kind = "core_cut", how = "late" }]
traffic = [{ zone = "z1", mix = { look-up = 5.8 }, per_s = 20.5, shape = { kind = "wave" } }]
"""
SITE = site_of(SETTINGS, KINDS)


@test("kinds are read with their own words, what stands in brackets left out")
def _() -> None:
    found = kinds_of(KINDS)
    assert found["srv_grey"] == ("errors", "hang", "slow", "one_zone")
    assert found["srv_lying_health"] == ("errors", "reset", "bad")
    assert found["herd_kill"] == ("power", "taken")
    assert found["after_ack_kill"] == ("kill", "timed", "taken")
    assert found["core_cut"] == ("one_way", "seeds", "both")
    assert found["evacuate"] == ("warm",) and found["seed_turnover"] == ()
    assert "Each entry has" not in found and len(found) == 10


@test("words that only the site's own troubles use become ways of that kind; general ones keep their places")
def _() -> None:
    assert SITE.kinds["core_cut"] == ("one_way", "seeds", "both", "late")
    assert SITE.kinds["node_kill"] == ("power",)
    assert "aimed" in SITE.closings


@test("a kind without known fields is told by its name")
def _() -> None:
    with raises(UnknownKindError) as told:
        site_of(SETTINGS, KINDS + "moon_loss: the moon goes\n")
    assert "moon_loss" in str(told.raised)


@test("in {count} days each kind and way comes three times or more, seed {seed}")
def _(count: int = each(60, 10, 10, 10), seed: int = each(1, 1, 2, 3)) -> None:
    counts = Counter(cell for day in Campaign(SITE, seed).days(count, "d") for cell in day.cells())
    assert {cell: counts[cell] for cell in cells_of(SITE) if counts[cell] < LEAST} == {}
    closings = Counter(kind for kind, _, _ in counts.elements() if kind.startswith("closing "))
    assert all(closings["closing " + kind] >= LEAST for kind in CLOSINGS)
    ways = {how for kind, _, how in counts if kind.startswith("closing ")}
    assert ways >= {"", "timed", "taken"} and (count == 10 or "aimed" in ways)


@test("the same seed draws the same days, another one others")
def _() -> None:
    first, again, other = ([day.toml() for day in Campaign(SITE, seed).days(12, "d")] for seed in (7, 7, 8))
    assert first == again and not set(first) & set(other)


@test("a day is read back from its TOML whole, planned work and faults apart, all within the day")
def _() -> None:
    for day in Campaign(SITE, 5).days(12, "d"):
        (raw,) = tomllib.loads(day.toml())["day"]
        assert raw["name"] == day.name and raw["seed"] == day.seed
        assert sorted(map(str, raw["plan"] + raw["faults"])) == sorted(
            str(one.table()) for one in day.entries
        )
        assert {one["kind"] for one in raw["plan"]} <= PLANNED and not {
            one["kind"] for one in raw["faults"]
        } & PLANNED
        assert all(0.0 < one["at"] < SITE.length_s - 5.0 for one in raw["plan"] + raw["faults"])
        assert (
            raw["traffic"] == list(day.traffic)
            and raw.get("closing", {}).get("kind") == (day.closing or (None,))[0]
        )


@test("days come in three shapes: alone, in pairs within 0.4 s, one trouble three times")
def _() -> None:
    days = Campaign(SITE, 5).days(12, "d")
    for number, day in enumerate(days):
        times = [one.at for one in day.entries]
        close = sum(after - before <= 0.4 for before, after in zip(times, times[1:], strict=False))
        same = Counter(str(evolve(one, at=0.0)) for one in day.entries).most_common(1)[0][1]
        assert number % 3 != 1 or close >= len(times) // 2
        assert number % 3 != 2 or same >= 3


@test("the table counts what came about on days that were played, void ones not, and where a rule broke")
def _() -> None:
    cut, kill = Entry("core_cut", "", ("leader", "race")), Entry("node_kill", "core")
    days = [
        Day("a", 1, (cut, cut)),
        Day("b", 1, (cut, kill), ("kill_all", "timed", 1.0)),
        Day("c", 1, (kill,)),
        Day("d", 1, (kill,)),
    ]
    came = {"a": {"core_cut"}, "b": {"core_cut", "kill_all"}, "c": {"node_kill"}}
    lines = table(days, {"a": "kept", "b": "CONFIG", "c": "void"}, came).splitlines()
    assert "| core_cut | leader 2, race 2 | 0 | 1 |" in lines
    assert "| node_kill (core) | plain 0 | 1 | 1 |" in lines
    assert "| closing kill_all | timed 1 | 0 | 1 |" in lines
