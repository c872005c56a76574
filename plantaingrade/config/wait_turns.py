"""When the waits of all processes for a new configuration end. Pure.

A wait whose answer the store loses is silent like one without news, and only
its end shows the loss. Processes take turns to end theirs, so that soon after
any loss one of them asks anew and tells the others what it has found.
"""

from msgspec import Struct

# Time between the ends of two processes' waits. A lost wait is noticed
# 0.8 s after its end, and others act on an announcement after 0.8 s: within the
# 3 s that the platform allows after a loss, five turns in a row may fail.
TURN_S = 0.2
# With so few turns that no other process need have the news: a wait, the time
# until its loss is noticed and a pause together stay within these 3 s.
MIN_PERIOD_S = 1.5
# The platform allows waits of 30 s.
MAX_PERIOD_S = 25.0
# Clocks are known within some 20 ms, so a turn that is this near may be the
# last one.
MIN_WAIT_S = 0.1


class WaitTurn(Struct, frozen=True):
    """The place of a process among ``count``, which take turns."""

    rank: int = 0
    count: int = 1

    def wait_s(self, store_now_s: float) -> float:
        """Return how long a wait that begins now lasts, in seconds.

        ``store_now_s`` is the time of the store's clock, which all processes
        share.
        """
        count = max(1, self.count)
        period_s = min(MAX_PERIOD_S, max(MIN_PERIOD_S, TURN_S * count))
        left_s = (period_s * self.rank / count - store_now_s) % period_s
        return left_s if left_s >= MIN_WAIT_S else left_s + period_s
