"""How changes of a key map reach other members."""

from collections.abc import Collection
from typing import Protocol

from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.entity import Token


class MapRelay(Protocol):
    """Tell other members of changes that were committed."""

    def publish_change(
        self,
        service: str,
        before: KeyMap,
        after: KeyMap,
        skipped: Collection[str] = (),
    ) -> None:
        """Tell every member how a map changed; some may miss it.

        ``skipped`` names those that are told otherwise.
        """

    async def async_send_handover(
        self,
        target: str,
        before: KeyMap,
        after: KeyMap,
        tokens: tuple[Token, ...],
    ) -> None:
        """Tell the member that got keys, with the tokens of their release."""
