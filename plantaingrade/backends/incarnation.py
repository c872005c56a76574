"""What this process believes about the backend server beside it."""

from enum import StrEnum

from msgspec import Struct

from plantaingrade.backends.report import (
    Farewell,
    Heartbeat,
    ReportedState,
    ServerIncarnation,
)

# Lives that are remembered as over. A server restarts some times a day, and
# heartbeats are late by seconds, so a few would do.
MAX_ENDED_LIVES = 64
# Time between two heartbeats of a life that seems to be an earlier one, after
# which it is believed if the present life was not heard meanwhile. Heartbeats
# come about each second, so a server whose clock stepped back is believed by
# its second or third heartbeat, within two seconds of its start. Heartbeats
# that a cut held up arrive together.
DOUBT_S = 0.5
# Time after a farewell that tells no start, from which on a heartbeat with one
# shows that it was not of the present life: a server that has said farewell
# sends no more heartbeats, and the last one before may be late.
FAREWELL_DOUBT_S = 2.0
NEVER = float('inf')
NOBODY = ServerIncarnation('')


class IncarnationState(StrEnum):
    """State of the present life of the server."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


class IncarnationChange(Struct, frozen=True):
    """What a message changed; ``is_new_life`` means that no keys are held."""

    is_new_life: bool = False
    is_leaving: bool = False
    must_verify: str = ''


NO_CHANGE = IncarnationChange()


class DoubtedLife(Struct, frozen=True):
    """A life that seems to be over, and its first heartbeat of late."""

    incarnation: ServerIncarnation
    sequence: int
    last_received_at: float


class IncarnationTracker:
    """Follow the lives of one server from its heartbeats.

    A life is an id and the moment of its start. The rule:

    - Of two lives with one id the one that started later is the present one,
      whatever its ``sequence``. It knows nothing of before, so nothing that
      the life before told is kept.
    - Of two lives with different ids the server itself, when asked, names the
      present one; heartbeats may cross on their way.
    - A life that was followed by another has ended, and what it said still
      arrives late: it is passed over, by id and start. Only the server itself
      can bring an id back.
    - A life with the present id and an earlier start that is not known to have
      ended is doubted. It is believed once its heartbeats have risen over
      ``DOUBT_S`` with nothing heard of the present life between them.
    - Where no start is told an id is a life. A farewell without a start ends
      the present life with its id; if that tells starts and still says that
      it is ready ``FAREWELL_DOUBT_S`` later, it was of an earlier life, and
      the server takes work again as a new one.

    A life says nothing more after its end, and what is still on its way arrives
    together or between heartbeats of the life that runs. So a heartbeat that
    was held up is not taken for one of the server that runs now.

    A server whose clock has stepped back is found by the rule on doubt: the
    earlier life is silent. A late heartbeat that is believed by mistake costs
    new fences and no more; what a server holds does not depend on this belief.
    """

    __slots__ = (
        '_doubted',
        '_ended',
        '_farewell_at',
        '_finish_s',
        '_sequence',
        'cold_until',
        'finish_until',
        'last_received_at',
        'present',
        'slots',
        'state',
    )

    def __init__(self, finish_s: float = 0.0) -> None:
        """Know nothing yet.

        A server that leaves may get work on its keys for ``finish_s`` more.
        """
        self._finish_s = finish_s
        self._ended: dict[ServerIncarnation, None] = {}
        self._doubted: DoubtedLife | None = None
        self._reset(NOBODY)
        self.last_received_at = 0.0

    @property
    def instance(self) -> str:
        """Return the id of the present life, empty while none is known."""
        return self.present.instance

    def is_finishing(self, now: float) -> bool:
        """Tell whether a leaving server may still get work on its keys."""
        return (
            self.state is IncarnationState.DRAINING and now < self.finish_until
        )

    @property
    def accepts_work(self) -> bool:
        """Tell whether new work may be sent."""
        return self.state is IncarnationState.READY

    def on_heartbeat(
        self, heartbeat: Heartbeat, now: float
    ) -> IncarnationChange:
        """Take a heartbeat."""
        incarnation = heartbeat.incarnation
        if incarnation in self._ended:
            return NO_CHANGE
        if incarnation.instance != self.instance:
            if self.instance and self.state is not IncarnationState.GONE:
                return IncarnationChange(must_verify=incarnation.instance)
            return self._begin_by(heartbeat, now)
        if self.present.is_before(incarnation):
            return self._begin_by(heartbeat, now)
        if incarnation.is_before(self.present):
            return self._doubt(heartbeat, now)
        if incarnation.born_ms is None and self.present.born_ms is not None:
            # This server tells its start, so these are another's words.
            return NO_CHANGE
        if self.state is IncarnationState.GONE:
            return self._begin_by(heartbeat, now)
        return self._go_on(heartbeat, now)

    def on_farewell(self, farewell: Farewell, now: float) -> IncarnationChange:
        """Take the word that a life leaves; it still serves for a while."""
        incarnation = farewell.incarnation
        if incarnation.instance != self.instance:
            self._end(incarnation)
            return NO_CHANGE
        if incarnation in self._ended or incarnation.is_before(self.present):
            return NO_CHANGE
        is_new_life = self.present.is_before(incarnation)
        if is_new_life:
            self._begin(incarnation, now)
        if self.state in {IncarnationState.DRAINING, IncarnationState.GONE}:
            return NO_CHANGE
        self._leave(now)
        if incarnation.born_ms is None and self.present.born_ms is not None:
            self._farewell_at = now
        return IncarnationChange(is_new_life=is_new_life, is_leaving=True)

    def on_identified(self, instance: str, now: float) -> IncarnationChange:
        """Take the id that the server itself gave just now.

        It may be one that had ended: a server may start again under its id.
        """
        is_gone = self.state is IncarnationState.GONE
        if instance == self.instance and not is_gone:
            return NO_CHANGE
        self._begin(ServerIncarnation(instance), now)
        self._bring_back(instance)
        self.state = IncarnationState.READY
        return IncarnationChange(is_new_life=True)

    def on_gone(self) -> None:
        """Note that nothing listens at the server's address any more."""
        self._end(self.present)
        self.state = IncarnationState.GONE

    def _doubt(self, heartbeat: Heartbeat, now: float) -> IncarnationChange:
        """Believe a life that seems to be over once it is heard on and on."""
        first = self._doubted
        if first is None or first.incarnation != heartbeat.incarnation:
            self._doubted = DoubtedLife(
                heartbeat.incarnation, heartbeat.sequence, now
            )
            return NO_CHANGE
        is_rising = heartbeat.sequence > first.sequence
        if is_rising and now - first.last_received_at >= DOUBT_S:
            return self._begin_by(heartbeat, now)
        return NO_CHANGE

    def _go_on(self, heartbeat: Heartbeat, now: float) -> IncarnationChange:
        """Take a heartbeat of the present life."""
        if heartbeat.sequence <= self._sequence:
            return NO_CHANGE
        if self._refutes_farewell(heartbeat, now):
            return self._begin_by(heartbeat, now)
        self.present = heartbeat.incarnation
        self._doubted = None
        was_leaving = self.state is IncarnationState.DRAINING
        self._apply(heartbeat, now)
        is_leaving = self.state is IncarnationState.DRAINING and not was_leaving
        if is_leaving:
            self._leave(now)
        return IncarnationChange(is_leaving=is_leaving)

    def _refutes_farewell(self, heartbeat: Heartbeat, now: float) -> bool:
        if heartbeat.state is not ReportedState.READY:
            return False
        return now - self._farewell_at >= FAREWELL_DOUBT_S

    def _begin_by(self, heartbeat: Heartbeat, now: float) -> IncarnationChange:
        """Begin a life by its first heartbeat here, which may be its last."""
        self._begin(heartbeat.incarnation, now)
        self._apply(heartbeat, now)
        is_leaving = self.state is IncarnationState.DRAINING
        if is_leaving:
            self._leave(now)
        return IncarnationChange(is_new_life=True, is_leaving=is_leaving)

    def _begin(self, incarnation: ServerIncarnation, now: float) -> None:
        if self.instance and incarnation != self.present:
            self._end(self.present)
        self._reset(incarnation)
        self.last_received_at = now

    def _reset(self, incarnation: ServerIncarnation) -> None:
        """Know of a life that it runs, and nothing else."""
        self.present = incarnation
        self.state = IncarnationState.UNKNOWN
        self.slots = 0
        self.cold_until = 0.0
        self.finish_until = 0.0
        self._sequence = -1
        self._farewell_at = NEVER
        self._doubted = None

    def _leave(self, now: float) -> None:
        self.state = IncarnationState.DRAINING
        self.finish_until = now + self._finish_s

    def _end(self, incarnation: ServerIncarnation) -> None:
        self._ended[incarnation] = None
        if len(self._ended) > MAX_ENDED_LIVES:
            self._ended.pop(next(iter(self._ended)))

    def _bring_back(self, instance: str) -> None:
        """Forget that lives with this id have ended: one of them runs."""
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
