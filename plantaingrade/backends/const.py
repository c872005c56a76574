"""Constants of the adapters; times in seconds."""

HEALTH_INTERVAL_S = 0.2
HEALTH_TIMEOUT_S = 0.25
MISSES_UNTIL_DOWN = 2
READY_STREAK = 2
DIALECT_STATUS = 'status'
DIALECT_TEXT = 'text'
LEASE_PATH = '/lease'
