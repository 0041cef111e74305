"""Replica of the operator's configuration and its freshness lease. Does no I/O; times in seconds.

`watch` calls to the configuration store keep it up to date with the committed configuration.
"""

from typing import Any, Final

from ashlift.registry.codec import CORE_MEMBER_PREFIX, decode_watch_response
from ashlift.registry.local_records import ChangeCounter
from ashlift.registry.messages import Json, WatchResponse
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.rpc.fragmentation import Reassembler

FRESH_LEASE_SECONDS: Final = 1.0  # maximum age of a lease that ends the wait of a proxy without one
MAX_LEASE_AGE_SECONDS: Final = 10.0  # an older lease has expired
MAX_WATCH_LEASE_AGE_SECONDS: Final = 1.0  # a store with an older lease may have lost its leader


class OperatorConfigReplica(ReplicatedSource):
    """The configuration entries by key; the version is the commit index.

    `confirmed_at`: the freshness lease. The entries were the newest committed ones at this monotonic time.
    """

    def __init__(self, changes: ChangeCounter) -> None:
        super().__init__()
        self.leader: str | None = None
        self.term = 0
        self.confirmed_at: float | None = None
        self._changes = changes
        self._reassembler = Reassembler()
        self._core_members: dict[str, Any] = {}
        self._core_members_version = -1

    def wanted_fragment(self) -> list[Any] | None:
        """The fragment of a large configuration that the next `watch` call should request."""
        return self._reassembler.wanted_fragment()

    def receive_watch_response(self, answer: Json, sent_at: float) -> bool:
        """Apply a store's response to a `watch` call sent at `sent_at`.

        Returns whether to call the same store again: it is in contact with its leader, or has more to send.
        """
        try:
            assembled = self._reassembler.add(answer)
        except ValueError:
            return False
        if assembled is None:
            return True
        response = decode_watch_response(answer, assembled)
        self._apply(response)
        if response.term >= self.term:
            self.term = response.term
            self.leader = response.leader
        if response.lease_age is not None and response.delta.version >= self.version:
            self._renew_lease(sent_at, response.response_delay_seconds, response.lease_age)
        age = response.lease_age
        return response.is_behind or (age is not None and age <= MAX_WATCH_LEASE_AGE_SECONDS)

    def lease_age(self, now: float) -> float | None:
        """Age of the freshness lease; None if it has expired or never existed."""
        if self.confirmed_at is None or now - self.confirmed_at > MAX_LEASE_AGE_SECONDS:
            return None
        return now - self.confirmed_at

    def has_fresh_lease(self, now: float) -> bool:
        """Whether the lease is young enough for a proxy that waits for one."""
        age = self.lease_age(now)
        return age is not None and age <= FRESH_LEASE_SECONDS

    def core_members(self) -> dict[str, Any]:
        """The configuration entry of each core member by IP; empty until a configuration is received."""
        if self._core_members_version != self.version:
            self._core_members_version = self.version
            self._core_members = {
                key.removeprefix(CORE_MEMBER_PREFIX): value
                for key, value in self.values.items()
                if key.startswith(CORE_MEMBER_PREFIX)
            }
        return self._core_members

    def _apply(self, response: WatchResponse) -> None:
        delta = response.delta
        if delta.version <= self.version:
            return
        if delta.full:
            self.replace(delta.version, delta.values)
        else:
            self.record_skipped_versions(delta.version)
            self.merge(delta.version, delta.values, delta.removed)
        self._changes.increment()

    def _renew_lease(self, sent_at: float, response_delay_seconds: float, age: float) -> None:
        """Renew the lease from a response sent at least `response_delay_seconds` after `sent_at`."""
        confirmed_at = sent_at + response_delay_seconds - age
        previous = self.confirmed_at
        if self.lease_age(sent_at) is None or sent_at - (previous or 0.0) > FRESH_LEASE_SECONDS:
            self._changes.increment()  # wakes proxies that wait for a lease
        self.confirmed_at = confirmed_at if previous is None else max(previous, confirmed_at)
