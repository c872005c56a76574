"""Times and figures of the process; times in seconds."""

# Slots assumed until the server has told how many it has.
FIRST_SLOTS = 2
# Idle connections of other processes and of the platform are kept this long.
INTERNAL_IDLE_S = 60.0
# Time for a connection to the own server or to another process of the region:
# 3 ms there and back between zones. Half of the shortest deadline, so that a
# lost opening packet leaves time for another try.
NEAR_CONNECT_TIMEOUT_S = 0.2
# Pause between looks at what is awaited at the start.
VERIFY_PAUSE_S = 0.05
# Time after SIGTERM during which callers may still come: the platform asks
# once a second whether this process takes work, and acts on the second no.
LINGER_S = 2.3
# Time left of the platform's grace when what still runs is given up.
GRACE_RESERVE_S = 0.5
STOP_CHECK_S = 0.05
# Time for running work before the end, where keys could not be handed over.
FINISH_S = 1.5
# Part of the platform's time for draining in which a leaving server may still
# get work on keys that are on their way to others.
FINISH_PART = 0.7
# Time for handing keys over before a stop; a release waits for running work.
EVACUATE_LIMIT_S = 2.0
# Connections to other processes are kept for this long: among many processes a
# pair has a request now and then only, and each new connection costs processor
# time at both ends. One that has gone silent is found by its probes.
PEER_TRUSTED_S = 20.0
