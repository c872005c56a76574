"""Servers of other members that said that they leave; performs no I/O.

A server that leaves says so in its answers. The process beside it stops sending
it requests in time, but forgets that if it starts again. The members that were
told remind it.
"""

from plantaingrade.backends.report import ServerIncarnation
from plantaingrade.requests.entity import Answered, Outcome

# More than leave at a time among some hundred members.
MAX_SERVERS = 256


class LeavingServers:
    """Leaving incarnations by the name of the member beside them."""

    __slots__ = ('_incarnation_by_member',)

    def __init__(self) -> None:
        """Start without a leaving server."""
        self._incarnation_by_member: dict[str, ServerIncarnation] = {}

    def on_answer(
        self,
        member: str,
        leaving: ServerIncarnation | None,
        outcome: Outcome,
    ) -> None:
        """Apply an answer of a member that names its leaving server, or none.

        An answer of a server that does not leave is from its next incarnation.
        """
        if leaving is not None:
            self._incarnation_by_member[member] = leaving
            self._drop_oldest()
        elif isinstance(outcome, Answered):
            self._incarnation_by_member.pop(member, None)

    def find(self, member: str) -> ServerIncarnation | None:
        """Return the leaving incarnation beside a member, if known."""
        return self._incarnation_by_member.get(member)

    def _drop_oldest(self) -> None:
        if len(self._incarnation_by_member) > MAX_SERVERS:
            self._incarnation_by_member.pop(
                next(iter(self._incarnation_by_member))
            )
