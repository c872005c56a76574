"""Times of leases and grants, in seconds."""

# Renewal of a lease in a small service; see ``holds.times`` for larger ones.
RENEW_S = 3.0
# Second end of a lease after a renewal was due. The platform's store may be
# away for up to 10 s, and a lease that outlasts that keeps keys served.
OUTAGE_S = 10.0
# First end of a lease after a renewal was due: until then a member holds it
# without the promise of its witnesses. It is a hold of a grant.
SPARE_S = 3.0
# Both ends in a small service, from a renewal on.
BASE_LEASE_S = RENEW_S + SPARE_S
LEASE_S = RENEW_S + OUTAGE_S
# Pause after a failed renewal: an outage's end is found within this time.
RETRY_S = 0.25
# Time before the end of a lease at which witnesses are asked: a renewal is late
# then, and a grant for the usual hold would outlast the lease.
ASK_BEFORE_S = 2.7
# Pause between questions to witnesses that were not answered by enough of them.
ASK_PAUSE_S = 0.25
# Witnesses of a lease: two of three are enough, so that one may be lost.
WITNESS_COUNT = 3
# Hold of a grant. It is renewed from here without the store, so it can be
# short; a server that no longer answers is waited out for this long before
# its keys pass on.
HOLD_S = 3.0
# Renewal of grants: two may fail before a hold ends.
GRANT_PERIOD_S = 1.0
# A server's clock may run 2 % slow, so a hold may last longer by that much.
CLOCK_RATE_MARGIN = 1.03
# Time an order may be under way on one instance before it arrives.
ARRIVAL_SLACK_S = 0.3
# A grant must outlast this to let a request begin under it.
MIN_HOLD_LEFT_S = 0.4
# Pause between attempts to open a session with the server, doubled up to the
# second figure until an order is answered: a server that starts again is
# found within that, and one that stays away costs two connections a second.
MIN_OPEN_PAUSE_S = 0.1
MAX_OPEN_PAUSE_S = 0.5
# Time a grant waits for its turn on a connection of the session. Orders take
# some milliseconds; behind one that is never answered the others wait here.
TURN_TIMEOUT_S = 1.0
# Pause before an unanswered grant is sent again, within a hold of 3 s.
RETRY_ORDER_S = 0.1
# An order that is not answered in this time may be carried out later.
ORDER_TIMEOUT_S = 0.7
# A release is answered when running work ends, at the latest at its deadline.
RELEASE_TIMEOUT_S = 2.5
# A lapsed lease is left alone for this long after the store's clock passed
# its end: a holder's own time and the store's are related within
# CLOCK_MARGIN_S, and the rest is spare.
TAKEOVER_MARGIN_S = 0.3
# A writer's estimate of the store's clock is off by half a call at most, and a
# call takes 1 s at most; the rest is spare.
ESTIMATE_SLACK_S = 2.0
# Longest pause between two renewals, however large the service.
MAX_RENEW_S = 8.0
# Longest lease, in the largest services.
LONGEST_LEASE_S = MAX_RENEW_S + OUTAGE_S
# No lease ends later than this after it was written.
UNREADABLE_S = LONGEST_LEASE_S + ESTIMATE_SLACK_S
# After an outage of the store, members renew within one pause and one call;
# whoever has not renewed after this time is gone.
RETURN_GRACE_S = 2.0
# An answer of the store that is older tells nothing of whether it is there now:
# all keys of a server that leaves are about to be released.
ANSWER_MAX_AGE_S = 0.3
# How often all processes of a service together look for lapsed leases.
SCAN_PERIOD_S = 1.0
# Looks are spread by this much around their period, so that they do not fall
# together.
SCAN_SPREAD = (0.5, 1.5)
# The first map waits for the processes that start together.
BOOTSTRAP_WAIT_S = 3.0
# Time for a datagram about a change of the map to arrive before the map is
# read instead: some milliseconds, and the wake-up of a busy process.
HINT_PAUSE_S = 0.1
# The store has answered a process within this time of its start, so nobody had
# held keys by then: the first map waits for longer, and all start together.
FIRST_ANSWER_S = BOOTSTRAP_WAIT_S - 0.5
# Time to join: a renewal as any other, or a change of the map.
JOIN_LIMIT_S = 1.0
# Longest pause before a process that may not join yet looks again.
JOIN_WAIT_S = 1.0
# Shortest such pause: the store's clock is known by its answers only.
MIN_JOIN_WAIT_S = 0.05
# Times as many members as a copy of the store shows that there may have been.
LOST_GROWTH = 2
