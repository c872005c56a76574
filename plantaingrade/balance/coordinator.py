"""Balance load between the servers of a service by moving keys."""

import asyncio
import random
from typing import Protocol

from plantaingrade.admission.slots import SlotQueue
from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.balance.backoff import MoveBackoff
from plantaingrade.balance.const import (
    IDLE_LOAD,
    IDLE_PUBLISH_INTERVAL_S,
    MIN_OWNED_S,
    MIN_USABLE_SLOTS,
    POLL_INTERVAL_S,
    RESERVATION_S,
)
from plantaingrade.balance.entity import Load, Move
from plantaingrade.balance.meter import LoadMeter
from plantaingrade.balance.mover import KeyMover, OfferClient
from plantaingrade.balance.planning import MovePlan, plan_moves
from plantaingrade.balance.policy import assign_ranges
from plantaingrade.balance.service_peers import (
    ASSUMED_LOAD,
    LEAVING_SHARE,
    ServicePeers,
)
from plantaingrade.clock import Clock
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.coordinator import HoldCoordinator
from plantaingrade.keyspace.entity import KeyRange
from plantaingrade.peers.entity import Member, Offer, OfferReply


class LoadPublisher(Protocol):
    """Publishes the load of this member."""

    def tell_load(self, load: Load, names: list[str]) -> None:
        """Send the load of this member to the named members."""


