"""`ashlift lab system` and `ashlift lab sim`: scenes of the whole system."""

import sys
import time
from pathlib import Path

import click

from ashlift.lab.checker import Verdict
from ashlift.lab.report import page
from ashlift.lab.results import Results
from ashlift.lab.run import commit
from ashlift.lab.system.runs import StoppedError, processes, simulated
from ashlift.lab.system.world import unfit
from ashlift.simulation import shrinking
from ashlift.simulation.scenario import Scenario, read_scenarios

FULL_S = 0.5  # later than this, what a scene expects by a time tells little


def scenes(path: Path) -> list[Scenario]:
    try:
        return read_scenarios(path)
    except (OSError, ValueError, IndexError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def summary(verdicts: list[Verdict]) -> str:
    """One line for the end of a run: how many verdicts held, and the names of those that did not."""
    broken = [verdict.name for verdict in verdicts if not verdict.ok]
    held = f"held: {len(verdicts) - len(broken)} of {len(verdicts)} verdicts"
    return f"{held}; broken: {', '.join(broken)}" if broken else held


def system(
    scene: Path, seed: int | None, until: float | None, results: Path, report: Path | None, keep: bool
) -> int:
    """Play each scene of a file on real processes, the part up to `until` seconds; the exit status."""
    found = scenes(scene)
    if until is not None:
        found = [one.shortened(until) for one in found]
    for one in found:
        flaws = unfit(one)
        if flaws:
            raise click.ClickException("; ".join(flaws))
    kept, failed = Results(results), False
    for one in found:
        plan = one.plan
        click.echo(
            f"{one.title}: {plan.core} core machines, {plan.edge} gatekeepers, "
            f"{plan.workers} workers of each service, {plan.rate:g} requests a second, "
            f"{plan.until:g} s",
            err=True,
        )
        began = time.strftime("%Y-%m-%dT%H:%M:%S")
        try:
            played = processes(
                one,
                plan.seed if seed is None else seed,
                lambda text: click.echo(f"\r  {text}", nl=False, err=True),
                lambda line: click.echo(f"\r  {line}{' ' * 50}", err=True),
                keep,
            )
        except StoppedError as error:
            click.echo(f"\nstopped by {error}; all processes are ended", err=True)
            return 130
        except (RuntimeError, OSError) as error:
            raise click.ClickException(str(error)) from None
        click.echo("", err=True)
        for verdict in played.verdicts:
            click.echo(verdict.line())
        if played.lag > FULL_S:
            click.echo(
                f"the machine is full: this process came {played.lag:.2f} s late, and what the scene "
                "expects by a time may have failed for that"
            )
        number = played.keep(kept, commit(), began, "processes")
        click.echo(f"run {number} in {results}, {played.took:.1f} s")
        click.echo(summary(played.verdicts))
        failed = failed or not played.ok
        if report is not None:
            report.write_text(page(kept, number), encoding="utf-8")
            click.echo(f"report: {report.resolve()}")
    return 1 if failed else 0


def sim(scene: Path, seeds: int, first: int | None, results: Path | None, shrink: bool) -> int:
    """The exit status."""
    kept, failed = (Results(results) if results else None), False
    git = commit() if kept else ""
    for one in scenes(scene):
        begin = one.plan.seed if first is None else first
        for seed in range(begin, begin + seeds):
            began = time.strftime("%Y-%m-%dT%H:%M:%S")
            played = simulated(one, seed)
            breaches = [verdict.text for verdict in played.verdicts if not verdict.ok]
            number = f", run {played.keep(kept, git, began, 'sim')}" if kept else ""
            click.echo(
                f"{one.title}, seed {seed}: {'; '.join(breaches) or 'well'} "
                f"({played.history.end:g} s in {played.took:.2f} s{number})"
            )
            sys.stdout.flush()
            failed = failed or not played.ok
            if shrink and not played.ok:
                click.echo(shrinking.shrink(one, seed).to_text())
    return 1 if failed else 0
