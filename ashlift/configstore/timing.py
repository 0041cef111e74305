"""Time-outs and bounds of the replication protocol. All replicas of a store use the same values.

Those used by one module alone stand there.
"""

from typing import Final

# A response to a request between replicas counts only within this time of its sending.
CALL_TIMEOUT_SECONDS: Final = 0.8
# A learner answers nothing for so long after its start: then no response of its previous incarnation counts.
LEARNER_QUARANTINE_SECONDS: Final = 2 * CALL_TIMEOUT_SECONDS
HEARTBEAT_INTERVAL_SECONDS: Final = 0.15
# The interval just after an election, while the followers have no freshness lease of the new leader.
EARLY_HEARTBEAT_INTERVAL_SECONDS: Final = 0.04
EARLY_HEARTBEAT_PERIOD_SECONDS: Final = 0.6
# Bounds of the randomized time-out after which a follower that hears no leader stands for election.
ELECTION_TIMEOUT_SECONDS: Final = (0.6, 1.2)
# The same for a process that has just started: while all start, no leader would be displaced.
INITIAL_ELECTION_TIMEOUT_SECONDS: Final = (0.05, 0.3)
# A leader that has not heard from a majority for so long steps down.
QUORUM_CONTACT_TIMEOUT_SECONDS: Final = 1.2
# At most this long to transfer the leadership after SIGTERM.
LEADERSHIP_TRANSFER_SECONDS: Final = 0.4
# About the size of an append request's payload: it must pass a narrow link within CALL_TIMEOUT_SECONDS.
PAYLOAD_CHUNK_BYTES: Final = 32 << 10
# Commands that wait at the leader; more are rejected.
MAX_QUEUED_COMMANDS: Final = 64
# For so long a leader knows when its heartbeat rounds began; no command is begun later than that.
HEARTBEAT_ROUND_RETENTION_SECONDS: Final = 1.2
