"""Wait before changes of the map, so that those of members don't conflict."""

import asyncio
import random
from collections.abc import Iterator
from contextlib import contextmanager

from plantaingrade.clock import Clock
from plantaingrade.holds.backoff import ConflictBackoff
from plantaingrade.holds.changes import Change, CommitAttempt
from plantaingrade.holds.contention import Contention
from plantaingrade.holds.map_turn_queue import MapTurnRank
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import KeyMap
from plantaingrade.peers.entity import MapChanged, Member
from plantaingrade.peers.map_turn_taking import MapTurn, MapTurnTaking


class ChangePacing:
    """Delays the changes of one member until its turn, or backs off."""

    __slots__ = (
        '_change',
        '_clock',
        '_contention',
        '_is_refused',
        '_member',
        '_own_version',
        '_pause_until',
        '_rank',
        '_turn',
        'backoff',
        'turns',
    )

    def __init__(
        self, member: Member, maps: KeyMaps, turns: MapTurnTaking, clock: Clock
    ) -> None:
        """Take the turns of a member for its changes."""
        self._member = member
        # What has been changed in the turn.
        self._change: MapChanged | None = None
        self._clock = clock
        self._contention = Contention()
        self._rank = MapTurnRank.UNSERVED
        self._turn: MapTurn | None = None
        # Whether a request for a turn was not granted since the last conflict.
        self._is_refused = False
        self._own_version = 0
        # Local time until which a change without a turn is not retried.
        self._pause_until = 0.0
        self.turns = turns
        self.backoff = ConflictBackoff(random.Random(member.boot))
        maps.listen(self._on_map)

    @contextmanager
    def attempt(self, rank: MapTurnRank) -> Iterator[None]:
        """Return the turn at the end of a commit, if one was taken."""
        self._rank = rank
        self._is_refused = False
        try:
            yield
        finally:
            self._end_turn()

    async def async_wait(
        self, change: Change | None, attempt: CommitAttempt
    ) -> bool:
        """Wait for a turn if the change needs one; return whether it did.

        The change must then be planned again, from the newest map. If too many
        others come before, a change that can be deferred is given up at once.
        """
        if change is None or change.key_map is None:
            return False
        now = self._clock.now()
        if self._has_turn(now) or self._is_refused:
            return False
        if not self._contention.is_likely(now):
            return False
        self._end_turn()
        self._turn = await self.turns.async_take(
            self._rank, max(0.0, attempt.ends - now)
        )
        self._is_refused = self._turn is None
        if self._is_refused:
            await self._async_go_without(attempt)
        return True

    def on_conflict(self, change: Change, sent_at: float) -> None:
        """Back off after a conflict unless the retry gets a turn.

        With a turn a member retries at once, from the map that the conflict
        has returned.
        """
        if change.key_map is None:
            return
        now = self._clock.now()
        self._contention.on_conflict(now)
        if not self._has_turn(now):
            self._pause_until = now + self.backoff.on_conflict(now - sent_at)
            self._is_refused = False

    def on_unanswered(self) -> None:
        """Return the turn while the store does not answer."""
        self._end_turn()

    def on_committed(self, before: KeyMap, after: KeyMap) -> None:
        """Record a change of the map by this member."""
        self.backoff.on_success()
        self._own_version = after.version
        if self._turn is not None:
            member = self._member
            self._change = MapChanged.from_maps(
                member.service, member.name, before, after
            )

    async def _async_go_without(self, attempt: CommitAttempt) -> None:
        """Back off, or give up a change that would come too late."""
        now = self._clock.now()
        is_deferrable = self._rank is MapTurnRank.DEFERRABLE
        if is_deferrable and now + self.turns.expected_wait_s() > attempt.ends:
            attempt.give_up_contended()
            return
        pause_s = min(self._pause_until, attempt.ends) - now
        await asyncio.sleep(max(0.0, pause_s))

    def _has_turn(self, now: float) -> bool:
        return self._turn is not None and now < self._turn.until

    def _end_turn(self) -> None:
        turn, change = self._turn, self._change
        self._turn = None
        self._change = None
        if turn is not None:
            self.turns.give_back(turn, change)

    def _on_map(self, service: str, key_map: KeyMap) -> None:
        is_own = key_map.version == self._own_version
        if service == self._member.service and not is_own:
            self._contention.on_change(self._clock.now())
