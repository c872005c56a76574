"""How often leases of a service are renewed, and when they end. Pure.

Load that answers: each renewal takes a turn in the store's part of the
service, which has 150 a second for renewals and changes of the map together,
and each call has its price. Renewed each 3 s, 148 members take a third of the
turns, and 400 would take nearly all. So members of large services renew more
rarely. The price is that keys of a lost instance wait longer by the pause,
which are the fewer the larger the service.
"""

from msgspec import Struct

from plantaingrade.holds.const import (
    MAX_RENEW_S,
    OUTAGE_S,
    RENEW_S,
    SPARE_S,
)

# Renewals of all members of a service together: a sixth of the part's turns.
RENEWALS_PER_S = 25.0


class LeaseTimes(Struct, frozen=True):
    """Seconds from a renewal to the next, and to both ends of the lease."""

    renew_s: float
    base_s: float
    full_s: float


def lease_times(members: int) -> LeaseTimes:
    """Return the times for a service with so many members."""
    renew_s = min(MAX_RENEW_S, max(RENEW_S, members / RENEWALS_PER_S))
    return LeaseTimes(renew_s, renew_s + SPARE_S, renew_s + OUTAGE_S)
