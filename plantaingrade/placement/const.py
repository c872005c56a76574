"""Constants of the placement; times in seconds."""

DECIDER_ROW = 0
DECIDER_LEASE_S = 2.5
DECIDER_RENEW_S = 0.8
DECIDER_POLL_S = 0.8
DECIDER_IDLE_POLL_S = 10.0
# Only this many members poll at the short interval, to limit the load on the
# table service.
DECIDER_CANDIDATES = 6
NO_HOLDER = ''
PLAN_INTERVAL_S = 0.25
MAX_CHANGES_PER_RECORD = 200
MAX_MOVES_IN_PROGRESS = 4
MOVE_THRESHOLD = 1.5
DRAIN_ID = 'drain'
BALANCE_ID = 'balance'
POLL_JITTER = (0.8, 1.2)
