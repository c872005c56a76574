"""Interface of the follower of the configuration to the other processes."""

from typing import Protocol

from plantaingrade.config.wait_turns import WaitTurn


class ConfigPeers(Protocol):
    """The other processes that follow the same configuration."""

    @property
    def wait_turn(self) -> WaitTurn:
        """Return the place of this process in the order of waits."""

    async def async_ask(self) -> bytes | None:
        """Return the configuration of another process, None without one."""

    def tell_some(self, version: int) -> None:
        """Tell a few others of a version that has come as expected."""

    def tell_all(self, version: int) -> None:
        """Tell all others of a version that they may be missing."""
