"""Numbered log events of the configuration store (2xx). The operators' catalogue is docs/events.md."""

from typing import Final

from ashlift.events import EventType

# Elections and the leader
LEADER_ELECTED: Final = EventType(201, "became leader")
FOLLOWING_LEADER: Final = EventType(202, "following leader")
STEPPED_DOWN: Final = EventType(203, "stepped down as leader")
CHANGE_COMMITTED: Final = EventType(204, "change committed")
LEADERSHIP_TRANSFERRED: Final = EventType(210, "leadership transfer started")

# Membership, logged by the affected replica
LEARNER_STARTED: Final = EventType(205, "learner: does not vote until restored")
LEARNER_PROMOTED: Final = EventType(206, "promoted to voter")
STORE_BOOTSTRAPPED: Final = EventType(207, "store bootstrapped")
CAUGHT_UP: Final = EventType(213, "caught up by differing ranges")
VOTER_DISPLACED: Final = EventType(219, "no longer a voter: learning from scratch")

# Membership, logged by the leader
LEARNER_RESTORING: Final = EventType(208, "restoring learner")
LEARNER_ADDED: Final = EventType(209, "learner added")
VOTER_REMOVED: Final = EventType(220, "voter removed")
VOTER_ADDED: Final = EventType(221, "learner made a voter")
VOTER_REMOVAL_DELAYED: Final = EventType(222, "voter removal delayed")

# Disk
DISK_WRITE_FAILED: Final = EventType(211, "disk write failed")
STORAGE_UNREADABLE: Final = EventType(212, "stored data unreadable")
DISK_WRITE_SLOW: Final = EventType(218, "slow disk write")
DIRECTORY_IN_USE: Final = EventType(223, "data directory in use by another process")

# Operator commands and route edits
COMMAND_EVALUATION_FAILED: Final = EventType(214, "operator command could not be evaluated")
EDIT_PENDING: Final = EventType(215, "route edit pending, not in force")
EDIT_RESOLVED: Final = EventType(216, "route edit resolved")
EDIT_CONFLICT: Final = EventType(217, "route edit waits for an operator")
