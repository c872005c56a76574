"""Constants of the leases."""

LEASE_S = 0.8
RENEW_EVERY_S = 0.2
MAX_CLOCK_DRIFT = 0.02
WITNESS_COUNT = 3
LAPSE_NOTICE_EVERY_S = 0.1
LAPSE_NOTICE_FOR_S = 30.0
ASK_EVERY_S = 0.05
POLL_KEPT_S = 2.0
EPOCH_CHECK_EVERY_S = 0.2
EPOCH_SETTLE_S = 1.5
ORPHAN_AFTER_S = 3.0
EARLIEST = float('-inf')
# How long former witnesses tell of a lease that lapsed, in seconds.
FORMER_NOTICE_FOR_S = 3.0
# When a witness asks by itself, since it first told, in seconds.
WITNESS_ASKS_AFTER_S = 0.4
