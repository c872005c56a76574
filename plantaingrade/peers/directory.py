"""The members that this process knows of, and which of them fail."""

from plantaingrade.peers.entity import Member

# A member to which no connection could be made is passed over for this long,
# then tried by one request. A process restarts within about a second.
SUSPECT_S = 0.5
# Each further failure doubles that, up to this: rows of instances that are gone
# for good may stay for long, and each try holds a request up for 0.2 s.
MAX_SUSPECT_S = 2.0
# Failures in a row after which a member counts as unreachable: a single one is
# also what a lost packet leads to.
UNREACHABLE_AFTER = 2


class Directory:
    """Members by name, with suspicions from failed connections."""

    __slots__ = (
        '_failures_by_name',
        '_member_by_name',
        '_names_by_service',
        '_suspect_until',
    )

    def __init__(self) -> None:
        """Know nobody."""
        self._member_by_name: dict[str, Member] = {}
        self._names_by_service: dict[str, set[str]] = {}
        self._suspect_until: dict[str, float] = {}
        self._failures_by_name: dict[str, int] = {}

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
        self.clear_suspicion(member.name)
        return True

    def remove(self, name: str, boot: str) -> None:
        """Forget a run of a member."""
        known = self._member_by_name.get(name)
        if known is None or known.boot != boot:
            return
        self._member_by_name.pop(name)
        self._names_by_service[known.service].discard(name)
        self.clear_suspicion(name)

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

    def on_unreachable(self, name: str, now: float) -> bool:
        """Note that a member was not reached; tell whether that is news."""
        failures = self._failures_by_name.get(name, 0) + 1
        self._failures_by_name[name] = failures
        doubled = max(0, failures - UNREACHABLE_AFTER)
        pause_s = min(MAX_SUSPECT_S, SUSPECT_S * 2**doubled)
        self._suspect_until[name] = now + pause_s
        return failures == UNREACHABLE_AFTER

    def clear_suspicion(self, name: str) -> bool:
        """Note that a member answered; tell whether that is news."""
        self._suspect_until.pop(name, None)
        failures = self._failures_by_name.pop(name, 0)
        return failures >= UNREACHABLE_AFTER

    def may_ask(self, name: str, now: float) -> bool:
        """Tell whether a request may be sent to a member.

        While a member is unreachable one request tries it now and then. The
        others are refused at once; each would wait for a connection until its
        time is up.
        """
        if self._failures_by_name.get(name, 0) < UNREACHABLE_AFTER:
            return True
        if self.is_suspect(name, now):
            return False
        self.suspect(name, now)
        return True

    def is_suspect(self, name: str, now: float) -> bool:
        """Tell whether a member is passed over now."""
        return self._suspect_until.get(name, 0.0) > now
