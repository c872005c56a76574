"""Choose where the next try of a request goes."""

import random
from collections import Counter
from collections.abc import Callable

from msgspec import Struct, field

from plantaingrade.clock import Clock
from plantaingrade.journal.entity import MapState, MemberRow, MemberState
from plantaingrade.outcome import NotRun, NotRunReason
from plantaingrade.ownership.coordinator import OwnershipCoordinator
from plantaingrade.ownership.entity import (
    LeaseLapsed,
    Owned,
    OwnedElsewhere,
    Unowned,
)
from plantaingrade.routing.const import SUSPECT_FOR_S
from plantaingrade.routing.entity import (
    LocalTarget,
    PeerTarget,
    RouteRequest,
    Target,
)


class Tries(Struct):
    """What the earlier tries of one request have shown."""

    count: int = 0
    hint: str = ''
    avoided: set[str] = field(default_factory=set)

    def take_hint(self) -> str:
        """Return the hint of the last try, once."""
        hint = self.hint
        self.hint = ''
        return hint


class TargetChooser:
    """Know owners, suspects and the load of peers."""

    __slots__ = (
        '_accepts_work',
        '_clock',
        '_draining',
        '_in_flight',
        '_ownership',
        '_row',
        '_state',
        '_suspect_until',
    )

    def __init__(
        self,
        row: MemberRow,
        state: Callable[[], MapState],
        ownership: OwnershipCoordinator,
        clock: Clock,
        accepts_work: Callable[[], bool],
        draining: set[str],
    ) -> None:
        """Choose on behalf of one member."""
        self._row = row
        self._state = state
        self._ownership = ownership
        self._clock = clock
        self._accepts_work = accepts_work
        self._draining = draining
        self._suspect_until: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()

    def choose(self, request: RouteRequest, tries: Tries) -> Target | NotRun:
        """Return the target of the next try, or why there is none."""
        if not request.key:
            return self._choose_any(request, tries)
        ownership = self._ownership.find(request.service, request.key)
        match ownership:
            case Owned(slice_id=slice_id):
                if self._ownership.handover.is_handing_over(slice_id):
                    return NotRun(NotRunReason.MOVING)
                return LocalTarget(ownership)
            case OwnedElsewhere():
                return self._choose_owner(request, tries, ownership)
            case LeaseLapsed():
                return NotRun(NotRunReason.LEASE_LAPSED)
            case Unowned():
                return NotRun(NotRunReason.NO_OWNER)
        return NotRun(NotRunReason.UNKNOWN_SERVICE)

    def suspect(self, member: str) -> None:
        """Try a member's successor first for a moment."""
        self._suspect_until[member] = self._clock.now() + SUSPECT_FOR_S

    def begin(self, member: str) -> None:
        """Count a request on its way to a peer."""
        self._in_flight[member] += 1

    def end(self, member: str) -> None:
        """Count a request as back from a peer."""
        self._in_flight[member] -= 1
        if not self._in_flight[member]:
            self._in_flight.pop(member)

    def _choose_owner(
        self,
        request: RouteRequest,
        tries: Tries,
        ownership: OwnedElsewhere,
    ) -> Target | NotRun:
        members = self._state().members
        owner = members.get(ownership.owner)
        if request.hop:
            hint = '' if owner is None else owner.http
            return NotRun(NotRunReason.NOT_OWNER, owner_hint=hint)
        hint = tries.take_hint()
        if hint and hint != self._row.http:
            # A hint is good for one try; the owner itself decides.
            return PeerTarget('', hint)
        candidates = [owner, members.get(ownership.successor or '')]
        if self._suspected(owner):
            # One broken connection is no proof: the owner is tried last.
            candidates.reverse()
        for row in candidates:
            if row is not None and self._may_ask(row, tries):
                return PeerTarget(row.member, row.http)
        return NotRun(NotRunReason.NO_OWNER)

    def _may_ask(self, row: MemberRow, tries: Tries) -> bool:
        # The successor refuses at once while it waits out the grace, and the
        # caller can come back; who asks the frozen owner waits until its
        # deadline.
        if row.state is MemberState.OVER:
            return False
        return row.member not in tries.avoided | {self._row.member}

    def _choose_any(
        self,
        request: RouteRequest,
        tries: Tries,
    ) -> Target | NotRun:
        local = self._row.service == request.service and self._accepts_work()
        if request.hop:
            refusal = NotRun(NotRunReason.DRAINING)
            return LocalTarget(None) if local else refusal
        candidates = [
            row
            for row in self._state().members.values()
            if row.service == request.service and self._may_serve(row, tries)
        ]
        if not candidates:
            return NotRun(NotRunReason.NOT_READY)
        sample = random.sample(candidates, min(2, len(candidates)))
        best = min(sample, key=self._load)
        if best.member == self._row.member:
            return LocalTarget(None)
        return PeerTarget(best.member, best.http)

    def _may_serve(self, row: MemberRow, tries: Tries) -> bool:
        if row.member == self._row.member:
            fit = self._accepts_work()
        else:
            fit = row.member not in self._draining and not self._suspected(row)
        ready = row.state is MemberState.READY
        return fit and ready and row.member not in tries.avoided

    def _load(self, row: MemberRow) -> float:
        if row.member == self._row.member:
            return self._ownership.in_flight.total() / row.slots
        return self._in_flight[row.member] / row.slots

    def _suspected(self, row: MemberRow | None) -> bool:
        if row is None:
            return True
        until = self._suspect_until.get(row.member)
        if until is None:
            return False
        if until <= self._clock.now():
            self._suspect_until.pop(row.member)
            return False
        return True
