"""Retry budget."""

from plantaingrade.admission.const import (
    RETRY_TOKENS_MAX,
    RETRY_TOKENS_PER_REQUEST,
)


class RetryBudget:
    """Limit retries to one for every ten requests in the long run.

    Unlimited retries would double an overload, so only first attempts add
    tokens.
    """

    __slots__ = ('_tokens',)

    def __init__(self) -> None:
        """Start with a full budget."""
        self._tokens = RETRY_TOKENS_MAX

    def on_request(self) -> None:
        """Add a fraction of a token for a first attempt."""
        earned = self._tokens + RETRY_TOKENS_PER_REQUEST
        self._tokens = min(RETRY_TOKENS_MAX, earned)

    def try_spend(self) -> bool:
        """Spend a token if one is available."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
