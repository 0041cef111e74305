"""Names that stand on the store's disks: of files, and of keys that the store adds to the replicated map.

They keep their words: disks written by earlier releases must stay readable. The keys of members are in
`membership`, those of edits of routes in `ashlift.route_reconciliation.stored_records`.
"""

from typing import Final

# Names of `SnapshotStorage`s: `vote-a.dat`, and so on.
VOTE_STORAGE: Final = "vote"
SNAPSHOT_STORAGE: Final = "map"
PENDING_EDIT_STORAGE: Final = "edits"

# Keys of the replicated map.
ACCEPTED_PREFIX: Final = "Taken/"  # + version: digest of the command that brought it, for identical resends
ACCEPTED_TRIMMED: Final = "Taken"  # the highest version whose digest is not kept any more
REFUSED_PREFIX: Final = "Refused/"  # + base version + digest: refused before its base was current
EVACUATED_PREFIX: Final = "Evacuations/"  # + zone: True
