"""QUOTA: two proxies are cut off from the core while the tenant that uses them asks beyond its limit."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from cluster import (  # noqa: E402
    FRONT,
    Client,
    Cluster,
    Operator,
    Record,
    Worker,
    configuration,
    free_files,
    play,
    record_requests,
    route,
    start_workers,
    tenant,
)

HOST = "counter.example"
RATE, BURST = 32.0, 32.0
WINDOW, OVERRUN, SLACK = 5.0, 0.1, 20.0
BOUND = (RATE * WINDOW + BURST) * (1 + OVERRUN) + SLACK
USUAL, HOT = 20.0, 7.5  # requests a second of the tenant, all from one zone; times its usual
HOT_HOME = (
    30.0  # requests a second from that zone while the tenant is hot; the rest comes evenly from the others
)
CUT_AT, CUT_S, HOT_AFTER, HOT_S, END = 10.0, 5.5, 0.5, 6.5, 22.0
HOME = "hou-hall-a"
EDGE = ["hou-hall-a", "hou-hall-a", "nol-hall-b", "mob-hall-a", "bhm-hall-b", "jax-hall-a", "tpa-hall-b"]


def worst_window(times: list[tuple[float, float]]) -> tuple[int, float]:
    """The most requests that were both sent and arrived in one window, and its start."""
    worst, start = 0, 0.0
    for sent, _ in times:
        count = sum(sent <= other and arrived <= sent + WINDOW for other, arrived in times)
        if count > worst:
            worst, start = count, sent
    return worst, start


def verdict(
    record: Record, cluster: Cluster, workers: list[Worker], hot: list[Client]
) -> tuple[bool, list[str]]:
    """Whether more ran in a window than the rule allows, and what to say of it."""
    runs = record_requests(record, workers, hot)
    worst, start = worst_window(sorted((attempt.sent_at, run.arrived_at) for _, run, attempt in runs))
    cut_addresses = {f"{machine.ip}:{FRONT}" for machine in cluster.edge[:2]}
    inside = [a for _, run, a in runs if start <= a.sent_at and run.arrived_at <= start + WINDOW]
    by_cut = sum(attempt.proxy in cut_addresses for attempt in inside)
    asked = sum(len(client.tries) for client in hot)
    heading = [
        f"rule QUOTA: in {WINDOW:g} s at most "
        f"({RATE:g} x {WINDOW:g} + {BURST:g}) x {1 + OVERRUN:g} + {SLACK:g} = {BOUND:.1f}",
        f"asked {asked}, run {len(runs)}; worst window {worst}, from {start:.3f} s",
        f"of these {by_cut} by the two machines that may be cut off, {worst - by_cut} by the others",
    ]
    return worst > BOUND, heading


def start_clients(record: Record, cluster: Cluster) -> tuple[list[Client], list["asyncio.Task[None]"]]:
    """Start all clients; returns those of the hot tenant, and the tasks of all.

    The hot tenant's clients are in one zone. While it is hot, others of its clients send from other zones.
    A few clients hold an answer of the directory three times as long.
    """
    began = record.add("traffic begins")
    home = [Client(cluster, HOME, HOST, "key-hot", "hot", 1.0 if n % 3 else 3.0) for n in range(12)]
    others = sorted(set(EDGE) - {HOME})
    away = [Client(cluster, zone, HOST, "key-hot", "hot") for zone in others for _ in range(4)]
    calm = [Client(cluster, zone, HOST, "key-calm", "calm") for zone in sorted(set(EDGE)) for _ in range(2)]

    def stopped() -> bool:
        return record.now() >= began + END

    def is_hot() -> bool:
        return 0.0 <= record.now() - began - CUT_AT - HOT_AFTER < HOT_S

    def home_rate() -> float:
        return (HOT_HOME if is_hot() else USUAL) / len(home)

    def away_rate() -> float:
        return (USUAL * HOT - HOT_HOME) / len(away) if is_hot() else 0.0

    jobs = [asyncio.create_task(c.send_steadily("GET", "/look/1", home_rate, stopped)) for c in home]
    jobs += [asyncio.create_task(c.send_steadily("GET", "/look/1", away_rate, stopped)) for c in away]
    jobs += [asyncio.create_task(c.send_steadily("GET", "/look/2", lambda: 4.0, stopped)) for c in calm]
    return home + away, jobs


async def case(record: Record, trouble: bool) -> tuple[bool, list[str]]:
    """Play the case; returns whether QUOTA was broken, and what to say of it."""
    free_files()
    cluster = Cluster(["hou-hall-a", "mob-hall-a", "jax-hall-a"], EDGE, record, cuttable=(0, 1))
    try:
        await cluster.begin()
        workers = await start_workers(cluster, "fleetboard", [*EDGE, "mob-hall-a"], 0.03)
        tenants = [tenant("hot", RATE, BURST), tenant("calm", 400, 400)]
        routes = [route(HOST, "/look/", "fleetboard")]
        await Operator(cluster).put("00000000", configuration("00000001", routes, ["fleetboard"], tenants))
        await cluster.wait_until_ready()
        await asyncio.sleep(3.0)
        hot, jobs = start_clients(record, cluster)
        await asyncio.sleep(CUT_AT)
        if trouble:
            for machine in cluster.edge[:2]:
                cluster.cut(machine)
        await asyncio.sleep(CUT_S)
        if trouble:
            for machine in cluster.edge[:2]:
                cluster.join(machine)
        await asyncio.gather(*jobs)
        return verdict(record, cluster, workers, hot)
    finally:
        cluster.end()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
