"""Headers, status codes and limits of HTTP/1.1 connections."""

MAX_HEAD_BYTES = 16_384
# Longest body of a message that is read into memory without a budget: a page of
# the store has 1 MB of rows, in base64 and JSON.
MAX_SMALL_BODY_BYTES = 4_000_000
MAX_UNREAD_BYTES = 262_144
# Bytes of the connection that are read while a request is served, if they
# belong to later requests.
MAX_READ_AHEAD_BYTES = 65_536
# Number of parsed parts from which on the parser gets no more bytes, and bytes
# that it gets at once: a parsed request takes several times their memory.
MAX_PARSED_PARTS = 128
PARSED_AT_ONCE_BYTES = 16_384
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_S = 2.0
MAX_IDLE_PER_ADDRESS = 100
CALLER_IDLE_S = 75.0

HEADER_OUTCOME = b'x-outcome'
HEADER_REASON = b'x-reason'
HEADER_OWNER = b'x-owner'
HEADER_SLICE = b'x-slice'
HEADER_GENERATION = b'x-map-generation'
HEADER_FENCE = b'x-fence'
HEADER_LEASE_UNTIL = b'x-lease-until'
HEADER_DEADLINE = b'x-deadline'
HEADER_TIMEOUT_MS = b'x-request-timeout-ms'
HEADER_HOP = b'x-forwarded-hop'
HEADER_REQUEST_ID = b'x-request-id'
HEADER_TENANT = b'x-tenant'
HEADER_CLASS = b'x-request-class'
HEADER_RETRY_AFTER = b'retry-after'

HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'expect',
    )
)

SAFE_METHODS = frozenset((b'GET', b'HEAD', b'OPTIONS'))
IDEMPOTENT_METHODS = SAFE_METHODS | {b'PUT', b'DELETE'}

# Status codes of responses that never have a body.
BODILESS_STATUSES = frozenset((204, 304))
# Statuses that HTTP knows (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
STATUS_OK = 200
STATUS_BAD_REQUEST = 400
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_MISDIRECTED = 421
STATUS_TOO_LARGE = 431
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_TIMEOUT = 504
