"""Times and limits of the request path; times in seconds."""

# A server answers 504 by itself at the deadline it was given; its answer is
# waited for a little beyond.
SERVER_GRACE_S = 0.03
# Another process answers at the deadline, and its answer crosses the network.
PEER_GRACE_S = 0.08
# A connection to the server that idled longer is not used for work that may
# run once only: the server may have forgotten it, and a reset then leaves
# open whether the request ran. A new connection takes 1 ms.
ONCE_IDLE_S = 0.2
# What the network between a caller and this instance takes of an objective:
# callers are about 8 ms away each way, and a new connection asks that once
# more.
CALLER_NETWORK_S = 0.02
# Pause before another process or the same server is tried once more.
RETRY_PAUSE_S = 0.02
# Time that a process waits for a newer map that a request speaks of: a read of
# the store, with room.
CATCH_UP_S = 0.25
# Pause between looks at keys that are on the move, if no change is told: a
# quarter of the time for which a request waits for them.
HOLD_LOOK_S = 0.1
# Time below which no further try is made: half the shortest work.
MIN_TRY_S = 0.02
# Whole answers and bodies are kept in memory up to this size.
MAX_TRIES = 4
# An answer that belongs to another request is skipped this many times.
MAX_SKIPPED_ANSWERS = 2
# Retry-After where nothing better is known.
DEFAULT_RETRY_AFTER_S = 0.1
# Retry-After while the owner of a key cannot be reached: a process that was
# killed is back within a second, and is tried once in this time.
UNREACHABLE_RETRY_AFTER_S = 0.5
# Memory that request bodies may take together, of 200 MB on small instances.
MAX_BODIES_BYTES = 67_108_864

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
