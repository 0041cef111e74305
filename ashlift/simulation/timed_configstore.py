"""A configuration store process that measures its CPU time and decides commands cheaply.

The replica is the real one, but decides commands by `decide_sample_command`: the validation in
`config.operator_config` would dominate the measured time.
"""

import random
import time
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import cbor2

from ashlift.configstore.catch_up import CatchUp
from ashlift.configstore.commands import MAX_ACCEPTED_DIGESTS, OperatorCommand
from ashlift.configstore.proposals import Proposal, ReadOnlyResult
from ashlift.configstore.stored_names import ACCEPTED_PREFIX
from ashlift.simulation.configstore_process import ConfigstoreProcess


class TimedConfigstore(ConfigstoreProcess):
    """Measures its CPU time, and decides sample commands."""

    processor_seconds = 0.0

    def on_start(self) -> None:
        """Start the replica with `decide_sample_command`."""
        super().on_start()
        assert self.replica is not None
        self.replica.command_handler = decide_sample_command

    def handle_event(self, event: Any) -> None:
        """Let the replica handle an event, and add its CPU time."""
        started = time.process_time()
        super().handle_event(event)
        self.processor_seconds += time.process_time() - started


@contextmanager
def payload_times() -> Iterator[list[float]]:
    """Collect the CPU seconds that leaders spend on each catch-up payload within the context."""
    times: list[float] = []
    next_payload = CatchUp.next_payload

    def timed_next_payload(self: CatchUp, *arguments: Any) -> bytes | None:
        started = time.process_time()
        payload = next_payload(self, *arguments)
        times.append(time.process_time() - started)
        return payload

    CatchUp.next_payload = timed_next_payload  # type: ignore[method-assign, assignment]
    try:
        yield times
    finally:
        CatchUp.next_payload = next_payload  # type: ignore[method-assign]


def decide_sample_command(entries: Mapping[str, Any], command: OperatorCommand) -> Proposal | ReadOnlyResult:
    """Set the keys of the command's body if the command is based on the current version."""
    version = int(entries.get("Version", "0"), 16)
    if command.if_match != version:
        return ReadOnlyResult({"status": 412})
    new_version = f"{version + 1:08x}"
    accepted = sorted(key for key in entries if key.startswith(ACCEPTED_PREFIX))
    forgotten = accepted[: -(MAX_ACCEPTED_DIGESTS - 1)]
    changed = {**command.body, "Version": new_version, ACCEPTED_PREFIX + new_version: "0" * 32}
    return Proposal(changed, forgotten, {"status": 200})


def sample_route(number: int, size: int, rng: random.Random) -> dict[str, Any]:
    """Return a random route of about `size` encoded bytes."""
    route = {
        "Host": f"h{number % 40}.example",
        "PathPrefix": f"/p{number}/",
        "RouteType": "idempotent",
        "Timeout": f"{rng.randrange(1000, 5000)}ms",
        "Priority": number % 5,
        "Service": f"s{number % 20}",
        "MaxAttempts": 3,
        "Anonymous": False,
        "HomeRegions": [],
    }
    missing_bytes = size - len(cbor2.dumps(route))
    return {**route, "Note": rng.randbytes(missing_bytes // 2).hex()} if missing_bytes > 8 else route
