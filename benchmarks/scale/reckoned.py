"""What today's mechanisms take at a size, by the figures of `cores`, and where they pass limits. Pure."""

from collections.abc import Callable, Iterator
from typing import Any, Final

from ashlift.rpc.framing import MAX_FRAME_BYTES
from benchmarks.scale.fit import Line, line, middle, spread
from benchmarks.scale.target import CORE, GATEKEEPER_BYTES, GATEKEEPER_CORE, GATEKEEPER_MB, distinct

Json = dict[str, Any]
PULLS_S: Final = 3.4  # of one gatekeeper, a second: as the runs show where nothing is late
BEAT_S, CLIENT_LOOKS_S = 1.5, 1.0  # a worker's heartbeat; look-ups of a client a second (`Ttl`)
CLIENTS: Final = 12  # a gatekeeper, as on the grown sites
ANSWER_S = 0.85  # ashlift.proxy.registry_client: WAIT_S + ANSWER_S
ELECTION_S = 0.6  # ashlift.configstore.messages: ELECTION_S[0]
CORE_FILES, WORKER_CONNECTIONS = 4096, 560  # of the grown sites
BODY_MOST = 8 << 20  # ashlift.registry.resources


class Cores:
    """The figures of `cores`, by size."""

    def __init__(self, found: Json) -> None:
        self.by_size = {
            int(size): one for size, one in sorted(found["by size"].items(), key=lambda one: int(one[0]))
        }
        self.sizes = [*self.by_size]

    def names(self) -> list[str]:
        """In order, those that are not of a number of entries."""
        return [name for name in self.by_size[self.sizes[-1]]["figures"] if "@" not in name]

    def at(self, name: str, size: int) -> float:
        return middle(self.by_size[size]["figures"][name])

    def spread(self, name: str) -> float:
        """The largest of all sizes."""
        return max(spread(self.by_size[size]["figures"][name]) for size in self.sizes)

    def by(self, name: str, what: str) -> Line:
        """Against `tenants`, `workers`, ... of each size."""
        return line([(one["size"][what], middle(one["figures"][name])) for one in self.by_size.values()])

    def entries(self, name: str, size: int) -> Line:
        """Against the number that stands behind `@`."""
        found = self.by_size[size]["figures"]
        points = [
            (float(key.rpartition("@ ")[2]), middle(values))
            for key, values in found.items()
            if key.startswith(f"{name} @")
        ]
        return line(points)

    def crosses(self, value: Callable[[int], float], limit: float) -> float | None:
        """Gatekeepers, all in proportion, at which it passes the limit: by a line between sizes measured;
        below the smallest in proportion to that. None: not at the largest."""
        points = [(size, value(size)) for size in self.sizes]
        if points[0][1] >= limit:
            return points[0][0] * limit / points[0][1]
        for (low, at_low), (high, at_high) in zip(points, points[1:], strict=False):
            if at_low < limit <= at_high:
                return low + (high - low) * (limit - at_low) / (at_high - at_low)
        return None


class Model:
    """Today's mechanisms at one size, from what was measured at that size."""

    def __init__(self, cores: Cores) -> None:
        self.cores = cores

    def _of(self, size: int) -> dict[str, float]:
        found: dict[str, float] = self.cores.by_size[size]["size"]
        return found

    def entries(self, size: int) -> float:
        """Sums in one pull's answer: distinct tenants of each registry since the last pull."""
        one = self._of(size)
        return CORE * distinct(int(one["tenants"]), one["rate"] / PULLS_S / CORE)

    def gatekeeper_core(self, size: int) -> float:
        line_ = self.cores.entries("gatekeeper: a pull with sums, ms", size)
        idle = self.cores.at("gatekeeper: a pull, nothing new, ms", size)
        return PULLS_S * max(idle, line_.at(self.entries(size))) / 1000

    def gatekeeper_mb(self, size: int) -> float:
        return sum(
            self.cores.at(name, size) for name in self.cores.names() if name.startswith("gatekeeper: memory")
        )

    def gatekeeper_bytes(self, size: int) -> float:
        per = self.cores.entries("registry: answer with sums, bytes", size)
        return PULLS_S * (self.cores.at("registry: pull in, bytes", size) + per.at(self.entries(size)))

    def registry_core(self, size: int) -> float:
        one = self._of(size)
        pulls = PULLS_S * one["gatekeepers"] / CORE
        taking = self.cores.entries("registry: taking a pull, ms", size)
        answer = self.cores.entries("registry: answer with sums, ms", size)
        each = taking.at(one["rate"] / one["gatekeepers"] / PULLS_S) + answer.at(self.entries(size))
        beats = one["workers"] / CORE / BEAT_S * self.cores.at("registry: a beat, ms", size)
        return (pulls * each + beats) / 1000

    def beats_core(self, size: int) -> float:
        return self._of(size)["workers"] / CORE / BEAT_S * self.cores.at("registry: a beat, ms", size) / 1000

    def looks_core(self, size: int) -> float:
        """Look-ups alone, each of which looks for the members."""
        looks = CLIENTS * size / CORE * CLIENT_LOOKS_S
        name = "registry: of that and of each answer, the members looked for, ms"
        return looks * self.cores.at(name, size) / 1000

    def first_answers_s(self, size: int) -> float:
        """All gatekeepers of a registry ask for everything at once."""
        return size / CORE * self.cores.at("registry: first answer to a gatekeeper, ms", size) / 1000

    def worker_connections(self, size: int) -> float:
        return 2.0 * size

    def core_files(self, size: int) -> float:
        return size / CORE * 2 + self._of(size)["workers"] / CORE


