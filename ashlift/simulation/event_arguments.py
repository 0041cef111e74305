"""The words of a scenario's event, with options and names of machines taken apart."""

from typing import Final

from attrs import frozen

from ashlift.simulation.world import World

OPTIONS: Final = ("for", "at", "by", "on", "cold", "as", "after")


@frozen
class EventArguments:
    """The first word, the words that follow, and the options (`for 2`) taken out of them."""

    word: str
    words: list[str]
    options: dict[str, str]

    @property
    def duration(self) -> float | None:
        """How long it lasts, in seconds; None where the event does not say."""
        return float(self.options["for"]) if "for" in self.options else None

    @property
    def machine(self) -> str | None:
        """The machine that a call goes to first."""
        return self.options.get("at")


def parse_arguments(event_words: list[str]) -> EventArguments:
    """Return the words of an event, the options apart."""
    word, *rest = event_words
    words: list[str] = []
    options: dict[str, str] = {}
    index = 0
    while index < len(rest):
        if rest[index] in OPTIONS and index + 1 < len(rest):
            options[rest[index]] = rest[index + 1]
            index += 2
        else:
            words.append(rest[index])
            index += 1
    return EventArguments(word, words, options)


def resolve_machines(world: World, words: list[str], programs: str = "all") -> list[str]:
    """Return the names of machines that the words stand for: names, `*`, `leader`, `others`, `edge`, `core`.

    `*` stands for all machines that have these programs.
    """
    leader = world.leader() if {"leader", "others"} & {*words} else None  # on processes this asks registries
    with_programs = {
        "proxy": world.edge,
        "configstore": world.core,
        "registry": world.core,
        "core": world.core,
    }
    groups = {
        "*": with_programs.get(programs, [*world.core, *world.edge]),
        "leader": [leader] if leader else [],
        "others": [name for name in world.core if name != leader],
        "edge": world.edge,
        "core": world.core,
    }
    return [name for word in words for name in groups.get(word, [word])]
