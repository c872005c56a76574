"""Own keys: join, keep the lease and the grants, take over, give away."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial

from msgspec import Struct

from plantaingrade.backends.life import BackendLife
from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import RENEWAL, Change, CommitResult
from plantaingrade.holds.const import (
    ANSWER_MAX_AGE_S,
    HINT_PAUSE_S,
    RETRY_S,
)
from plantaingrade.holds.doubts import Doubts
from plantaingrade.holds.extension import LeaseExtension
from plantaingrade.holds.granter import FenceDoubt, Granter
from plantaingrade.holds.joining import Joining
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.holds.plans import plan_outrank
from plantaingrade.holds.registry import Planner, Registry
from plantaingrade.holds.takeovers import Takeovers
from plantaingrade.holds.transfer import Transfers
from plantaingrade.holds.unheld import UnheldRanges
from plantaingrade.holds.witnesses import Witnesses
from plantaingrade.keyspace.directory import KeyMaps
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.courier import Courier
from plantaingrade.peers.entity import Member, Token
from plantaingrade.store.interface import Store

CHANGE_LIMIT_S = 1.0
RENEW_LIMIT_S = 1.0


class MemberLinks(Struct, frozen=True):
    """How one member speaks with the others.

    ``on_joined`` is called once it holds a lease.
    """

    courier: Courier
    witnesses: Witnesses
    on_joined: Callable[[], None]


class HoldCoordinator:
    """Hold keys for one member and its backend server."""

    def __init__(
        self,
        store: Store,
        maps: KeyMaps,
        member: Member,
        life: BackendLife,
        orders: ServerOrders,
        clock: Clock,
        log: EventLog,
        links: MemberLinks,
        *,
        starts_with_all: bool = False,
    ) -> None:
        """Hold nothing yet; ``starts_with_all`` is as for the registry."""
        courier, witnesses = links.courier, links.witnesses
        self._courier = courier
        self._on_joined = links.on_joined
        self._clock = clock
        self._log = log
        self._life = life
        self._member = member
        self._wake = asyncio.Event()
        self.registry = Registry(
            store,
            maps,
            member,
            witnesses,
            clock,
            log,
            starts_with_all=starts_with_all,
        )
        self._epoch_begun = asyncio.Event()
        store.epochs.listen(lambda _epoch, _before: self._epoch_begun.set())
        self._extension = LeaseExtension(self.registry, witnesses, clock, log)
        self._takeovers = Takeovers(
            self.registry,
            Doubts(self.registry, witnesses, log),
            self._async_commit,
            clock,
        )
        self.granter = Granter(
            self.registry, orders, clock, log, self._notify, self._wake.set
        )
        self._transfers = Transfers(
            self.registry, self.granter, clock, log, courier, self._stir
        )
        self._joining = Joining(
            self.registry,
            self._async_commit_entry,
            self._on_entered,
            clock,
            log,
        )
        self._changed = asyncio.Event()
        self._hinted = asyncio.Event()
        self._hinted_version = 0
        self._fences_wanted = asyncio.Event()
        self._owned: list[Assignment] = []
        self._unheld = UnheldRanges()

    def on_map(self, service: str) -> None:
        """Act on a changed map at once.

        Grants are looked at only if own ranges have changed: the keys of other
        members may change ten times a second.
        """
        if service != self._member.service:
            return
        key_map = self.registry.key_map
        if key_map.epoch > self.registry.epochs.current:
            # Another process has heard of an epoch that this one has not.
            self._hinted.set()
        owned = key_map.owned_by(self._member.name)
        if owned != self._owned:
            self._owned = owned
            self._wake.set()
        self._notify()

    def on_hint(self, version: int) -> None:
        """Take the word of another process that a map is newer."""
        if version > self.registry.key_map.version:
            self._hinted_version = max(self._hinted_version, version)
            self._hinted.set()

    def on_new_incarnation(self) -> None:
        """Grant to a new life of the server."""
        self.granter.on_new_incarnation()
        self._wake.set()

    def expect_handover(self, token: Token) -> None:
        """Use a token that the last holder of a range sent."""
        self.granter.expect_handover(token)

    @property
    def owns_keys(self) -> bool:
        """Tell whether any key is this member's."""
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
        """Tell whether work on a key may begin at the server now."""
        now = self._clock.now()
        assignment = self.find_own(key)
        if assignment is None or self.granter.is_moving(key):
            return False
        if not self.registry.has_lease(now):
            return False
        return self.granter.is_held(assignment, key, now)

    def is_overdue(self, key: int) -> bool:
        """Tell whether an own key is not worth waiting for.

        It was not held for too long, or its server cannot be reached: that
        takes a restart, longer than most requests can wait.
        """
        own = self.find_own(key)
        if own is None:
            return False
        if self.granter.is_unreachable:
            return True
        keys = self.granter.moving_range(key) or own.keys
        return self._unheld.is_overdue(keys, self._clock.now())

    async def async_wait_change(self, limit_s: float) -> None:
        """Wait until holds may have changed."""
        with suppress(TimeoutError):
            async with asyncio.timeout(limit_s):
                await self._changed.wait()

    async def async_run(self) -> None:
        """Join, then hold keys until cancelled."""
        try:
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._async_lease_loop())
                tasks.create_task(self._extension.async_run())
                tasks.create_task(self._async_grant_loop())
                tasks.create_task(self._async_fence_loop())
                tasks.create_task(self._takeovers.async_run())
                tasks.create_task(self._async_hint_loop())
        finally:
            self._transfers.stop()
            await self.granter.async_stop()

    async def async_transfer(self, keys: list[KeyRange], target: str) -> bool:
        """Pass ranges to another member; tell whether they have passed."""
        return await self._transfers.async_transfer(keys, target)

    async def async_is_store_available(self) -> bool:
        """Tell whether a change of the map would be answered now.

        Nothing is asked if an answer came just now.
        """
        age_s = self._clock.now() - self.registry.answers.last_at
        if age_s > ANSWER_MAX_AGE_S:
            self._takeovers.note_store(is_ok=await self.registry.async_read())
        return self.registry.answers.are_coming

    def _stir(self) -> None:
        self._wake.set()
        self._notify()

    async def _async_commit(
        self, plan: Planner, limit_s: float = CHANGE_LIMIT_S
    ) -> CommitResult:
        """Commit a change of the map and tell the others of it."""
        return await self._async_tell(self.registry.async_commit(plan, limit_s))

    async def _async_commit_entry(
        self, plan: Planner, limit_s: float
    ) -> CommitResult:
        """Commit the change by which this member joins."""
        is_migrating = self.registry.is_migrating
        return await self._async_tell(
            self.registry.async_commit(
                plan, limit_s, joins=not is_migrating, carries=is_migrating
            )
        )

    async def _async_tell(
        self, commit: Awaitable[CommitResult]
    ) -> CommitResult:
        """Tell the others if a commit has changed the map."""
        committed = await commit
        after = self.registry.key_map
        own = self.registry.own
        is_changed = own is not None and own.version == after.version
        if committed is CommitResult.DONE and is_changed:
            before = self.registry.changed_from
            self._courier.spread(self._member.service, before, after)
        return committed

    async def _async_lease_loop(self) -> None:
        while True:
            pause_s = await self._async_keep_lease()
            with suppress(TimeoutError):
                async with asyncio.timeout(pause_s):
                    await self._epoch_begun.wait()

    async def _async_keep_lease(self) -> float:
        """Join or renew once; return the pause until the next time."""
        registry = self.registry
        self._epoch_begun.clear()
        registry.follow_epoch()
        if not self._life.takes_work and not registry.is_joined:
            return RETRY_S
        if not registry.is_joined or registry.is_migrating:
            return await self._async_enter()
        committed = await registry.async_commit(_plan_renewal, RENEW_LIMIT_S)
        self._takeovers.note_store(is_ok=committed is not CommitResult.FAILED)
        if committed is CommitResult.DONE:
            return registry.lease_times().renew_s
        return RETRY_S

    async def _async_enter(self) -> float:
        """Join anew, or with the lease of an earlier epoch of the store."""
        is_read = await self.registry.async_read()
        self._takeovers.note_store(is_ok=is_read)
        if not is_read:
            return RETRY_S
        if self.registry.is_migrating:
            return await self._joining.async_carry_over()
        return await self._joining.async_join()

    def _on_entered(self) -> None:
        self._wake.set()
        self._on_joined()

    async def _async_grant_loop(self) -> None:
        while True:
            if self.registry.is_joined and self._life.takes_work:
                await self.granter.opener.async_open()
                if self.granter.find_doubt() is not FenceDoubt.NONE:
                    self._fences_wanted.set()
                self.granter.start_grants()
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self.granter.opener.pause_s):
                    await self._wake.wait()

    async def _async_fence_loop(self) -> None:
        """Take new fences when they are needed, beside the renewals.

        Grants under fences that are in order need nothing of the store.
        """
        plan = partial(plan_outrank, moving=self.granter.moving)
        while True:
            await self._fences_wanted.wait()
            self._fences_wanted.clear()
            doubt = self.granter.find_doubt()
            if doubt is FenceDoubt.NONE:
                continue
            committed = await self._async_commit(plan)
            self._log.write(
                'fences-renewed',
                why=doubt,
                outcome=committed,
                map_version=self.registry.key_map.version,
            )
            if committed in {CommitResult.DONE, CommitResult.NOT_WANTED}:
                self.granter.on_refenced()
                self._wake.set()
            else:
                await asyncio.sleep(RETRY_S)

    async def _async_hint_loop(self) -> None:
        """Read the map when others go by a newer one.

        A request often arrives before the datagram that tells of the change
        by which it was sent, which is there within milliseconds.
        """
        while True:
            await self._hinted.wait()
            await asyncio.sleep(HINT_PAUSE_S)
            self._hinted.clear()
            known = self.registry.key_map
            is_behind = self._hinted_version > known.version
            if is_behind or known.epoch > self.registry.epochs.current:
                await self.registry.async_read()
                await asyncio.sleep(RETRY_S)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


def _plan_renewal(_: Registry) -> Change:
    return RENEWAL
