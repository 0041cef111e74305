"""Fault injection campaigns (`benchmarks.hunt`): coverage, reproducible draws, TOML form and table."""

import tomllib
from collections import Counter
from itertools import pairwise

from attrs import evolve
from ward import each, raises, test

from benchmarks.hunt.campaign_day import CampaignDay, CampaignEntry, ClosingFault
from benchmarks.hunt.campaign_generator import MIN_OCCURRENCES, CampaignGenerator
from benchmarks.hunt.coverage_table import DayOutcome, coverage_table
from benchmarks.hunt.fault_kinds import CLOSING_KINDS, PLANNED_WORK_KINDS
from benchmarks.hunt.site import UnknownKindError, parse_kinds, parse_site

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
SITE = parse_site(SETTINGS, KINDS)


@test("kinds are parsed with their modes, text in parentheses is ignored")
def _() -> None:
    modes_by_kind = parse_kinds(KINDS)
    assert modes_by_kind["srv_grey"] == ("errors", "hang", "slow", "one_zone")
    assert modes_by_kind["srv_lying_health"] == ("errors", "reset", "bad")
    assert modes_by_kind["herd_kill"] == ("power", "taken")
    assert modes_by_kind["after_ack_kill"] == ("kill", "timed", "taken")
    assert modes_by_kind["core_cut"] == ("one_way", "seeds", "both")
    assert modes_by_kind["evacuate"] == ("warm",)
    assert modes_by_kind["seed_turnover"] == ()
    assert "Each entry has" not in modes_by_kind
    assert len(modes_by_kind) == 10


@test("modes that only the site's entries use become modes of that kind; general modes do not")
def _() -> None:
    assert SITE.modes_by_kind["core_cut"] == ("one_way", "seeds", "both", "late")
    assert SITE.modes_by_kind["node_kill"] == ("power",)
    assert "aimed" in SITE.closing_modes


@test("an error names a kind without field ranges")
def _() -> None:
    with raises(UnknownKindError) as raised:
        parse_site(SETTINGS, KINDS + "moon_loss: the moon goes\n")
    assert "moon_loss" in str(raised.raised)


@test("each kind and mode occurs at least three times in {count} days, seed {seed}")
def _(count: int = each(60, 10, 10, 10), seed: int = each(1, 1, 2, 3)) -> None:
    days = CampaignGenerator(SITE, seed).draw_days(count, "d")
    occurrences = Counter(cell for day in days for cell in day.cells())
    assert [cell for cell in SITE.cells() if occurrences[cell] < MIN_OCCURRENCES] == []
    closing_cells = [cell for cell in occurrences.elements() if cell.kind.startswith("closing ")]
    closing_kinds = Counter(cell.kind for cell in closing_cells)
    assert all(closing_kinds["closing " + kind] >= MIN_OCCURRENCES for kind in CLOSING_KINDS)
    closing_modes = {cell.mode for cell in closing_cells}
    assert closing_modes >= {"", "timed", "taken"}
    assert count == 10 or "aimed" in closing_modes


@test("the same seed draws the same days, another seed other days")
def _() -> None:
    first, again, other = (
        [day.to_toml() for day in CampaignGenerator(SITE, seed).draw_days(12, "d")] for seed in (7, 7, 8)
    )
    assert first == again
    assert not set(first) & set(other)


@test("the TOML of a day has all entries within its length, planned work apart from faults")
def _() -> None:
    for day in CampaignGenerator(SITE, 5).draw_days(12, "d"):
        (raw,) = tomllib.loads(day.to_toml())["day"]
        raw_entries = raw["plan"] + raw["faults"]
        assert raw["name"] == day.name
        assert raw["seed"] == day.seed
        assert sorted(map(str, raw_entries)) == sorted(str(entry.to_table()) for entry in day.entries)
        assert {entry["kind"] for entry in raw["plan"]} <= PLANNED_WORK_KINDS
        assert not {entry["kind"] for entry in raw["faults"]} & PLANNED_WORK_KINDS
        assert all(0.0 < entry["at"] < SITE.day_seconds - 5.0 for entry in raw_entries)
        assert raw["traffic"] == list(day.traffic)
        assert raw.get("closing", {}).get("kind") == (day.closing.kind if day.closing else None)


@test("the shapes of days: single entries, pairs within 0.4 s, one entry three times")
def _() -> None:
    for number, day in enumerate(CampaignGenerator(SITE, 5).draw_days(12, "d")):
        times = [entry.at_seconds for entry in day.entries]
        close_pairs = sum(after - before <= 0.4 for before, after in pairwise(times))
        same_entries = Counter(str(evolve(entry, at_seconds=0.0)) for entry in day.entries)
        assert number % 3 != 1 or close_pairs >= len(times) // 2
        assert number % 3 != 2 or same_entries.most_common(1)[0][1] >= 3


@test("the coverage table counts injected kinds and days with broken rules, without void days")
def _() -> None:
    partition = CampaignEntry("core_cut", "", ("leader", "race"))
    kill = CampaignEntry("node_kill", "core")
    days = [
        CampaignDay("a", 1, (partition, partition)),
        CampaignDay("b", 1, (partition, kill), ClosingFault("kill_all", "timed", 1.0)),
        CampaignDay("c", 1, (kill,)),
        CampaignDay("d", 1, (kill,)),
    ]
    outcomes = {
        "a": DayOutcome("kept", frozenset({"core_cut"})),
        "b": DayOutcome("CONFIG", frozenset({"core_cut", "kill_all"})),
        "c": DayOutcome("void", frozenset({"node_kill"})),
    }
    lines = coverage_table(days, outcomes).splitlines()
    assert "| core_cut | leader 2, race 2 | 0 | 1 |" in lines
    assert "| node_kill (core) | plain 0 | 1 | 1 |" in lines
    assert "| closing kill_all | timed 1 | 0 | 1 |" in lines
