"""Constants of the sidecar process; times in seconds."""

# Slots assumed until the server has reported its number of slots.
INITIAL_SLOTS = 2
# Time after which idle connections of other processes and of the platform are
# closed.
INTERNAL_IDLE_S = 60.0
# Time limit for opening a connection to the local server or to another process
# of the region; the round trip between zones takes 3 ms. Half of the shortest
# deadline, so that a lost SYN packet leaves time for another attempt.
REGION_CONNECT_TIMEOUT_S = 0.2
# Pause between polls for the first configuration.
CONFIG_POLL_S = 0.05
# Time after SIGTERM during which callers may still send requests: the platform
# checks readiness once a second and stops traffic after the second failure.
LINGER_S = 2.3
# Part of the platform's grace period left when the process stops waiting for
# running requests.
GRACE_RESERVE_S = 0.5
SHUTDOWN_POLL_S = 0.05
# Time for running requests to finish before the end, where keys could not be
# transferred.
FINISH_S = 1.5
# Fraction of the platform's drain time in which a draining server may still get
# work on keys that are being transferred.
FINISH_FRACTION = 0.7
# Time limit for transferring keys before a stop; a release waits for running
# requests.
HANDOVER_LIMIT_S = 2.0
# Time for which idle connections to other processes are reused. Among many
# processes a pair exchanges a request only now and then, and each new
# connection costs processor time at both ends. Probes detect a dead connection.
PEER_TRUSTED_S = 20.0
