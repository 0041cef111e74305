"""What a replica keeps on disk: its vote, and the newest map that it has accepted."""

from typing import NamedTuple

from ashlift.configstore.ranged_map import RangedMap

# Term and index of an accepted map. Tuples compare as raft compares logs: the term first.
TermIndex = tuple[int, int]

NO_TERM_INDEX: TermIndex = (0, 0)  # of a replica that has accepted nothing, and of the seeds' first map


class PersistentVote(NamedTuple):
    """The vote, and whether this replica counts. The order of the fields is that of the record on disk.

    `is_voter` is False while nothing that this replica holds counts. True says that the disk counts, not that
    its replica is a voter: that stands in the map (`membership.VOTER_PREFIX`), and both are needed
    (`Replica.can_stand_for_election`). `incarnation` is that of the disk: drawn
    with its first write, and drawn anew once nothing on it counts any more.
    """

    term: int
    voted_for: str | None
    is_voter: bool
    incarnation: int = 0


class Snapshot(NamedTuple):
    """An accepted map with the term and index under which it was proposed."""

    term_index: TermIndex
    entries: RangedMap
