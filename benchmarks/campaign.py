"""Draws fault injection campaigns: days with every kind of trouble, and every way of it, that a site knows.

What a site knows is read from the text of `fleetbench kinds SITE` (kinds and their own ways) and from its
site file (zones, services, length, traffic, ways that only its days use). Nothing here is run: days in, TOML
out. A *cell* is what the table of a campaign counts: a kind, the class of machines, and one word of `how`
("" for the plain form). Times are seconds from the start of traffic.
"""

import random
import re
import tomllib
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

from attrs import evolve, field, frozen

Cell = tuple[str, str, str]  # kind, class of machines ("" where the kind names none), word of `how`
Span = tuple[float, float]

AIMS = ("leader", "reader", "seed")  # which machine; one of them in an entry
RETURNS = ("meet", "race", "hard", "drain")  # what awaits a machine that returns
CUTS = ("reset", "refuse")  # how a cut shows
SPREADS = ("across", "all")  # which workers
CLOSINGS = ("power_off_all", "wipe_after_ack", "kill_all")
CLOSING_WAYS = ("", "timed", "taken")
PLANNED = frozenset(
    {
        "seed_turnover",
        "config_change",
        "config_storm",
        "config_race",
        "big_config",
        "revoke",
        "evacuate",
        "release",
        "scale_out",
        "scale_in",
        "roll_term",
    }
)
WORKERS = ("srv_crash", "srv_grey", "srv_lying_health", "srv_flap")
SPARED = {"roll_term": ("busy",)}  # words that the page names outside the line of the kind
SHARE, LAST = (0.1, 0.3), (3.0, 8.0)
FIELDS: dict[str, dict[str, Span | tuple[int, int]]] = {
    "hot_tenant": {"x": (4.0, 10.0), "for_s": (4.0, 9.0), "count": (1, 3)},
    "srv_crash": {"share": SHARE, "for_s": (3.0, 6.0)},
    "srv_grey": {"share": SHARE, "x": (0.2, 0.6), "for_s": LAST},
    "srv_lying_health": {"share": SHARE, "for_s": LAST},
    "srv_flap": {"share": SHARE, "for_s": LAST, "gap_s": (1.0, 2.0)},
    "release": {"share": (0.3, 0.6), "gap_s": (0.5, 1.2)},
    "scale_out": {"share": (0.2, 0.4), "gap_s": (1.0, 3.0)},
    "scale_in": {"share": (0.1, 0.2)},
    "cold_return": {"for_s": (3.0, 5.0)},
    "idle_race": {"share": (0.3, 0.6), "x": (200.0, 500.0), "for_s": LAST},
    "answer_lost": {"share": (0.3, 0.6), "x": (0.02, 0.05), "for_s": LAST},
    "garble": {"share": (0.3, 0.6), "x": (0.01, 0.03), "for_s": LAST},
    "node_kill": {"share": SHARE, "for_s": (2.0, 6.0)},
    "roll_term": {"share": (0.3, 1.0), "gap_s": (0.7, 1.5)},
    "herd_kill": {"share": (0.4, 0.9), "for_s": (0.5, 3.0)},
    "seed_turnover": {},
    "after_ack_kill": {"count": (1, 1), "for_s": (2.0, 5.0)},
    "after_ack_wipe": {"count": (1, 1), "for_s": (2.0, 5.0)},
    "clock_step": {"share": SHARE, "x": (1000.0, 4000.0), "for_s": LAST},
    "disk_full": {"count": (1, 2), "for_s": LAST},
    "zone_loss": {"for_s": LAST},
    "core_cut": {"count": (1, 1), "for_s": LAST},
    "node_cut": {"share": SHARE, "for_s": (3.0, 12.0)},
    "config_change": {},
    "config_storm": {"gap_s": (0.1, 0.4), "count": (5, 15)},
    "config_race": {"count": (2, 5), "gap_s": (0.5, 1.5)},
    "big_config": {"count": (100, 400)},
    "revoke": {"count": (1, 4), "gap_s": (0.3, 1.5)},
    "evacuate": {"for_s": (4.0, 9.0)},
}
# Per kind and class: the words that make a cell beside the kind's own ones.
ADDED: dict[tuple[str, str], tuple[str, ...]] = {
    **{(kind, ""): SPREADS for kind in WORKERS},
    ("node_kill", "core"): (*AIMS, *RETURNS),
    ("roll_term", "core"): ("leader", *RETURNS),
    ("herd_kill", "core"): RETURNS,
    ("after_ack_kill", ""): RETURNS,
    ("after_ack_wipe", ""): ("kill", "timed", "taken", *RETURNS),
    ("zone_loss", ""): RETURNS,
    ("core_cut", ""): (*AIMS, *RETURNS, *CUTS),
    ("node_cut", ""): CUTS,
    ("clock_step", ""): AIMS,
    ("disk_full", ""): AIMS,
}
CLASSES = {"node_kill": ("front", "core"), "roll_term": ("front", "core"), "herd_kill": ("front", "core")}
FRONT_ONLY, CORE_ONLY = {("roll_term", "busy")}, {("herd_kill", "taken")}
LONG_CUT_S = 21.0  # a cut that outlasts every lease and time-out
LEAST = 3  # times that each cell comes in a campaign


