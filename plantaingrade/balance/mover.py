"""Offer keys to other members and transfer those that are accepted.

A transfer lasts until the server has ended its work on the keys, which may take
seconds. Others start meanwhile: a server that is overloaded would otherwise
wait for the longest request among the keys that it gives away.
"""

import asyncio
from collections.abc import Callable, Sequence
from typing import Protocol

from plantaingrade.balance.backoff import MoveBackoff
from plantaingrade.balance.comparison import load_after
from plantaingrade.balance.entity import KeyLoad, Load, Move
from plantaingrade.balance.peer_loads import PeerLoads
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.entity import Member, Offer, OfferReply
from plantaingrade.supervision.jobs import start_job

# Time in seconds after which moves that have not ended wait for long requests
# rather than for the map, and so no longer delay others.
MAX_ROUND_S = 0.6


class OfferClient(Protocol):
    """Sends offers of keys to other members."""

    async def async_offer(self, target: str, offer: Offer) -> OfferReply | None:
        """Offer work to a member; return None if there is no reply."""


class KeyMover:
    """Runs moves side by side, and pauses after those that failed."""

    __slots__ = (
        '_backoff',
        '_clock',
        '_holds',
        '_loads',
        '_log',
        '_offer_client',
        '_on_moved',
        '_own',
        '_paused_until',
        '_rounds',
        '_moves',
        '_started_at',
    )

    def __init__(
        self,
        own: Member,
        holds: HoldCoordinator,
        loads: PeerLoads,
        offer_client: OfferClient,
        backoff: MoveBackoff,
        on_moved: Callable[[KeyRange], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Move keys of one member; call ``on_moved`` after each transfer."""
        self._own = own
        self._holds = holds
        self._loads = loads
        self._offer_client = offer_client
        self._backoff = backoff
        self._on_moved = on_moved
        self._clock = clock
        self._log = log
        self._paused_until = 0.0
        self._started_at = 0.0
        self._moves: set[Move] = set()
        self._rounds: set[asyncio.Task[None]] = set()

    def is_paused(self, now: float) -> bool:
        """Return whether no moves should start now.

        While changes of the map conflict, a round waits for the one before it.
        """
        if now < self._paused_until:
            return True
        is_running = bool(self._rounds) and now < self._started_at + MAX_ROUND_S
        return is_running and self._holds.registry.backoff.is_contended

    def staying(self, ranges: Sequence[KeyRange]) -> list[KeyRange]:
        """Return the parts of ranges that are not being moved."""
        left = list(ranges)
        for move in self._moves:
            left = [rest for keys in left for rest in keys.without(move.keys)]
        return left

    def outgoing_work(self, key_loads: Sequence[KeyLoad]) -> float:
        """Return the measured work of the keys that are being moved."""
        return sum(
            load.work
            for load in key_loads
            if any(load.key in move.keys for move in self._moves)
        )

    def start(self, own: Load, moves: Sequence[Move]) -> None:
        """Start moves, offered with the own load."""
        self._started_at = self._clock.now()
        self._moves.update(moves)
        moving = start_job('moves', self._async_run(own, moves))
        self._rounds.add(moving)
        moving.add_done_callback(self._rounds.discard)

    def stop(self) -> None:
        """Cancel offers; transfers that have begun continue."""
        for moving in self._rounds:
            moving.cancel()

    async def _async_run(self, own: Load, moves: Sequence[Move]) -> None:
        transfers = await asyncio.gather(
            *(self._async_move(own, move) for move in moves)
        )
        # Keys are served during this pause, but not while a map change waits.
        conflict_pause_s = self._holds.registry.backoff.deferral_s()
        pause_s = self._backoff.on_moves(
            transfers.count(True), transfers.count(False)
        )
        self._paused_until = self._clock.now() + max(conflict_pause_s, pause_s)

    async def _async_move(self, own: Load, move: Move) -> bool | None:
        """Return whether the transfer succeeded, or None if not attempted."""
        try:
            if not await self._async_offer(own, move):
                return None
            is_done = await self._holds.async_transfer([move.keys], move.target)
        finally:
            self._moves.discard(move)
        if is_done:
            self._on_moved(move.keys)
        return is_done

    async def _async_offer(self, own: Load, move: Move) -> bool:
        """Return whether the target accepts the work of a move."""
        offer = Offer(
            self._own.name,
            self._own.service,
            own.share,
            move.work,
            own.work_s,
        )
        reply = await self._offer_client.async_offer(move.target, offer)
        if reply is None:
            self._loads.forget(move.target)
            return False
        peer = Load(reply.share, reply.work_s, reply.slots)
        if reply.is_accepted:
            share = load_after(own, peer, move.work)
            peer = Load(share, reply.work_s, reply.slots)
        self._loads.record(move.target, peer, self._clock.now())
        self._log.write(
            'move-offered',
            first=move.keys.first,
            last=move.keys.last,
            work=round(move.work, 3),
            own=round(own.share, 2),
            other=round(reply.share, 2),
            to=move.target,
            accepted=reply.is_accepted,
        )
        return reply.is_accepted
