"""Decide whether a failed try may be repeated."""

from plantaingrade.outcome import NotRun, NotRunReason, Unknown
from plantaingrade.routing.const import MAX_TRIES, PAUSE_S
from plantaingrade.routing.entity import (
    GiveUp,
    NextStep,
    RetryAfter,
    RouteRequest,
)
from plantaingrade.routing.exchange import Exchange
from plantaingrade.routing.targets import Tries

PAUSED = frozenset(
    (
        NotRunReason.MOVING,
        NotRunReason.LEASE_LAPSED,
        NotRunReason.NOT_OWNER,
    )
)
FINAL_FOR_KEY = frozenset(
    (
        NotRunReason.SHED,
        NotRunReason.QUEUE_FULL,
        NotRunReason.DRAINING,
        NotRunReason.NO_OWNER,
        NotRunReason.EXPIRED,
    )
)


def next_step(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    now: float,
) -> NextStep:
    """Repeat what certainly did not run or is idempotent, in time.

    An unknown outcome of non-idempotent work is final.
    """
    request = exchange.request
    tries = exchange.tries
    left_s = exchange.left_s(now)
    tries.count += 1
    if tries.count >= MAX_TRIES or not exchange.body.is_replayable:
        return GiveUp()
    if isinstance(outcome, Unknown):
        again = request.is_idempotent and not request.hop
        return _in_time(0, left_s) if again else GiveUp()
    if _is_final(request, outcome.reason):
        return GiveUp()
    pause_s = PAUSE_S if _waits(outcome.reason, tries) else 0
    return _in_time(pause_s, left_s)


def _is_final(request: RouteRequest, reason: NotRunReason) -> bool:
    """Tell whether another try can change nothing."""
    if reason in FINAL_FOR_KEY and (request.key or request.hop):
        return True
    return bool(request.hop) and reason is NotRunReason.NOT_OWNER


def _waits(reason: NotRunReason, tries: Tries) -> bool:
    """Tell whether only time can help."""
    first_hint = reason is NotRunReason.NOT_OWNER and tries.count == 1
    return reason in PAUSED and not first_hint


def _in_time(pause_s: float, left_s: float) -> NextStep:
    return RetryAfter(pause_s) if pause_s < left_s else GiveUp()
