"""Where each machine of a run stands, its settings file, and the links between machines. Pure.

Every machine has a loopback address of its own, 127.NET.ROLE.NUMBER, and the programs bind to it. Their outer
ports are alike, as on the pages. The inner ones are not: each machine calls others at the ports of its own
`InternalPortRange`. So what comes to a core machine at another machine's ports comes from that machine, and a
proxy of ours that listens there stands on the link of just these two.
"""

from collections.abc import Iterator, Mapping

import attrs

from ashlift.config.settings import Bounds
from ashlift.config.structuring import Seconds
from ashlift.simulation.plan import ZONES, Plan
from ashlift.simulation.world import CORE, EDGE, HEARTBEAT

FRONT, READINESS, CONTROL, DIRECTORY = 8206, 8201, 8200, 8209
WORKER_PORT = 8080
FIRST_PORT, PORTS = 7600, 16  # of the first machine's inner ports; of each
MACHINES_MOST = 200


@attrs.frozen
class Place:
    name: str
    kind: str  # CORE or EDGE
    ip: str
    zone: str
    region: str
    low: int  # first inner port: of the store's calls; the next is the registry's


@attrs.frozen
class Wire:
    """One link: `near` calls `far` at `listen`, and our proxy passes it on to `target`."""

    near: str
    far: str
    listen: tuple[str, int]
    target: tuple[str, int]


def places(plan: Plan, net: int) -> list[Place]:
    """All machines; `net`: the second number of their addresses. ValueError: more than have room."""
    names = list(ZONES)
    found: list[Place] = []
    if plan.core + plan.edge > MACHINES_MOST:
        raise ValueError(f"{plan.core + plan.edge} machines, and {MACHINES_MOST} is the most")
    for role, (kind, count) in enumerate(((CORE, plan.core), (EDGE, plan.edge)), 1):
        for number in range(count):
            zone = names[number % len(names)]
            low = FIRST_PORT + PORTS * len(found)
            ip = f"127.{net}.{role}.{number + 1}"
            found.append(Place(f"{kind}-{number + 1}", kind, ip, zone, ZONES[zone], low))
    return found


def wires(machines: list[Place]) -> Iterator[Wire]:
    """A link from every machine to every other core machine: to its registry, and from core to its store."""
    for near in machines:
        for far in machines:
            if far.kind != CORE or far is near:
                continue
            for port in (0, 1) if near.kind == CORE else (1,):
                yield Wire(near.name, far.name, (far.ip, near.low + port), (far.ip, far.low + port))


def settings(
    place: Place,
    machines: list[Place],
    seeds: list[str],
    folder: str,
    bounds: Bounds,
    first: bool,
    zones: Mapping[str, str] = ZONES,
    heartbeat: float = HEARTBEAT,
) -> str:
    """The settings file (TOML) of a machine's programs; `first`: at the very first start of all."""
    at = {one.name: one.ip for one in machines}
    core = place.kind == CORE
    lines = {
        "NodeName": place.name,
        "Role": "keeper" if core else "carrier",
        "MachineClass": place.kind,
        "Serves": ["control", "directory"] if core else ["edge"],
        "Ip": place.ip,
        "Zone": place.zone,
        "Region": place.region,
        "InternalPortRange": [place.low, place.low + PORTS - 1],
        "SeedNodes": [f"{at[name]}:{CONTROL}" for name in seeds],
        "Bootstrap": first,
        "QuorumMember": core,
        "Discovery": "self_register",
        "EntryMode": "directory",
        "Heartbeat": f"{round(heartbeat * 1000)}ms",
        **({"DataDirectory": folder} if core else {}),
    }
    outer = {"Control": CONTROL, "Directory": DIRECTORY} if core else {"Front": FRONT, "Readiness": READINESS}
    tables: dict[str, dict[str, object]] = {
        "Zones": dict(zones),
        "Bindings": {name: f"{place.ip}:{port}" for name, port in outer.items()},
        "Limits": {"FileDescriptors": 1024},
        "FaultTolerance": {"Machines": 1, "Zones": 1, "Regions": 1},
        "Bounds": {_key(one): _bound(one, getattr(bounds, one.name)) for one in attrs.fields(Bounds)},
    }
    told = [f"{name} = {_toml(value)}" for name, value in lines.items()]
    for title, values in tables.items():
        told += ["", f"[{title}]", *(f"{name} = {_toml(value)}" for name, value in values.items())]
    return "\n".join(told) + "\n"


def _key(one: "attrs.Attribute[object]") -> str:
    return str(one.metadata.get("key") or "".join(part.title() for part in one.name.split("_")))


def _bound(one: "attrs.Attribute[object]", value: object) -> object:
    return f"{round(float(str(value)) * 1000)}ms" if one.type is Seconds else value


def _toml(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return f"[{', '.join(map(_toml, value))}]"
    return f'"{value}"' if isinstance(value, str) else str(value)
