"""Draws, plays and counts campaigns of troubles: `python -m benchmarks.hunt draw|play|table --help`.

draw SITE KINDS OUT writes days as TOML (KINDS: a file with the text of `fleetbench kinds SITE`); play OUT
plays those that have no report yet, a few at once, each by one `fleetbench run`; table OUT... prints kinds by
days over campaigns of one site. Not part of CI: playing needs the users' bench, whose path is given.
"""

import argparse
import json
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from benchmarks.campaign import Campaign, Day, Entry, cells_of, site_of, table


def draw(site: Path, kinds: Path, out: Path, count: int, seed: int) -> None:
    """Writes `count` days into OUT, and beside them what they hold (`campaign.json`)."""
    known = site_of(site.read_text(), kinds.read_text())
    days = Campaign(known, seed).days(count, f"h{seed}")
    out.mkdir(parents=True, exist_ok=True)
    for day in days:
        (out / f"{day.name}.toml").write_text(day.toml())
    held = [
        {"name": day.name, "closing": day.closing, "entries": [one.table() for one in day.entries]}
        for day in days
    ]
    (out / "campaign.json").write_text(json.dumps({"site": str(site), "seed": seed, "days": held}, indent=0))
    entries = sum(len(day.entries) for day in days)
    print(f"{known.name}: {count} days, {entries} entries, {len(cells_of(known))} cells")


def held(out: Path) -> list[Day]:
    """The days of OUT as the table needs them."""
    found = []
    for one in json.loads((out / "campaign.json").read_text())["days"]:
        entries = tuple(
            Entry(raw["kind"], raw.get("on", ""), tuple(raw["how"].split()), {}, raw["at"])
            for raw in one["entries"]
        )
        found.append(Day(one["name"], 0, entries, tuple(one["closing"]) if one["closing"] else None))
    return found


def play(bench: Path, out: Path, jobs: int, why: str, most: int) -> None:
    """Plays the days of OUT that have no report, `jobs` at once, in the working directory's sources."""
    site = json.loads((out / "campaign.json").read_text())["site"]
    waiting = [day.name for day in held(out) if not (out / f"{day.name}.json").exists()][:most]

    def one(name: str) -> tuple[str, str]:
        log = out / f"{name}.txt"
        call = [
            str(bench),
            "run",
            site,
            str(out / f"{name}.toml"),
            "--jobs",
            "1",
            "--why",
            f"{why} {name}",
            "--report",
            str(out / f"{name}.json"),
        ]
        with log.open("w") as file:
            subprocess.run(call, stdout=file, stderr=subprocess.STDOUT, check=False)
        return name, verdict(out / f"{name}.json")

    with ThreadPoolExecutor(jobs) as pool:
        for name, told in pool.map(one, waiting):
            print(name, told, flush=True)


def verdict(report: Path) -> str:
    """Of a day's report: "kept", the names of broken rules, a fault's text, or "void" where there is none."""
    if not report.exists():
        return "void"
    told: dict[str, Any] = json.loads(report.read_text())
    if told.get("fault"):
        return f"fault: {told['fault']}"
    return " ".join(sorted(told["breaks"])) or "kept"


def came(report: Path) -> set[str]:
    """The kinds that the bench brought about on a day, closing faults by their own name."""
    told = json.loads(report.read_text()) if report.exists() else {"events": []}
    names = [one["kind"].partition(" ") for one in told["events"]]
    return {rest.strip("()").partition(" ")[0] if kind == "closing" else kind for kind, _, rest in names}


def main(words: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="benchmarks.hunt", description=__doc__)
    verbs = parser.add_subparsers(dest="verb", required=True)
    drawn = verbs.add_parser("draw")
    drawn.add_argument("site", type=Path)
    drawn.add_argument("kinds", type=Path)
    drawn.add_argument("out", type=Path)
    drawn.add_argument("--days", type=int, default=60)
    drawn.add_argument("--seed", type=int, required=True)
    played = verbs.add_parser("play")
    played.add_argument("out", type=Path)
    played.add_argument("--bench", type=Path, required=True)
    played.add_argument("--jobs", type=int, default=4)
    played.add_argument("--most", type=int, default=1000)
    played.add_argument("--why", required=True)
    shown = verbs.add_parser("table")
    shown.add_argument("out", type=Path, nargs="+")
    told = parser.parse_args(words)
    if told.verb == "draw":
        draw(told.site, told.kinds, told.out, told.days, told.seed)
    elif told.verb == "play":
        play(told.bench, told.out, told.jobs, told.why, told.most)
    else:
        days = [(out, day) for out in told.out for day in held(out)]
        reports = [(day.name, out / f"{day.name}.json") for out, day in days]
        begun = {name: report for name, report in reports if report.with_suffix(".txt").exists()}
        verdicts = {name: verdict(report) for name, report in begun.items()}
        brought = {name: came(report) for name, report in begun.items()}
        kept, void = (sum(one == what for one in verdicts.values()) for what in ("kept", "void"))
        print(f"{len(days)} days drawn, {len(begun)} begun: {kept} kept, {void} void", end="")
        print("".join(f", {name} {told}" for name, told in verdicts.items() if told not in ("kept", "void")))
        print(f"\n{table([day for _, day in days], verdicts, brought)}")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
