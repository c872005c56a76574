"""Names that the platform uses on the wire and in its settings."""

HEADER_REQUEST_ID = b'attempt-id'
HEADER_DEADLINE = b'deadline-ms'
HEADER_STAMP = b'server-stamp'
HEADER_EXPECTED = b'expect-instance'
HEADER_LOAD = b'server-load'
HEADER_NOT_RUN = b'not-executed'
HEADER_CALLER = b'caller-service'
HEADER_INSTANCE = b'instance-id'
HEADER_KEY = b'shard-key'
HEADER_COLD = b'cold-ms'
HEADER_HANDOVER = b'handover'
HEADER_ENCODING = b'content-encoding'
HEADER_EPOCH = b'store-era'

PATH_GRANT = '/v1/grant'
PATH_RELEASE = '/v1/release'
PATH_READY = b'/v1/readyz'
PATH_REPORTS = b'/v1/instances/'
PATH_TRANSACTION = '/v1/rows-tx'
PATH_RANGE = '/v1/rows-get'
PATH_FEED = '/v1/rows-feed'

TABLE_OPERATOR = 'op'
KEY_CONFIG = 'config'
PREFIX_EVACUATION = 'evacuate/'

ENV_SETTINGS = 'PLANTAINGRADE_BOOT'
STATE_READY = 'ready'
STATE_DRAINING = 'draining'
TYPE_IDEMPOTENT = 'safe'
TYPE_ONCE = 'unsafe'
TYPE_JSON = ('content-type', 'application/json')
