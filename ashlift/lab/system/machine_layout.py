"""Addresses and ports of the machines of a run, and the links between them. Pure: opens no sockets.

Each machine has its own loopback address, 127.NETWORK.ROLE.NUMBER, to which its programs bind. External ports
are the same on every machine. Internal ports differ: a machine calls others on the ports of its own
`InternalPortRange`. The destination port of a call therefore identifies the caller, and a fault-injecting
proxy that listens on that port of the callee's address carries exactly the link between the two machines.
"""

from collections.abc import Iterator
from typing import Final

import attrs

from ashlift.simulation.base_world import CORE, EDGE
from ashlift.simulation.plan import ZONES, Plan

FRONT_PORT: Final = 8206
READINESS_PORT: Final = 8201
CONTROL_PORT: Final = 8200
DIRECTORY_PORT: Final = 8209
WORKER_PORT: Final = 8080
FIRST_INTERNAL_PORT: Final = 10_000  # of the first machine; above all external ports
INTERNAL_PORTS_PER_MACHINE: Final = 16
STORE_PORT_OFFSET: Final = 0  # within the range of internal ports
REGISTRY_PORT_OFFSET: Final = 1
MAX_MACHINES: Final = 200


@attrs.frozen
class LabMachine:
    """A machine of a run; `kind` is CORE or EDGE, `first_internal_port` the start of its port range."""

    name: str
    kind: str
    ip: str
    zone: str
    region: str
    first_internal_port: int

    @property
    def is_core(self) -> bool:
        """Whether it runs the configuration store and the registry."""
        return self.kind == CORE

    @property
    def store_port(self) -> int:
        """The port on which its configuration store listens for RPC."""
        return self.first_internal_port + STORE_PORT_OFFSET

    @property
    def internal_ports(self) -> list[int]:
        """The first and the last port of its internal range."""
        return [self.first_internal_port, self.first_internal_port + INTERNAL_PORTS_PER_MACHINE - 1]


@attrs.frozen
class MachineLink:
    """`caller` reaches `callee` at `listen_address`, where a proxy forwards to `target_address`."""

    caller: str
    callee: str
    listen_address: tuple[str, int]
    target_address: tuple[str, int]


def lay_out_machines(plan: Plan, network: int) -> list[LabMachine]:
    """Return all machines, core machines first, assigned to the zones round-robin.

    `network`: second octet of their addresses. Raises ValueError for more than MAX_MACHINES.
    """
    if plan.core + plan.edge > MAX_MACHINES:
        raise ValueError(f"{plan.core + plan.edge} machines exceed the maximum of {MAX_MACHINES}")
    zones = list(ZONES)
    machines: list[LabMachine] = []
    for role, (kind, count) in enumerate(((CORE, plan.core), (EDGE, plan.edge)), 1):
        for number in range(count):
            zone = zones[number % len(zones)]
            port = FIRST_INTERNAL_PORT + INTERNAL_PORTS_PER_MACHINE * len(machines)
            ip = f"127.{network}.{role}.{number + 1}"
            machines.append(LabMachine(f"{kind}-{number + 1}", kind, ip, zone, ZONES[zone], port))
    return machines


def machine_links(machines: list[LabMachine]) -> Iterator[MachineLink]:
    """Yield the links to each core machine: from all others to its registry, from core to its store."""
    for caller in machines:
        offsets = (STORE_PORT_OFFSET, REGISTRY_PORT_OFFSET) if caller.is_core else (REGISTRY_PORT_OFFSET,)
        for callee in machines:
            if not callee.is_core or callee is caller:
                continue
            for offset in offsets:
                listen_address = (callee.ip, caller.first_internal_port + offset)
                target_address = (callee.ip, callee.first_internal_port + offset)
                yield MachineLink(caller.name, callee.name, listen_address, target_address)
