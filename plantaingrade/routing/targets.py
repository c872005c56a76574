"""Choose the target of the next attempt of a request."""

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
from plantaingrade.routing.const import SUSPICION_S
from plantaingrade.routing.entity import (
    LocalTarget,
    PeerTarget,
    RouteRequest,
    Target,
)


class RetryState(Struct):
    """Results of the earlier attempts of one request."""

    attempts: int = 0
    hint: str = ''
    excluded: set[str] = field(default_factory=set)

    def pop_hint(self) -> str:
        """Return and clear the owner hint of the last attempt."""
        hint = self.hint
        self.hint = ''
        return hint


class TargetChooser:
    """Chooses targets by owner, suspicion and load of the peers."""

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
        """Create a chooser for one member."""
        self._row = row
        self._state = state
        self._ownership = ownership
        self._clock = clock
        self._accepts_work = accepts_work
        self._draining = draining
        self._suspect_until: dict[str, float] = {}
        self._in_flight: Counter[str] = Counter()

    def choose(
        self, request: RouteRequest, retry_state: RetryState
    ) -> Target | NotRun:
        """Return the target of the next attempt, or why there is none."""
        if not request.key:
            return self._choose_any(request, retry_state)
        ownership = self._ownership.find(request.service, request.key)
        match ownership:
            case Owned(slice_id=slice_id):
                if self._ownership.handover.is_handing_over(slice_id):
                    return NotRun(NotRunReason.MOVING)
                return LocalTarget(ownership)
            case OwnedElsewhere():
                return self._choose_owner(request, retry_state, ownership)
            case LeaseLapsed():
                return NotRun(NotRunReason.LEASE_LAPSED)
            case Unowned():
                return NotRun(NotRunReason.NO_OWNER)
        return NotRun(NotRunReason.UNKNOWN_SERVICE)

    def suspect(self, member: str) -> None:
        """Suspect a member for a short time; its successor is tried first."""
        self._suspect_until[member] = self._clock.now() + SUSPICION_S

    def begin(self, member: str) -> None:
        """Count a request as in flight to a peer."""
        self._in_flight[member] += 1

    def end(self, member: str) -> None:
        """Count a request to a peer as finished."""
        self._in_flight[member] -= 1
        if not self._in_flight[member]:
            self._in_flight.pop(member)

    def _choose_owner(
        self,
        request: RouteRequest,
        retry_state: RetryState,
        ownership: OwnedElsewhere,
    ) -> Target | NotRun:
        members = self._state().members
        owner = members.get(ownership.owner)
        if request.hop:
            hint = '' if owner is None else owner.http
            return NotRun(NotRunReason.NOT_OWNER, owner_hint=hint)
        hint = retry_state.pop_hint()
        if hint and hint != self._row.http:
            # A hint is valid for one attempt; the owner itself decides.
            return PeerTarget('', hint)
        candidates = [owner, members.get(ownership.successor or '')]
        if self._is_suspect(owner):
            # A broken connection proves no failure: the owner is tried last.
            candidates.reverse()
        for row in candidates:
            if row is not None and self._is_candidate(row, retry_state):
                return PeerTarget(row.member, row.http)
        return NotRun(NotRunReason.NO_OWNER)

    def _is_candidate(self, row: MemberRow, retry_state: RetryState) -> bool:
        # While the successor waits for the end of the grace, it refuses at once
        # and the caller can retry. A request to a frozen owner would wait until
        # its deadline.
        if row.state is MemberState.OVER:
            return False
        return row.member not in retry_state.excluded | {self._row.member}

    def _choose_any(
        self,
        request: RouteRequest,
        retry_state: RetryState,
    ) -> Target | NotRun:
        accepts_locally = (
            self._row.service == request.service and self._accepts_work()
        )
        if request.hop:
            refusal = NotRun(NotRunReason.DRAINING)
            return LocalTarget(None) if accepts_locally else refusal
        candidates = [
            row
            for row in self._state().members.values()
            if row.service == request.service
            and self._may_serve(row, retry_state)
        ]
        if not candidates:
            return NotRun(NotRunReason.NOT_READY)
        sample = random.sample(candidates, min(2, len(candidates)))
        best = min(sample, key=self._load)
        if best.member == self._row.member:
            return LocalTarget(None)
        return PeerTarget(best.member, best.http)

    def _may_serve(self, row: MemberRow, retry_state: RetryState) -> bool:
        if row.member == self._row.member:
            is_available = self._accepts_work()
        else:
            is_available = (
                row.member not in self._draining and not self._is_suspect(row)
            )
        ready = row.state is MemberState.READY
        return is_available and ready and row.member not in retry_state.excluded

    def _load(self, row: MemberRow) -> float:
        if row.member == self._row.member:
            return self._ownership.in_flight.total() / row.slots
        return self._in_flight[row.member] / row.slots

    def _is_suspect(self, row: MemberRow | None) -> bool:
        if row is None:
            return True
        until = self._suspect_until.get(row.member)
        if until is None:
            return False
        if until <= self._clock.now():
            self._suspect_until.pop(row.member)
            return False
        return True
