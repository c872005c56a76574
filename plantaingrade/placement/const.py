"""Constants of the placement."""

DECIDER_ROW = 0
DECIDER_LEASE_S = 2.5
DECIDER_RENEW_S = 0.8
DECIDER_LOOK_S = 0.8
DECIDER_LOOK_SELDOM_S = 10.0
# So many members look often; the others leave the table service alone.
DECIDER_CANDIDATES = 6
NOBODY = ''
PLAN_EVERY_S = 0.25
MAX_CHANGES_PER_RECORD = 200
MAX_MOVES_IN_PROGRESS = 4
MOVE_THRESHOLD = 1.5
DRAIN_ID = 'drain'
BALANCE_ID = 'balance'
LOOK_SPREAD = (0.8, 1.2)
