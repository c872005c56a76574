"""Timing of leases and grants, in seconds unless noted otherwise."""

# Period of lease renewals in a small service; ``holds.times`` computes the
# period for larger ones.
RENEW_S = 3.0
# Time from a due renewal to the full end of a lease. The platform's store may
# be unavailable for up to 10 s, and a lease that outlasts this keeps its keys
# served.
OUTAGE_S = 10.0
# Time from a due renewal to the base end of a lease; until then a member holds
# it without promises of its witnesses. It equals the hold of a grant.
BASE_GRACE_S = 3.0
# Base and full duration of a lease in a small service, from a renewal on.
BASE_LEASE_S = RENEW_S + BASE_GRACE_S
LEASE_S = RENEW_S + OUTAGE_S
# Pause after a failed renewal. The end of an outage is noticed within this
# time.
RETRY_S = 0.25
# Time after which a member whose grants keep failing gives up its lease, so
# that others take its keys: its server's holds have run out by then.
GIVE_UP_S = 3.0
# Witnesses are asked this long before a lease ends: a renewal is late by then,
# and a grant of the usual hold would outlast the lease.
EXTEND_BEFORE_S = 2.7
# Pause before asking witnesses again if too few of them have answered.
EXTEND_RETRY_S = 0.25
# Witnesses of a lease. Two of three are a majority, so one may be lost.
WITNESS_COUNT = 3
# Duration of a grant's hold. Grants are renewed without the store, so holds can
# be short. If a server stops answering, its keys are transferred only after
# this time.
HOLD_S = 3.0
# Period of grant renewals. Two may fail before a hold ends.
GRANT_PERIOD_S = 1.0
# A server's clock may run 2 % slow, so a hold may last that much longer.
CLOCK_RATE_MARGIN = 1.03
# Longest time an order takes to arrive on the same instance.
ARRIVAL_SLACK_S = 0.3
# A request begins under a grant only if its hold lasts longer than this.
MIN_HOLD_LEFT_S = 0.4
# Pause between attempts to open a session with the server. It doubles from the
# first value to the second until an order is answered. A restarted server is
# found within the second value, and a server that stays down costs two
# connections a second.
MIN_OPEN_PAUSE_S = 0.1
MAX_OPEN_PAUSE_S = 0.5
# Longest wait of a grant for a connection of the session. Orders take some
# milliseconds; those queued behind an order that is never answered wait for
# this long.
CONNECTION_WAIT_S = 1.0
# Pause before an unanswered grant is sent again; short against a hold of 3 s.
RETRY_ORDER_S = 0.1
# Timeout of an order. The server may still execute it afterwards.
ORDER_TIMEOUT_S = 0.7
# Timeout of a release. The server answers when running work ends, at the latest
# at its deadline.
RELEASE_TIMEOUT_S = 2.5
# Time that must pass on the store's clock after a lease's end before a
# takeover. The holder's local time is related to the store's clock within
# CLOCK_MARGIN_S; the rest is a safety margin.
TAKEOVER_MARGIN_S = 0.3
# Error bound of a writer's estimate of the store's clock: half a call, and a
# call takes at most 1 s; the rest is a safety margin.
ESTIMATE_SLACK_S = 2.0
# Longest renewal period, in the largest services.
MAX_RENEW_S = 8.0
# Duration of a lease in the largest services.
LONGEST_LEASE_S = MAX_RENEW_S + OUTAGE_S
# Upper bound of a lease's remaining time when its row is written.
MAX_LEASE_LEFT_S = LONGEST_LEASE_S + ESTIMATE_SLACK_S
# Takeovers wait this long after an outage of the store. Live members renew
# within one retry pause and one call; a member that has not renewed by then is
# gone.
STORE_RECOVERY_GRACE_S = 2.0
# Responses of the store that are older than this do not show that it is
# available now. A leaving server is about to have all its keys released.
MAX_RESPONSE_AGE_S = 0.3
# Target period of scans for lapsed leases, for all processes of a service
# together.
SCAN_PERIOD_S = 1.0
# Random factor on the scan period, so that processes do not scan at the same
# time.
SCAN_JITTER = (0.5, 1.5)
# The first map is created after this time, so that it includes all processes
# that start together.
BOOTSTRAP_WAIT_S = 3.0
# The members of a new service try to create the first map at random times
# within this. The map of the first one reaches the others within some 30 ms.
FIRST_MAP_SPREAD_S = 1.0
# Wait for the datagram about a map change before the map is read instead. It
# arrives within milliseconds plus the wake-up of a busy process.
MAP_HINT_DELAY_S = 0.1
# If the store first answered a process within this time of its start, nobody
# can have held keys before: the first map is created later than this, and all
# processes start together.
FIRST_RESPONSE_S = BOOTSTRAP_WAIT_S - 0.5
# Time limit of a join: as long as a renewal or a change of the map takes.
JOIN_LIMIT_S = 1.0
# Longest pause before a process that may not join yet checks again.
JOIN_WAIT_S = 1.0
# Shortest such pause; the store's clock is known only from its responses.
MIN_JOIN_WAIT_S = 0.05
# Largest ratio of the real number of members to that in a restored snapshot.
MAX_MEMBER_GROWTH = 2
