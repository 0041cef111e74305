"""The commands `ashlift lab system` and `ashlift lab sim`: run scenarios and print verdicts."""

import sys
import time
from pathlib import Path
from typing import Final

import click

from ashlift.lab.checker import Verdict
from ashlift.lab.git_commit import current_commit
from ashlift.lab.report import render_report
from ashlift.lab.results import Results
from ashlift.lab.system.runs import PlayedRun, StoppedError, play_on_processes, play_simulated
from ashlift.lab.system.supported_scenarios import unsupported_parts
from ashlift.simulation import shrinking
from ashlift.simulation.scenario import Scenario, ScenarioEvent, read_scenarios

MAX_LAG_SECONDS: Final = 0.5  # with more lag, deadlines in a scenario are unreliable
TIME_FORMAT: Final = "%Y-%m-%dT%H:%M:%S"
STOPPED_STATUS: Final = 130  # the shell convention for SIGINT: 128 + 2
PROGRESS_LINE_COLUMNS: Final = 50  # overwritten when an event is printed


def read_scenario_file(path: Path) -> list[Scenario]:
    """Return the scenarios of a file. Raises ClickException if it cannot be read."""
    try:
        return read_scenarios(path)
    except (OSError, ValueError, IndexError) as error:
        raise click.ClickException(f"{path}: {error}") from None


def summarize(verdicts: list[Verdict]) -> str:
    """Return the last line of a run: how many verdicts passed, and the names of those that failed."""
    broken = [verdict.name for verdict in verdicts if not verdict.ok]
    text = f"held: {len(verdicts) - len(broken)} of {len(verdicts)} verdicts"
    return f"{text}; broken: {', '.join(broken)}" if broken else text


def run_on_processes(
    scenario_file: Path,
    seed: int | None,
    until: float | None,
    results_file: Path,
    report_file: Path | None,
    keep_files: bool,
) -> int:
    """Run each scenario of a file on real processes and return the exit status.

    `seed` overrides the seeds of the scenarios; `until` ends each scenario after that many seconds;
    `report_file` receives the report of the last run. Raises ClickException for an unsupported scenario.
    """
    scenarios = _read_supported_scenarios(scenario_file, until)
    results = Results(results_file)
    all_ok = True
    for scenario in scenarios:
        _print_plan(scenario)
        began = time.strftime(TIME_FORMAT)
        run_seed = scenario.plan.seed if seed is None else seed
        try:
            run = play_on_processes(scenario, run_seed, _print_progress, _print_event, keep_files)
        except StoppedError as error:
            click.echo(f"\nstopped by {error}; all processes are ended", err=True)
            return STOPPED_STATUS
        except (RuntimeError, OSError) as error:
            raise click.ClickException(str(error)) from None
        number = _print_and_save(run, results, results_file, began)
        all_ok = all_ok and run.is_ok
        if report_file is not None:
            report_file.write_text(render_report(results, number), encoding="utf-8")
            click.echo(f"report: {report_file.resolve()}")
    return 0 if all_ok else 1


def _read_supported_scenarios(scenario_file: Path, until: float | None) -> list[Scenario]:
    scenarios = read_scenario_file(scenario_file)
    if until is not None:
        scenarios = [scenario.shortened(until) for scenario in scenarios]
    for scenario in scenarios:
        problems = unsupported_parts(scenario)
        if problems:
            raise click.ClickException("; ".join(problems))
    return scenarios


def _print_plan(scenario: Scenario) -> None:
    plan = scenario.plan
    click.echo(
        f"{scenario.title}: {plan.core} core machines, {plan.edge} proxies, "
        f"{plan.workers} workers of each service, {plan.rate:g} requests a second, {plan.until:g} s",
        err=True,
    )


def _print_progress(text: str) -> None:
    click.echo(f"\r  {text}", nl=False, err=True)


def _print_event(event: ScenarioEvent) -> None:
    click.echo(f"\r  {event}{' ' * PROGRESS_LINE_COLUMNS}", err=True)


def _print_and_save(run: PlayedRun, results: Results, results_file: Path, began: str) -> int:
    """Return the number under which the run is saved."""
    click.echo("", err=True)
    for verdict in run.verdicts:
        click.echo(verdict.line())
    if run.max_lag > MAX_LAG_SECONDS:
        click.echo(
            f"the machine is overloaded: the lab process lagged by up to {run.max_lag:.2f} s, so "
            "expectations with a deadline may have failed for that reason"
        )
    number = run.save(results, current_commit(), began, "processes")
    click.echo(f"run {number} in {results_file}, {run.duration:.1f} s")
    click.echo(summarize(run.verdicts))
    return number


def run_simulated(
    scenario_file: Path, seed_count: int, first_seed: int | None, results_file: Path | None, shrink: bool
) -> int:
    """Run each scenario of a file on simulated time with several seeds and return the exit status.

    `first_seed` overrides the seeds of the scenarios; runs are saved to `results_file`; `shrink` prints a
    shorter scenario for each run that fails.
    """
    results = Results(results_file) if results_file else None
    git_commit = current_commit() if results else ""
    all_ok = True
    for scenario in read_scenario_file(scenario_file):
        first = scenario.plan.seed if first_seed is None else first_seed
        for seed in range(first, first + seed_count):
            began = time.strftime(TIME_FORMAT)
            run = play_simulated(scenario, seed)
            number = run.save(results, git_commit, began, "sim") if results else None
            _print_simulated(run, number)
            all_ok = all_ok and run.is_ok
            if shrink and not run.is_ok:
                click.echo(shrinking.shrink(scenario, seed).to_text())
    return 0 if all_ok else 1


def _print_simulated(run: PlayedRun, number: int | None) -> None:
    broken = [verdict.text for verdict in run.verdicts if not verdict.ok]
    saved = "" if number is None else f", run {number}"
    click.echo(
        f"{run.scenario.title}, seed {run.seed}: {'; '.join(broken) or 'well'} "
        f"({run.history.end:g} s in {run.duration:.2f} s{saved})"
    )
    sys.stdout.flush()
