"""The members that may take keys, with their loads."""

from plantaingrade.balance.book import LoadBook
from plantaingrade.balance.entity import Load
from plantaingrade.holds.plans import live_members
from plantaingrade.holds.registry import Registry
from plantaingrade.peers.directory import Directory
from plantaingrade.peers.entity import Member

# A member that leaves says it has this load, so that nobody chooses it.
LEAVING_SHARE = 100.0
# Assumed of a member with a lease that has not told its load.
NO_LOAD = Load(0.5, 0.0, 1)


class Others:
    """Other members of the own service."""

    __slots__ = ('_directory', '_own', '_registry', 'book')

    def __init__(
        self,
        own: Member,
        registry: Registry,
        directory: Directory,
        book: LoadBook,
    ) -> None:
        """Know them by rows in the store, by messages and by their loads."""
        self._own = own
        self._registry = registry
        self._directory = directory
        self.book = book

    def names(self) -> list[str]:
        """Return all other members of the service."""
        return [
            member.name
            for member in self._directory.serving(self._own.service)
            if member.name != self._own.name
        ]

    def takers(self, now: float) -> dict[str, Load]:
        """Return the members that may take keys."""
        rows = live_members(self._registry)
        takers: dict[str, Load] = {}
        for name in self.names():
            load = self.book.find(name, now)
            if load is None and name in rows:
                load = NO_LOAD
            is_out = self._directory.is_suspect(name, now)
            if load is not None and not is_out:
                takers[name] = load
        return {
            name: load
            for name, load in takers.items()
            if load.share < LEAVING_SHARE
        }
