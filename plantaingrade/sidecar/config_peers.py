"""The other processes, as the follower of the configuration sees them."""

from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.config.wait_turns import WaitTurn
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.announcer import Announcer
from plantaingrade.peers.calls import PeerCalls
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import ConfigFound, Member
from plantaingrade.sidecar.adapter import PlatformAdapter
from plantaingrade.store.interface import Store

# Others that each process tells of each version. Somebody who misses it then
# hears of it unless all three that tell him miss it too.
TOLD_COUNT = 3


class MemberConfigPeers:
    """Tells the members known to this process of new configurations."""

    __slots__ = ('_announcer', '_calls', '_directory', '_own')

    def __init__(
        self,
        own: Member,
        directory: Directory,
        calls: PeerCalls,
        announcer: Announcer,
    ) -> None:
        """Call and notify others on behalf of ``own``."""
        self._own = own
        self._directory = directory
        self._calls = calls
        self._announcer = announcer

    def make_follower(
        self, adapter: PlatformAdapter, store: Store, log: EventLog
    ) -> ConfigFollower:
        """Return a follower of the platform's configuration."""
        return ConfigFollower(
            store,
            adapter.config_table,
            adapter.config_key,
            adapter.decode_config,
            log,
            self,
        )

    @property
    def wait_turn(self) -> WaitTurn:
        """Return the place of this process in the order of waits."""
        return WaitTurn(
            self._directory.rank_of(self._own.name),
            len(self._directory.members()),
        )

    async def async_ask(self) -> bytes | None:
        """Return the configuration of another process, None without one."""
        return await self._calls.async_ask_config()

    def tell_some(self, version: int) -> None:
        """Tell a few others, by datagrams, which may be lost."""
        names = self._directory.spread_from(self._own.name, TOLD_COUNT)
        self._announcer.send(ConfigFound(version, is_for_all=False), names)

    def tell_all(self, version: int) -> None:
        """Tell all others, by datagrams, which may be lost."""
        self._announcer.broadcast(ConfigFound(version, is_for_all=True))
