"""Which session each fence was sent in. Pure."""


class FenceBook:
    """Bind fences to sessions with the server."""

    __slots__ = ('_session_by_fence',)

    def __init__(self) -> None:
        """Know no fence that was sent."""
        self._session_by_fence: dict[int, int] = {}

    def may_send(self, fence: int, session: int) -> bool:
        """Tell whether a fence is known to no other session."""
        return self._session_by_fence.get(fence, session) == session

    def is_bound(self, fence: int, session: int) -> bool:
        """Tell whether a fence was sent in this session."""
        return self._session_by_fence.get(fence) == session

    def session_of(self, fence: int) -> int | None:
        """Return the session in which a fence was sent."""
        return self._session_by_fence.get(fence)

    def bind(self, fence: int, session: int, lowest: int) -> None:
        """Bind a fence that was not sent yet, and forget those that are past.

        Fences only rise, so none below the ``lowest`` owned is sent again.
        """
        self._session_by_fence = {
            known: bound
            for known, bound in self._session_by_fence.items()
            if known >= lowest
        }
        self._session_by_fence.setdefault(fence, session)
