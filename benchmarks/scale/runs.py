"""The programs of a few real machines before hollow gatekeepers and workers, at one size after the other.

Whatever is started here is ended here, by its id. Processor time and bytes are read from outside
(`readings`), calls and times of gatekeepers in the hollow processes.
"""

import os
import time
from collections.abc import Callable
from typing import Any

import attrs
import gevent

from benchmarks.scale import readings
from benchmarks.scale.site import LOW, Options, Site
from benchmarks.scale.sizes import ClusterSize

MISSED = 0.05  # of pulls: so many may come too late
START_S, READY_S, FORCE_S, RECOVER_S = 30.0, 30.0, 20.0, 20.0
Json = dict[str, Any]
Tell = Callable[[str], None]


# ---- measurements
def snapshot(site: Site) -> Json:
    roles = site.pids()
    used = {pid: one for pid in roles if (one := readings.process(pid)) is not None}
    return {
        "at": time.monotonic(),
        "roles": roles,
        "used": used,
        "carried": readings.carried(roles, LOW),
        "hollow": site.figures(),
    }


def between(before: Json, after: Json) -> Json:
    """What a second of each role's process took, between two snapshots; bytes and calls by kind."""
    took = after["at"] - before["at"]
    made: Json = {"s": round(took, 3)}
    for role in sorted({*after["roles"].values()}):
        mine = [
            pid
            for pid, one in after["roles"].items()
            if one == role and pid in before["used"] and pid in after["used"]
        ]
        if not mine:
            continue
        kinds: dict[str, list[float]] = {}
        for pid in mine:
            old = before["carried"].get(pid, {})
            for kind, one in after["carried"].get(pid, {}).items():
                was = old.get(kind, readings.Carried())
                each = kinds.setdefault(kind, [0.0, 0.0, 0.0, 0.0])
                for at, value in enumerate(
                    (
                        one.connections * took,
                        one.segments - was.segments,
                        one.sent - was.sent,
                        one.received - was.received,
                    )
                ):
                    each[at] += max(0.0, value)
        made[role] = {
            "processes": len(mine),
            "core": round(
                sum(after["used"][pid].cpu - before["used"][pid].cpu for pid in mine) / took / len(mine), 5
            ),
            "core_most": round(
                max(after["used"][pid].cpu - before["used"][pid].cpu for pid in mine) / took, 5
            ),
            "mb": round(sum(after["used"][pid].mb for pid in mine) / len(mine), 1),
            "mb_peak": round(max(after["used"][pid].peak_mb for pid in mine), 1),
            "files": round(sum(after["used"][pid].files for pid in mine) / len(mine), 1),
            "kinds": {
                kind: dict(
                    zip(
                        ("connections", "segments_s", "sent_s", "received_s"),
                        (round(value / took / len(mine), 2) for value in each),
                        strict=True,
                    )
                )
                for kind, each in sorted(kinds.items())
            },
        }
    old, new = before["hollow"], after["hollow"]
    pulls = new["pulls"] - old["pulls"]
    made["gatekeepers"] = {
        "pulls_s": round(pulls / took, 2),
        "missed_s": round((new["missed"] - old["missed"]) / took, 3),
        "wait_ms": round(1000 * (new["waited"] - old["waited"]) / max(1, pulls), 1),
        "longest_ms": round(1000 * new["longest"], 1),
        "entries_s": round((new["seen"] - old["seen"]) / took, 1),
        "ready": new["ready"],
        "proof_age_s": round(min(new["age"], 1e6), 3),
    }
    if "beats" in new:
        made["beats"] = {
            "acked_s": round((new["beats"] - old["beats"]) / took, 1),
            "missed_s": round((new["beats_missed"] - old["beats_missed"]) / took, 2),
        }
    return made


def window(site: Site) -> Json:
    before = snapshot(site)
    gevent.sleep(site.options.window)
    return between(before, snapshot(site))


