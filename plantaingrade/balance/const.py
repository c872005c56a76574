"""Figures of load balancing; times in seconds, loads in shares of slots."""

# Demand is counted over this long: enough requests to cut a range by, and a new
# hot spot shows in half of it.
WINDOW_S = 1.5
# Demand is counted over this long at least.
MIN_SPAN_S = 0.5
# Moves made at once, each to another member.
MAX_MOVES = 4
# A difference in load below this is left alone: a window's demand is a sample.
MIN_DIFFERENCE = 0.35
# Below this load hardly anything waits, so a move would win nothing. The least
# loaded of many others always seems far below.
MIN_LOAD_TO_MOVE = 0.7
# Part of what would even out two loads that is moved at once. More would
# overshoot, since a window's demand is a sample.
SHARE_OF_DIFFERENCE = 0.8
# What others said of their load is of no use after this long.
LOAD_MAX_AGE_S = 3.0
# Load that was accepted counts until the meter shows it.
RESERVED_S = 1.0
# Pause between looks at the own load.
LOOK_S = 0.2
# A server with less load than this tells others of it.
IDLE_LOAD = 0.35
# How often it tells some of them.
IDLE_TELL_S = 1.0
# Load below which a range counts as nothing: one request in two windows.
MIN_MOVED_LOAD = 0.01
# Less than this part of the slots stays where it is: a move takes a turn of the
# one map of the service, and its keys are served by nobody for a moment.
MIN_MOVED_SHARE = 0.05
# Keys that were moved are not moved again for this long, unless the server
# leaves: each move stops their service for about the length of a request.
SETTLE_S = 1.0
# Ranges a server should not exceed; each costs a renewal a second.
MAX_RANGES = 40
