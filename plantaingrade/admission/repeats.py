"""Budget of sending a request to a server once more."""

# Share of the platform's ratio that is used; the rest is left to repeats that
# nobody here can see, such as those of a process that has just restarted.
USED_SHARE = 0.5
# Repeats that may come at once before any request has earned them.
FIRST_TOKENS = 2.0
MAX_TOKENS = 6.0


class RepeatBudget:
    """Allow repeats in proportion to requests.

    Failure: in an overload every request fails and is sent again, which
    doubles the overload. The platform bounds the repeats of all processes
    together; each process keeps to the ratio by itself, so that no messages
    are needed, and the sum then keeps to it too.
    """

    __slots__ = ('_ratio', '_tokens_by_service')

    def __init__(self, ratio: float) -> None:
        """Earn this part of a repeat with each request."""
        self._ratio = ratio * USED_SHARE
        self._tokens_by_service: dict[str, float] = {}

    def on_request(self, service: str) -> None:
        """Earn a part of a repeat."""
        tokens = self._tokens_by_service.get(service, FIRST_TOKENS)
        earned = min(MAX_TOKENS, tokens + self._ratio)
        self._tokens_by_service[service] = earned

    def try_spend(self, service: str) -> bool:
        """Spend one repeat if there is one."""
        tokens = self._tokens_by_service.get(service, FIRST_TOKENS)
        if tokens < 1:
            return False
        self._tokens_by_service[service] = tokens - 1
        return True
