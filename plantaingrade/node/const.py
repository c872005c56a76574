"""Constants of a process."""

TICK_S = 0.02
SUPERVISE_EVERY_S = 0.1
WITNESS_EVERY_S = 0.2
JOIN_RETRY_S = 0.5
LEAVE_LIMIT_S = 30.0
LEAVE_CHECK_S = 0.05
# Callers and peers are given this long to hear of a leave, in seconds.
LEAVE_LINGER_S = 2.0
ENV_PREFIX = 'PLANTAINGRADE'
INCARNATION_BYTES = 4
# A server is given time between two rejoins, in seconds.
REJOIN_PAUSE_S = 0.2
