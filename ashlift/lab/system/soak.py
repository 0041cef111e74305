"""The soak test: runs the system on processes under random, overlapping faults, for many seeds."""

import sys
import time
from pathlib import Path

import click

from ashlift.lab.system.memory_watch import VERDICT_NAME
from ashlift.lab.system.runs import ExtraClients, PlayedRun, StoppedError, play_on_processes
from ashlift.lab.system.soak_scenario import max_concurrent_faults, soak_scenario
from ashlift.simulation.history import History
from ashlift.simulation.scenario import Scenario, ScenarioEvent

STOPPED_STATUS = 130  # the shell convention for SIGINT: 128 + 2


def run_soak(
    first_seed: int,
    seed_count: int,
    proxies: int,
    seconds: float,
    keep_failed: Path | None,
    extra_clients: ExtraClients,
) -> int:
    """Run the seeds one after the other, print a line for each, and return the exit status.

    `keep_failed`: directory for the scenarios of failed seeds. `extra_clients`: beside the usual traffic.
    Raises ClickException if a seed cannot be run.
    """
    failed: list[int] = []
    for seed in range(first_seed, first_seed + seed_count):
        try:
            scenario = soak_scenario(seed, proxies, seconds)
            is_ok = _play(scenario, seed, extra_clients)
        except StoppedError as error:
            click.echo(f"stopped by {error}; all processes are ended", err=True)
            return STOPPED_STATUS
        except (RuntimeError, OSError, ValueError) as error:
            raise click.ClickException(f"seed {seed}: {error}") from None
        if not is_ok:
            failed.append(seed)
            if keep_failed is not None:
                keep_failed.mkdir(parents=True, exist_ok=True)
                (keep_failed / f"soak-{seed}.txt").write_text(scenario.to_text())
    click.echo(f"failed seeds: {', '.join(map(str, failed)) or 'none'}")
    click.echo(f"{seed_count - len(failed)} passed, {len(failed)} failed")
    return 1 if failed else 0


def _play(scenario: Scenario, seed: int, extra_clients: ExtraClients) -> bool:
    began = time.monotonic()
    run = play_on_processes(scenario, seed, _ignore_progress, _ignore_event, extra_clients=extra_clients)
    served = sum(200 <= request.status < 300 for request in run.history.requests)
    broken = [verdict for verdict in run.verdicts if not verdict.ok]
    click.echo(
        f"seed {seed}: {'broken' if broken else 'held'}; "
        f"{len(run.history.requests)} requests, {served} served, "
        f"{_closed_unread_count(run.history)} closed unread, "
        f"{len(scenario.events)} events, up to {max_concurrent_faults(scenario)} faults at once, "
        f"{time.monotonic() - began:.0f} s, at most {run.max_lag:.2f} s late{_uploads_text(run)}"
    )
    for verdict in broken:
        click.echo(f"  {verdict.line()}")
    sys.stdout.flush()
    return not broken


def _uploads_text(run: PlayedRun) -> str:
    """Return how the large uploads ended, and the memory that the programs took."""
    if not run.upload_results:
        return ""
    results = ", ".join(f"{count} x {status}" for status, count in sorted(run.upload_results.items()))
    memory = next(verdict.text for verdict in run.verdicts if verdict.name == VERDICT_NAME)
    return f"; large uploads: {results}; {memory}"


def _closed_unread_count(history: History) -> int:
    """Return how many requests were on a connection that closed before they reached a worker."""
    return sum(request.connection_broken and not request.arrivals for request in history.requests)


def _ignore_progress(_text: str) -> None:
    pass


def _ignore_event(_event: ScenarioEvent) -> None:
    pass
