"""Track the session in which each fence was first sent. Pure."""


class FenceSessions:
    """Binds fences to sessions with the server."""

    __slots__ = ('_session_by_fence',)

    def __init__(self) -> None:
        """Start without fences."""
        self._session_by_fence: dict[int, int] = {}

    def may_send(self, fence: int, session: int) -> bool:
        """Return whether a fence is bound to no other session."""
        return self._session_by_fence.get(fence, session) == session

    def is_bound(self, fence: int, session: int) -> bool:
        """Return whether a fence was sent in this session."""
        return self._session_by_fence.get(fence) == session

    def session_of(self, fence: int) -> int | None:
        """Return the session in which a fence was sent."""
        return self._session_by_fence.get(fence)

    def bind(self, fence: int, session: int, lowest: int) -> None:
        """Bind a fence to a session, and remove fences below ``lowest``.

        Fences only increase, so none below the lowest one owned is sent again.
        """
        self._session_by_fence = {
            known: bound
            for known, bound in self._session_by_fence.items()
            if known >= lowest
        }
        self._session_by_fence.setdefault(fence, session)
