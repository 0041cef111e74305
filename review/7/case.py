"""CONFIG: a route that is added later is refused for good, while its workers are idle."""

import asyncio
import json
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
    play,
    record_requests,
    route,
    tenant,
)

HOST = "counter.example"
CONFIG_APPLY = 3.0
CHANGE_AT, END = 5.0, 50.0
FIRST_WORK_S = [0.05, 0.06, 0.08]  # of the workers of each service, which are not equally fast
LATER_WORK_S = [0.7, 0.85, 1.0] * 3
PER_S = 1.2  # of each of ten clients a route


def share_served(clients: list[Client], since: float, until: float) -> tuple[int, int]:
    """Tries sent in that time, and how many of them were served."""
    tries = [attempt for client in clients for attempt in client.tries if since <= attempt.sent_at < until]
    return len(tries), sum(attempt.status == 200 for attempt in tries)


async def case(record: Record, trouble: bool) -> tuple[bool, list[str]]:
    """Play the case; returns whether CONFIG was broken, and what to say of it."""
    free_files()
    cluster = Cluster(["hou-hall-a", "mob-hall-a", "jax-hall-a"], ["hou-hall-a", "hou-hall-a"], record)
    try:
        await cluster.begin()
        work = [("fleetboard", s) for s in FIRST_WORK_S] + [("counterclose", s) for s in LATER_WORK_S]
        workers = [
            Worker(cluster, number, service, "hou-hall-a", seconds)
            for number, (service, seconds) in enumerate(work, 1)
        ]
        for worker in workers:
            await worker.start()
        first = route(HOST, "/look/", "fleetboard") | {"Priority": 5, "Timeout": "2000ms"}
        later = route(HOST, "/close/", "counterclose") | {"Priority": 5, "Timeout": "2000ms"}
        tenants = [tenant("calm") | {"Priority": 4}]
        services = ["fleetboard", "counterclose"]
        operator = Operator(cluster)
        await operator.put("00000000", configuration("00000001", [first], services, tenants))
        await cluster.wait_until_ready()
        await asyncio.sleep(4.0)
        began = record.add("traffic begins")

        def stopped() -> bool:
            return record.now() >= began + END

        old = [Client(cluster, "hou-hall-a", HOST, "key-calm", "calm") for _ in range(10)]
        new = [Client(cluster, "hou-hall-a", HOST, "key-calm", "calm") for _ in range(10)]
        jobs = [asyncio.create_task(c.send_steadily("GET", "/look/1", lambda: PER_S, stopped)) for c in old]
        await asyncio.sleep(CHANGE_AT)
        since = record.now()
        if trouble:
            body = json.dumps(configuration("00000002", [first, later], services, tenants)).encode()
            headers = {"If-Match": "00000001", "Content-Type": "application/json"}
            acknowledged = await operator.order("PUT", "/config", headers, body, 6.0)
            if acknowledged is None:
                raise CannotRunError("the change was not acknowledged")
            since = acknowledged + CONFIG_APPLY
            await asyncio.sleep(CONFIG_APPLY)
            jobs += [
                asyncio.create_task(c.send_steadily("GET", "/close/1", lambda: PER_S, stopped)) for c in new
            ]
        await asyncio.gather(*jobs)
        record_requests(record, workers, old + new)
        first_sent, first_served = share_served(old, since, began + END)
        later_sent, later_served = share_served(new, since, began + END)
        half = began + END / 2
        half_sent, half_served = share_served(new, half, began + END)
        heading = [
            "rule CONFIG: routes added later are served at least a quarter as often as the first ones",
            f"first route: {first_served} of {first_sent} served",
            f"route added later: {later_served} of {later_sent}; second half: {half_served} of {half_sent}",
        ]
        is_broken = later_sent >= 20 and later_served / later_sent < 0.25 * first_served / first_sent
        return is_broken, heading
    finally:
        cluster.end()


if __name__ == "__main__":
    sys.exit(play(FOLDER, case))
