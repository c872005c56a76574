"""Budget of sending a request to a server once more."""

# Part of the platform's ratio that each request earns. The platform counts
# requests of callers only, while servers call each other up to four times as
# often, and a process cannot tell the two apart.
EARNED_SHARE = 0.2
# Part of the platform's slack that all processes together use; the rest is
# left to repeats that nobody here sees, such as those of a process that has
# just restarted.
SLACK_SHARE = 0.5
# Repeats that may come at once: those that a second of slack and requests
# earn on a busy instance.
MAX_TOKENS = 6.0
FIRST_TOKENS = 2.0
# Less urgent classes leave this many to the most urgent one.
RESERVED_TOKENS = 1.0


class ServiceRetryBudget:
    """Allow repeats in proportion to requests.

    Repeats would double an overload. The platform bounds those of all processes
    together; each keeps to its part by itself, without messages.
    """

    __slots__ = (
        '_ratio',
        '_seen_at',
        '_slack_per_s',
        '_tokens_by_service',
    )

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Know the platform's bound: ratio x requests + slack in a window."""
        self._ratio = ratio * EARNED_SHARE
        self._slack_per_s = slack * SLACK_SHARE / max(1.0, window_s)
        self._tokens_by_service: dict[str, float] = {}
        self._seen_at: dict[str, float] = {}

    def on_request(self, service: str, processes: int, now: float) -> None:
        """Earn with a request, and with the time since the one before."""
        tokens = self._tokens_by_service.get(service, FIRST_TOKENS)
        idle_s = now - self._seen_at.get(service, now)
        self._seen_at[service] = now
        earned = self._ratio + idle_s * self._slack_per_s / max(1, processes)
        self._tokens_by_service[service] = min(MAX_TOKENS, tokens + earned)

    def try_spend(self, service: str, priority: int) -> bool:
        """Spend one repeat if there is one for a class."""
        tokens = self._tokens_by_service.get(service, FIRST_TOKENS)
        needed = 1.0 if priority == 0 else 1.0 + RESERVED_TOKENS
        if tokens < needed:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True
