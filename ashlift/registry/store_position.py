"""The last known position of the configuration store, used as fencing token of commands. Does no I/O."""

from typing import Any, Final

from ashlift.errors import Failure
from ashlift.registry.codec import decode_store_position, encode_fenced_command, encode_position_request
from ashlift.registry.messages import Json

POSITION_REQUEST: Final = encode_position_request()


class StorePosition:
    """The highest term, heartbeat round and committed index received from any store."""

    def __init__(self) -> None:
        self.index = 0
        self._term_and_round = [0, 0]  # term, heartbeat round

    def observe(self, answer: Any) -> None:
        """Update the position from a store's `watch` response; a Failure is ignored."""
        if isinstance(answer, Failure):
            return
        heartbeat_round, index = decode_store_position(answer)
        self._term_and_round = max(self._term_and_round, heartbeat_round)
        self.index = max(self.index, index)

    def with_fencing_token(self, command: Json, index_at_receipt: int, seconds_left: float) -> Json:
        """The command with a fencing token of the current position.

        `index_at_receipt`: the index known when the operator's request arrived. `seconds_left`: time until
        the operator's request times out.
        """
        return encode_fenced_command(command, self._term_and_round, index_at_receipt, seconds_left)


def stores_to_try(local_ip: str, members: list[str], local_store_is_unresponsive: bool) -> list[str]:
    """The call order of the stores: the local one first, or last while it is unresponsive."""
    other_stores = [ip for ip in members if ip != local_ip]
    return [*other_stores, local_ip] if local_store_is_unresponsive else [local_ip, *other_stores]
