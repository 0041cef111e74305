"""Names on the store's disks: files, and the keys that the store adds to the replicated map.

The names must not change, since disks written by earlier releases must stay readable. Membership keys are
defined in `membership`, those of route edits in `ashlift.route_reconciliation.stored_records`.
"""

from typing import Final

# Names of `SnapshotStorage` instances; files are called `vote-a.dat` and so on.
VOTE_STORAGE: Final = "vote"
SNAPSHOT_STORAGE: Final = "map"
PENDING_EDIT_STORAGE: Final = "edits"

# Keys of the replicated map.
ACCEPTED_PREFIX: Final = "Taken/"  # + version: digest of the command that set it, to recognize resends
ACCEPTED_TRIMMED: Final = "Taken"  # the highest version whose digest has been deleted
REFUSED_PREFIX: Final = "Refused/"  # + base version + digest: command refused before its base was current
EVACUATED_PREFIX: Final = "Evacuations/"  # + zone: True
