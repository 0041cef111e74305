"""Fault events of scenarios: processes, machines, links, disks and clocks."""

from collections.abc import Callable

from ashlift.simulation.event_arguments import EventArguments, resolve_machines
from ashlift.simulation.world import World

DEFAULT_RESTART_SECONDS = 0.5
DEFAULT_FREEZE_SECONDS = 1.0
DEFAULT_SLOW_SECONDS = 1.0


class FaultActions:
    """Injects faults into a world. `actions` maps the first word of an event to its method."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.actions: dict[str, Callable[[EventArguments], None]] = {
            "kill": self._kill,
            "freeze": self._freeze,
            "term": self._terminate,
            "power": self._power_off,
            "wipe": self._power_off,
            "start": self._start,
            "spoil": self._spoil,
            "disk": self._disk,
            "cut": self._cut,
            "oneway": self._cut,
            "join": self._join,
            "loss": self._loss,
            "torn": self._aborted_writes,
            "reset": self._reset,
            "slow": self._slow,
            "clock": self._clock,
            "closing": self._closing,
        }

    def _machines(self, words: list[str], programs: str = "all") -> list[str]:
        return resolve_machines(self._world, words, programs)

    def _kill(self, arguments: EventArguments) -> None:
        programs, *names = arguments.words
        restart_seconds = arguments.duration or DEFAULT_RESTART_SECONDS
        self._world.kill(programs, self._machines(names, programs), restart_seconds)

    def _freeze(self, arguments: EventArguments) -> None:
        programs, *names = arguments.words
        seconds = arguments.duration or DEFAULT_FREEZE_SECONDS
        self._world.freeze(programs, self._machines(names, programs), seconds)

    def _terminate(self, arguments: EventArguments) -> None:
        programs, *names = arguments.words
        self._world.terminate(programs, self._machines(names, programs))

    def _power_off(self, arguments: EventArguments) -> None:
        wipe = arguments.word == "wipe"
        self._world.power_off(self._machines(arguments.words), arguments.duration, wipe)

    def _start(self, arguments: EventArguments) -> None:
        self._world.power_on(self._machines(arguments.words))

    def _spoil(self, arguments: EventArguments) -> None:
        self._world.corrupt_disks(self._machines(arguments.words))

    def _disk(self, arguments: EventArguments) -> None:
        fault, *words = arguments.words
        delay = float(words.pop()) if fault == "slow" else 0.0
        names = self._machines(words)
        self._world.set_disk_fault(names, fault == "hang", fault == "refuse", delay)
        if arguments.duration is not None:
            self._world.loop.call_later(arguments.duration, self._world.set_disk_fault, names)

    def _cut(self, arguments: EventArguments) -> None:
        separator = arguments.words.index("|")
        sources = self._machines(arguments.words[:separator])
        destinations = self._machines(arguments.words[separator + 1 :])
        self._world.block_links(sources, destinations, arguments.word == "cut")
        if arguments.duration is not None:
            self._world.loop.call_later(arguments.duration, self._world.unblock_links, sources, destinations)

    def _join(self, _arguments: EventArguments) -> None:
        self._world.unblock_links()

    def _loss(self, arguments: EventArguments) -> None:
        self._world.set_loss_rate(float(arguments.words[0]))

    def _aborted_writes(self, arguments: EventArguments) -> None:
        self._world.net.aborted_write_rate = float(arguments.words[0])

    def _reset(self, arguments: EventArguments) -> None:
        self._world.reset_connections(self._machines(arguments.words))

    def _slow(self, arguments: EventArguments) -> None:
        extra_delay, *names = arguments.words
        seconds = arguments.duration or DEFAULT_SLOW_SECONDS
        self._world.slow_down(self._machines(names), float(extra_delay), seconds)

    def _clock(self, arguments: EventArguments) -> None:
        name, skew = arguments.words
        self._world.net.machines[name].wall_clock_skew = float(skew)

    def _closing(self, _arguments: EventArguments) -> None:
        self._world.history.final_fault_at = self._world.loop.now
