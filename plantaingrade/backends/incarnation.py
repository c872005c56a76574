"""Track which incarnation of the local backend server is running."""

from enum import StrEnum

from msgspec import Struct

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)

# Ended incarnations that are remembered. A server restarts a few times a day
# and heartbeats are late by seconds, so a few would be enough.
MAX_ENDED_INCARNATIONS = 64
# Shortest time between two heartbeats of an incarnation with an earlier start
# time before it is accepted as the current one, if nothing was received from
# the current one in between. Heartbeats are sent about once a second, so a
# server whose clock stepped back is accepted at its second or third heartbeat,
# within two seconds of its start. Heartbeats that were delayed by a network
# partition arrive all at once and do not pass.
CONFIRM_AFTER_S = 0.5
# Time after a farewell without a start time from which on a heartbeat with a
# start time proves that the farewell was not sent by the current incarnation.
# A server sends no heartbeats after its farewell, but the last one before it
# may be late.
FAREWELL_REFUTE_AFTER_S = 2.0
NEVER = float('inf')
NO_INCARNATION = ServerIncarnation('')


class IncarnationState(StrEnum):
    """State of the current incarnation of the server."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class IncarnationChange(Struct, frozen=True):
    """Change caused by a message; a new incarnation holds no keys."""

    is_new_incarnation: bool = False
    is_leaving: bool = False
    must_verify: str = ''


NO_CHANGE = IncarnationChange()


class CandidateIncarnation(Struct, frozen=True):
    """A seemingly earlier incarnation and its first recent heartbeat."""

    incarnation: ServerIncarnation
    sequence: int
    received_at: float


class IncarnationTracker:
    """Tracks the current incarnation of one server from its heartbeats.

    An incarnation is identified by an id and a start time. The rules:

    - Of two incarnations with the same id, the one that started later is the
      current one, whatever its ``sequence``. It has no state from before, so
      nothing reported by the earlier one is kept.
    - Of two incarnations with different ids, the server itself names the
      current one when asked, as heartbeats may be reordered in transit.
    - An incarnation that was followed by another one has ended. Its delayed
      heartbeats are ignored, by id and start time. Only the server itself can
      make an ended id current again.
    - An incarnation with the current id and an earlier start time that is not
      known to have ended is a candidate. It is accepted once its sequence has
      increased over at least ``CONFIRM_AFTER_S`` with no heartbeat from the
      current one in between.
    - Without a start time, the id alone identifies an incarnation. A farewell
      without a start time ends the current incarnation with that id. If that
      one reports start times and still reports that it is ready
      ``FAREWELL_REFUTE_AFTER_S`` later, the farewell was of an earlier
      incarnation, and the server gets work again as a new one.

    An incarnation sends nothing after its end. Its delayed heartbeats arrive
    all at once or between heartbeats of the running one, so they are not
    mistaken for heartbeats of the server that runs now.

    A server whose clock stepped back is accepted as a candidate, because the
    previous incarnation is silent. Accepting a late heartbeat by mistake costs
    only new fences: which keys a server holds does not depend on this state.
    """

    __slots__ = (
        '_candidate',
        '_ended',
        '_farewell_at',
        '_finish_s',
        '_sequence',
        'cold_until',
        'finish_until',
        'last_received_at',
        'current',
        'slots',
        'state',
    )

    def __init__(self, finish_s: float = 0.0) -> None:
        """Start without a known incarnation.

        A draining server still gets work on its keys for ``finish_s`` seconds.
        """
        self._finish_s = finish_s
        self._ended: dict[ServerIncarnation, None] = {}
        self._candidate: CandidateIncarnation | None = None
        self._reset(NO_INCARNATION)
        self.last_received_at = 0.0

    @property
    def instance(self) -> str:
        """Return the id of the current incarnation, empty if none is known."""
        return self.current.instance

    @property
    def leaving_incarnation(self) -> ServerIncarnation | None:
        """Return the current incarnation if it leaves."""
        is_leaving = self.state is IncarnationState.DRAINING
        return self.current if is_leaving else None

    @property
    def is_first_known(self) -> bool:
        """Return whether the current incarnation is the first one known here.

        A previous process may have known more of it.
        """
        return not self._ended

    def is_finishing(self, now: float) -> bool:
        """Return whether a draining server may still get work on its keys."""
        return (
            self.state is IncarnationState.DRAINING and now < self.finish_until
        )

    @property
    def accepts_work(self) -> bool:
        """Return whether new work may be sent to the server."""
        return self.state is IncarnationState.READY

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> IncarnationChange:
        """Apply a heartbeat."""
        incarnation = heartbeat.incarnation
        if incarnation in self._ended:
            return NO_CHANGE
        if incarnation.instance != self.instance:
            if self.instance and self.state is not IncarnationState.GONE:
                return IncarnationChange(must_verify=incarnation.instance)
            return self._begin_from(heartbeat, now)
        if self.current.is_before(incarnation):
            return self._begin_from(heartbeat, now)
        if incarnation.is_before(self.current):
            return self._check_candidate(heartbeat, now)
        if incarnation.born_ms is None and self.current.born_ms is not None:
            # The current incarnation reports its start time, so this
            # heartbeat is from another sender.
            return NO_CHANGE
        if self.state is IncarnationState.GONE:
            return self._begin_from(heartbeat, now)
        return self._continue(heartbeat, now)

    def on_farewell(self, farewell: Farewell, now: float) -> IncarnationChange:
        """Apply the farewell of an incarnation; it still serves for a while."""
        incarnation = farewell.incarnation
        if incarnation.instance != self.instance:
            self._end(incarnation)
            return NO_CHANGE
        if incarnation in self._ended or incarnation.is_before(self.current):
            return NO_CHANGE
        is_new_incarnation = self.current.is_before(incarnation)
        if is_new_incarnation:
            self._begin(incarnation, now)
        if self.state in {IncarnationState.DRAINING, IncarnationState.GONE}:
            return NO_CHANGE
        self._start_draining(now)
        if incarnation.born_ms is None and self.current.born_ms is not None:
            self._farewell_at = now
        return IncarnationChange(
            is_new_incarnation=is_new_incarnation, is_leaving=True
        )

    def on_leaving_notice(
        self, now: float, *, may_finish: bool
    ) -> IncarnationChange:
        """Apply that the current incarnation says in an answer that it leaves.

        With ``may_finish`` it still gets work on its keys for a while: the
        answer is the first one that says so.
        """
        if not self.accepts_work:
            return NO_CHANGE
        self._start_draining(now)
        if not may_finish:
            self.finish_until = now
        return IncarnationChange(is_leaving=True)

    def on_identified(self, instance: str, now: float) -> IncarnationChange:
        """Apply the id that the server itself just returned.

        It may be an ended one, as a server may restart with the same id.
        """
        is_gone = self.state is IncarnationState.GONE
        if instance == self.instance and not is_gone:
            return NO_CHANGE
        self._begin(ServerIncarnation(instance), now)
        self._forget_ended(instance)
        self.state = IncarnationState.READY
        return IncarnationChange(is_new_incarnation=True)

    def on_gone(self) -> None:
        """Record that nothing listens at the server's address any more."""
        self._end(self.current)
        self.state = IncarnationState.GONE

    def _check_candidate(
        self, heartbeat: Heartbeat, now: float
    ) -> IncarnationChange:
        """Accept a seemingly earlier incarnation once it keeps sending."""
        first = self._candidate
        if first is None or first.incarnation != heartbeat.incarnation:
            self._candidate = CandidateIncarnation(
                heartbeat.incarnation, heartbeat.sequence, now
            )
            return NO_CHANGE
        is_rising = heartbeat.sequence > first.sequence
        if is_rising and now - first.received_at >= CONFIRM_AFTER_S:
            return self._begin_from(heartbeat, now)
        return NO_CHANGE

    def _continue(self, heartbeat: Heartbeat, now: float) -> IncarnationChange:
        """Apply a heartbeat of the current incarnation."""
        if heartbeat.sequence <= self._sequence:
            return NO_CHANGE
        if self._refutes_farewell(heartbeat, now):
            return self._begin_from(heartbeat, now)
        self.current = heartbeat.incarnation
        self._candidate = None
        was_leaving = self.state is IncarnationState.DRAINING
        self._apply(heartbeat, now)
        is_leaving = self.state is IncarnationState.DRAINING and not was_leaving
        if is_leaving:
            self._start_draining(now)
        return IncarnationChange(is_leaving=is_leaving)

    def _refutes_farewell(self, heartbeat: Heartbeat, now: float) -> bool:
        if heartbeat.state is not ReportedState.READY:
            return False
        return now - self._farewell_at >= FAREWELL_REFUTE_AFTER_S

    def _begin_from(
        self, heartbeat: Heartbeat, now: float
    ) -> IncarnationChange:
        """Begin an incarnation with its first heartbeat received here.

        It may be the only one, and may report that the server drains. If it is
        the first of all, a previous process may have acknowledged the drain
        long ago, so the server gets no work on its keys either.
        """
        is_first = not self.instance
        self._begin(heartbeat.incarnation, now)
        self._apply(heartbeat, now)
        is_leaving = self.state is IncarnationState.DRAINING
        if is_leaving and not is_first:
            self._start_draining(now)
        return IncarnationChange(is_new_incarnation=True, is_leaving=is_leaving)

    def _begin(self, incarnation: ServerIncarnation, now: float) -> None:
        if self.instance and incarnation != self.current:
            self._end(self.current)
        self._reset(incarnation)
        self.last_received_at = now

    def _reset(self, incarnation: ServerIncarnation) -> None:
        """Make an incarnation current, with no state from the previous one."""
        self.current = incarnation
        self.state = IncarnationState.UNKNOWN
        self.slots = 0
        self.cold_until = 0.0
        self.finish_until = 0.0
        self._sequence = -1
        self._farewell_at = NEVER
        self._candidate = None

    def _start_draining(self, now: float) -> None:
        self.state = IncarnationState.DRAINING
        self.finish_until = now + self._finish_s

    def _end(self, incarnation: ServerIncarnation) -> None:
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED_INCARNATIONS:
            self._ended.pop(next(iter(self._ended)))

    def _forget_ended(self, instance: str) -> None:
        """Remove the ended incarnations with this id, as one of them runs."""
        self._ended = {
            incarnation: None
            for incarnation in self._ended
            if incarnation.instance != instance
        }

    def _apply(self, heartbeat: Heartbeat, now: float) -> None:
        self._sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.cold_until = now + heartbeat.cold_s
        self.last_received_at = now
        if self.state is not IncarnationState.DRAINING:
            is_draining = heartbeat.state is ReportedState.DRAINING
            self.state = (
                IncarnationState.DRAINING
                if is_draining
                else IncarnationState.READY
            )