class UnknownKindError(ValueError):
    """A site lists a kind for which no fields stand in FIELDS: its name."""


@frozen
class Site:
    """What drawing needs of a site: kinds with their own words, places, length (s), traffic of its days."""

    name: str
    kinds: dict[str, tuple[str, ...]]
    zones: tuple[str, ...]
    length_s: float
    traffics: tuple[tuple[dict[str, Any], ...], ...] = ()
    closings: tuple[str, ...] = CLOSING_WAYS


@frozen
class Entry:
    """One trouble: the words of its `how` and its other fields, as the site file writes them."""

    kind: str
    on: str = ""
    words: tuple[str, ...] = ()
    fields: dict[str, Any] = field(factory=dict)
    at: float = 0.0

    def cells(self) -> Iterator[Cell]:
        for word in self.words or ("",):
            yield self.kind, self.on, word

    def table(self) -> dict[str, Any]:
        shown: dict[str, Any] = {"at": round(self.at, 2), "kind": self.kind}
        if self.on:
            shown["on"] = self.on
        return {**shown, "how": " ".join(self.words), **self.fields}


@frozen
class Day:
    """One day of a campaign."""

    name: str
    seed: int
    entries: tuple[Entry, ...]
    closing: tuple[str, str, float] | None = None  # kind, how, s down
    traffic: tuple[dict[str, Any], ...] = ()

    def cells(self) -> Iterator[Cell]:
        for entry in self.entries:
            yield from entry.cells()
        if self.closing:
            yield "closing " + self.closing[0], "", self.closing[1]

    def toml(self) -> str:
        lines = ["[[day]]", f'name = "{self.name}"', 'slot = "trouble"', f"seed = {self.seed}", "labels = []"]
        if self.closing:
            kind, how, down_s = self.closing
            lines.append(f'closing = {{ kind = "{kind}", down_s = {down_s}, how = "{how}" }}')
        for name, planned in (("plan", True), ("faults", False)):
            chosen = [one.table() for one in self.entries if (one.kind in PLANNED) is planned]
            lines += [f"{name} = [", *(f"  {_inline(one)}," for one in chosen), "]"]
        if self.traffic:
            lines += ["traffic = [", *(f"  {_inline(one)}," for one in self.traffic), "]"]
        return "\n".join(lines) + "\n"


def _inline(value: Any) -> str:
    if isinstance(value, dict):
        return "{ " + ", ".join(f"{key} = {_inline(one)}" for key, one in value.items()) + " }"
    return f'"{value}"' if isinstance(value, str) else str(value)


def kinds_of(text: str) -> dict[str, tuple[str, ...]]:
    """The kinds that the text of `fleetbench kinds` lists, each with the words of `how` in its line."""
    found = {}
    for line in text.splitlines():
        if match := re.match(r"(\w+): (.*)", line):
            found[match[1]] = tuple(_words(match[2]))
    return found


def _words(line: str) -> Iterator[str]:
    """Words after `how:` up to a semicolon, and that of `how taken: ...`; what is in brackets explains."""
    line = re.sub(r"\((how: [^)]*)\)", r"; \1;", line)
    while (bare := re.sub(r"\([^()]*\)", "", line)) != line:
        line = bare
    for words in re.findall(r"how: ([^;]*)", line):
        yield from re.findall(r"\w+", words)
    yield from re.findall(r"how (\w+):", line)


