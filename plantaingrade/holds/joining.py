"""Join a service: as a new run, or with a lease of an earlier epoch."""

from collections.abc import Awaitable, Callable

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.changes import RENEWAL, Change, CommitResult
from plantaingrade.holds.const import (
    JOIN_LIMIT_S,
    JOIN_WAIT_S,
    MIN_JOIN_WAIT_S,
    RETRY_S,
)
from plantaingrade.holds.plans import plan_lease_migration, plan_new_fences
from plantaingrade.holds.registry import Planner, Registry

# Commits a plan within a time limit, and notifies the peers of the new map.
CommitAndBroadcast = Callable[[Planner, float], Awaitable[CommitResult]]


class Joining:
    """Joins with a member's row; steps return the pause until the next."""

    __slots__ = ('_clock', '_commit', '_log', '_on_joined', '_registry')

    def __init__(
        self,
        registry: Registry,
        commit: CommitAndBroadcast,
        on_joined: Callable[[], None],
        clock: Clock,
        log: EventLog,
    ) -> None:
        """Join for one member; ``on_joined`` is called when it has joined."""
        self._registry = registry
        self._commit = commit
        self._on_joined = on_joined
        self._clock = clock
        self._log = log

    async def async_join(self) -> float:
        """Adopt the keys that an earlier run owned, under new fences.

        Grants sent by an earlier run may be executed late. The server refuses
        them once it has seen a grant under a newer fence.
        """
        registry = self._registry
        registry.is_waiting = not await self._async_may_join()
        if registry.is_waiting:
            self._log.write('join-waits', epoch=registry.epochs.current)
            return self._pause_s()
        committed = await self._commit(plan_new_fences, JOIN_LIMIT_S)
        if committed is CommitResult.NOT_WANTED:
            committed = await self._commit(_plan_renewal, JOIN_LIMIT_S)
        self._log.write(
            'joined' if committed is CommitResult.DONE else 'join-failed',
            outcome=committed,
            keys_of=len(registry.key_map.owned_by(registry.member.name)),
            map_version=registry.key_map.version,
        )
        return self._pause_after(committed)

    async def async_migrate_lease(self) -> float:
        """Join the store's new epoch with a lease of an earlier one."""
        registry = self._registry
        left_s = registry.lease_until - self._clock.now()
        committed = await self._commit(plan_lease_migration, left_s)
        self._log.write(
            'lease-carried-over',
            outcome=committed,
            epoch=registry.epochs.current,
            left_s=round(left_s, 2),
            keys_of=len(registry.key_map.owned_by(registry.member.name)),
            map_version=registry.key_map.version,
        )
        return self._pause_after(committed)

    async def _async_may_join(self) -> bool:
        """Return whether no lease of an earlier epoch prevents joining."""
        registry = self._registry
        name = registry.member.name
        if registry.epochs.may_join(name):
            return True
        await registry.async_start_epoch()
        await registry.async_read()
        return registry.epochs.may_join(name)

    def _pause_s(self) -> float:
        """Return the time until this run may join or should check again.

        All waiting runs then join at the same moment and divide the keys.
        """
        start = self._registry.rows.epoch_start
        now_s = self._registry.store_now()
        if start is None or now_s is None:
            return RETRY_S
        left_s = start.leases_over_s - now_s
        return min(JOIN_WAIT_S, max(MIN_JOIN_WAIT_S, left_s))

    def _pause_after(self, committed: CommitResult) -> float:
        if committed is not CommitResult.DONE:
            return RETRY_S
        self._on_joined()
        return self._registry.lease_times().renew_s


def _plan_renewal(_: Registry) -> Change:
    return RENEWAL
