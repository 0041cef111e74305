"""The command line. Not loaded by `python -m ashlift` without arguments, which runs the gatekeeper."""

import os
import sys
from pathlib import Path
from typing import Any

import click

from ashlift import __version__
from ashlift.gatekeeper.settings.model import FeatureSettings
from ashlift.gatekeeper.settings.reader import Position, SettingsError
from ashlift.gatekeeper.settings.schema import (
    LoadedSettings,
    Setting,
    format_value,
    iterate_settings,
    load_settings,
    settings_of,
    suggest_name,
)

DEFAULT_SETTINGS_FILE = Path(__file__).parents[2] / "deploy" / "ashlift.sexp"
FILE = click.Path(dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="ashlift")
def ashlift() -> None:
    """A rate-limiting gateway that runs as a fleet in front of shared execute nodes.

    Shell completion: eval "$(_ASHLIFT_COMPLETE=bash_source ashlift)", or zsh_source, or fish_source.
    """


@ashlift.command()
@click.option(
    "--settings",
    type=FILE,
    envvar="GW_SETTINGS",
    show_envvar=True,
    help="Settings file of the optional features; by default the checkout's deploy/ashlift.sexp.",
)
def serve(settings: Path | None) -> None:
    """Run one gatekeeper until SIGTERM.

    GW_CONFIG names the platform's JSON file; GW_NAME, GW_LISTEN and GW_DISCOVERY take precedence over it.
    """
    from ashlift.gatekeeper.__main__ import main  # not needed by other commands

    path = settings or (DEFAULT_SETTINGS_FILE if DEFAULT_SETTINGS_FILE.exists() else None)
    if path is not None:
        os.environ["GW_SETTINGS"] = str(path)
    sys.exit(main())


@ashlift.group("settings")
def settings_group() -> None:
    """Check, show and explain the settings files."""


def _load(path: Path) -> LoadedSettings:
    try:
        return load_settings(path)
    except SettingsError as error:
        for line in error.lines:
            click.echo(line, err=True)
        sys.exit(2)


