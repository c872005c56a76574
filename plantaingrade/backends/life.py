"""What this process believes about the backend server beside it."""

from dataclasses import dataclass
from enum import StrEnum

from plantaingrade.backends.report import Farewell, Heartbeat, ReportedState

# Lives that are remembered as over. A server restarts some times a day, and
# heartbeats are late by seconds, so a few would do.
MAX_ENDED_LIVES = 64


class LifeState(StrEnum):
    """State of the present life of the server."""

    UNKNOWN = 'unknown'
    READY = 'ready'
    DRAINING = 'draining'
    GONE = 'gone'


@dataclass(slots=True, frozen=True)
class LifeChange:
    """What a message changed; ``is_new_life`` means that no keys are held."""

    is_new_life: bool = False
    is_leaving: bool = False
    must_verify: str = ''


NO_CHANGE = LifeChange()


class BackendLife:
    """Follow the lives of one server from its heartbeats.

    Failure: a heartbeat that was held up arrives after its sender has crashed
    and another life has registered at the same address. It shows as grants
    and requests for a life that is over. A life that has ended is never taken
    up again, and a second unknown life is only believed once the server
    itself has named it.
    """

    __slots__ = (
        '_ended',
        '_sequence',
        '_finish_s',
        'cold_until',
        'finish_until',
        'heard_at',
        'instance',
        'slots',
        'state',
    )

    def __init__(self, finish_s: float = 0.0) -> None:
        """Know nothing yet.

        A server that leaves may get work on its keys for ``finish_s`` more.
        """
        self._finish_s = finish_s
        self.finish_until = 0.0
        self.instance = ''
        self.state = LifeState.UNKNOWN
        self.slots = 0
        self.cold_until = 0.0
        self.heard_at = 0.0
        self._sequence = -1
        self._ended: dict[str, None] = {}

    def is_finishing(self, now: float) -> bool:
        """Tell whether a leaving server may still get work on its keys."""
        return self.state is LifeState.DRAINING and now < self.finish_until

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may be sent."""
        return self.state is LifeState.READY

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> LifeChange:
        """Take a heartbeat."""
        instance = heartbeat.instance
        if instance in self._ended:
            return NO_CHANGE
        if instance != self.instance:
            if self.instance and self.state is not LifeState.GONE:
                return LifeChange(must_verify=instance)
            self._begin(instance)
            self._apply(heartbeat, now)
            return LifeChange(is_new_life=True)
        if heartbeat.sequence <= self._sequence:
            return NO_CHANGE
        was_leaving = self.state is LifeState.DRAINING
        self._apply(heartbeat, now)
        is_leaving = self.state is LifeState.DRAINING and not was_leaving
        if is_leaving:
            self.finish_until = now + self._finish_s
        return LifeChange(is_leaving=is_leaving)

    def on_farewell(self, farewell: Farewell, now: float) -> LifeChange:
        """Take the word that a life leaves; it still serves for a while."""
        if farewell.instance != self.instance:
            self._end(farewell.instance)
            return NO_CHANGE
        if self.state is LifeState.DRAINING:
            return NO_CHANGE
        self.state = LifeState.DRAINING
        self.finish_until = now + self._finish_s
        return LifeChange(is_leaving=True)

    def on_named(self, instance: str, now: float) -> LifeChange:
        """Take the id that the server itself gave just now."""
        if instance == self.instance or instance in self._ended:
            return NO_CHANGE
        self._begin(instance)
        self.heard_at = now
        self.state = LifeState.READY
        return LifeChange(is_new_life=True)

    def on_gone(self) -> None:
        """Note that nothing listens at the server's address any more."""
        self._end(self.instance)
        self.state = LifeState.GONE

    def _begin(self, instance: str) -> None:
        if self.instance:
            self._end(self.instance)
        self.instance = instance
        self._sequence = -1
        self.state = LifeState.UNKNOWN

    def _end(self, instance: str) -> None:
        self._ended[instance] = None
        if len(self._ended) > MAX_ENDED_LIVES:
            self._ended.pop(next(iter(self._ended)))

    def _apply(self, heartbeat: Heartbeat, now: float) -> None:
        self._sequence = heartbeat.sequence
        self.slots = heartbeat.slots
        self.cold_until = now + heartbeat.cold_s
        self.heard_at = now
        if self.state is not LifeState.DRAINING:
            is_draining = heartbeat.state is ReportedState.DRAINING
            self.state = LifeState.DRAINING if is_draining else LifeState.READY
