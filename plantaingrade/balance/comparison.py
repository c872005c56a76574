"""Compare the loads of two servers of different speed; performs no I/O."""

import math

from plantaingrade.balance.const import (
    MIN_LOAD_DIFFERENCE,
    MOVED_DIFFERENCE_FRACTION,
    WINDOW_S,
)
from plantaingrade.balance.entity import Load

# The expected range of ``n`` samples of a normal distribution, in standard
# deviations, is about this factor times ``sqrt(ln n)``: 2.7 for 7, 4.7 for 67.
EXTREMES_FACTOR = 2.2


def min_significant_difference(own: Load, peer_count: int) -> float:
    """Return the smallest load difference that is not sampling noise.

    A load is measured over a window and varies with the number of requests in
    it. Among members with equal load, the difference between the highest and
    the lowest sample grows with the number of members.
    """
    deviation = math.sqrt(
        own.share * own.work_s / (max(1, own.slots) * WINDOW_S)
    )
    extremes_factor = EXTREMES_FACTOR * math.sqrt(math.log(max(1, peer_count)))
    return max(MIN_LOAD_DIFFERENCE, deviation * extremes_factor)


def work_to_move(own: Load, peer: Load) -> float:
    """Return the work to move to a peer, in own slot seconds per second.

    Moving ``w`` lowers the own share by ``w / own.slots`` and raises the peer's
    share by ``w * ratio / peer.slots``, where ``ratio`` relates their speeds.
    """
    ratio = relative_work(own, peer)
    effect = 1 / max(1, own.slots) + ratio / max(1, peer.slots)
    difference = own.share - peer.share
    return MOVED_DIFFERENCE_FRACTION * difference / effect


def relative_work(own: Load, peer: Load) -> float:
    """Return how much longer work takes at a peer than at this server."""
    if own.work_s <= 0 or peer.work_s <= 0:
        return 1.0
    return peer.work_s / own.work_s


def load_after(own: Load, peer: Load, work: float) -> float:
    """Return the load share of a peer that has received work from here."""
    return peer.share + work * relative_work(own, peer) / max(1, peer.slots)
