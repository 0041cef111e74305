"""A simulated network with links of limited bandwidth. All times are in seconds."""

from typing import Final

from ashlift.configstore.codec import METHOD_APPEND, decode_request
from ashlift.configstore.messages import AppendRequest
from ashlift.simulation.event_loop import EventLoop, Future
from ashlift.simulation.network import SimulatedNetwork
from ashlift.simulation.process import Connection, Machine, RpcCall

CALL_OVERHEAD_BYTES: Final = 40  # approximate size of a call without its payload


class BandwidthLimitedNetwork(SimulatedNetwork):
    """Queues the bytes that a machine sends, and those that it receives, at the bandwidth of its link."""

    def __init__(self, loop: EventLoop) -> None:
        super().__init__(loop)
        self.bytes_per_second: dict[str, float] = {}  # by machine
        self.link_delay: dict[str, float] = {}  # by machine, one way, besides `extra_delay`
        self.sent_payloads: dict[str, list[int]] = {}  # bytes of each payload, by receiver
        self._free_at: dict[tuple[str, bool], float] = {}  # by machine and whether outgoing
        self._message_bytes = CALL_OVERHEAD_BYTES

    def delay(self, source: Machine, destination: Machine) -> float:
        """Return the delay of a message, including its wait for queued messages."""
        sent_at = self.loop.now
        for name, is_outgoing in ((source.name, True), (destination.name, False)):
            rate = self.bytes_per_second.get(name)
            if rate:
                start = max(sent_at, self._free_at.get((name, is_outgoing), 0.0))
                sent_at = self._free_at[name, is_outgoing] = start + self._message_bytes / rate
        link_delay = self.link_delay.get(source.name, 0.0) + self.link_delay.get(destination.name, 0.0)
        return sent_at - self.loop.now + link_delay + super().delay(source, destination)

    def _send(self, call: RpcCall, connection: Connection, timeout: float, future: Future) -> None:
        self._message_bytes = CALL_OVERHEAD_BYTES
        request = decode_request(call.method, call.body) if call.method == METHOD_APPEND else None
        if isinstance(request, AppendRequest) and request.payload is not None:
            self._message_bytes += len(request.payload)
            self.sent_payloads.setdefault(connection.target.name, []).append(len(request.payload))
        super()._send(call, connection, timeout, future)
        self._message_bytes = CALL_OVERHEAD_BYTES
