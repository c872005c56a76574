"""Intervals and limits of a process."""

TICK_S = 0.02
SUPERVISE_EVERY_S = 0.1
WITNESS_EVERY_S = 0.2
JOIN_RETRY_S = 0.5
LEAVE_LIMIT_S = 30.0
LEAVE_CHECK_S = 0.05
# Minimum time in seconds to serve on after the announcement of a leave, so that
# callers and peers learn of it.
LEAVE_LINGER_S = 2.0
ENV_PREFIX = 'PLANTAINGRADE'
INCARNATION_BYTES = 4
# Pause in seconds before the next incarnation joins, for the server to recover.
REJOIN_PAUSE_S = 0.2
