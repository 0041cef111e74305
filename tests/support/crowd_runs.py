"""Runs crowds of misbehaving clients against a cluster, and checks what must hold whatever they do."""

import time
from collections.abc import Iterator
from contextlib import contextmanager

import gevent

from tests.support.crowd_clients import Behaviour, Crowd
from tests.support.crowd_cluster import CrowdCluster, crowd_cluster

MEMORY_MB = 100  # `MemoryMb` of every process
DESCRIPTORS = 1200  # `FileDescriptors` of every process
CROWD = 900  # connections
MOST_SECONDS = 15.0
REST_SECONDS = 1.0
CHECK_SECONDS = 0.05


@contextmanager
def checked_cluster(memory_mb: int = MEMORY_MB, descriptors: int = DESCRIPTORS) -> Iterator["CrowdRun"]:
    """A cluster that is checked at the end, while the crowds are still connected."""
    with crowd_cluster(memory_mb, descriptors) as cluster:
        run = CrowdRun(cluster)
        try:
            yield run
            cluster.check()
        finally:
            run.close()


class CrowdRun:
    """Crowds before one cluster."""

    def __init__(self, cluster: CrowdCluster) -> None:
        self.cluster = cluster
        self._crowds: list[Crowd] = []

    def send(self, listener: str, behaviour: Behaviour, count: int = CROWD, **options: object) -> Crowd:
        """Connect a crowd, and wait until it can send no more. `options`: of `Crowd`."""
        crowd = self.start(listener, behaviour, count, **options)
        self.rest()
        return crowd

    def start(self, listener: str, behaviour: Behaviour, count: int = CROWD, **options: object) -> Crowd:
        """Connect a crowd."""
        crowd = Crowd(self.cluster.address(listener), count, behaviour, **options)  # type: ignore[arg-type]
        self._crowds.append(crowd)
        crowd.start()
        return crowd

    def rest(self, most_seconds: float = MOST_SECONDS) -> None:
        """Wait until no crowd has sent more for a while."""
        deadline = time.monotonic() + most_seconds
        rested_since, sent_bytes = time.monotonic(), -1
        while time.monotonic() < min(deadline, rested_since + REST_SECONDS):
            if self._sent_bytes() != sent_bytes:
                rested_since, sent_bytes = time.monotonic(), self._sent_bytes()
            gevent.sleep(CHECK_SECONDS)

    def _sent_bytes(self) -> int:
        return sum(sum(crowd.progress) for crowd in self._crowds)

    def close(self) -> None:
        """Disconnect all crowds."""
        for crowd in self._crowds:
            crowd.close()