class BalanceCoordinator:
    """Moves keys to less loaded members, and all keys when leaving."""

    def __init__(
        self,
        own: Member,
        holds: HoldCoordinator,
        life: IncarnationTracker,
        queue: SlotQueue,
        peers: ServicePeers,
        offer_client: OfferClient,
        publisher: LoadPublisher,
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Create a coordinator; ``async_run`` starts balancing."""
        self._own = own
        self._holds = holds
        self._life = life
        self._queue = queue
        self._peers = peers
        self._publisher = publisher
        self._clock = clock
        self._log = log
        self._meter = LoadMeter()
        self._reservations: list[tuple[float, float]] = []
        self._published_at = 0.0
        self._owned_since: dict[KeyRange, float] = {}
        self._random = random.Random(own.boot)
        self._mover = KeyMover(
            own,
            holds,
            peers.loads,
            offer_client,
            MoveBackoff(self._random),
            self._meter.forget,
            clock,
            log,
        )
        self.is_leaving = False
        self.is_drained = False

    @property
    def _refuses_keys(self) -> bool:
        """Return whether keys transferred here now would be served late."""
        return self.is_leaving or self._holds.registry.is_waiting

    def observe(self, key: int, work_s: float) -> None:
        """Add the demand of a request, with its expected work in seconds."""
        self._meter.observe(key, work_s, self._clock.now())

    def load(self) -> Load:
        """Return the own load, including work accepted but not measured."""
        now = self._clock.now()
        self._reservations = [
            each for each in self._reservations if each[0] > now
        ]
        work = self._meter.demand(now) + sum(
            each[1] for each in self._reservations
        )
        usable = max(MIN_USABLE_SLOTS, self._queue.usable_slots(now))
        share = LEAVING_SHARE if self._refuses_keys else work / usable
        slots = max(1, round(usable))
        return Load(share, self._queue.estimate.long_term_mean_s(), slots)

    def on_offer(self, offer: Offer) -> OfferReply:
        """Accept offered work if the own load stays below the sender's.

        The service is compared because the address an offer is sent to may have
        been reused by an instance of another service.
        """
        own = self.load()
        ratio = own.work_s / offer.work_s if offer.work_s > 0 else 1.0
        work = offer.work * ratio
        after = own.share + work / own.slots
        is_accepted = (
            offer.service == self._own.service
            and not self._refuses_keys
            and self._life.accepts_work
            and after < offer.share
        )
        if is_accepted:
            until = self._clock.now() + RESERVATION_S
            self._reservations.append((until, work))
        return OfferReply(is_accepted, own.share, own.work_s, own.slots)

    def leave(self) -> None:
        """Start to transfer all keys away and refuse new ones."""
        if self.is_leaving:
            return
        self.is_leaving = True
        self._holds.registry.accepts_keys = False
        self._publisher.tell_load(self.load(), self._peers.names())

    def resume(self) -> None:
        """Acquire keys again after a new server incarnation has started.

        A server drained by an operator stays without keys.
        """
        if self.is_drained:
            return
        self.is_leaving = False
        self._holds.registry.accepts_keys = True

    async def async_run(self) -> None:
        """Balance load periodically until cancelled."""
        try:
            while True:
                await asyncio.sleep(POLL_INTERVAL_S)
                await self._async_poll()
        finally:
            self._mover.stop()

    async def _async_poll(self) -> None:
        if not self._holds.registry.is_joined:
            return
        self._track_ranges(self._clock.now())
        if self.is_leaving:
            await self.async_evacuate()
        else:
            self._rebalance()

    async def async_evacuate(self) -> None:
        """Transfer all ranges to the least loaded members.

        Ranges stay here while the store is unavailable: once released, they
        would be unserved until it is available again.
        """
        # Moves that have begun end by themselves; their keys can't move twice.
        ranges = self._mover.staying(self._own_ranges())
        if not ranges or not await self._holds.async_is_store_available():
            return
        now = self._clock.now()
        load_by_member = self._peers.receivers(now)
        target_by_keys = assign_ranges(
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

    def _rebalance(self) -> None:
        now = self._clock.now()
        self._meter.adapt(now)
        own = self.load()
        if own.share < IDLE_LOAD:
            self._publish_load(own, now)
            return
        if self._mover.is_paused(now) or self._peers.must_yield(now):
            return
        plan = self._plan(own, now)
        if plan.isolated is not None:
            self._log_isolation(own, plan.isolated)
        if plan.moves:
            self._mover.start(own, plan.moves)

    def _plan(self, own: Load, now: float) -> MovePlan:
        """Plan moves of the keys that stay here, by the load of those."""
        loads = {
            name: load
            for name, load in self._peers.receivers(now).items()
            if load is not ASSUMED_LOAD
        }
        key_loads = self._meter.by_key(now)
        outgoing_share = self._mover.outgoing_work(key_loads) / own.slots
        staying = Load(own.share - outgoing_share, own.work_s, own.slots)
        ranges = self._mover.staying(self._movable_ranges(now))
        return plan_moves(staying, loads, ranges, key_loads)

    def _log_isolation(self, own: Load, move: Move) -> None:
        self._log.write(
            'key-isolating',
            key=move.keys.first,
            work=round(move.work, 2),
            own=round(own.share, 2),
            slots=own.slots,
            work_ms=round(own.work_s * MS_PER_S, 1),
            to=move.target,
        )

    def _own_ranges(self) -> list[KeyRange]:
        key_map = self._holds.registry.key_map
        return [each.keys for each in key_map.owned_by(self._own.name)]

    def _track_ranges(self, now: float) -> None:
        """Record since when this member has owned the keys of each range.

        The remainder of a split range keeps the start time of that range.
        """
        known = self._owned_since
        self._owned_since = {
            keys: known.get(keys, _inherited_since(keys, known, now))
            for keys in self._own_ranges()
        }

    def _movable_ranges(self, now: float) -> list[KeyRange]:
        """Return the ranges owned long enough for their load to be known."""
        return [
            keys
            for keys, since in self._owned_since.items()
            if now - since >= MIN_OWNED_S
        ]

    def _publish_load(self, own: Load, now: float) -> None:
        if now - self._published_at < IDLE_PUBLISH_INTERVAL_S:
            return
        self._published_at = now
        self._publisher.tell_load(
            own, self._peers.publish_targets(self._random)
        )


def _inherited_since(
    keys: KeyRange, since_by_keys: dict[KeyRange, float], now: float
) -> float:
    """Return the start time of the range these keys were split from."""
    for known, since in since_by_keys.items():
        if known.overlap(keys) == keys:
            return since
    return now
