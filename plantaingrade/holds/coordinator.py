"""Own keys: join, keep the lease and the grants, take over, transfer."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

from msgspec import Struct

from plantaingrade.backends.incarnation import IncarnationTracker
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import RENEWAL, Change, CommitResult
from plantaingrade.holds.const import (
    GIVE_UP_S,
    MAP_HINT_DELAY_S,
    MAX_RESPONSE_AGE_S,
    RETRY_S,
)
from plantaingrade.holds.extension import LeaseExtension
from plantaingrade.holds.granter import Granter, RefenceReason
from plantaingrade.holds.joining import Joining
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.holds.plans import plan_new_fences
from plantaingrade.holds.registry import Planner, Registry
from plantaingrade.holds.shared_renewals import SharedRenewals
from plantaingrade.holds.suspects import SuspectExpiry
from plantaingrade.holds.takeovers import Takeovers
from plantaingrade.holds.transfer import Transfers
from plantaingrade.holds.unheld import UnheldRanges
from plantaingrade.holds.witnesses import Witnesses
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Member, Token
from plantaingrade.peers.map_relay import MapRelay
from plantaingrade.peers.map_turn_taking import MapTurnTaking, NoMapTurns
from plantaingrade.store.interface import Store
from plantaingrade.supervision.coordinator import Supervisor

CHANGE_LIMIT_S = 1.0
RENEW_LIMIT_S = 1.0
# Tasks without which the keys of this member are not served.
GRANTING_TASKS = frozenset(('grants', 'fences'))


async def _async_fetch_nothing(service: str) -> None:
    """Know no other member."""


class MemberLinks(Struct, frozen=True):
    """Connections of one member to its peers.

    ``on_joined`` is called once it holds a lease. Without ``shared_renewals``
    it renews its lease by itself. ``async_fetch_map`` fetches the map of a
    service from another member, which may know no newer one.
    """

    relay: MapRelay
    witnesses: Witnesses
    on_joined: Callable[[], None]
    shared_renewals: SharedRenewals | None = None
    turns: MapTurnTaking = NoMapTurns()
    async_fetch_map: Callable[[str], Awaitable[None]] = _async_fetch_nothing


class HoldCoordinator:
    """Holds keys for one member and its backend server."""

    def __init__(
        self,
        store: Store,
        maps: KeyMaps,
        member: Member,
        tracker: IncarnationTracker,
        orders: ServerOrders,
        clock: Clock,
        log: EventLog,
        links: MemberLinks,
        *,
        starts_with_all: bool = False,
    ) -> None:
        """Start without keys; for ``starts_with_all`` see ``Registry``."""
        relay, witnesses = links.relay, links.witnesses
        self._shared_renewals = links.shared_renewals
        self._async_fetch_map = links.async_fetch_map
        self._relay = relay
        self._on_joined = links.on_joined
        self._clock = clock
        self._log = log
        self._tracker = tracker
        self._member = member
        self._wake = asyncio.Event()
        self.supervisor = Supervisor(member.name)
        self.registry = Registry(
            store,
            maps,
            member,
            witnesses,
            links.turns,
            clock,
            log,
            starts_with_all=starts_with_all,
            shared_renewals=links.shared_renewals,
        )
        self._epoch_started = asyncio.Event()
        store.epochs.listen(lambda _epoch, _before: self._epoch_started.set())
        self._extension = LeaseExtension(self.registry, witnesses, clock, log)
        self._takeovers = Takeovers(
            self.registry,
            SuspectExpiry(self.registry, witnesses, log),
            self._async_commit,
            clock,
        )
        self.granter = Granter(
            self.registry,
            orders,
            clock,
            log,
            self._notify_waiters,
            self._wake.set,
        )
        self._transfers = Transfers(
            self.registry,
            self.granter,
            clock,
            log,
            relay,
            self._on_transfer_ended,
        )
        self._joining = Joining(
            self.registry,
            self._async_commit_join,
            self._handle_joined,
            clock,
            log,
        )
        self._changed = asyncio.Event()
        self._hinted = asyncio.Event()
        self._hinted_version = 0
        self._fences_needed = asyncio.Event()
        self._owned: list[Assignment] = []
        self._unheld = UnheldRanges()

    def on_map(self, service: str) -> None:
        """React to a changed map at once.

        Grants are checked only if own ranges have changed, because the keys of
        other members may change ten times a second.
        """
        if service != self._member.service:
            return
        key_map = self.registry.key_map
        if key_map.epoch > self.registry.epochs.current:
            # Another process knows an epoch that this one does not know yet.
            self._hinted.set()
        owned = key_map.owned_by(self._member.name)
        if owned != self._owned:
            self._owned = owned
            self._wake.set()
        self._notify_waiters()

    def on_hint(self, version: int) -> None:
        """Read the map soon if another process knows a newer version."""
        if version > self.registry.key_map.version:
            self._hinted_version = max(self._hinted_version, version)
            self._hinted.set()

    def on_new_incarnation(self) -> None:
        """Grant the keys to a new incarnation of the server."""
        self.granter.on_new_incarnation()
        self._wake.set()

    def expect_handover(self, token: Token) -> None:
        """Use a handover token from the last holder of a range."""
        self.granter.expect_handover(token)

    @property
    def owns_keys(self) -> bool:
        """Return whether this member owns any key."""
        if not self.registry.is_joined:
            return False
        return bool(self.registry.key_map.owned_by(self._member.name))

    def find_own(self, key: int) -> Assignment | None:
        """Return the assignment of a key if this member owns it."""
        assignment = self.registry.key_map.find(key)
        if assignment is None or assignment.owner != self._member.name:
            return None
        return assignment

    def is_held(self, key: int) -> bool:
        """Return whether work on a key may begin at the server now."""
        now = self._clock.now()
        assignment = self.find_own(key)
        if assignment is None or self.granter.is_moving(key):
            return False
        if not self.registry.has_lease(now):
            return False
        return self.granter.is_held(assignment, key, now)

    def is_overdue(self, key: int, work_s: float = 0.0) -> bool:
        """Return whether requests should not wait for an own key.

        The key has been unheld for too long, or its server cannot be reached: a
        restart takes longer than most requests can wait. ``work_s`` is the
        longest duration of the server's classes of work.
        """
        own = self.find_own(key)
        if own is None:
            return False
        if self.granter.is_unreachable:
            return True
        now = self._clock.now()
        moving = self.granter.moving_range(key)
        if moving is None:
            return self._unheld.is_overdue(own.keys, now)
        return self._unheld.is_overdue(moving, now, work_s)

    async def async_wait_change(self, limit_s: float) -> None:
        """Wait until holds may have changed."""
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._changed.wait()

    async def async_run(self) -> None:
        """Join, then hold keys until cancelled."""
        try:
            async with self.supervisor as supervisor:
                tasks = [
                    supervisor.start('lease', self._async_lease_loop),
                    supervisor.start(
                        'lease-extension', self._extension.async_run
                    ),
                    supervisor.start('grants', self._async_grant_loop),
                    supervisor.start('fences', self._async_fence_loop),
                    supervisor.start('takeovers', self._takeovers.async_run),
                    supervisor.start('map-hints', self._async_hint_loop),
                ]
                await asyncio.wait(tasks)
        finally:
            self._transfers.stop()
            await self.granter.async_stop()

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Transfer ranges to another member; return whether that worked."""
        return await self._transfers.async_transfer(keys, target)

    async def async_is_store_available(self) -> bool:
        """Return whether the store would answer a change of the map now.

        The store is read only if its last response is too old.
        """
        age_s = self._clock.now() - self.registry.availability.last_response_at
        if age_s > MAX_RESPONSE_AGE_S:
            self._takeovers.on_store_result(
                is_ok=await self.registry.async_read()
            )
        return self.registry.availability.is_available

    def _on_transfer_ended(self) -> None:
        self._wake.set()
        self._notify_waiters()

    async def _async_commit(
        self, plan: Planner, limit_s: float = CHANGE_LIMIT_S
    ) -> CommitResult:
        """Commit a change of the map and notify all members of it."""
        return await self._async_broadcast_after(
            self.registry.async_commit(plan, limit_s)
        )

    async def _async_commit_join(
        self, plan: Planner, limit_s: float
    ) -> CommitResult:
        """Commit the change by which this member joins."""
        is_migrating = self.registry.is_migrating
        return await self._async_broadcast_after(
            self.registry.async_commit(
                plan, limit_s, joins=not is_migrating, migrates=is_migrating
            )
        )

    async def _async_broadcast_after(
        self, commit: Awaitable[CommitResult]
    ) -> CommitResult:
        """Notify all members if a commit has changed the map."""
        committed = await commit
        after = self.registry.key_map
        own = self.registry.own_row
        is_changed = own is not None and own.version == after.version
        if committed is CommitResult.DONE and is_changed:
            before = self.registry.change_base
            self._relay.publish_change(self._member.service, before, after)
        return committed

    async def _async_lease_loop(self) -> None:
        while True:
            pause_s = await self._async_keep_lease()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._epoch_started.wait()

    async def _async_keep_lease(self) -> float:
        """Join or renew once; return the pause until the next time."""
        registry = self.registry
        self._epoch_started.clear()
        if self.supervisor.failing_s(GRANTING_TASKS) > GIVE_UP_S:
            await registry.async_give_up('grants keep failing')
            return RETRY_S
        registry.advance_epoch()
        if not self._tracker.accepts_work and not registry.is_joined:
            return RETRY_S
        if not registry.is_joined or registry.is_migrating:
            return await self._async_join_epoch()
        committed = await registry.async_commit(
            _plan_renewal, RENEW_LIMIT_S, is_shared=True
        )
        self._takeovers.on_store_result(
            is_ok=committed is not CommitResult.FAILED
        )
        if committed is CommitResult.DONE:
            renew_s = registry.lease_times().renew_s
            shared = self._shared_renewals
            return renew_s if shared is None else shared.pause_s(renew_s)
        return RETRY_S

    async def _async_join_epoch(self) -> float:
        """Join as a new run, or with a lease of an earlier epoch."""
        is_read = await self.registry.async_read()
        self._takeovers.on_store_result(is_ok=is_read)
        if not is_read:
            return RETRY_S
        if self.registry.is_migrating:
            return await self._joining.async_migrate_lease()
        return await self._joining.async_join()

    def _handle_joined(self) -> None:
        self._wake.set()
        self._on_joined()

    async def _async_grant_loop(self) -> None:
        while True:
            if self.registry.is_joined and self._tracker.accepts_work:
                await self.granter.opener.async_open()
                if self.granter.find_refence_reason() is not RefenceReason.NONE:
                    self._fences_needed.set()
                self.granter.start_grants()
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self.granter.opener.pause_s):
                    await self._wake.wait()

    async def _async_fence_loop(self) -> None:
        """Renew the fences when needed, in parallel with lease renewals.

        Grants under valid fences don't depend on the store.
        """
        plan = partial(plan_new_fences, moving=self.granter.moving)
        while True:
            await self._fences_needed.wait()
            self._fences_needed.clear()
            reason = self.granter.find_refence_reason()
            if reason is RefenceReason.NONE:
                continue
            committed = await self._async_commit(plan)
            self._log.write(
                'fences-renewed',
                why=reason,
                outcome=committed,
                map_version=self.registry.key_map.version,
            )
            if committed in {CommitResult.DONE, CommitResult.NOT_WANTED}:
                self.granter.on_fences_renewed()
                self._wake.set()
            else:
                await asyncio.sleep(RETRY_S)

    async def _async_hint_loop(self) -> None:
        """Get the map when peers use a newer one.

        A request often arrives before the datagram about the change by which it
        was routed, which follows within milliseconds. If it doesn't, another
        member has the map as well; the store is read only if it has not.
        """
        while True:
            await self._hinted.wait()
            await asyncio.sleep(MAP_HINT_DELAY_S)
            self._hinted.clear()
            if self._hinted_version > self.registry.key_map.version:
                await self._async_fetch_map(self._member.service)
            known = self.registry.key_map
            is_behind = self._hinted_version > known.version
            if is_behind or known.epoch > self.registry.epochs.current:
                await self.registry.async_read()
                await asyncio.sleep(RETRY_S)

    def _notify_waiters(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _plan_renewal(_: Registry) -> Change:
    return RENEWAL
