"""Interfaces for sending orders to a backend server."""

from collections.abc import Callable
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from plantaingrade.backends.report import ServerNotice, ServerPresence
from plantaingrade.errors import PlantaingradeError
from plantaingrade.holds.entity import Grant, OrderOutcome, Release


class NoSessionError(PlantaingradeError):
    """Report that the session with the server is over; nothing was sent."""

    advice = 'Open another session and renew the fences.'


class GrantTurn(Protocol):
    """Exclusive use of one connection to the server for one grant."""

    async def async_grant(self, grant: Grant, limit_s: float) -> OrderOutcome:
        """Grant a range, or renew a grant."""


class ServerOrders(Protocol):
    """Orders to the backend server beside this process.

    A session reaches one incarnation of the server: whatever is sent within it
    arrives there or nowhere.
    """

    @property
    def session(self) -> int:
        """Return the number of the current session, 0 if there is none."""

    def listen(self, on_over: Callable[[], None]) -> None:
        """Call ``on_over`` whenever a session ends."""

    def listen_to_notices(
        self, on_notice: Callable[[ServerNotice], None]
    ) -> None:
        """Call ``on_notice`` with what the server says in each answer."""

    async def async_open(self) -> bool:
        """Open a session unless there is one; return whether there is one."""

    def turn(self, session: int) -> AbstractAsyncContextManager[GrantTurn]:
        """Return a context that reserves a connection for one grant.

        Raises on entry:
            NoSessionError: the session is over, and nothing was sent.
        """

    async def async_release(
        self, release: Release, limit_s: float
    ) -> OrderOutcome:
        """Release a range; wait until running work on it has ended."""

    async def async_ask_presence(self, path: str) -> ServerPresence | None:
        """Return what the current incarnation reports about itself."""

    def close(self) -> None:
        """End the session."""