def until_ready(site: Site, since: float, within: float) -> Json:
    """Wait for all hollow gatekeepers and workers."""
    wanted = site.size.proxies - site.options.real
    while not wanted and site.ready() < site.options.real and time.monotonic() - since < within:
        gevent.sleep(0.5)  # real ones alone: as the registries say
    while True:
        found = site.figures()
        done = found["ready"] >= wanted and found.get("acked", site.size.workers) >= site.size.workers
        if done or time.monotonic() - since > within:
            break
        gevent.sleep(0.1)
    times = found["took"]
    made: Json = {
        "ready": found["ready"],
        "wanted": wanted,
        "pulls": found["pulls"],
        "missed": found["missed"],
        "half_s": round(times[len(times) // 2], 3) if times else None,
        "all_s": round(times[-1], 3) if times and len(times) >= wanted else None,
    }
    if "acked" in found:
        made["workers"] = found["acked"]
        made["workers_s"] = round(found["acked_at"] - since, 3)
    return made


def in_force(site: Site) -> Json:
    """A change of one route: its acknowledgement, and when gatekeepers have it."""
    index, before = site.index(), snapshot(site)
    found = site.patch()
    if found["status"] != 200:
        return found
    until = time.monotonic() + FORCE_S
    times: list[float] = []
    while time.monotonic() < until:
        times = [at for host in site.hosts for at in host.ask(do="reached", index=index + 1)["at"]]
        if all(at >= 0 for at in times):
            break
        gevent.sleep(0.1)
    there = sorted(at - found["began"] for at in times if at >= 0)
    found |= {
        "reached": len(there),
        "wanted": len(times),
        "half_s": round(there[len(there) // 2], 3) if there else None,
        "all_s": round(there[-1], 3) if there and len(there) == len(times) else None,
        "used": between(before, snapshot(site)),
    }
    found.pop("began")
    return found


def lost(site: Site, seconds: float) -> Json:
    """The machine whose store leads is gone for a while: both programs killed, then started again."""
    ip = site.leader()
    place = next((one for one in site.core if one.ip == ip), site.core[-1])
    mine = [site.programs[place.name, kind] for kind in ("configstore", "registry")]
    before, began = site.figures(), time.monotonic()
    for one in mine:
        one.kill()
    oldest, all_again, starts = 0.0, None, None
    while True:
        gevent.sleep(0.1)
        now, found = time.monotonic(), site.figures()
        oldest = max(oldest, min(found["age"], 1e6))
        if starts is None and now - began >= seconds:
            starts = now
            for one in mine:
                one.start()
        if starts is None:
            continue
        fresh = found["age"] < 1.0 and found["ready"] >= before["ready"]
        if fresh and all_again is None and now - starts > 1.0:
            all_again = now - began
        if all_again is not None or now - began > seconds + 15.0:
            break
    gevent.sleep(1.0)
    found = site.figures()
    roles = site.pids()
    told = readings.carried(roles, LOW)
    pid = mine[1].pid or 0
    kinds = {kind: [one.sent, one.received] for kind, one in told.get(pid, {}).items()}
    return {
        "gone_s": round(seconds, 2),
        "machine": place.name,
        "led": place.ip == ip,
        "oldest_proof_s": round(oldest, 3),
        "all_fresh_again_s": None if all_again is None else round(all_again, 2),
        "pulls_missed": found["missed"] - before["missed"],
        "ready_after": found["ready"],
        "registry_bytes_since_back": kinds,
    }


def play(size: ClusterSize, options: Options, tell: Tell) -> Json:
    """One size, whole. What cannot be had is told under `broken`, and the rest goes on without."""
    if options.workers:
        size = attrs.evolve(size, workers=min(size.workers, options.workers))
    site = Site(size, options, tell)
    made: Json = {
        "size": size.to_json(),
        "core": options.core,
        "real": options.real,
        "broken": [],
        "heartbeat_s": round(site.heartbeat, 2),
        "load_before": os.getloadavg()[0],
    }
    broken: list[str] = made["broken"]
    try:
        _play(site, made, broken)
    except (RuntimeError, OSError, ValueError) as error:
        broken.append(f"the run ended: {error}"[:300])
    finally:
        site.stop()
    made["load_after"] = os.getloadavg()[0]
    return made


def _play(site: Site, made: Json, broken: list[str]) -> None:
    size, options, tell = site.size, site.options, site.tell
    began = time.monotonic()
    site.write(True)
    site.start("configstore")
    site.start("registry")
    while not site.leader() and time.monotonic() - began < START_S:
        gevent.sleep(0.1)
    made["core_up_s"] = round(time.monotonic() - began, 3)
    site.write(False)
    if options.word:
        size = attrs.evolve(
            size,
            **{kind: min(getattr(size, kind), options.word) for kind in ("services", "routes", "tenants")},
        )
    wanted, asked = size.tenants, site.size.tenants
    made["puts"] = []
    for tenants in [one for one in dict.fromkeys((wanted, options.most, 2000, 200)) if one <= wanted]:
        if len(made["puts"]) == 0 and wanted > 4 * options.most:
            broken.append(f"a configuration of {wanted} tenants was not tried: {options.most} at most here")
            continue
        tried = attrs.evolve(size, tenants=tenants)
        made["puts"].append(site.put(tried))
        tell(f"  PUT {made['puts'][-1]}")
        if made["puts"][-1]["status"] == 200:
            break
        broken.append(
            f"a configuration of {tenants} tenants: {made['puts'][-1]['status']} {made['puts'][-1]['why']}"
        )
    size = site.size = tried
    made["held"] = size.to_json()
    starts = time.monotonic()
    site.hollow(asked)
    if options.real:
        site.start("proxy")
    within = READY_S + (size.proxies / options.a_second if options.a_second else 0.0)
    made["start"] = until_ready(site, starts, within)
    tell(f"  start {made['start']}")
    gevent.sleep(options.settle)
    made["calm"] = window(site)
    tell(f"  calm: {made['calm']['gatekeepers']} registry {made['calm']['registry']['core']}")
    made["change"] = in_force(site)
    tell(f"  change { ({**made['change'], 'used': '-'}) }")
    if site.workers is not None and options.churn:
        site.workers.ask(do="churn", rate=options.churn)
        gevent.sleep(1.0)
        made["churn"] = {"rate": options.churn, **window(site)}
        site.workers.ask(do="churn", rate=0)
    if options.losses:
        made["loss"] = lost(site, 3.0)
        tell(f"  loss {made['loss']}")

    again = until_ready(site, time.monotonic(), READY_S)
    if again["ready"] < again["wanted"]:
        broken.append(f"after the loss {again['ready']} of {again['wanted']} are ready")
    made["windows"] = []
    each = options.target.request_rate / options.target.proxies
    for rate in options.rates:
        for host in site.hosts:
            host.ask(do="rate", rate=rate * each)
        if rate:
            gevent.sleep(options.settle)
        found = {"rate": rate, **window(site)}
        made["windows"].append(found)
        tell(f"  rate {rate:g}: {found['gatekeepers']} registry {found.get('registry', {}).get('core')}")
        told = found["gatekeepers"]
        if told["ready"] < made["start"]["wanted"] or told["missed_s"] > MISSED * told["pulls_s"]:
            broken.append(
                f"at {rate:g} x the requests: {found['gatekeepers']['ready']} of {made['start']['wanted']} "
                f"ready, {found['gatekeepers']['missed_s']} pulls a second missed"
            )
            break
        if found["registry"]["core_most"] > 0.9:
            broken.append(
                f"at {rate:g} x the requests a registry is full: {found['registry']['core_most']} of a core"
            )
            break
        if found.get("hollow", {}).get("core_most", 0.0) > 0.9:
            broken.append(f"at {rate:g} x the requests the hollow ones are full, not the programs")
            break
    if made["broken"]:
        for host in site.hosts:
            host.ask(do="rate", rate=0.0)
        since = time.monotonic()
        again = until_ready(site, since, RECOVER_S)
        whole = again["ready"] >= again["wanted"]
        made["recovered_s"] = round(time.monotonic() - since, 1) if whole else None
        tell(f"  ready again {made['recovered_s']}")


def compare(count: int, options: Options, tell: Tell) -> Json:
    """The same size with real gatekeepers alone, then with hollow ones alone; few objects."""
    size = options.target.scaled_to(count)
    made: Json = {"gatekeepers": count}
    for name, real in (("real", count), ("hollow", 0)):
        mine = attrs.evolve(options, real=real, rates=(0.0,), word=50, losses=False, churn=0.0)
        found = play(size, mine, tell)
        kinds = (
            found["windows"][0].get("proxy" if real else "hollow", {}).get("kinds", {})
            if "windows" in found
            else {}
        )
        pulls = kinds.get("pull", {})
        share = count if not real else 1  # hollow ones share their processes; a figure is a process's mean
        hosts = found["windows"][0]["hollow"]["processes"] if not real and "windows" in found else 1
        each = {
            key: round(pulls.get(key, 0.0) * hosts / share, 4)
            for key in ("segments_s", "sent_s", "received_s")
        }
        made[name] = {
            **each,
            "core": found["windows"][0].get("proxy" if real else "hollow", {}).get("core"),
            "broken": found["broken"],
            "load": found["load_before"],
        }
    made["ratio"] = {
        key: round(made["hollow"][key] / made["real"][key], 4) if made["real"][key] else None
        for key in ("segments_s", "sent_s", "received_s")
    }
    return made
