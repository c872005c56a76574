"""Timeouts and limits of the request path; times in seconds."""

# A server responds with 504 by itself at the deadline it was given; wait a
# little longer for that response.
SERVER_GRACE_S = 0.03
# Another process responds at the deadline, and its response has to cross the
# network.
PEER_GRACE_S = 0.08
# A connection to the server that was idle for longer is not used for requests
# that are not idempotent: the server may have dropped it, and after a reset
# it is unknown whether the request ran. A new connection takes 1 ms.
MAX_IDLE_NON_IDEMPOTENT_S = 0.2
# Part of the latency objective spent on the network between a caller and this
# instance: about 8 ms each way, and another round trip for a new connection.
CALLER_NETWORK_S = 0.02
# Pause before a retry at another process or at the same server.
RETRY_PAUSE_S = 0.02
# Time that a process waits for the newer map that a request refers to: one read
# of the store, with a margin.
MAP_WAIT_S = 0.25
# Polling interval for keys that are being transferred, in case no change is
# notified: a quarter of the time for which a request waits for them.
HOLD_POLL_S = 0.1
# No further try is made with less time left: half the shortest work time.
MIN_TRY_S = 0.02
# Attempts for one request, the first included.
MAX_TRIES = 4
# Number of responses to other requests that are skipped on a connection.
MAX_SKIPPED_ANSWERS = 2
# Refusals after which a connection is replaced, since it keeps their ids.
MAX_REFUSED_IDS = 32
# Retry-After if there is no better estimate.
DEFAULT_RETRY_AFTER_S = 0.1
# Retry-After while the owner of a key is unreachable: a process that was killed
# is back within a second, and is tried once in this interval.
UNREACHABLE_RETRY_AFTER_S = 0.5
# Bytes that a process may hold if its memory is not known: a quarter of the
# memory of small instances.
MAX_BODIES_BYTES = 50_000_000
# Time for which a request waits for memory before it is refused: most requests
# are answered within it, and its caller still has time to go elsewhere.
BODY_WAIT_S = 0.5
# A peer that has not read any of its answer for this long is cut off.
UNREAD_ANSWER_S = 10.0

STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_TIMEOUT = 408
STATUS_TOO_LARGE = 413
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
