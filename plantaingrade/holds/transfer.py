"""Transfer ranges of keys to other members."""

import asyncio
from collections.abc import Callable
from functools import partial

from msgspec import Struct

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import Change, CommitResult
from plantaingrade.holds.granter import Granter
from plantaingrade.holds.joint_transfers import (
    RangeTransfer,
    is_transferred,
    plan_transfers,
)
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.entity import Assignment, KeyMap, KeyRange
from plantaingrade.peers.entity import Token
from plantaingrade.peers.map_relay import MapRelay
from plantaingrade.supervision.jobs import start_job

# Time limit of the change in the store; nobody serves the range meanwhile.
MOVE_LIMIT_S = 2.0
# The same if only changes of other members are in the way and the keys could as
# well stay: requests for keys that are being transferred wait no longer than
# this.
CONTENDED_LIMIT_S = 0.4
# Longest expected wait for a turn with which a move of such keys begins.
MAX_TURN_WAIT_S = 0.2


class ReadyTransfer(Struct, eq=False):
    """A transfer whose keys have been released, and its outcome.

    ``before`` and ``after`` are the maps around its change.
    """

    transfer: RangeTransfer
    released_at: float
    outcome: CommitResult | None = None
    before: KeyMap | None = None
    after: KeyMap | None = None


class Transfers:
    """Runs transfers: release, commit, notify, always in this order.

    Transfers that become ready while another change is in flight are committed
    together, so that several of them wait for the map's row only once.
    """

    __slots__ = (
        '_clock',
        '_committing',
        '_granter',
        '_log',
        '_moves',
        '_on_ended',
        '_ready',
        '_registry',
        '_relay',
    )

    def __init__(
        self,
        registry: Registry,
        granter: Granter,
        clock: Clock,
        log: EventLog,
        relay: MapRelay,
        on_ended: Callable[[], None],
    ) -> None:
        """Transfer one member's keys; call ``on_ended`` after each transfer."""
        self._registry = registry
        self._granter = granter
        self._clock = clock
        self._log = log
        self._relay = relay
        self._on_ended = on_ended
        self._moves: set[asyncio.Task[bool]] = set()
        self._committing = asyncio.Lock()
        self._ready: list[ReadyTransfer] = []

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Transfer ranges to another member; return whether that worked.

        A transfer that has begun continues if its caller is cancelled: its
        change may still be applied, and the ranges must not be granted here
        again.
        """
        move = start_job('transfer', self._async_transfer(keys, target))
        self._moves.add(move)
        move.add_done_callback(self._moves.discard)
        return await asyncio.shield(move)

    def stop(self) -> None:
        """Cancel all transfers, as the process ends."""
        for move in self._moves:
            move.cancel()

    async def _async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Transfer ranges to another member; return whether that worked.

        Fails if one of the ranges is already being transferred.

        Nothing is released while the store is unavailable, or while the change
        would wait long for its turn: nobody would serve the keys meanwhile.
        """
        if (
            not self._registry.availability.is_available
            or self._is_change_delayed()
        ):
            return False
        moving = self._granter.moving
        if any(each.overlap(other) for each in keys for other in moving):
            return False
        moving.update(keys)
        try:
            return await self._async_release_and_commit(keys, target)
        finally:
            moving.difference_update(keys)
            self._on_ended()

    async def _async_release_and_commit(
        self, keys: list[KeyRange], target: str
    ) -> bool:
        for each in keys:
            await self._granter.async_wait_for_grants(each)
        pieces = [piece for each in keys for piece in self._owned_within(each)]
        if not pieces:
            return False
        tokens = await asyncio.gather(
            *(self._async_release(piece) for piece in pieces)
        )
        ready = await self._async_commit(RangeTransfer(tuple(pieces), target))
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
        handover_tokens = tuple(
            Token(piece.keys, token)
            for piece, token in zip(pieces, tokens, strict=True)
            if token
        )
        await self._relay.async_send_handover(
            target, ready.before, ready.after, handover_tokens
        )
        return True

    async def _async_commit(self, transfer: RangeTransfer) -> ReadyTransfer:
        """Commit a transfer, together with all that are ready by then.

        If the task that commits for several is cancelled, the next one sends a
        change of its own. This makes a pending change fail, or finds that it
        was applied.
        """
        ready = ReadyTransfer(transfer, self._clock.now())
        self._ready.append(ready)
        try:
            async with self._committing:
                if ready.outcome is None:
                    await self._async_commit_ready()
        finally:
            if ready in self._ready:
                self._ready.remove(ready)
        return ready

    async def _async_commit_ready(self) -> None:
        """Commit all transfers that are ready when their change is sent.

        Some become ready only while the change waits for its turn.
        """
        batch = list(self._ready)
        waited_s = self._clock.now() - batch[0].released_at

        committed = await self._registry.async_commit(
            partial(self._plan, batch),
            MOVE_LIMIT_S,
            contended_limit_s=max(0.0, self._contended_limit_s() - waited_s),
        )
        before, after = self._registry.change_base, self._registry.key_map
        for each in batch:
            each.before = before
            each.after = after
            each.outcome = self._outcome(each.transfer, committed)
            if each in self._ready:
                self._ready.remove(each)
        if committed is CommitResult.DONE:
            transfers = [each.transfer for each in batch]
            self._broadcast(before, after, transfers)

    def _plan(
        self, batch: list[ReadyTransfer], registry: Registry
    ) -> Change | None:
        """Plan a batch, to which those that are ready by now are added."""
        batch.extend(each for each in self._ready if each not in batch)
        return plan_transfers(registry, [each.transfer for each in batch])

    def _is_change_delayed(self) -> bool:
        """Return whether keys that could as well stay should not move now."""
        registry = self._registry
        wait_s = registry.change_pacing.turns.expected_wait_s()
        return registry.accepts_keys and wait_s > MAX_TURN_WAIT_S

    def _contended_limit_s(self) -> float:
        is_leaving = not self._registry.accepts_keys
        return MOVE_LIMIT_S if is_leaving else CONTENDED_LIMIT_S

    def _outcome(
        self, transfer: RangeTransfer, committed: CommitResult
    ) -> CommitResult:
        """Return the outcome of one transfer in a joint change."""
        registry = self._registry
        if committed is not CommitResult.DONE or is_transferred(
            registry.key_map, transfer, registry.member.name
        ):
            return committed
        return CommitResult.NOT_WANTED

    def _broadcast(
        self, before: KeyMap, after: KeyMap, transfers: list[RangeTransfer]
    ) -> None:
        """Notify all members at once, except those that receive keys.

        A member that doesn't know the change would plan its own from an
        outdated map, which fails. Receivers are notified together with their
        tokens, as a grant without a token is cold.
        """
        self._relay.publish_change(
            self._registry.member.service,
            before,
            after,
            frozenset(transfer.target for transfer in transfers),
        )

    async def _async_release(self, piece: Assignment) -> str | None:
        """Make sure that the server no longer works on a range."""
        token = await self._granter.async_release(piece)
        self._granter.ledger.on_released(piece.keys)
        await self._async_wait_for_holds(
            piece.keys, is_released=token is not None
        )
        return token

    async def _async_wait_for_holds(
        self, keys: KeyRange, *, is_released: bool
    ) -> None:
        """Wait until no grant on these keys can still be in force.

        An order without an answer may be executed seconds later, but never
        after the latest possible end of its hold.
        """
        ledger = self._granter.ledger
        if is_released:
            ends = ledger.unconfirmed_until(keys)
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
