"""Predictions of waits for slots; performs no I/O."""

import heapq
from collections.abc import Sequence
from itertools import repeat


def spread_s(work_s: Sequence[float], slots: int) -> float:
    """Return how long work takes if spread evenly over all slots."""
    return sum(work_s) / max(1, slots)


def predict_wait_s(
    remaining_s: Sequence[float], work_ahead_s: Sequence[float], slots: int
) -> float:
    """Return the wait until a slot is free after all work ahead, in seconds.

    ``remaining_s`` holds the remaining times of running work, ``work_ahead_s``
    the durations of queued work that goes first, in order. Each piece of work
    takes the slot that becomes free first.

    Short calls between servers depend on this prediction: with nine slots that
    run reads of 360 ms, a slot becomes free every 40 ms.
    """
    surplus = len(remaining_s) - slots
    free_at = sorted(remaining_s)[max(0, surplus) :]
    free_at.extend(repeat(0.0, max(0, -surplus)))
    if not free_at:
        return float('inf')
    heapq.heapify(free_at)
    for work_s in work_ahead_s:
        heapq.heapreplace(free_at, free_at[0] + work_s)
    return free_at[0]
