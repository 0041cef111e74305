"""The system's own processes on loopback with lowered limits, for crowds of clients that misbehave.

Three core machines and a proxy, started with the commands of the deploy file; a worker stand-in that takes
and answers messages of any size; a sampler of what each process occupies.
"""

import json
import re
import tempfile
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from pathlib import Path

import gevent
from gevent import socket

from ashlift.lab.system.machine_layout import (
    CONTROL_PORT,
    DIRECTORY_PORT,
    READINESS_PORT,
    REGISTRY_PORT_OFFSET,
    STORE_PORT_OFFSET,
)
from ashlift.rpc.addresses import Address
from tests.support.large_bodies import USUAL_BODY_BYTES, USUAL_PATH, LargeBodyWorkers, Upload
from tests.support.memory_sampler import MemorySampler, PeakMemory
from tests.support.started_program import StartedProgram, wait_for

BYTES_PER_MB = 1_000_000
CORE_MACHINES = 3
RESERVED_DESCRIPTORS = 200  # of `FileDescriptors`; sockets, pipes and data files share the rest
INTERNAL_PORTS = [7600, 7615]
HEARTBEAT_SECONDS = 0.5
CALL_SECONDS = 2.0
READY_SECONDS = 60.0
STARTED = " 101 started"  # log event
ORDINARY_TRIES = 10
ORDINARY_SECONDS = 6.0  # for one try
ORDINARY_REMAINING_MS = 10_000
RETRY_SECONDS = 0.5
SERVICE = "s-large"
WORKER_CAPACITY = 1000
WORKER_CONNECTIONS = 4000
METRICS_PORTS = {"proxy": 9101, "registry": 9102}  # of the deploy file


