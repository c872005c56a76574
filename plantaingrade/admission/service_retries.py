"""Retry budgets of services within the platform's common limit."""

# Fraction of the platform's retry ratio that each request earns. The platform
# counts requests of callers only, while servers call each other up to four
# times as often, and a process cannot tell the two apart.
EARNED_FRACTION = 0.2
# Fraction of the platform's slack that all processes together use. The rest is
# reserved for retries that are not counted here, such as those of a process
# that has just restarted.
SLACK_FRACTION = 0.5
# Maximum burst of retries: what a busy instance earns within a second
# from slack and requests.
MAX_TOKENS = 6.0
INITIAL_TOKENS = 2.0
# Tokens that only requests of the most urgent class may spend.
RESERVED_TOKENS = 1.0


class ServiceRetryBudget:
    """Limit retries of each service in proportion to its requests.

    Unlimited retries would double an overload. The platform limits the retries
    of all processes together; each process keeps to its own part of that limit
    without exchanging messages.
    """

    __slots__ = (
        '_ratio',
        '_last_request_at',
        '_slack_per_s',
        '_tokens_by_service',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Set the platform's limit: ratio x requests + slack per window."""
        self._ratio = ratio * EARNED_FRACTION
        self._slack_per_s = slack * SLACK_FRACTION / max(1.0, window_s)
        self._tokens_by_service: dict[str, float] = {}
        self._last_request_at: dict[str, float] = {}

    def on_request(self, service: str, processes: int, now: float) -> None:
        """Add tokens for a request and the time since the previous one."""
        tokens = self._tokens_by_service.get(service, INITIAL_TOKENS)
        idle_s = now - self._last_request_at.get(service, now)
        self._last_request_at[service] = now
        earned = self._ratio + idle_s * self._slack_per_s / max(1, processes)
        self._tokens_by_service[service] = min(MAX_TOKENS, tokens + earned)

    def try_spend(self, service: str, priority: int) -> bool:
        """Spend a token if one is available to requests of this priority."""
        tokens = self._tokens_by_service.get(service, INITIAL_TOKENS)
        needed = 1.0 if priority == 0 else 1.0 + RESERVED_TOKENS
        if tokens < needed:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True
