"""Members known to this process, and which of them are suspect."""

from bisect import insort

from plantaingrade.peers.entity import Member

# A member is skipped for this long after a failed connection, then probed by
# one request. A process restarts within about a second.
SUSPECT_S = 0.5
# Upper limit of that pause, which doubles with each further failure. Rows of
# removed instances may remain for long, and each probe delays a request by
# 0.2 s.
MAX_SUSPECT_S = 2.0
# Consecutive failures after which a member counts as unreachable. A lost packet
# alone can cause a single failure.
UNREACHABLE_AFTER = 2


class Directory:
    """Members by name, with suspicion state from failed connections."""

    __slots__ = (
        '_failures_by_name',
        '_member_by_name',
        '_names_by_service',
        '_suspect_until',
    )

    def __init__(self) -> None:
        """Start without any members."""
        self._member_by_name: dict[str, Member] = {}
        # In order, so that processes with the same members choose alike.
        self._names_by_service: dict[str, list[str]] = {}
        self._suspect_until: dict[str, float] = {}
        self._failures_by_name: dict[str, int] = {}

    def add(self, member: Member) -> bool:
        """Add a member; return whether it is new, changed or restarted."""
        known = self._member_by_name.get(member.name)
        if known == member:
            return False
        if known is not None:
            self._names_by_service[known.service].remove(member.name)
        self._member_by_name[member.name] = member
        names = self._names_by_service.setdefault(member.service, [])
        insort(names, member.name)
        self.clear_suspicion(member.name)
        return True

    def remove(self, name: str, boot: str) -> None:
        """Remove a member, unless it has restarted since."""
        known = self._member_by_name.get(name)
        if known is None or known.boot != boot:
            return
        self._member_by_name.pop(name)
        self._names_by_service[known.service].remove(name)
        self.clear_suspicion(name)

    def find(self, name: str) -> Member | None:
        """Return the member of this name, or None."""
        return self._member_by_name.get(name)

    def members(self) -> list[Member]:
        """Return all members."""
        return list(self._member_by_name.values())

    def rank_of(self, name: str) -> int:
        """Return how many members have a smaller name."""
        return sum(each < name for each in self._member_by_name)

    def spread_from(self, name: str, count: int) -> set[str]:
        """Return other members' names, evenly spread in their order.

        They are the next one in the order of names and those that divide the
        order from there into ``count`` equal parts. There are none before
        this process has read the members.
        """
        names = sorted(self._member_by_name)
        if not names:
            return set()
        first = self.rank_of(name) + 1
        places = (first + part * len(names) // count for part in range(count))
        return {names[place % len(names)] for place in places} - {name}

    def usable(self, now: float, service: str = '') -> list[Member]:
        """Return the members, of a service if given, that are not skipped."""
        members = self.serving(service) if service else self.members()
        return [
            member
            for member in members
            if not self.is_suspect(member.name, now)
        ]

    def serving(self, service: str) -> list[Member]:
        """Return the members whose server belongs to a service."""
        names = self._names_by_service.get(service, ())
        return [self._member_by_name[name] for name in names]

    def suspect(self, name: str, now: float) -> None:
        """Skip a member for ``SUSPECT_S``."""
        self._suspect_until[name] = now + SUSPECT_S

    def on_unreachable(self, name: str, now: float) -> bool:
        """Count a failure; return whether the member became unreachable."""
        failures = self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        doubled = max(0, failures - UNREACHABLE_AFTER)
        pause_s = min(MAX_SUSPECT_S, SUSPECT_S * 2**doubled)
        self._suspect_until[name] = now + pause_s
        return failures == UNREACHABLE_AFTER

    def clear_suspicion(self, name: str) -> bool:
        """Reset the failures; return whether the member was unreachable."""
        self._suspect_until.pop(name, None)
        failures = self._failures_by_name.pop(name, 0)
        return failures >= UNREACHABLE_AFTER

    def may_ask(self, name: str, now: float) -> bool:
        """Return whether a request may be sent to a member.

        An unreachable member is probed by one request after each pause. Other
        requests are refused at once, as each would wait for a connection until
        it times out.
        """
        if self._failures_by_name.get(name, 0) < UNREACHABLE_AFTER:
            return True
        if self.is_suspect(name, now):
            return False
        self.suspect(name, now)
        return True

    def is_suspect(self, name: str, now: float) -> bool:
        """Return whether a member is skipped at this time."""
        return self._suspect_until.get(name, 0.0) > now
