"""What the leader makes of a command, and the token that keeps a command from being executed too late."""

from typing import Any, NamedTuple


class FencingToken(NamedTuple):
    """Keeps the leader from beginning a command whose caller may have given up.

    `term` and `heartbeat_round` are those of the newest round that the registry knew when it forwarded the
    command. From then on its caller waits for `remaining_seconds`. `known_index` is the newest committed
    index that the registry knew when it received the command.
    """

    term: int
    heartbeat_round: int
    known_index: int
    remaining_seconds: float


class Proposal(NamedTuple):
    """Changes of the map, and the response once they are committed.

    `unconditional_keys` are changed whatever they hold: if one has changed since the caller sent the
    command, the command has been overtaken and must not be executed.
    """

    updates: dict[str, Any]
    deletions: list[str]
    response: Any
    unconditional_keys: tuple[str, ...] = ()


class ReadOnlyResult(NamedTuple):
    """The response to a command that changes nothing.

    It stands once a heartbeat round confirms that the leader is still the leader.
    """

    response: Any
