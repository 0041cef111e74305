"""Numbered events of the store (2xx). The catalogue is docs/events.md."""

from typing import Final

LEADS: Final = (201, "leads")
FOLLOWS: Final = (202, "follows")
STEPPED_DOWN: Final = (203, "leads no longer")
COMMITTED: Final = (204, "change committed")
LEARNS: Final = (205, "is a learner: nothing of it counts until it is restored")
PROMOTED: Final = (206, "promoted: votes again")
BEGUN: Final = (207, "first membership written")
RESTORING: Final = (208, "a learner is restored")
JOINED: Final = (209, "a member joins")
HANDED_ON: Final = (210, "names its successor")
DISK_FAULT: Final = (211, "the disk refused")
UNREADABLE: Final = (212, "a shelf cannot be read whole")
MENDED: Final = (213, "mended by ranges")
UNDECIDED: Final = (214, "an order could not be worked out")
EDIT_KEPT: Final = (215, "an edit of a route is kept, not in force")
EDIT_SETTLED: Final = (216, "an edit of a route is settled")
EDIT_WAITS: Final = (217, "an edit of a route waits for an operator")
DISK_SLOW: Final = (218, "the disk was slow")
