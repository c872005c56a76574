"""Constants for load balancing: times in seconds, loads as shares of slots."""

# Slots that a server is assumed to use at least, however low its rate limit is:
# its load share stays a number that others can compare.
MIN_USABLE_SLOTS = 0.05
# Window over which demand is measured. It holds enough requests to decide where
# to split a range, and a new hot range shows within half of it.
WINDOW_S = 1.5
# Minimum time over which demand is averaged.
MIN_WINDOW_S = 0.5
# Maximum number of concurrent moves, each to a different member.
MAX_MOVES = 4
# Minimum load difference for a move; smaller ones may be sampling noise.
MIN_LOAD_DIFFERENCE = 0.35
# Minimum own load for a move. Below it hardly any request waits, so moves would
# gain nothing. The least loaded of many peers always appears to have far less.
MIN_LOAD_TO_MOVE = 0.7
# Fraction of the work needed to even out two loads that is moved at once. More
# would overshoot, since measured demand is a sample.
MOVED_DIFFERENCE_FRACTION = 0.8
# Age at which the reported load of a peer expires.
MAX_LOAD_AGE_S = 3.0
# Time for which accepted work is added to the own load until it is measured.
RESERVATION_S = 1.0
# Interval between checks of the own load.
POLL_INTERVAL_S = 0.2
# Load below which a server publishes its load to peers.
IDLE_LOAD = 0.35
# Interval between publications of a low load.
IDLE_PUBLISH_INTERVAL_S = 1.0
# Load below which a range counts as unused: one request in two windows.
MIN_MOVED_LOAD = 0.01
# Minimum share of the slots worth moving. A move occupies the single key map of
# the service for one change, and its keys are unserved for a moment.
MIN_MOVED_SHARE = 0.05
# Time for which acquired keys are not moved again unless the server leaves, as
# each move interrupts their service for about the duration of a request.
MIN_OWNED_S = 1.0
# Maximum number of ranges per server; each costs one renewal per second.
MAX_RANGES = 40
# Work of one key, as a share of the slots, from which no balancing of the other
# keys can relieve its server.
MIN_ISOLATED_SHARE = 1.0
# Ratio of speeds from which a hot key is worth the interruption of a move.
MIN_SPEED_GAIN = 1.25
# The requests of this time are compared with those of the whole window.
RECENT_S = 0.4
# Difference that shows a change of the load, in standard deviations. A hundred
# servers compare five times a second, so that noise often reaches three.
SIGNIFICANT_DEVIATIONS = 4.0
