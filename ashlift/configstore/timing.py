"""Time-outs and limits of the replication protocol, which must be the same on all replicas.

Constants used by a single module are defined there.
"""

from typing import Final

# Time-out of a request between replicas; a later response is ignored.
CALL_TIMEOUT_SECONDS: Final = 0.8
# A learner rejects requests for this long after its start, until responses of its last incarnation expire.
LEARNER_QUARANTINE_SECONDS: Final = 2 * CALL_TIMEOUT_SECONDS
HEARTBEAT_INTERVAL_SECONDS: Final = 0.15
# The heartbeat interval just after an election, while followers have no freshness lease from the new leader.
EARLY_HEARTBEAT_INTERVAL_SECONDS: Final = 0.04
EARLY_HEARTBEAT_PERIOD_SECONDS: Final = 0.6
# Bounds of the randomized time-out after which a follower without heartbeats starts an election.
ELECTION_TIMEOUT_SECONDS: Final = (0.6, 1.2)
# The same just after a process start; shorter, because a store whose replicas all start has no leader.
INITIAL_ELECTION_TIMEOUT_SECONDS: Final = (0.05, 0.3)
# A leader without contact to a majority for this long steps down.
QUORUM_CONTACT_TIMEOUT_SECONDS: Final = 1.2
# Maximum time to transfer the leadership after SIGTERM.
LEADERSHIP_TRANSFER_SECONDS: Final = 0.4
# Approximate size of an append request's payload, which must cross a slow link within CALL_TIMEOUT_SECONDS.
PAYLOAD_CHUNK_BYTES: Final = 32 << 10
# Commands queued at the leader; more are rejected.
MAX_QUEUED_COMMANDS: Final = 64
# How long a leader remembers when a heartbeat round started; commands with older fencing tokens expire.
HEARTBEAT_ROUND_RETENTION_SECONDS: Final = 1.2
