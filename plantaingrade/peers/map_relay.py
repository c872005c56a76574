"""Interface through which changes of a key map reach other members."""

from collections.abc import Collection
from typing import Protocol

from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.entity import Token


class MapRelay(Protocol):
    """Notify other members of committed changes of a key map."""

    def publish_change(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Send a change to every member by datagram, which may be lost.

        ``skipped`` names members that are notified in another way.
        """

    async def async_send_handover(
        self,
        target: str,
        before: KeyMap,
        after: KeyMap,
        tokens: tuple[Token, ...],
    ) -> None:
        """Notify the new owner, with the handover tokens of the release."""
