"""When the members of a service renew their leases. Pure.

Load: the renewals of a service are most of its calls to the store. All members
renew at the same readings of the store's clock, so that the renewals of an
availability zone can be committed in one transaction.
"""

# Renewal periods are rounded down to a multiple of this, so that members that
# know slightly different numbers of members renew at the same moments.
PERIOD_STEP_S = 0.5
# The period of common renewals is at least this much shorter than the renewal
# interval, so that a member can renew by itself if the common one fails.
OWN_RENEWAL_MARGIN_S = 0.5
# If less than this is left, a member waits for the renewal after the next one:
# clocks are known within some 20 ms, so it may just have renewed for the next.
MIN_PAUSE_S = 0.1


def pause_until_renewal(store_now_s: float, renew_s: float) -> float:
    """Return the time until the next common renewal, in seconds."""
    steps = (renew_s - OWN_RENEWAL_MARGIN_S) // PERIOD_STEP_S
    period_s = max(PERIOD_STEP_S, steps * PERIOD_STEP_S)
    pause_s = period_s - store_now_s % period_s
    return pause_s if pause_s >= MIN_PAUSE_S else pause_s + period_s
