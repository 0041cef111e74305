"""Numbered log events of the configuration store (2xx). The catalogue for operators is docs/events.md."""

from typing import Final

# Elections and the leader
LEADER_ELECTED: Final = (201, "became leader")
FOLLOWING_LEADER: Final = (202, "following leader")
STEPPED_DOWN: Final = (203, "stepped down as leader")
CHANGE_COMMITTED: Final = (204, "change committed")
LEADERSHIP_TRANSFERRED: Final = (210, "leadership transfer started")

# Membership, at the replica that it is about
LEARNER_STARTED: Final = (205, "learner: does not vote until restored")
LEARNER_PROMOTED: Final = (206, "promoted to voter")
STORE_BOOTSTRAPPED: Final = (207, "store bootstrapped")
CAUGHT_UP: Final = (213, "caught up by differing ranges")
VOTER_DISPLACED: Final = (219, "no longer a voter: learning from scratch")

# Membership, at the leader
LEARNER_RESTORING: Final = (208, "restoring learner")
LEARNER_ADDED: Final = (209, "learner added")
VOTER_REMOVED: Final = (220, "voter removed")
VOTER_ADDED: Final = (221, "learner made a voter")
VOTER_REMOVAL_DELAYED: Final = (222, "voter removal delayed")

# Disk
DISK_WRITE_FAILED: Final = (211, "disk write failed")
STORAGE_UNREADABLE: Final = (212, "stored data unreadable")
DISK_WRITE_SLOW: Final = (218, "slow disk write")

# Operator commands and edits of routes
COMMAND_EVALUATION_FAILED: Final = (214, "operator command could not be evaluated")
EDIT_PENDING: Final = (215, "route edit pending, not in force")
EDIT_RESOLVED: Final = (216, "route edit resolved")
EDIT_CONFLICT: Final = (217, "route edit waits for an operator")
