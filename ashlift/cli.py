"""The command line. `python -m ashlift` without a word runs the gatekeeper and loads none of this."""

import os
import sys
from pathlib import Path
from typing import Any

import click

from ashlift import __version__
from ashlift.settings.model import OwnSettings
from ashlift.settings.reader import SettingsError, Spot
from ashlift.settings.schema import Loaded, Slot, load, nearest, show, slots, walk

SHIPPED = Path(__file__).parent.parent / "deploy" / "ashlift.sexp"
FILE = click.Path(dir_okay=False, path_type=Path)


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__, prog_name="ashlift")
def ashlift() -> None:
    """A rate-limiting gatekeeper, run as a fleet before shared execute nodes.

    Shell completion: eval "$(_ASHLIFT_COMPLETE=bash_source ashlift)", or zsh_source, or fish_source.
    """


@ashlift.command()
@click.option("--settings", type=FILE, envvar="GW_SETTINGS", show_envvar=True,
              help="Our own settings; the checkout's deploy/ashlift.sexp if none is named.")  # fmt: skip
def serve(settings: Path | None) -> None:
    """Run one gatekeeper until SIGTERM.

    GW_CONFIG names the platform's JSON file; GW_NAME, GW_LISTEN and GW_DISCOVERY go before what it says.
    """
    from ashlift.__main__ import main  # the daemon's parts: no other command needs them

    path = settings or (SHIPPED if SHIPPED.exists() else None)
    if path is not None:
        os.environ["GW_SETTINGS"] = str(path)
    sys.exit(main())


@ashlift.group("settings")
def settings_group() -> None:
    """Check, show and explain the settings files."""


def _load(path: Path) -> Loaded:
    try:
        return load(path)
    except SettingsError as error:
        for line in error.lines:
            click.echo(line, err=True)
        sys.exit(2)


@settings_group.command()
@click.argument("file", type=FILE)
def check(file: Path) -> None:
    """Check FILE; every fault is one line FILE:LINE:COL: key: what is wrong. Exits with 2 if there is one."""
    found = _load(file)
    click.echo(f"{file}: good; {len(found.set)} settings")


@settings_group.command("show")
@click.argument("file", type=FILE, envvar="GW_SETTINGS", required=False)
def show_all(file: Path | None) -> None:
    """The values in force with FILE (or the file that GW_SETTINGS names), and where each comes from."""
    found = _load(file) if file is not None else Loaded(OwnSettings(), "", {})
    values = walk(found.settings, OwnSettings)
    rows = [(key, show(slot, value), _origin(found, key)) for key, slot, value in values]
    wide = [max(len(row[at]) for row in rows) for at in (0, 1)]
    for key, value, origin in rows:
        click.echo(f"{key:{wide[0]}}  {value:{wide[1]}}  {origin}")


def _origin(found: Loaded, key: str) -> str:
    spot: Spot | None = found.set.get(key)
    return f"{found.name}:{spot.line}" if spot is not None else "default"


@settings_group.command()
@click.argument("key")
def explain(key: str) -> None:
    """What KEY means: its type, unit, bounds and default. A class's own settings: streaming.class.stall."""
    model: type[Any] | None = OwnSettings
    slot: Slot | None = None
    steps = key.split(".")
    for at, step in enumerate(steps):
        known = slots(model) if model is not None else {}
        slot = known.get(step)
        if slot is None:
            advice = nearest(step, known) if known else ""
            raise click.UsageError(f"no setting {'.'.join(steps[: at + 1])}{advice}")
        model = slot.table or slot.rows
    assert slot is not None
    click.echo(f"{key}: {slot.about.text}")
    if model is not None:
        for name, inner in slots(model).items():
            click.echo(f"  {name:22} {inner.about.text}")
        return
    click.echo(f"  type     {_type(slot)}")
    bounds = [f"at {word} {show(slot, limit)}" for word, limit in
              (("least", slot.about.least), ("most", slot.about.most)) if limit is not None]  # fmt: skip
    if bounds:
        click.echo(f"  bounds   {', '.join(bounds)}")
    click.echo(f"  default  {show(slot, slot.default)}")


def _type(slot: Slot) -> str:
    unit = {"bytes": "bytes, as in 256KiB", "rate": "bytes a second, as in 8KiB/s",
            "time": "a time, as in 250ms or 2s", "address": "host:port"}.get(slot.about.unit)  # fmt: skip
    if unit:
        return unit
    names = {bool: "true or false", int: "a whole number", float: "a number", str: "text"}
    literal = getattr(slot.kind, "__args__", ())
    return names.get(slot.kind) or ("one or more names" if ... in literal else ", ".join(map(str, literal)))


