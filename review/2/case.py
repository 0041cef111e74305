"""Two clients that send a body of the allowed size at once end the proxy: it is over its memory."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    FRONT_PORT,
    LIMITS,
    ZONES,
    Platform,
    Program,
    Record,
    Worker,
    call,
    new_attempt_id,
    play,
    put_config,
    route,
    service,
)

MEMORY_MB = 300  # `MemoryMb` of an edge machine, DEPLOY.md
MAX_BODY_BYTES = 67108864  # `MaxBodyBytes` of the configuration, PROTOCOL.md
SMALL_BODY_BYTES = 1200  # without the disruption
ROUNDS = 3
ENDS_IN_A_DAY = 3  # RULES.md, "Fault"
MIN_MACHINES = 2  # a tenth of the machines in use, two at least
WATCH_SECONDS = 0.005
HOST = "desk.example"


class MemoryLimit:
    """The platform's limit: a process that goes over it is killed."""

    def __init__(self, record: Record, program: Program) -> None:
        self.record = record
        self.program = program
        self.peak_bytes = 0
        self.kills = 0

    async def watch(self) -> None:
        """Kill the process whenever it is over the limit."""
        while True:
            used = self.program.resident_bytes()
            self.peak_bytes = max(self.peak_bytes, used)
            if used > MEMORY_MB << 20:
                self.kills += 1
                text = f"platform: {self.program.label} uses {used >> 20} MB of {MEMORY_MB}: killed"
                self.record.add(text, show=True)
                self.program.send_signal(signal.SIGKILL)
                await asyncio.sleep(0.3)
            await asyncio.sleep(WATCH_SECONDS)


async def usual_traffic(record: Record, ip: str, unanswered: list[str]) -> None:
    """A booking each 50 ms, as other clients send them meanwhile."""

    async def book() -> None:
        attempt = new_attempt_id()
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Time-Remaining": "4000"}
        body = b"b" * SMALL_BODY_BYTES
        answer = await call(ip, FRONT_PORT, "POST", "/hold/1", headers, body, timeout=4.0)
        record.add(f"client: POST /hold/1 id {attempt}: {answer}")
        if answer.status is None and answer.connected:
            unanswered.append(attempt)

    tasks = set()
    while True:
        task = asyncio.create_task(book())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(0.05)


async def upload(record: Record, ip: str, size: int) -> None:
    """One client that sends a body of `size` bytes."""
    attempt = new_attempt_id()
    headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Time-Remaining": "4000"}
    answer = await call(ip, FRONT_PORT, "PUT", "/hold/scan", headers, b"s" * size, timeout=6.0)
    record.add(f"client: PUT /hold/scan id {attempt}, {size} bytes, at {ip}: {answer}", show=True)


async def case(record: Record, trouble: bool) -> bool:
    """Play the case; whether the rule is broken."""
    platform = Platform(record, core=3, edge=2, memory_mb=MEMORY_MB)
    tasks: list[asyncio.Task[None]] = []
    try:
        await platform.start()
        workers = [
            Worker(platform, f"i-{n}", "holddesk", n, list(ZONES)[n % 3], work_seconds=lambda _p, _b: 0.3)
            for n in range(6)
        ]
        for worker in workers:
            await worker.start()
        objects = [route("r-hold", HOST, "/hold/", "non_idempotent", "holddesk"), service("holddesk"), LIMITS]
        await put_config(platform, "00000000", {"ConfigVersion": "00000001", "Objects": objects})
        await platform.wait_ready()
        await asyncio.sleep(2.0)
        limits = [MemoryLimit(record, platform.program(machine, "proxy")) for machine in platform.edge]
        tasks += [asyncio.create_task(limit.watch()) for limit in limits]
        unanswered: list[str] = []
        for machine in platform.edge:
            tasks.append(asyncio.create_task(usual_traffic(record, machine.ip, unanswered)))
        size = MAX_BODY_BYTES if trouble else SMALL_BODY_BYTES
        for _ in range(ROUNDS):
            for machine in platform.edge:
                await asyncio.gather(*(upload(record, machine.ip, size) for _ in range(2)))
            await asyncio.sleep(5.0)
            await platform.wait_ready()
        ran = {attempt for worker in workers for _, attempt in worker.ran}
        lost = [attempt for attempt in unanswered if attempt in ran]
        for limit in limits:
            kills = f"{limit.kills} ends over the limit, peak {limit.peak_bytes >> 20} MB"
            record.add(f"{limit.program.label}: {kills}", show=True)
        record.add(f"bookings of other clients that ran and got no answer: {len(lost)}", show=True)
        return sum(limit.kills >= ENDS_IN_A_DAY for limit in limits) >= MIN_MACHINES
    finally:
        for task in tasks:
            task.cancel()
        await platform.stop()


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
