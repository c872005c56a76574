"""Budget of retries."""

from plantaingrade.admission.const import (
    RETRY_TOKENS_MAX,
    RETRY_TOKENS_PER_REQUEST,
)


class RetryBudget:
    """Allow one retry for every ten requests, in the long run.

    Repeats would double an overload, so only first tries earn tokens.
    """

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = RETRY_TOKENS_MAX

    def on_request(self) -> None:
        """Earn a part of a retry."""
        earned = self._tokens + RETRY_TOKENS_PER_REQUEST
        self._tokens = min(RETRY_TOKENS_MAX, earned)

    def try_spend(self) -> bool:
        """Spend one retry if there is one."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
