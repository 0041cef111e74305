"""The operator's configuration as this registry holds it, and how long ago it was proven the newest. Pure.

It is a replica of what the configuration store has committed, kept up to date by `watch` calls.
"""

from typing import Any, Final

from ashlift.registry.codec import CORE_MEMBER_PREFIX, decode_watch_response
from ashlift.registry.local_records import ChangeCounter
from ashlift.registry.messages import Json, WatchResponse
from ashlift.registry.replicated_source import ReplicatedSource
from ashlift.rpc.fragmentation import Reassembler

FRESH_LEASE_SECONDS: Final = 1.0  # a lease not older than this ends the wait of a proxy that has none
MAX_LEASE_AGE_SECONDS: Final = 10.0  # an older lease does not count
MAX_WATCH_LEASE_AGE_SECONDS: Final = 1.0  # a store whose lease is older is out of touch: another one is asked


class OperatorConfigReplica(ReplicatedSource):
    """The operator's entries by key; the version is the index under which they are committed.

    `confirmed_at` is the freshness lease: the entries held were the newest at this steady time, or later.
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
        """The fragment of a large configuration that the next `watch` call is to ask for."""
        return self._reassembler.wanted_fragment()

    def receive_watch_response(self, answer: Json, sent_at: float) -> bool:
        """Take a store's answer to a `watch` call sent at `sent_at`.

        Returns whether to ask the same store again: it is in contact with its leader, or has more to send.
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
        """Seconds since the entries held were proven to be the newest; None: too long ago, or never."""
        if self.confirmed_at is None or now - self.confirmed_at > MAX_LEASE_AGE_SECONDS:
            return None
        return now - self.confirmed_at

    def has_fresh_lease(self, now: float) -> bool:
        """Whether they were proven newest of late."""
        age = self.lease_age(now)
        return age is not None and age <= FRESH_LEASE_SECONDS

    def core_members(self) -> dict[str, Any]:
        """The operator's entry of each core member, by IP; empty before the entries are known."""
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
        """The store answered `response_delay_seconds` after `sent_at` or later, with a proof of that age."""
        confirmed_at = sent_at + response_delay_seconds - age
        previous = self.confirmed_at
        if self.lease_age(sent_at) is None or sent_at - (previous or 0.0) > FRESH_LEASE_SECONDS:
            self._changes.increment()  # proxies may wait for a lease
        self.confirmed_at = confirmed_at if previous is None else max(previous, confirmed_at)
