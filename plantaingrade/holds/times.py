"""How often leases of a service are renewed, and when they end. Pure.

Load: each renewal needs a turn in the service's part of the store, which
handles 150 a second for renewals and map changes together, and each call has
its price. With a renewal every 3 s, 148 members use a third of these turns, and
400 would use nearly all. So members of large services renew less often. In
return, keys of a lost instance stay unserved longer by that period; in a larger
service an instance has fewer keys.
"""

from msgspec import Struct

from plantaingrade.holds.const import (
    BASE_GRACE_S,
    MAX_RENEW_S,
    OUTAGE_S,
    RENEW_S,
)

# Renewal rate of all members of a service together: a sixth of the part's
# turns.
RENEWALS_PER_S = 25.0


class LeaseTimes(Struct, frozen=True):
    """Seconds from a renewal to the next, and to both ends of the lease."""

    renew_s: float
    base_s: float
    full_s: float


def lease_times(members: int) -> LeaseTimes:
    """Return the lease timing for a service with ``members`` members."""
    renew_s = min(MAX_RENEW_S, max(RENEW_S, members / RENEWALS_PER_S))
    return LeaseTimes(renew_s, renew_s + BASE_GRACE_S, renew_s + OUTAGE_S)
