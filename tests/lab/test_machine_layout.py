"""Addresses, links and settings files of the machines of a run. Starts no processes."""

from ward import test

from ashlift.config import settings
from ashlift.config.settings import Bounds
from ashlift.lab.system.machine_layout import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    FRONT_PORT,
    MAX_MACHINES,
    READINESS_PORT,
    WORKER_PORT,
    lay_out_machines,
    machine_links,
)
from ashlift.lab.system.machine_settings import ClusterSettings
from ashlift.lab.system.programs import METRICS_PORTS
from ashlift.simulation.plan import ZONES, Plan

BOUNDS = Bounds(revocation_strict=True, drain=2.5)
PLAN = Plan(core=3, edge=4)
NETWORK = 77


@test("settings of the lab's machines parse to what was written")
def _() -> None:
    machines = lay_out_machines(PLAN, NETWORK)
    cluster_settings = ClusterSettings(machines, ["core-1", "core-2"], BOUNDS)
    for machine in machines:
        parsed = settings.parse_settings(cluster_settings.to_toml(machine, "/disk", True))
        assert isinstance(parsed, settings.Settings), parsed
        assert parsed.bounds == BOUNDS
        assert parsed.zones == ZONES
        assert parsed.ip == machine.ip
        assert parsed.internal_ports[0] == machine.first_internal_port
        assert parsed.bootstrap
        assert [host for host, _ in parsed.seeds] == ["127.77.1.1", "127.77.1.2"]
        front = parsed.bindings.front
        assert (front is None) == (machine.kind == "core")
        assert (parsed.data_directory is None) != (front is None)


@test("every link between machines has an address of its own, identified by the caller's ports")
def _() -> None:
    machines = lay_out_machines(PLAN, NETWORK)
    links = list(machine_links(machines))
    assert len(links) == 3 * 2 * 2 + 4 * 3
    assert len({link.listen_address for link in links}) == len(links)
    own_addresses = {
        (machine.ip, machine.first_internal_port + offset) for machine in machines for offset in (0, 1)
    }
    assert own_addresses.isdisjoint(link.listen_address for link in links)
    assert own_addresses.issuperset(link.target_address for link in links)
    first_ports = {machine.name: machine.first_internal_port for machine in machines}
    for link in links:
        caller_offset = link.listen_address[1] - first_ports[link.caller]
        assert caller_offset == link.target_address[1] - first_ports[link.callee]


@test("no link listens on an external port, however many machines there are")
def _() -> None:
    machines = lay_out_machines(Plan(core=5, edge=MAX_MACHINES - 5), 20)
    ports = {link.listen_address[1] for link in machine_links(machines)}
    assert not ports & {FRONT_PORT, READINESS_PORT, CONTROL_PORT, DIRECTORY_PORT, WORKER_PORT}
    assert not ports & set(METRICS_PORTS.values())