def site_of(settings: str, kinds: str) -> Site:
    """Of the site file's text and that of `fleetbench kinds`; words of the site's own troubles count too.

    Raises UnknownKindError.
    """
    raw = tomllib.loads(settings)
    known = {kind: list(words) for kind, words in kinds_of(kinds).items()}
    if strange := set(known) - set(FIELDS):
        raise UnknownKindError(f"no fields known for: {', '.join(sorted(strange))}")
    days = raw.get("day", [])
    general = {*AIMS, *RETURNS, *CUTS, *SPREADS, "busy"}
    entries = raw.get("troubles", []) + [
        one for day in days for one in day.get("plan", []) + day.get("faults", [])
    ]
    for one in entries:
        for word in one.get("how", "").split():
            words = known.get(one["kind"], [])
            if word not in words and (word not in general or one["kind"] in ("answer_lost",)):
                words.append(word)
    closings = {*CLOSING_WAYS, *(day["closing"].get("how", "") for day in days if "closing" in day)}
    return Site(
        raw["name"],
        {kind: tuple(words) for kind, words in known.items()},
        tuple(one["name"] for one in raw["zones"]),
        float(raw["length_s"]),
        tuple(tuple(day["traffic"]) for day in days if "traffic" in day),
        tuple(sorted(closings)),
    )


def cells_of(site: Site) -> list[Cell]:
    """Every cell of a site: each kind plain and with each word, on each class of machines that takes it."""
    found: list[Cell] = []
    for kind, own in site.kinds.items():
        for on in CLASSES.get(kind, ("",)):
            words = ["", *own, *SPARED.get(kind, ()), *ADDED.get((kind, on), ())]
            for word in dict.fromkeys(words):
                if (kind, word) in {"core": FRONT_ONLY, "front": CORE_ONLY}.get(on, set()):
                    continue
                if word or kind not in ("config_change", "srv_grey", "srv_lying_health"):  # these want a word
                    found.append((kind, on, word))
    return found


