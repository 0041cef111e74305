"""DRAIN: workers leave while a proxy is cut off, and the core loses power before the proxy hears of it."""

import asyncio
import math
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from cluster import (  # noqa: E402
    CannotRunError,
    Client,
    Cluster,
    Operator,
    Record,
    Worker,
    configuration,
    free_files,
    lost_with,
    play,
    record_requests,
    route,
    start_workers,
    tenant,
)

HOST = "counter.example"
DRAIN, CONTACT = 3.0, 4.0
LEAVE_AT, DOWN_S, END = 6.0, 0.35, 17.0
SERVES_ON_S = [5.0, 5.3, 5.6]  # after its acknowledgement, each of those that leave
EDGE = ["hou-hall-a", "hou-hall-a", "mob-hall-a"]
WORKERS, LEAVING = 20, 3  # a share of 0.15 leaves
CUT_BEFORE_S = 0.02  # from the beginning of the cut to the worker's DELETE
KILL_AFTER_S = 0.05  # from the acknowledgement to the loss of power
CLIENTS, PER_S = 60, 4.0


async def leave(record: Record, leavers: list[Worker]) -> dict[str, float]:
    """Have the workers leave; returns when the leaving of each was acknowledged.

    They never say `draining`: they send DELETE first, serve on for long, and end.
    """
    for leaver in leavers:
        leaver.stop_beats()
        record.add(f"DELETE of {leaver.id} is sent")

    async def call(leaver: Worker) -> tuple[str, float]:
        by = await leaver.call("DELETE", b"")
        if by is None:
            raise CannotRunError("the leaving was not acknowledged")
        return leaver.id, record.add(f"DELETE of {leaver.id} acknowledged by {by}")

    return dict(await asyncio.gather(*(call(leaver) for leaver in leavers)))


def verdict(
    record: Record,
    workers: list[Worker],
    clients: list[Client],
    left_at: dict[str, float],
    ended: dict[str, float],
    in_touch_from: float,
) -> tuple[bool, list[str]]:
    """Whether requests of machines in touch reached workers too late, and what to say of it."""
    late: list[float] = []
    others = 0
    runs = record_requests(record, workers, clients)
    lost = lost_with(runs, ended)
    for worker, run, attempt in runs:
        if run.arrived_at > left_at.get(worker.id, math.inf) + DRAIN:
            if attempt.sent_at >= in_touch_from:
                late.append(run.arrived_at)
            else:
                others += 1
    acknowledged = ", ".join(f"{worker} at {at:.3f} s" for worker, at in left_at.items())
    at = ", ".join(f"{moment:.3f}" for moment in sorted(late))
    heading = [
        f"rule DRAIN: no request of machines in touch {DRAIN:g} s after the acknowledgement",
        f"acknowledged: {acknowledged}",
        f"the machines are in touch again from {in_touch_from:.3f} s",
        f"requests that reached these workers after the bound: {others} before that time, {len(late)} since",
        f"bookings that these workers had begun to run as they ended, and that got no answer: {lost}",
    ]
    return bool(late), heading + ([f"these came at {at} s"] if late else [])


async def case(record: Record, trouble: bool) -> tuple[bool, list[str]]:
    """Play the case; returns whether DRAIN was broken, and what to say of it."""
    free_files()
    cluster = Cluster(["hou-hall-a", "mob-hall-a", "jax-hall-a"], EDGE, record, cuttable=(0,))
    try:
        await cluster.begin()
        workers = await start_workers(cluster, "holddesk", ["mob-hall-a"] * WORKERS, 0.29)
        leavers = workers[:LEAVING]
        routes = [route(HOST, "/hold/", "holddesk", "non_idempotent")]
        settings = configuration("00000001", routes, ["holddesk"], [tenant("calm")])
        await Operator(cluster).put("00000000", settings)
        await cluster.wait_until_ready()
        await asyncio.sleep(4.0)
        began = record.add("traffic begins")
        clients = [Client(cluster, "hou-hall-a", HOST, "key-calm", "calm") for _ in range(CLIENTS)]

        def stopped() -> bool:
            return record.now() >= began + END

        jobs = [
            asyncio.create_task(c.send_steadily("POST", "/hold/1", lambda: PER_S, stopped)) for c in clients
        ]
        await asyncio.sleep(LEAVE_AT)
        if trouble:
            cluster.cut(cluster.edge[0])
            await asyncio.sleep(CUT_BEFORE_S)
        left_at = await leave(record, leavers)
        in_touch_from = 0.0
        if trouble:
            await asyncio.sleep(KILL_AFTER_S)
            cluster.power_off_core()
            await asyncio.sleep(DOWN_S / 2)
            cluster.join(cluster.edge[0])
            await asyncio.sleep(DOWN_S / 2)
            started_at = cluster.power_on_core()
            in_touch_from = started_at + CONTACT
        ended: dict[str, float] = {}
        for leaver, serves_on in zip(leavers, SERVES_ON_S, strict=True):
            await asyncio.sleep(max(0.0, left_at[leaver.id] + serves_on - record.now()))
            leaver.stop()
            ended[leaver.id] = record.add(f"{leaver.id} ends")
        await asyncio.gather(*jobs)
        return verdict(record, workers, clients, left_at, ended, in_touch_from)
    finally:
        cluster.end()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
