"""Registries and proxies in scripted and random partitions, restarts and pauses."""

import random
from pathlib import Path

from ward import each, test

from tests.support.registry_scenarios import RegistryScenario

SCENARIOS = sorted((Path(__file__).parent.parent / "scenarios").glob("registry_*.txt"))
NAMES = ("a", "b", "c")


@test("registries: {path.stem}")
def _(path: Path = each(*SCENARIOS)) -> None:  # noqa: B008
    scenario = RegistryScenario()
    for number, line in enumerate(path.read_text().splitlines(), 1):
        try:
            scenario.play(line)
        except AssertionError as error:
            raise AssertionError(f"{path.name}:{number}: {line}: {error}") from error


class RandomRun:
    """Random faults and heartbeats; `workers`: sequence number and state of each worker's last heartbeat."""

    def __init__(self, seed: int) -> None:
        self.random_source = random.Random(seed)
        self.scenario = RegistryScenario()
        self.workers: dict[str, tuple[int, str]] = {}
        for name in NAMES:
            self.scenario.start(name, f"z{name}", "r")
        for number in range(4):
            self.scenario.proxy(f"e{number}", "za", "r", self.random_source.choice(NAMES))

    def step(self, number: int, without_faults: bool) -> None:
        """Simulate half a second; `without_faults`: without faults."""
        if without_faults:
            self.scenario.partitions = set()
            self.scenario.frozen = set()
        elif self.random_source.random() < 0.4:
            self._fault()
        for proxy in self.scenario.proxies.values():
            if proxy.registry in self.scenario.frozen or (
                not without_faults and self.random_source.random() < 0.1
            ):
                proxy.registry = self.random_source.choice(NAMES)
        if not without_faults and self.random_source.random() < 0.3:
            self.workers[f"w{number}"] = 0, "ready"
        for worker_id in list(self.workers):
            self._send_heartbeat(worker_id, without_faults)
        self.scenario.run("0.5")

    def _fault(self) -> None:
        scenario = self.scenario
        name = self.random_source.choice(NAMES)
        scenario.partitions ^= {frozenset(self.random_source.sample(NAMES, 2))}
        scenario.frozen ^= {name} if self.random_source.random() < 0.5 else set()
        if name not in scenario.frozen and self.random_source.random() < 0.5:
            scenario.start(name, f"z{name}", "r")

    def _send_heartbeat(self, worker_id: str, without_faults: bool) -> None:
        call_seq, state = self.workers[worker_id]
        running = [name for name in NAMES if name not in self.scenario.frozen]
        registry = self.random_source.choice(running or [""])
        if not registry or self.random_source.random() < 0.3:
            return
        if not without_faults and self.random_source.random() < 0.1:
            if state == "draining":
                self.scenario.deregister(registry, worker_id)
                del self.workers[worker_id]
                return
            state = "draining"
        self.workers[worker_id] = call_seq + 1, state
        self.scenario.heartbeat(registry, worker_id, f"seq={call_seq + 1}", f"state={state}")


@test("registries: after partitions, restarts and pauses all hold the same records ({seed})")
def _(seed: int = each(*range(6))) -> None:
    run = RandomRun(seed)
    for number in range(60):
        run.step(number, without_faults=number >= 45)
    ready = {worker_id for worker_id, (_, state) in run.workers.items() if state == "ready"}
    proxies = run.scenario.proxies
    for proxy in proxies.values():
        known = proxy.cluster.workers
        assert {worker_id for worker_id, worker in known.items() if worker.ready} == ready
        assert run.workers.keys() <= known.keys(), str(run.workers.keys() - known.keys())
        assert set(proxy.cluster.proxies) == set(proxies), str(proxy.cluster.proxies)
    for registry in run.scenario.registries.values():
        assert sorted(registry.sessions.live(run.scenario.now)) == sorted(proxies)
        assert registry.instances.all_known().keys() == run.workers.keys()