class Campaign:
    """Draws the days of one site, seeded: the same seed gives the same days."""

    def __init__(self, site: Site, seed: int) -> None:
        self._site, self._dice = site, random.Random(f"{site.name} {seed}")

    def days(self, count: int, name: str) -> list[Day]:
        """`count` days in which each cell comes LEAST times or more: dealt evenly, then set at times.

        Shapes in turn: alone, in pairs at close times, one repeated.
        """
        dice = self._dice
        pool = [self._entry(cell) for cell in cells_of(self._site) for _ in range(LEAST)]
        pool = self._thinned(pool)
        dice.shuffle(pool)
        hands: list[list[Entry]] = [pool[number::count] for number in range(count)]
        closings = self._closings(count)
        return [
            Day(
                f"{name}-{number}",
                dice.randrange(1, 1 << 30),
                tuple(self._timed(hand, number)),
                closings[number],
                dice.choice(self._site.traffics) if self._site.traffics else (),
            )
            for number, hand in enumerate(hands)
        ]

    def _thinned(self, pool: list[Entry]) -> list[Entry]:
        """Without the entries whose cells all come LEAST times by others, through their second words."""
        counts = Counter(cell for entry in pool for cell in entry.cells())
        kept = []
        for entry in pool:
            if all(counts[cell] > LEAST for cell in entry.cells()):
                counts.subtract(entry.cells())
            else:
                kept.append(entry)
        return kept

    def _closings(self, count: int) -> list[tuple[str, str, float] | None]:
        """One a day at most: each kind in each way LEAST times, or, in few days, each kind and each way."""
        ways = self._site.closings
        every = [
            (kind, how) for kind in CLOSINGS for how in ways if how != "aimed" or kind == "wipe_after_ack"
        ]
        if count >= LEAST * len(every):
            chosen = every * LEAST
        else:
            plain = [how for how in ways if how != "aimed"]
            chosen = [
                (kind, plain[(turn + n) % len(plain)])
                for turn in range(LEAST)
                for n, kind in enumerate(CLOSINGS)
            ]
        down = self._dice.uniform
        dealt: list[tuple[str, str, float] | None] = [
            (*one, round(down(0.5, 2.0), 2)) for one in chosen[:count]
        ]
        dealt += [None] * (count - len(dealt))
        self._dice.shuffle(dealt)
        return dealt

    def _entry(self, cell: Cell) -> Entry:
        kind, on, word = cell
        words = [word] if word else []
        added = ADDED.get((kind, on), ())
        groups: tuple[Sequence[str], ...] = (AIMS, RETURNS, CUTS, SPREADS)
        for group in groups:  # a second word, of another group, in a third of the entries
            free = [one for one in group if one in added]
            if free and not set(free) & {word} and self._dice.random() < 0.35 and word:
                words.append(self._dice.choice(free))
        if word == "one_zone":
            words.insert(0, self._dice.choice(("errors", "shed", "hang", "reset")))
        if word == "late":
            words.insert(0, "extra")
        if kind == "srv_grey" and word in SPREADS or kind == "srv_lying_health" and word in SPREADS:
            words.insert(0, self._dice.choice(("errors", "hang", "reset")))
        return Entry(kind, on, tuple(words), self._fields(kind, on, words))

    def _fields(self, kind: str, on: str, words: Sequence[str]) -> dict[str, Any]:
        dice, shown = self._dice, dict[str, Any]()
        for name, (low, high) in FIELDS[kind].items():
            whole = name == "count"
            shown[name] = dice.randint(int(low), int(high)) if whole else round(dice.uniform(low, high), 2)
        if "remove" in words:  # three times over, most machines must still be there
            shown["share"] = round(dice.uniform(0.05, 0.15), 2)
        elif on == "core":
            shown.pop("share", None)
        if on == "core":
            if kind == "node_kill":
                shown["count"] = 1
            if kind == "roll_term":
                shown["gap_s"] = round(dice.uniform(5.0, 7.0), 2)  # one is whole again before the next goes
        if kind in ("core_cut", "node_cut") and dice.random() < 0.3:
            shown["for_s"] = LONG_CUT_S
        if kind == "srv_grey" and "slow" in words:
            shown["x"] = round(dice.uniform(4.0, 10.0), 1)
        if "spot" in words:
            shown["x"] = round(dice.uniform(1.0, 3.0), 1)
        if "one_zone" in words:
            shown["to_zone"] = dice.choice(self._site.zones)
        if kind in ("cold_return", "evacuate", "zone_loss"):
            shown["zone"] = dice.choice(self._site.zones)
        return shown

    def _timed(self, hand: Sequence[Entry], number: int) -> Iterator[Entry]:
        """Sets entries at times: shape 0 spread, 1 in pairs within 0.4 s, 2 the first one three times."""
        dice, shape = self._dice, number % 3
        last = self._site.length_s - 7.0
        size = 2 if shape == 1 else 1
        groups = [list(hand[first : first + size]) for first in range(0, len(hand), size)]
        if shape == 2 and hand:
            groups += [[hand[0]], [hand[0]]]
        step = (last - 2.0) / max(len(groups), 1)
        order = list(range(len(groups)))
        dice.shuffle(order)
        placed = []
        for turn, chosen in enumerate(order):
            start = 2.0 + step * turn + dice.uniform(0.0, step * 0.8)
            for entry in groups[chosen]:
                placed.append(evolve(entry, at=start + dice.uniform(0.0, 0.4) * (len(groups[chosen]) > 1)))
        yield from sorted(placed, key=lambda one: one.at)


def table(days: Sequence[Day], verdicts: dict[str, str], came: dict[str, set[str]]) -> str:
    """The table of kinds by days, as Markdown: for each kind its words, and on how many days each came.

    `verdicts` has a day's name and "kept", a broken rule's name, or "void"; other days were not played.
    `came` has the kinds that the bench brought about on a day: others would lose too much, or never fit.
    """
    played: dict[tuple[str, str], Counter[str]] = {}
    idle: Counter[tuple[str, str]] = Counter()
    broken: Counter[tuple[str, str]] = Counter()
    for day in days:
        verdict = verdicts.get(day.name)
        if verdict in (None, "void"):
            continue
        for kind, on, word in set(day.cells()):
            if kind.rpartition(" ")[2] in came[day.name]:
                played.setdefault((kind, on), Counter())[word or "plain"] += 1
            else:
                played.setdefault((kind, on), Counter())[word or "plain"] += 0
        kinds = {(kind, on) for kind, on, _ in day.cells()}
        idle.update({one for one in kinds if one[0].rpartition(" ")[2] not in came[day.name]})
        if verdict != "kept":
            broken.update(kinds)
    lines = [
        "| kind | days by way | drawn, but not brought about | days with a broken rule |",
        "| --- | --- | --- | --- |",
    ]
    for (kind, on), words in sorted(played.items()):
        ways = ", ".join(f"{word} {count}" for word, count in sorted(words.items()))
        lines.append(f"| {kind}{f' ({on})' if on else ''} | {ways} | {idle[kind, on]} | {broken[kind, on]} |")
    return "\n".join(lines)
