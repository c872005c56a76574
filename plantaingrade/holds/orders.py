"""What the product needs to order a backend server."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from plantaingrade.backends.report import ServerPresence
from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import Grant, OrderOutcome, Release


class NoSessionError(PlantaingradeError):
    """Report that a session with the server is over; nothing was sent."""

    advice = 'Open another session and take new fences.'


class GrantTurn(Protocol):
    """Use of the way to the server for one grant."""

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range, or renew a grant."""


class ServerOrders(Protocol):
    """Orders to the backend server beside this process.

    A session is a way to one life of the server: what is sent within it
    reaches that life or nobody.
    """

    @property
    def session(self) -> int:
        """Return the number of the session in force, 0 if there is none."""

    def listen(self, on_over: Callable[[], None]) -> None:
        """Have ``on_over`` called when a session is over."""

    async def async_open(self) -> bool:
        """Open a session unless one is in force; tell whether there is one."""

    def turn(self, session: int) -> AbstractAsyncContextManager[GrantTurn]:
        """Return the use of a session for one grant.

        Raises on entry:
            NoSessionError: the session is over, and nothing was sent.
        """

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Take a range back; wait until running work on it has ended."""

    async def async_ask_presence(self, path: str) -> ServerPresence | None:
        """Return what the server's present life says of itself, if it does."""

    def close(self) -> None:
        """End the session."""
