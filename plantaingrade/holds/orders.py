"""What the product needs to order a backend server."""

from typing import Protocol

from plantaingrade.holds.entity import Grant, OrderOutcome, Release


class ServerOrders(Protocol):
    """Orders to the backend server beside this process."""

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range, or renew a grant."""

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Take a range back; wait until running work on it has ended."""

    def has_lost_connection(self) -> bool:
        """Tell whether the server closed a connection since the last look."""

    async def async_ask_instance(self, path: str) -> str | None:
        """Return the id of the server's present life, if it tells one."""