class CrowdCluster:
    """The processes. `memory_mb`, `descriptors`: `MemoryMb` and `FileDescriptors` of each of them."""

    def __init__(self, folder: Path, memory_mb: int, descriptors: int) -> None:
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.workers = LargeBodyWorkers()
        self.programs = [self._program("configstore", folder, number) for number in range(CORE_MACHINES)]
        self.programs += [self._program("registry", folder, number) for number in range(CORE_MACHINES)]
        self.programs.append(self._program("proxy", folder, 0))
        self._sampler: MemorySampler | None = None
        self._call_seq = 0
        self._heartbeats = gevent.spawn(self._send_heartbeats)

    def _program(self, kind: str, folder: Path, number: int) -> StartedProgram:
        own_folder = folder / f"{kind}-{number}"
        own_folder.mkdir()
        program = StartedProgram(kind, own_folder, number)
        text = re.sub(r"MemoryMb = \d+", f"MemoryMb = {self.memory_mb}", program.settings_text)
        text = re.sub(r"FileDescriptors = \d+", f"FileDescriptors = {self.descriptors}", text)
        # The same ports on every machine: no proxy of the lab carries the calls between them.
        text = re.sub(r"InternalPortRange = .*", f"InternalPortRange = {INTERNAL_PORTS}", text)
        program.settings_path.write_text(text)
        return program

    def start(self) -> None:
        """Start all processes, and wait until an ordinary request is served."""
        for program in self.programs:
            program.start(descriptors=self.descriptors)
        for program in self.programs:
            # Not by its address, which a program of another test may hold.
            assert wait_for(lambda program=program: STARTED in program.log), program.log  # type: ignore[misc]
        self._put_configuration()
        with gevent.Timeout(READY_SECONDS, AssertionError("the proxy does not become ready")):
            while not self._is_served():
                gevent.sleep(0.1)
        pids = {program.name: program.pid for program in self.programs}
        self._sampler = MemorySampler(pids)

    def close(self) -> None:
        """End all processes."""
        self._heartbeats.kill()
        for program in self.programs:
            if program.process is not None:
                program.process.kill()
                program.process.wait()
        self.workers.close()
        if self._sampler is not None:
            self._sampler.stop()

    def program(self, kind: str) -> StartedProgram:
        """The process of that kind on the first machine."""
        return next(one for one in self.programs if one.kind == kind)

    def address(self, listener: str) -> Address:
        """Where a listener of the first machine of its class is."""
        proxy, registry, store = map(self.program, ("proxy", "registry", "configstore"))
        addresses: dict[str, Address] = {
            "front": proxy.address,
            "readiness": (proxy.machine.ip, READINESS_PORT),
            "control": (registry.machine.ip, CONTROL_PORT),
            "directory": (registry.machine.ip, DIRECTORY_PORT),
            "registry rpc": (registry.machine.ip, INTERNAL_PORTS[0] + REGISTRY_PORT_OFFSET),
            "store rpc": (store.machine.ip, INTERNAL_PORTS[0] + STORE_PORT_OFFSET),
            "proxy metrics": (proxy.machine.ip, METRICS_PORTS["proxy"]),
            "registry metrics": (registry.machine.ip, METRICS_PORTS["registry"]),
        }
        return addresses[listener]

    def check(self) -> None:
        """Every process lives, was never over its bounds, and an ordinary request is served."""
        is_served = self._try_ordinary()
        assert self._sampler is not None
        peaks, self._sampler = self._sampler.stop(), None
        ended = {one.name: one.log for one in self.programs if one.exit_status() is not None}
        assert not ended, ended
        over = {
            name: f"{peak.resident_bytes // BYTES_PER_MB} + {peak.unread_bytes // BYTES_PER_MB} MB"
            for name, peak in peaks.items()
            if peak.counted_bytes > self.memory_mb * BYTES_PER_MB
        }
        assert not over, over
        most = self.descriptors - RESERVED_DESCRIPTORS
        too_many = {name: peak.descriptors for name, peak in peaks.items() if peak.descriptors > most}
        assert not too_many, too_many
        assert is_served, summary(peaks)
        print(summary(peaks))

    def _try_ordinary(self) -> bool:
        """Whether an ordinary client is served, which tries again as long as it is refused or cut off."""
        for _ in range(ORDINARY_TRIES):
            if self._is_served():
                return True
            gevent.sleep(RETRY_SECONDS)
        return False

    def _is_served(self) -> bool:
        request = Upload(USUAL_PATH, USUAL_BODY_BYTES, remaining_ms=ORDINARY_REMAINING_MS)
        with suppress(gevent.Timeout), gevent.Timeout(ORDINARY_SECONDS):
            request.run(self.address("front"))
        return request.status == 200

    # ---- the operator and the worker

    def _put_configuration(self) -> None:
        routes = [
            {
                "ObjectType": "Routes",
                "Metadata": {"Name": f"r-{prefix}"},
                "Specification": {
                    "Host": "h.example",
                    "PathPrefix": f"/{prefix}/0/",
                    "RouteType": route_type,
                    "Timeout": "60000ms",
                    "TargetLatency": "30000ms",
                    "Priority": 1,
                    "Service": SERVICE,
                    "MaxAttempts": 2,
                    "Anonymous": True,
                    "HomeRegions": [],
                },
            }
            for prefix, route_type in (("look", "idempotent"), ("hold", "non_idempotent"))
        ]
        service = {
            "ObjectType": "Services",
            "Metadata": {"Name": SERVICE},
            "Specification": {
                "HealthCheck": "/health",
                "MaxConnections": WORKER_CONNECTIONS,
                "Protocol": "h1",
                "Tls": False,
                "Warmup": "0s",
                "WarmupRateS": 1000,
            },
        }
        limits = {
            "ObjectType": "Limits",
            "Metadata": {},
            "Specification": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 64 << 20,
                "HeaderTimeout": "3000ms",
                "IdleTimeout": "15000ms",
            },
        }
        body = {"ConfigVersion": "00000001", "Objects": [*routes, service, limits]}
        with gevent.Timeout(READY_SECONDS, AssertionError("no configuration is accepted")):
            while self._call("PUT", "/config", body, "If-Match: 00000000") != 200:
                gevent.sleep(0.2)

    def _send_heartbeats(self) -> None:
        while True:
            gevent.sleep(HEARTBEAT_SECONDS)
            for worker_id, (host, port) in self.workers.by_id.items():
                self._call("PUT", f"/instances/{worker_id}", self._heartbeat(host, port))

    def _heartbeat(self, host: str, port: int) -> dict[str, object]:
        self._call_seq += 1
        proxy = self.program("proxy")
        return {
            "Address": f"{host}:{port}",
            "NodeInfo": {
                "Service": SERVICE,
                "ConfigVersion": "v1",
                "Zone": proxy.machine.zone,
                "Capacity": WORKER_CAPACITY,
            },
            "Status": {"State": "ready", "CallSeq": self._call_seq, "WarmupLeft": "0ms"},
        }

    def _call(self, method: str, target: str, value: object, header: str = "X-Call: 1") -> int:
        """Call the registries in turn; the status of the first answer, 0 if there is none."""
        for program in self.programs:
            if program.kind == "registry":
                status = call_status((program.machine.ip, CONTROL_PORT), method, target, value, header)
                if status and status < 500:
                    return status
        return 0


def call_status(address: Address, method: str, target: str, value: object, header: str) -> int:
    """Make one call with a JSON body; the status of the answer, 0 if there is none."""
    body = json.dumps(value).encode()
    lines = [f"{method} {target} HTTP/1.1", "Host: h", header, f"Content-Length: {len(body)}", "", ""]
    with (
        suppress(OSError, gevent.Timeout),
        gevent.Timeout(CALL_SECONDS),
        closing(socket.create_connection(address)) as sock,
    ):
        sock.sendall("\r\n".join(lines).encode() + body)
        words = sock.recv(4096).split(None, 2)
        return int(words[1]) if len(words) > 1 else 0
    return 0


def summary(peaks: dict[str, PeakMemory]) -> str:
    """The peaks as one line."""
    parts = (
        f"{name} {peak.resident_bytes // BYTES_PER_MB}+{peak.unread_bytes // BYTES_PER_MB} MB, "
        f"{peak.descriptors} descriptors"
        for name, peak in peaks.items()
    )
    return "; ".join(parts)


@contextmanager
def crowd_cluster(memory_mb: int, descriptors: int) -> Iterator[CrowdCluster]:
    """A running cluster that is checked at the end."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = CrowdCluster(Path(folder), memory_mb, descriptors)
        try:
            cluster.start()
            yield cluster
        finally:
            cluster.close()