def limits(found: Json) -> Iterator[tuple[str, str, float, float, Callable[[int], float], str]]:
    """what, unit, limit, value at the largest size, value by size, how it was come by."""
    cores = Cores(found["cores"])
    model, last = Model(cores), cores.sizes[-1]

    def of(name: str, by: float = 1.0) -> Callable[[int], float]:
        return lambda size: cores.at(name, size) * by

    each: list[tuple[str, str, float, Callable[[int], float], str]] = [
        (
            "gatekeeper: processor for control",
            "cores",
            GATEKEEPER_CORE,
            model.gatekeeper_core,
            "reckoned: pulls x ms",
        ),
        (
            "registry: beats alone",
            "cores of one",
            1.0,
            model.beats_core,
            "reckoned: beats x ms, heartbeat 1.5 s",
        ),
        (
            "registry: look-ups alone",
            "cores of one",
            1.0,
            model.looks_core,
            "reckoned: look-ups x ms; 12 clients a gatekeeper assumed",
        ),
        ("registry: pulls and beats", "cores of one", 1.0, model.registry_core, "reckoned: calls x ms"),
        (
            "registry: first answers to its gatekeepers, at a start of all",
            "s",
            ANSWER_S,
            model.first_answers_s,
            "reckoned: answers x ms",
        ),
        (
            "gatekeeper: bytes for control",
            "bytes/s",
            GATEKEEPER_BYTES,
            model.gatekeeper_bytes,
            "reckoned: pulls x bytes",
        ),
        (
            "store: PATCH of one route checked",
            "ms",
            1000 * ELECTION_S,
            of("store: PATCH of one route checked, ms"),
            "measured; limit: the shortest election time-out",
        ),
        (
            "store: PUT checked and laid out",
            "ms",
            1000 * ELECTION_S,
            of("store: PUT checked and laid out, ms"),
            "measured; the same limit",
        ),
        (
            "gatekeeper: memory for control, without its 35 MB of program",
            "MB",
            GATEKEEPER_MB - 35,
            model.gatekeeper_mb,
            "measured",
        ),
        (
            "worker: connections from gatekeepers, two each",
            "",
            WORKER_CONNECTIONS,
            model.worker_connections,
            "reckoned",
        ),
        (
            "PUT of a whole configuration",
            "bytes",
            BODY_MOST,
            of("store: PUT of a whole configuration, bytes"),
            "measured",
        ),
        (
            "store to registry: the whole map, one frame",
            "bytes",
            MAX_FRAME_BYTES,
            of("store: whole map to a registry, bytes"),
            "measured",
        ),
        (
            "registry to gatekeeper: first answer, one frame",
            "bytes",
            MAX_FRAME_BYTES,
            of("registry: first answer to a gatekeeper, bytes"),
            "measured",
        ),
        (
            "gatekeeper: configuration opened",
            "x the most taken",
            1.0,
            of("gatekeeper: configuration opened, x the most that is taken"),
            "measured",
        ),
        ("core machine: files, workers' connections kept", "", CORE_FILES, model.core_files, "reckoned"),
    ]
    for what, unit, limit, value, how in each:
        yield what, unit, limit, value(last), value, how
