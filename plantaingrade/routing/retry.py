"""Decide whether a failed attempt is repeated."""

from plantaingrade.outcome import NotRun, NotRunReason, Unknown
from plantaingrade.routing.const import MAX_ATTEMPTS, RETRY_PAUSE_S
from plantaingrade.routing.entity import (
    RetryAfter,
    RetryDecision,
    ReturnFailure,
    RouteRequest,
)
from plantaingrade.routing.exchange import Exchange
from plantaingrade.routing.targets import RetryState

RETRIED_AFTER_PAUSE = frozenset(
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


def decide_retry(
    exchange: Exchange,
    outcome: NotRun | Unknown,
    now: float,
) -> RetryDecision:
    """Retry a request that did not run or is idempotent, if in time.

    An unknown outcome of a non-idempotent request is final.
    """
    request = exchange.request
    retry_state = exchange.retry_state
    left_s = exchange.left_s(now)
    retry_state.attempts += 1
    if retry_state.attempts >= MAX_ATTEMPTS or not exchange.body.is_replayable:
        return ReturnFailure()
    if isinstance(outcome, Unknown):
        may_repeat = request.is_idempotent and not request.hop
        return _retry_if_in_time(0, left_s) if may_repeat else ReturnFailure()
    if _is_final(request, outcome.reason):
        return ReturnFailure()
    pause_s = RETRY_PAUSE_S if _needs_pause(outcome.reason, retry_state) else 0
    return _retry_if_in_time(pause_s, left_s)


def _is_final(request: RouteRequest, reason: NotRunReason) -> bool:
    """Return whether another attempt would have the same outcome."""
    if reason in FINAL_FOR_KEY and (request.key or request.hop):
        return True
    return bool(request.hop) and reason is NotRunReason.NOT_OWNER


def _needs_pause(reason: NotRunReason, retry_state: RetryState) -> bool:
    """Return whether to pause before the next attempt.

    A hint to another owner is followed at once the first time.
    """
    first_hint = reason is NotRunReason.NOT_OWNER and retry_state.attempts == 1
    return reason in RETRIED_AFTER_PAUSE and not first_hint


def _retry_if_in_time(pause_s: float, left_s: float) -> RetryDecision:
    return RetryAfter(pause_s) if pause_s < left_s else ReturnFailure()
