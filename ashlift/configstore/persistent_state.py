"""The durable state of a replica: its vote, and the newest map that it has accepted."""

from typing import NamedTuple

from ashlift.configstore.ranged_map import RangedMap

# Term and index of an accepted map. Tuples compare like raft log positions: by term, then by index.
TermIndex = tuple[int, int]

NO_TERM_INDEX: TermIndex = (0, 0)  # of a replica that has accepted nothing, and of the bootstrap map


class PersistentVote(NamedTuple):
    """The vote of a replica. The order of the fields is that of the record on disk.

    `is_voter` says whether the disk's content may count towards quorums. To vote, the replica must also be a
    voter in the map (`membership.VOTER_PREFIX`; see `Replica.can_stand_for_election`). `incarnation`
    identifies the disk: it is drawn with the first write, and again once the content no longer counts.
    """

    term: int
    voted_for: str | None
    is_voter: bool
    incarnation: int = 0


class Snapshot(NamedTuple):
    """An accepted map with the term and index at which it was proposed."""

    term_index: TermIndex
    entries: RangedMap
