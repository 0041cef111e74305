"""Parses the words of a scenario event into options, machines and other arguments."""

from typing import Final

from attrs import frozen

from ashlift.simulation.world import World

OPTIONS: Final = ("for", "at", "by", "on", "cold", "as", "after", "late")


@frozen
class EventArguments:
    """The first word of an event, the following words, and the options (such as `for 2`) among them."""

    word: str
    words: list[str]
    options: dict[str, str]

    @property
    def duration(self) -> float | None:
        """The duration in seconds, None if the event has none."""
        return float(self.options["for"]) if "for" in self.options else None

    @property
    def machine(self) -> str | None:
        """The machine to call first, None if the event names none."""
        return self.options.get("at")


def parse_arguments(event_words: list[str]) -> EventArguments:
    """Separate the options of an event from its other words."""
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
    """Return the machines that the words name: names, `*`, `leader`, `others`, `edge` or `core`.

    `*` stands for all machines that run these programs, `others` for all core machines except the leader.
    """
    # Determined only if needed: a world of real processes queries the registries.
    leader = world.leader() if {"leader", "others"} & {*words} else None
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
