"""Outcomes of deciding a command, and the fencing token that prevents late execution of a command."""

from typing import Any, NamedTuple


class FencingToken(NamedTuple):
    """Prevents the leader from executing a command whose caller may have given up.

    `term` and `heartbeat_round` identify the newest heartbeat round that the registry knew when it forwarded
    the command; from then on the caller waits for `remaining_seconds`. `known_index` is the newest committed
    index that the registry knew when it received the command.
    """

    term: int
    heartbeat_round: int
    known_index: int
    remaining_seconds: float


class Proposal(NamedTuple):
    """Changes to the map, and the response once they are committed.

    `unconditional_keys` are changed regardless of their current value. If one of them has changed since the
    caller sent the command, the command is superseded and must not be executed.
    """

    updates: dict[str, Any]
    deletions: list[str]
    response: Any
    unconditional_keys: tuple[str, ...] = ()


class ReadOnlyResult(NamedTuple):
    """The response to a command that changes nothing.

    It is sent once a heartbeat round has confirmed that the leader still leads.
    """

    response: Any
