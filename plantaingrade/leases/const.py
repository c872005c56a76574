"""Constants of the lease subsystem."""

LEASE_S = 0.8
RENEW_EVERY_S = 0.2
# Largest difference in clock rate between two members, as a ratio.
MAX_CLOCK_DRIFT = 0.02
WITNESS_COUNT = 3
LAPSE_NOTICE_EVERY_S = 0.1
LAPSE_NOTICE_FOR_S = 30.0
TESTIMONY_REQUEST_EVERY_S = 0.05
POLL_EXPIRES_AFTER_S = 2.0
EPOCH_CHECK_EVERY_S = 0.2
EPOCH_SETTLE_S = 1.5
# A member counts as isolated this long after its lease ended, or after its
# last renewal when it looks for new witnesses, in seconds.
ISOLATED_AFTER_S = 3.0
EARLIEST = float('-inf')
# How long former witnesses send notices of a lapsed lease, in seconds.
FORMER_NOTICE_FOR_S = 3.0
# Delay from a witness's first notice of a lapse until it opens a poll itself,
# in seconds.
WITNESS_POLLS_AFTER_S = 0.4
