"""The members that this process knows of, and which of them fail."""

from plantaingrade.peers.entity import Member

# A member to which no connection could be made is passed over for this long,
# then tried by one request. A process restarts within about a second.
SUSPECT_S = 0.5


class Directory:
    """Members by name, with suspicions from failed connections."""

    __slots__ = ('_member_by_name', '_names_by_service', '_suspect_until')

    def __init__(self) -> None:
        """Know nobody."""
        self._member_by_name: dict[str, Member] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._suspect_until: dict[str, float] = {}

    def add(self, member: Member) -> bool:
        """Take a member; tell whether it is new or has restarted."""
        known = self._member_by_name.get(member.name)
        if known == member:
            return False
        if known is not None:
            self._names_by_service[known.service].discard(member.name)
        self._member_by_name[member.name] = member
        names = self._names_by_service.setdefault(member.service, set())
        names.add(member.name)
        self._suspect_until.pop(member.name, None)
        return True

    def remove(self, name: str, boot: str) -> None:
        """Forget a run of a member."""
        known = self._member_by_name.get(name)
        if known is None or known.boot != boot:
            return
        self._member_by_name.pop(name)
        self._names_by_service[known.service].discard(name)
        self._suspect_until.pop(name, None)

    def find(self, name: str) -> Member | None:
        """Return a member."""
        return self._member_by_name.get(name)

    def members(self) -> list[Member]:
        """Return every member."""
        return list(self._member_by_name.values())

    def serving(self, service: str) -> list[Member]:
        """Return the members beside servers of a service."""
        names = self._names_by_service.get(service, ())
        return [self._member_by_name[name] for name in names]

    def suspect(self, name: str, now: float) -> None:
        """Pass a member over for a while."""
        self._suspect_until[name] = now + SUSPECT_S

    def trust(self, name: str) -> None:
        """Note that a member answered."""
        self._suspect_until.pop(name, None)

    def is_suspect(self, name: str, now: float) -> bool:
        """Tell whether a member is passed over now."""
        return self._suspect_until.get(name, 0.0) > now
