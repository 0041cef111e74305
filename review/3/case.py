"""A worker that left gets requests again, once the registry that took its leave was killed."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from standins import (
    CONTROL_PORT,
    FRONT_PORT,
    LIMITS,
    ZONES,
    CannotRunError,
    Machine,
    Platform,
    Record,
    SlowLink,
    Worker,
    call,
    new_attempt_id,
    play,
    put_config,
    route,
    service,
)

DRAIN_SECONDS = 3.0  # `Drain`
CONTACT_SECONDS = 4.0  # `Contact`
BEAT_DELAY_SECONDS = 7.0  # how late the last heartbeat arrives
SERVES_ON_SECONDS = 8.5  # after the acknowledgement; the page: "at times many seconds"
WATCH_SECONDS = 12.0  # after the acknowledgement
WORK_SECONDS = 0.2
INTERVAL_SECONDS = 0.05  # between the requests at each proxy
HOST = "desk.example"


async def traffic(record: Record, ip: str, sent: dict[str, float], failed: set[str]) -> None:
    """Requests at one proxy; `sent`: when each was sent; `failed`: those without a success or a promise."""

    async def book() -> None:
        attempt = new_attempt_id()
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Time-Remaining": "4000"}
        sent[attempt] = record.now()
        answer = await call(ip, FRONT_PORT, "POST", "/hold/1", headers, b"b" * 600, timeout=4.0)
        record.add(f"client: POST /hold/1 id {attempt} at {ip}: {answer}")
        if answer.status not in (200, 503):
            failed.add(attempt)

    tasks = set()
    while True:
        task = asyncio.create_task(book())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(INTERVAL_SECONDS)


async def leave(record: Record, platform: Platform, worker: Worker, link: SlowLink) -> float:
    """Have the worker leave by DELETE; when it was acknowledged, on the record's clock."""
    keeper = platform.core[1]
    worker.pause_beats()
    # Its last heartbeat gets no answer within a second, so that it calls the next registry.
    await worker.beat(first=link.address)
    if not await worker.beat(first=(keeper.ip, CONTROL_PORT)):
        raise CannotRunError("the heartbeat was not acknowledged")
    answer = await worker.deregister(keeper.ip)
    if answer.status != 200:
        raise CannotRunError(f"the leave was not acknowledged: {answer}")
    return record.now()


async def kill_and_restart(record: Record, platform: Platform, machine: Machine) -> None:
    """Kill both processes of a machine; the platform starts them again."""
    for role in ("registry", "configstore"):
        platform.program(machine, role).send_signal(signal.SIGKILL)
    record.add(f"trouble: {machine.name} killed", show=True)


def late_arrivals(
    worker: Worker, sent: dict[str, float], acknowledged: float, in_touch: float
) -> list[float]:
    """Seconds from the acknowledgement to each arrival that the rule forbids."""
    late = []
    for at, attempt in worker.arrived:
        if at > acknowledged + DRAIN_SECONDS and sent.get(attempt, 0.0) >= in_touch:
            late.append(at - acknowledged)
            worker.record.add(f"BROKEN: id {attempt} reached {worker.id} {late[-1]:.2f} s after the leave")
    return late


async def play_day(record: Record, platform: Platform, link: SlowLink, trouble: bool) -> bool:
    """Play the case on a running system; whether the rule is broken."""
    workers = [
        Worker(platform, f"i-{n}", "holddesk", n, list(ZONES)[n], work_seconds=lambda _p, _b: WORK_SECONDS)
        for n in range(3)
    ]
    for worker in workers:
        await worker.start()
    objects = [route("r-hold", HOST, "/hold/", "non_idempotent", "holddesk"), service("holddesk"), LIMITS]
    await put_config(platform, "00000000", {"ConfigVersion": "00000001", "Objects": objects})
    await platform.wait_ready()
    sent: dict[str, float] = {}
    failed: set[str] = set()
    tasks = [asyncio.create_task(traffic(record, machine.ip, sent, failed)) for machine in platform.edge]
    await asyncio.sleep(6.0)  # a calm time, longer than `Contact`
    acknowledged = await leave(record, platform, workers[0], link)
    if trouble:
        await kill_and_restart(record, platform, platform.core[1])
    await asyncio.sleep(1.5)
    await platform.wait_ready()
    in_touch = max(program.started_at for program in platform.programs) + CONTACT_SECONDS
    in_touch = record.at(in_touch)
    record.add(f"every machine is in touch {in_touch - acknowledged:.2f} s after the acknowledgement")
    await asyncio.sleep(acknowledged + SERVES_ON_SECONDS - record.now())
    await workers[0].end()
    record.add(f"worker {workers[0].id}: ends", show=True)
    await asyncio.sleep(acknowledged + WATCH_SECONDS - record.now())
    for task in tasks:
        task.cancel()
    late = late_arrivals(workers[0], sent, acknowledged, in_touch)
    total = sum(len(worker.arrived) for worker in workers)
    record.add(f"{len(late)} of {total} requests reached the worker that had left", show=True)
    cut = {attempt for _, attempt in workers[0].ran} & failed
    record.add(f"bookings that it ran and whose clients got no success: {len(cut)}", show=True)
    if late:
        record.add(f"from {late[0]:.2f} s to {late[-1]:.2f} s after the acknowledgement", show=True)
    return bool(late)


async def case(record: Record, trouble: bool) -> bool:
    """Play the case; whether the rule is broken."""
    platform = Platform(record, core=3, edge=3)
    target = platform.core[2].ip, CONTROL_PORT
    link = SlowLink(f"{platform.worker_prefix}.200", target, BEAT_DELAY_SECONDS)
    try:
        await platform.start()
        await link.start()
        return await play_day(record, platform, link, trouble)
    finally:
        link.stop()
        await platform.stop()


if __name__ == "__main__":
    play(Path(__file__).resolve().parent, case)