@ashlift.group("lab")
def lab_group() -> None:
    """Our own installation of several gatekeepers, faults between them, and a checker (ashlift_lab)."""


def _moments(text: str, parts: int) -> tuple[tuple[Any, ...], ...]:
    """"1@2.5" or "1@1-3", comma-separated: a gatekeeper's number, then seconds."""
    found: list[tuple[Any, ...]] = []
    for item in filter(None, text.split(",")):
        try:
            who, _, when = item.partition("@")
            times = [float(part) for part in when.split("-")]
            if len(times) != parts:
                raise ValueError
            found.append((int(who), *times))
        except ValueError:
            raise click.BadParameter(f"{item!r}: wants G@S" + ("-S" if parts == 2 else "")) from None
    return tuple(found)


@lab_group.command("run")
@click.option("--gatekeepers", type=click.IntRange(1, 9), default=3, show_default=True)
@click.option("--nodes", type=click.IntRange(1, 60), default=4, show_default=True)
@click.option("--seconds", type=click.FloatRange(0.5, 120), default=5.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--work-ms", type=click.FloatRange(0, 10_000), default=2.0, show_default=True,
              help="A node's time for a job.")  # fmt: skip
@click.option("--kill", default="", help="Gatekeepers killed: G@S, comma-separated, as 1@2.5.")
@click.option("--cut-counter", default="", help="Gatekeepers cut from the counter: G@FROM-TO, as 2@1-3.")
@click.option("--restart", default="", help="Gatekeepers started anew where they are gone: G@S, as 1@4.")
@click.option("--pause", default="", help="Gatekeepers stopped by SIGSTOP and woken: G@FROM-TO, as 0@1-3.")
@click.option("--history", type=FILE, default=Path("lab-history.jsonl"), show_default=True)
@click.option("--allowed", type=click.FloatRange(min=0), default=None,
              help="Units beyond a firm's bucket that the checker lets pass; twice the burst if unsaid.")
def lab_run(gatekeepers: int, nodes: int, seconds: float, seed: int, work_ms: float, kill: str,
            cut_counter: str, restart: str, pause: str, history: Path,
            allowed: float | None) -> None:  # fmt: skip
    """Run real gatekeeper processes before our stand-ins, with faults, and check the history they made."""
    from ashlift_lab.checker import check
    from ashlift_lab.history import read
    from ashlift_lab.run import LabError, Run, Scenario

    try:
        scenario = Scenario(gatekeepers, nodes, seconds, seed, work_ms=work_ms, kills=_moments(kill, 1),
                            restarts=_moments(restart, 1), pauses=_moments(pause, 2),
                            counter_cuts=_moments(cut_counter, 2))  # fmt: skip
        with open(history, "w", encoding="utf-8") as out:
            run = Run(scenario, out)
            click.echo(f"lab: {gatekeepers} gatekeepers, {nodes} nodes, {seconds:g} s; logs in {run.folder}",
                       err=True)  # fmt: skip
            run.play()
    except LabError as error:
        raise click.ClickException(str(error)) from None
    with open(history, encoding="utf-8") as file:
        verdicts = check(read(file), 2 * scenario.burst if allowed is None else allowed)
    for verdict in verdicts:
        click.echo(verdict.line())
    click.echo(f"history: {history}")
    sys.exit(0 if all(verdict.ok for verdict in verdicts) else 1)


@lab_group.command("check")
@click.argument("history", type=FILE)
@click.option("--allowed", type=click.FloatRange(min=0), default=0.0, show_default=True,
              help="Units a firm may be served beyond its token bucket: the stated bound for the faults.")
def lab_check(history: Path, allowed: float) -> None:
    """Check a recorded HISTORY (JSON lines): one verdict line an invariant; exits with 1 on any breach."""
    from ashlift_lab.checker import check  # the lab is never loaded by the daemon or the other commands
    from ashlift_lab.history import HistoryError, read

    try:
        with open(history, encoding="utf-8") as file:
            verdicts = check(read(file), allowed)
    except (OSError, HistoryError) as error:
        click.echo(f"{history}:{error}", err=True)
        sys.exit(2)
    for verdict in verdicts:
        click.echo(verdict.line())
    sys.exit(0 if all(verdict.ok for verdict in verdicts) else 1)
