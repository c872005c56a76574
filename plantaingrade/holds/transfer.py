"""Pass ranges of keys on to other members."""

import asyncio
from collections.abc import Callable

from msgspec import Struct

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import CommitResult
from plantaingrade.holds.granter import Granter
from plantaingrade.holds.passing import Passage, has_passed, plan_passages
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.entity import Assignment, KeyMap, KeyRange
from plantaingrade.peers.courier import Courier
from plantaingrade.peers.entity import Token

# Time for the change in the store; the range is served by nobody meanwhile.
MOVE_LIMIT_S = 2.0
# The same while the changes of others are all that is in the way, and the keys
# could as well stay: requests wait for keys on the move no longer than this.
CONTENDED_LIMIT_S = 0.4


class Ready(Struct, eq=False):
    """A passage whose keys have been released, and what came of it.

    ``before`` and ``after`` are the maps around its change.
    """

    passage: Passage
    released_at: float
    outcome: CommitResult | None = None
    before: KeyMap | None = None
    after: KeyMap | None = None


class Transfers:
    """Release, commit, tell: in this order, whatever fails on the way.

    What has been released while another change was under way is passed on by
    one change: several moves then wait for the row of the map once.
    """

    __slots__ = (
        '_clock',
        '_committing',
        '_courier',
        '_granter',
        '_log',
        '_moves',
        '_on_ended',
        '_ready',
        '_registry',
    )

    def __init__(
        self,
        registry: Registry,
        granter: Granter,
        clock: Clock,
        log: EventLog,
        courier: Courier,
        on_ended: Callable[[], None],
    ) -> None:
        """Pass on what one member owns; ``on_ended`` is called after each."""
        self._registry = registry
        self._granter = granter
        self._clock = clock
        self._log = log
        self._courier = courier
        self._on_ended = on_ended
        self._moves: set[asyncio.Task[bool]] = set()
        self._committing = asyncio.Lock()
        self._ready: list[Ready] = []

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Pass ranges to another member; tell whether they have passed.

        A move that has begun goes on without whoever asked for it: its change
        may be applied yet, and the ranges must not be granted here again.
        """
        loop = asyncio.get_running_loop()
        move = loop.create_task(self._async_give(keys, target))
        self._moves.add(move)
        move.add_done_callback(self._moves.discard)
        return await asyncio.shield(move)

    def stop(self) -> None:
        """Cancel every move, as the process ends."""
        for move in self._moves:
            move.cancel()

    async def _async_give(self, keys: list[KeyRange], target: str) -> bool:
        """Pass ranges to another member; tell whether they have passed.

        Ranges that are being passed on already are left to that transfer.

        Nothing is released while the store is away: nobody would serve the keys
        until it is back.
        """
        if not self._registry.answers.are_coming:
            return False
        moving = self._granter.moving
        if any(each.overlap(other) for each in keys for other in moving):
            return False
        moving.update(keys)
        try:
            return await self._async_pass(keys, target)
        finally:
            moving.difference_update(keys)
            self._on_ended()

    async def _async_pass(self, keys: list[KeyRange], target: str) -> bool:
        for each in keys:
            await self._granter.async_settle(each)
        pieces = [piece for each in keys for piece in self._owned_within(each)]
        if not pieces:
            return False
        tokens = await asyncio.gather(
            *(self._async_free(piece) for piece in pieces)
        )
        ready = await self._async_commit(Passage(tuple(pieces), target))
        self._log.write(
            'keys-given',
            ranges=[(piece.keys.first, piece.keys.last) for piece in pieces],
            to=target,
            outcome=ready.outcome,
        )
        if ready.outcome is not CommitResult.DONE:
            return False
        for piece in pieces:
            self._granter.ledger.forget(piece.keys)
        given = tuple(
            Token(piece.keys, token)
            for piece, token in zip(pieces, tokens, strict=True)
            if token
        )
        await self._courier.async_hand(target, ready.before, ready.after, given)
        return True

    async def _async_commit(self, passage: Passage) -> Ready:
        """Change the map for a passage, and for all that are ready then.

        If who changes the map for several is cancelled, the next one sends a
        change of its own, which makes an open one fail or finds that it was
        done.
        """
        ready = Ready(passage, self._clock.now())
        self._ready.append(ready)
        try:
            async with self._committing:
                if ready.outcome is None:
                    await self._async_commit_all(list(self._ready))
        finally:
            if ready in self._ready:
                self._ready.remove(ready)
        return ready

    async def _async_commit_all(self, joint: list[Ready]) -> None:
        passages = [each.passage for each in joint]
        waited_s = self._clock.now() - min(each.released_at for each in joint)
        committed = await self._registry.async_commit(
            lambda registry: plan_passages(registry, passages),
            MOVE_LIMIT_S,
            crowded_limit_s=max(0.0, self._crowded_limit_s() - waited_s),
        )
        before, after = self._registry.changed_from, self._registry.key_map
        for each in joint:
            each.before = before
            each.after = after
            each.outcome = self._outcome(each.passage, committed)
            if each in self._ready:
                self._ready.remove(each)
        if committed is CommitResult.DONE:
            self._spread(before, after, passages)

    def _crowded_limit_s(self) -> float:
        is_leaving = not self._registry.accepts_keys
        return MOVE_LIMIT_S if is_leaving else CONTENDED_LIMIT_S

    def _outcome(
        self, passage: Passage, committed: CommitResult
    ) -> CommitResult:
        """Return what a change made for several means for one of them."""
        registry = self._registry
        if committed is not CommitResult.DONE or has_passed(
            registry.key_map, passage, registry.member.name
        ):
            return committed
        return CommitResult.NOT_WANTED

    def _spread(
        self, before: KeyMap, after: KeyMap, passages: list[Passage]
    ) -> None:
        """Tell all members at once, but those that get keys.

        Whoever does not know of a change makes its own from an older map, in
        vain. Receivers are told with their tokens: a grant without is cold.
        """
        self._courier.spread(
            self._registry.member.service,
            before,
            after,
            frozenset(passage.target for passage in passages),
        )

    async def _async_free(self, piece: Assignment) -> str | None:
        """Make sure that the server works on a range no more."""
        token = await self._granter.async_release(piece)
        self._granter.ledger.on_released(piece.keys)
        await self._async_wait_out(piece.keys, is_released=token is not None)
        return token

    async def _async_wait_out(
        self, keys: KeyRange, *, is_released: bool
    ) -> None:
        """Wait until no grant on these keys can still be in force.

        An order without an answer may be carried out seconds later, but never
        after the end of every hold that may exist.
        """
        ledger = self._granter.ledger
        if is_released:
            ends = ledger.unsure_until(keys)
        else:
            ends = ledger.ends_by(keys)
        left_s = ends - self._clock.now()
        if left_s > 0:
            await asyncio.sleep(left_s)

    def _owned_within(self, keys: KeyRange) -> list[Assignment]:
        pieces = []
        for assignment in self._registry.key_map.owned_by(
            self._registry.member.name
        ):
            part = assignment.keys.overlap(keys)
            if part is not None:
                pieces.append(
                    Assignment(part, assignment.owner, assignment.fence)
                )
        return pieces