@settings_group.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check FILE; prints each problem as FILE:LINE:COL: key: message. Exits with 2 if there is any."""
    loaded = _load(file)
    click.echo(f"{file}: good; {len(loaded.positions)} settings")


@settings_group.command("show")
@click.argument("file", type=FILE, envvar="GW_SETTINGS", required=False)
def show_effective(file: Path | None) -> None:
    """Show the effective values with FILE (or the file that GW_SETTINGS names), and where each is set."""
    loaded = _load(file) if file is not None else LoadedSettings(FeatureSettings(), "", {})
    values = iterate_settings(loaded.settings, FeatureSettings)
    rows = [(key, format_value(setting, value), _origin(loaded, key)) for key, setting, value in values]
    widths = [max(len(row[column]) for row in rows) for column in (0, 1)]
    for key, value, origin in rows:
        click.echo(f"{key:{widths[0]}}  {value:{widths[1]}}  {origin}")


def _origin(loaded: LoadedSettings, key: str) -> str:
    position: Position | None = loaded.positions.get(key)
    return f"{loaded.file_name}:{position.line}" if position is not None else "default"


@settings_group.command()
@click.argument("key")
def explain(key: str) -> None:
    """Explain KEY: its meaning, type, bounds and default. Settings of a class: streaming.class.stall."""
    model: type[Any] | None = FeatureSettings
    setting: Setting | None = None
    steps = key.split(".")
    for index, step in enumerate(steps):
        known = settings_of(model) if model is not None else {}
        setting = known.get(step)
        if setting is None:
            suggestion = suggest_name(step, known) if known else ""
            raise click.UsageError(f"no setting {'.'.join(steps[: index + 1])}{suggestion}")
        model = setting.nested_model or setting.row_model
    assert setting is not None
    click.echo(f"{key}: {setting.info.description}")
    if model is not None:
        for name, inner in settings_of(model).items():
            click.echo(f"  {name:22} {inner.info.description}")
        return
    click.echo(f"  type     {_type(setting)}")
    bounds = [
        f"at {side} {format_value(setting, limit)}"
        for side, limit in (("least", setting.info.minimum), ("most", setting.info.maximum))
        if limit is not None
    ]
    if bounds:
        click.echo(f"  bounds   {', '.join(bounds)}")
    click.echo(f"  default  {format_value(setting, setting.default)}")


def _type(setting: Setting) -> str:
    unit = {
        "bytes": "bytes, as in 256KiB",
        "rate": "bytes a second, as in 8KiB/s",
        "time": "a time, as in 250ms or 2s",
        "address": "host:port",
    }.get(setting.info.unit)
    if unit:
        return unit
    names = {bool: "true or false", int: "a whole number", float: "a number", str: "text"}
    literal = getattr(setting.value_type, "__args__", ())
    return names.get(setting.value_type) or (
        "one or more names" if ... in literal else ", ".join(map(str, literal))
    )


@ashlift.group("lab")
def lab_group() -> None:
    """Test runs of several gatekeepers with injected faults, and a checker of their histories."""


def _parse_times(text: str, times_each: int) -> tuple[tuple[Any, ...], ...]:
    """Parses "1@2.5" or "1@1-3", comma-separated: the number of a gatekeeper and seconds."""
    parsed: list[tuple[Any, ...]] = []
    for item in filter(None, text.split(",")):
        try:
            number, _, seconds = item.partition("@")
            times = [float(part) for part in seconds.split("-")]
            if len(times) != times_each:
                raise ValueError
            parsed.append((int(number), *times))
        except ValueError:
            raise click.BadParameter(f"{item!r}: expected G@S" + ("-S" if times_each == 2 else "")) from None
    return tuple(parsed)


@lab_group.command("run")
@click.argument("scenario", type=click.Path(exists=True, dir_okay=False, path_type=Path), required=False)
@click.option("--gatekeepers", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 60), default=4, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.5, 120), default=5.0, show_default=True)
@click.option("--seed", type=int, default=None, help="By default the scenario's, or 1.")
@click.option(
    "--work-ms",
    type=click.FloatRange(0, 10_000),
    default=2.0,
    show_default=True,
    help="Time that a node takes for a job.",
)
@click.option("--kill", default="", help="Gatekeepers to kill: G@S, comma-separated, as 1@2.5.")
@click.option(
    "--cut-counter", default="", help="Gatekeepers to disconnect from the counter: G@FROM-TO, as 2@1-3."
)
@click.option("--restart", default="", help="Killed gatekeepers to restart: G@S, as 1@4.")
@click.option("--pause", default="", help="Gatekeepers to pause with SIGSTOP: G@FROM-TO, as 0@1-3.")
@click.option("--history", type=FILE, default=Path("lab-history.jsonl"), show_default=True)
@click.option("--results", type=FILE, default=Path("lab-results.sqlite"), show_default=True)
@click.option("--report", "report_to", type=FILE, default=None, help="Write the run's HTML report here.")
@click.option(
    "--allowed",
    type=click.FloatRange(min=0),
    default=None,
    help="Units beyond a customer's token bucket to accept; by default the scenario's, or twice the burst.",
)
def lab_run(
    scenario: Path | None,
    gatekeepers: int,
    nodes: int,
    seconds: float,
    seed: int | None,
    work_ms: float,
    kill: str,
    cut_counter: str,
    restart: str,
    pause: str,
    history: Path,
    results: Path,
    report_to: Path | None,
    allowed: float | None,
) -> None:
    """Run gatekeeper processes against simulated nodes with faults, check the recorded history and store it.

    A SCENARIO file (S-expressions: ashlift/lab/scenario_file.py) replaces the options.
    """
    import dataclasses
    import time

    from ashlift.lab.checker import check_history
    from ashlift.lab.gatekeeper_process import LabError
    from ashlift.lab.git_commit import current_commit
    from ashlift.lab.history import read_history
    from ashlift.lab.results import RunDescription
    from ashlift.lab.run import Run
    from ashlift.lab.scenario import Scenario, ScenarioError
    from ashlift.lab.scenario_file import load_scenario

    try:
        if scenario is not None:
            text = scenario.read_text(encoding="utf-8")
            plan = load_scenario(text, str(scenario))
        else:
            plan = Scenario(
                gatekeepers,
                nodes,
                seconds,
                work_ms=work_ms,
                kills=_parse_times(kill, 1),
                restarts=_parse_times(restart, 1),
                pauses=_parse_times(pause, 2),
                counter_cuts=_parse_times(cut_counter, 2),
            )
            text = repr(plan)
        if seed is not None:
            plan = dataclasses.replace(plan, seed=seed)
        started = time.strftime("%Y-%m-%dT%H:%M:%S")
        with open(history, "w", encoding="utf-8") as out:
            run = Run(plan, out, _progress(plan.seconds))
            click.echo(
                f"lab: {plan.name}, {plan.gatekeepers} gatekeepers, {plan.nodes} nodes, "
                f"{plan.seconds:g} s, seed {plan.seed}; logs in {run.directory}",
                err=True,
            )
            run.play()
        click.echo("", err=True)
    except (LabError, ScenarioError) as error:
        raise click.ClickException(str(error)) from None
    bound = allowed if allowed is not None else plan.allowed if plan.allowed is not None else 2 * plan.burst
    with open(history, encoding="utf-8") as file:
        recorded = read_history(file)
    verdicts = check_history(recorded, bound)
    for verdict in verdicts:
        click.echo(verdict.line())
    store = _results(results)
    number = store.store(
        recorded,
        verdicts,
        RunDescription(
            name=plan.name,
            began=started,
            commit=current_commit(),
            seed=plan.seed,
            scenario=text,
            allowed_rate=plan.firms * plan.quota,
        ),
    )
    click.echo(f"history: {history}; run {number} in {results}")
    if report_to is not None:
        _write_report(store, number, report_to)
    sys.exit(0 if all(verdict.ok for verdict in verdicts) else 1)


@lab_group.command("system")
@click.argument("scene", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seed", type=int, default=None, help="By default the scene's.")
@click.option(
    "--until",
    type=click.FloatRange(min=1),
    default=None,
    help="End after this many seconds of the scene; later events are skipped.",
)
@click.option("--results", type=FILE, default=Path("lab-results.sqlite"), show_default=True)
@click.option("--report", type=FILE, default=None, help="Write the run's HTML report here.")
@click.option("--keep", is_flag=True, help="Keep the folder of settings, disks and logs.")
def lab_system(
    scene: Path, seed: int | None, until: float | None, results: Path, report: Path | None, keep: bool
) -> None:
    """Run a SCENE of the whole system (ashlift/simulation/scenario.py) with real processes on loopback."""
    from ashlift.lab.system import commands  # heavy imports that only the lab needs

    sys.exit(commands.run_on_processes(scene, seed, until, results, report, keep))


@lab_group.command("soak")
@click.option("--first", type=int, default=1, show_default=True, help="The first seed.")
@click.option("--seeds", type=click.IntRange(1, 1000), default=5, show_default=True)
@click.option("--proxies", type=click.IntRange(2, 150), default=9, show_default=True)
@click.option("--seconds", type=click.FloatRange(19, 120), default=30.0, show_default=True)
@click.option("--keep-failed", type=click.Path(file_okay=False, path_type=Path), default=None)
@click.option("--large-uploads", is_flag=True, help="Clients also send bodies of up to 64 MiB.")
@click.option("--misbehaving-clients", is_flag=True, help="Others stop short of their end or do not read.")
def lab_soak(
    first: int,
    seeds: int,
    proxies: int,
    seconds: float,
    keep_failed: Path | None,
    large_uploads: bool,
    misbehaving_clients: bool,
) -> None:
    """Inject random, overlapping faults into real processes, for many seeds; any broken invariant fails."""
    from ashlift.lab.system import soak
    from ashlift.lab.system.runs import ExtraClients

    extra_clients = ExtraClients(large_uploads, misbehaving_clients)
    sys.exit(soak.run_soak(first, seeds, proxies, seconds, keep_failed, extra_clients))


@lab_group.command("sim")
@click.argument("scene", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--seeds", type=click.IntRange(1, 1000), default=1, show_default=True)
@click.option("--first", type=int, default=None, help="The first seed; by default the scene's.")
@click.option("--results", type=FILE, default=None, help="Store each run here.")
@click.option("--shrink", is_flag=True, help="Minimize and print failing scenes.")
def lab_sim(scene: Path, seeds: int, first: int | None, results: Path | None, shrink: bool) -> None:
    """Run a SCENE of the whole system in simulated time, with many seeds."""
    from ashlift.lab.system import commands

    sys.exit(commands.run_simulated(scene, seeds, first, results, shrink))


def _progress(seconds: float) -> Any:
    def report(elapsed_s: float, sent: int, done: int) -> None:
        click.echo(f"\r  {elapsed_s:5.1f} / {seconds:g} s  jobs sent {sent}, done {done}", nl=False, err=True)

    return report


def _results(path: Path) -> Any:
    from ashlift.lab.results import Results  # imports hdrhistogram, which only the lab needs

    return Results(path)


def _write_report(store: Any, number: int, path: Path) -> None:
    from ashlift.lab.report import render_report

    path.write_text(render_report(store, number), encoding="utf-8")
    click.echo(f"report: {path.resolve()}")


RESULTS_OPTION = click.option("--results", type=FILE, default=Path("lab-results.sqlite"), show_default=True)


def _existing_results(results: Path) -> Any:
    if not results.exists():
        raise click.ClickException(f"{results}: no results here; `ashlift lab run` makes them")
    return _results(results)


def _summary(store: Any, number: int) -> Any:
    from ashlift.lab.results import ResultsError

    try:
        return store.summary(number)
    except ResultsError as error:
        raise click.ClickException(str(error)) from None


@lab_group.command("list")
@RESULTS_OPTION
def lab_list(results: Path) -> None:
    """List the stored runs: id, name, start, commit, seed, jobs, share admitted, p99, verdict."""
    store = _existing_results(results)
    for number in store.run_ids():
        one = store.summary(number)
        click.echo(
            f"{one.id:4}  {one.name:20} {one.began}  {one.commit:10} seed {one.seed:<6} "
            f"{one.sent:6} jobs {one.admitted_share:6.1%} admitted  p99 {one.percentile_ms(99):8.1f} ms  "
            f"{'ok' if one.ok else 'BREACH'}"
        )


@lab_group.command("show")
@click.argument("number", metavar="ID", type=int)
@RESULTS_OPTION
def lab_show(number: int, results: Path) -> None:
    """Show a stored run: its scenario, verdicts, faults, process events and figures by second."""
    store = _existing_results(results)
    one = _summary(store, number)
    detail = store.detail(number)
    click.echo(f"run {one.id}: {one.name}, seed {one.seed}, commit {one.commit}, began {one.began}")
    click.echo(detail.scenario.rstrip())
    for verdict in detail.verdicts:
        click.echo(f"{verdict.name}: {'ok' if verdict.ok else 'BREACH'}: {verdict.text}")
    for fault in detail.faults:
        span = f"{fault.started_ms / 1000:g}-{fault.ended_ms / 1000:g} s"
        click.echo(f"fault {span}: {fault.text} on {len(fault.directions)} ways")
    for event in detail.process_events:
        click.echo(f"process {event.at_ms / 1000:.3f} s: {event.subject} {event.text}")
    click.echo("second  gatekeeper  asked  admitted  refused  unanswered")
    for row in detail.seconds:
        click.echo(
            f"{row.second:6}  {row.gatekeeper:10}  {row.sent:5}  {row.admitted:8}  {row.rejected:7}  "
            f"{row.unanswered:10}"
        )


@lab_group.command("compare")
@click.argument("first", metavar="A")
@click.argument("second", metavar="B")
@RESULTS_OPTION
def lab_compare(first: str, second: str, results: Path) -> None:
    """Compare stored runs: the ratio of B to A. A and B are each a run, or several as 3-7.

    For several runs, prints minimum, median and maximum, and whether the two ranges overlap.
    """
    from ashlift.lab.run_comparison import compare_runs

    store = _existing_results(results)
    groups = [[_summary(store, number) for number in _parse_run_range(text)] for text in (first, second)]
    for line in compare_runs(*groups):
        click.echo(line)


def _parse_run_range(text: str) -> range:
    begin, _, end = text.partition("-")
    if not begin.isdigit() or not (end or "0").isdigit() or (end and int(end) < int(begin)):
        raise click.BadParameter(f"{text!r}: expected a run as 3, or several as 3-7")
    return range(int(begin), int(end or begin) + 1)


@lab_group.command("report")
@click.argument("number", metavar="ID", type=int)
@RESULTS_OPTION
@click.option("--out", type=FILE, default=None, help="The file to write; lab-report-ID.html by default.")
def lab_report(number: int, results: Path, out: Path | None) -> None:
    """Write a self-contained HTML report of a stored run, with charts."""
    store = _existing_results(results)
    _summary(store, number)
    _write_report(store, number, out or Path(f"lab-report-{number}.html"))


@lab_group.command("check")
@click.argument("history", type=FILE)
@click.option(
    "--allowed",
    type=click.FloatRange(min=0),
    default=0.0,
    show_default=True,
    help="Units that a customer may be served beyond its token bucket, as a bound for the faults.",
)
def lab_check(history: Path, allowed: float) -> None:
    """Check a HISTORY (JSON lines): one verdict line for each invariant. Exits with 1 on a breach."""
    from ashlift.lab.checker import check_history
    from ashlift.lab.history import HistoryError, read_history

    try:
        with open(history, encoding="utf-8") as file:
            verdicts = check_history(read_history(file), allowed)
    except (OSError, HistoryError) as error:
        click.echo(f"{history}:{error}", err=True)
        sys.exit(2)
    for verdict in verdicts:
        click.echo(verdict.line())
    sys.exit(0 if all(verdict.ok for verdict in verdicts) else 1)
