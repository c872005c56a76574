"""Keep this server's load in step with the others', by moving keys."""

import asyncio
import random
from typing import Protocol

from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.life import BackendLife
from plantaingrade.balance.const import (
    IDLE_LOAD,
    IDLE_TELL_S,
    LOOK_S,
    RESERVED_S,
    SETTLE_S,
)
from plantaingrade.balance.entity import Load, Move
from plantaingrade.balance.meter import LoadMeter
from plantaingrade.balance.others import LEAVING_SHARE, NO_LOAD, Others
from plantaingrade.balance.pauses import MovePauses
from plantaingrade.balance.policy import choose_moves, share_out
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.entity import Member, Offer, OfferReply


class Offers(Protocol):
    """Questions to other members."""

    async def async_offer(self, target: str, offer: Offer) -> OfferReply | None:
        """Ask a member to take over work."""


class Teller(Protocol):
    """Words to other members."""

    def tell_load(self, load: Load, names: list[str]) -> None:
        """Tell some members of this member's load."""


class BalanceCoordinator:
    """Measure, offer, move; and give everything away when leaving."""

    def __init__(
        self,
        own: Member,
        holds: HoldCoordinator,
        life: BackendLife,
        queue: SlotQueue,
        others: Others,
        offers: Offers,
        teller: Teller,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Move nothing yet."""
        self._own = own
        self._holds = holds
        self._life = life
        self._queue = queue
        self._others = others
        self._offers = offers
        self._teller = teller
        self._clock = clock
        self._log = log
        self._meter = LoadMeter()
        self._reserved: list[tuple[float, float]] = []
        self._told_at = 0.0
        self._rests_until = 0.0
        self._settled_at: dict[KeyRange, float] = {}
        self._random = random.Random(own.boot)
        self._pauses = MovePauses(self._random)
        self.is_leaving = False
        self.is_drained = False

    @property
    def _takes_nothing(self) -> bool:
        """Tell whether keys given to this member now would be served late."""
        return self.is_leaving or self._holds.registry.is_waiting

    def observe(self, key: int, work_s: float) -> None:
        """Count the demand of one request."""
        self._meter.observe(key, work_s, self._clock.now())

    def load(self) -> Load:
        """Return the own load, with what was promised to be taken over."""
        now = self._clock.now()
        self._reserved = [each for each in self._reserved if each[0] > now]
        work = self._meter.demand(now) + sum(each[1] for each in self._reserved)
        slots = max(1, round(self._queue.usable_slots(now)))
        share = LEAVING_SHARE if self._takes_nothing else work / slots
        return Load(share, self._queue.estimate.mean_s(), slots)

    def on_offer(self, offer: Offer) -> OfferReply:
        """Accept work if that leaves this server below the sender.

        An offer goes to an address, which may have passed to an instance of
        another service.
        """
        own = self.load()
        ratio = own.work_s / offer.work_s if offer.work_s > 0 else 1.0
        work = offer.work * ratio
        after = own.share + work / own.slots
        is_accepted = (
            offer.service == self._own.service
            and not self._takes_nothing
            and self._life.takes_work
            and after < offer.share
        )
        if is_accepted:
            until = self._clock.now() + RESERVED_S
            self._reserved.append((until, work))
        return OfferReply(is_accepted, own.share, own.work_s, own.slots)

    def leave(self) -> None:
        """Begin to give everything away; nobody gives this member keys."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._holds.registry.accepts_keys = False
        self._teller.tell_load(self.load(), self._others.names())

    def stay(self) -> None:
        """Take keys again: the server has begun a new life.

        A server that an operator has drained stays without keys.
        """
        if self.is_drained:
            return
        self.is_leaving = False
        self._holds.registry.accepts_keys = True

    async def async_run(self) -> None:
        """Look at the loads until cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            if not self._holds.registry.is_joined:
                continue
            self._note_ranges(self._clock.now())
            if self.is_leaving:
                await self.async_evacuate()
            else:
                await self._async_even_out()

    async def async_evacuate(self) -> None:
        """Give every range away, each to a member with room.

        While the store is away they stay: once released, nobody would serve
        them before it is back.
        """
        ranges = self._own_ranges()
        if not ranges or not await self._holds.async_is_store_available():
            return
        now = self._clock.now()
        load_by_member = self._others.takers(now)
        target_by_keys = share_out(
            ranges, self._meter.by_key(now), load_by_member
        )
        keys_by_target: dict[str, list[KeyRange]] = {}
        for keys, target in target_by_keys.items():
            keys_by_target.setdefault(target, []).append(keys)
        self._log.write(
            'evacuating', ranges=len(ranges), to=len(keys_by_target)
        )
        await asyncio.gather(
            *(
                self._holds.async_transfer(keys, target)
                for target, keys in keys_by_target.items()
            )
        )

    async def _async_even_out(self) -> None:
        own = self.load()
        now = self._clock.now()
        if own.share < IDLE_LOAD:
            self._tell(own, now)
            return
        if now < self._rests_until or self._others.must_yield(now):
            return
        loads = {
            name: load
            for name, load in self._others.takers(now).items()
            if load is not NO_LOAD
        }
        moves = choose_moves(
            own, loads, self._movable(now), self._meter.by_key(now)
        )
        if not moves:
            return
        passed = await asyncio.gather(
            *(self._async_move(own, move) for move in moves)
        )
        # Keys are served while it rests, but not while a change waits.
        rest_s = self._holds.registry.backoff.deferral_s()
        pause_s = self._pauses.on_moves(passed.count(True), passed.count(False))
        self._rests_until = self._clock.now() + max(rest_s, pause_s)

    async def _async_move(self, own: Load, move: Move) -> bool | None:
        """Return whether keys have passed, or nothing if they stayed here."""
        offer = Offer(
            self._own.name,
            self._own.service,
            own.share,
            move.work,
            own.work_s,
        )
        reply = await self._offers.async_offer(move.target, offer)
        if reply is None:
            self._others.book.forget(move.target)
            return None
        now = self._clock.now()
        told = Load(reply.share, reply.work_s, reply.slots)
        self._others.book.note(move.target, told, now)
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
        if not reply.is_accepted:
            return None
        is_done = await self._holds.async_transfer([move.keys], move.target)
        if is_done:
            self._meter.forget(move.keys)
        return is_done

    def _own_ranges(self) -> list[KeyRange]:
        key_map = self._holds.registry.key_map
        return [each.keys for each in key_map.owned_by(self._own.name)]

    def _note_ranges(self, now: float) -> None:
        """Note since when the keys of each range have been here.

        What is left of a range that was cut has been here as long as it.
        """
        known = self._settled_at
        self._settled_at = {
            keys: known.get(keys, _inherited(keys, known, now))
            for keys in self._own_ranges()
        }

    def _movable(self, now: float) -> list[KeyRange]:
        """Return ranges that have been here long enough to be measured."""
        return [
            keys
            for keys, since in self._settled_at.items()
            if now - since >= SETTLE_S
        ]

    def _tell(self, own: Load, now: float) -> None:
        if now - self._told_at < IDLE_TELL_S:
            return
        self._told_at = now
        self._teller.tell_load(own, self._others.listeners(self._random))


def _inherited(
    keys: KeyRange, since_by_keys: dict[KeyRange, float], now: float
) -> float:
    """Return since when the range that these keys were cut from is known."""
    for known, since in since_by_keys.items():
        if known.overlap(keys) == keys:
            return since
    return now
