"""Draws, plays and counts fault injection campaigns: `python -m benchmarks.hunt draw|play|table --help`.

draw SITE KINDS OUT writes days as TOML (KINDS: a file with the text of `fleetbench kinds SITE`); play OUT
plays those that have no report yet, a few at once, each by one `fleetbench run`; table OUT... prints kinds by
days over campaigns of one site. Not part of CI: playing needs the users' bench, whose path is given.
"""

import argparse
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from benchmarks.hunt.campaign_folder import CampaignFolder
from benchmarks.hunt.campaign_generator import CampaignGenerator
from benchmarks.hunt.coverage_table import KEPT, VOID, coverage_table
from benchmarks.hunt.site import parse_site


def draw_campaign(options: argparse.Namespace) -> None:
    """Draw a campaign and write its files."""
    site = parse_site(options.site.read_text(), options.kinds.read_text())
    days = CampaignGenerator(site, options.seed).draw_days(options.days, f"h{options.seed}")
    CampaignFolder(options.out).write(options.site, options.seed, days)
    entries = sum(len(day.entries) for day in days)
    print(f"{site.name}: {options.days} days, {entries} entries, {len(site.cells())} cells")


def play_campaign(options: argparse.Namespace) -> None:
    """Run the bench concurrently for the days without a report, with the sources of the working directory."""
    folder = CampaignFolder(options.out)
    site_path = folder.site_path()
    names = [day.name for day in folder.read_days() if not folder.report_path(day.name).exists()]

    def play_day(name: str) -> str:
        command = [str(options.bench), "run", site_path, str(folder.day_path(name)), "--jobs", "1"]
        command += ["--why", f"{options.why} {name}", "--report", str(folder.report_path(name))]
        with folder.log_path(name).open("w") as log:
            subprocess.run(command, stdout=log, stderr=subprocess.STDOUT, check=False)
        return folder.read_outcome(name).verdict

    waiting_names = names[: options.most]
    with ThreadPoolExecutor(options.jobs) as executor:
        for name, verdict in zip(waiting_names, executor.map(play_day, waiting_names), strict=True):
            print(name, verdict, flush=True)


def print_table(options: argparse.Namespace) -> None:
    """Print the outcomes of the days and the coverage table."""
    days = []
    outcomes = {}
    for folder in map(CampaignFolder, options.out):
        for day in folder.read_days():
            days.append(day)
            if folder.log_path(day.name).exists():
                outcomes[day.name] = folder.read_outcome(day.name)
    verdicts = {name: outcome.verdict for name, outcome in outcomes.items()}
    kept_days = sum(verdict == KEPT for verdict in verdicts.values())
    void_days = sum(verdict == VOID for verdict in verdicts.values())
    other_days = [f", {name} {verdict}" for name, verdict in verdicts.items() if verdict not in (KEPT, VOID)]
    print(f"{len(days)} days drawn, {len(outcomes)} begun: {kept_days} kept, {void_days} void", end="")
    print("".join(other_days))
    print(f"\n{coverage_table(days, outcomes)}")


def main(arguments: list[str]) -> int:
    """Run the command and return its exit status."""
    parser = argparse.ArgumentParser(prog="benchmarks.hunt", description=__doc__)
    commands = parser.add_subparsers(dest="command", required=True)
    draw = commands.add_parser("draw")
    draw.add_argument("site", type=Path)
    draw.add_argument("kinds", type=Path)
    draw.add_argument("out", type=Path)
    draw.add_argument("--days", type=int, default=60)
    draw.add_argument("--seed", type=int, required=True)
    draw.set_defaults(run=draw_campaign)
    play = commands.add_parser("play")
    play.add_argument("out", type=Path)
    play.add_argument("--bench", type=Path, required=True)
    play.add_argument("--jobs", type=int, default=4)
    play.add_argument("--most", type=int, default=1000)
    play.add_argument("--why", required=True)
    play.set_defaults(run=play_campaign)
    table = commands.add_parser("table")
    table.add_argument("out", type=Path, nargs="+")
    table.set_defaults(run=print_table)
    options = parser.parse_args(arguments)
    options.run(options)
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
