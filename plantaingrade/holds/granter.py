"""Grant the keys that this member owns to the backend server."""

import asyncio
from collections.abc import Callable
from enum import StrEnum
from functools import partial

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import (
    ARRIVAL_SLACK_S,
    CLOCK_RATE_MARGIN,
    CONNECTION_WAIT_S,
    HOLD_S,
    MIN_HOLD_LEFT_S,
    ORDER_TIMEOUT_S,
    RELEASE_TIMEOUT_S,
    RETRY_ORDER_S,
)
from plantaingrade.holds.entity import (
    Accepted,
    Grant,
    OrderOutcome,
    Outranked,
    Rejected,
    Release,
    Unanswered,
    Unsent,
)
from plantaingrade.holds.fences import FenceSessions
from plantaingrade.holds.ledger import GrantLedger
from plantaingrade.holds.orders import (
    GrantTurn,
    NoSessionError,
    ServerOrders,
)
from plantaingrade.holds.registry import Registry
from plantaingrade.holds.session_opener import SessionOpener
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Token
from plantaingrade.supervision.jobs import start_job


class RefenceReason(StrEnum):
    """Why the keys of this member need new fences."""

    NONE = 'none'
    SESSION = 'another-session'
    EPOCH = 'earlier-epoch'
    OUTRANKED = 'outranked'


class Granter:
    """Keeps the server's grants in line with what this member owns.

    A fence is bound to the session in which it was first sent, and a session
    reaches one incarnation of the server only; after it new fences are needed.
    So two incarnations never hold keys under the same fence, whichever process
    starts at the server's address.
    """

    __slots__ = (
        '_clock',
        '_fences',
        '_grants_by_keys',
        '_is_superseded',
        '_log',
        '_on_change',
        '_on_retry',
        '_orders',
        '_registry',
        '_retry',
        '_token_by_keys',
        'ledger',
        'moving',
        'opener',
    )

    def __init__(
        self,
        registry: Registry,
        orders: ServerOrders,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[], None],
        on_retry: Callable[[], None],
    ) -> None:
        """Start without grants.

        ``on_change`` is called when a hold begins, ``on_retry`` when grants
        should be checked before the next period.
        """
        self._registry = registry
        self._orders = orders
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._on_retry = on_retry
        self._retry: asyncio.TimerHandle | None = None
        orders.listen(on_retry)
        self._grants_by_keys: dict[KeyRange, asyncio.Task[None]] = {}
        self._token_by_keys: dict[KeyRange, str] = {}
        self.ledger = GrantLedger()
        self.moving: set[KeyRange] = set()
        self._fences = FenceSessions()
        self._is_superseded = False
        self.opener = SessionOpener(orders, clock, log)

    @property
    def is_unreachable(self) -> bool:
        """Return whether the last attempt to reach the server failed.

        It is not unreachable before the first attempt: a process that has just
        started has its grants within milliseconds.
        """
        return not self._orders.session and self.opener.has_failed

    def is_held(self, assignment: Assignment, key: int, now: float) -> bool:
        """Return whether work on a key may begin now.

        Grants of an earlier session don't count: the incarnation that holds
        them may have ended.
        """
        if not self._fences.is_bound(assignment.fence, self._orders.session):
            return False
        ends = self.ledger.held_until(key, assignment.fence)
        return ends - now > MIN_HOLD_LEFT_S

    def is_moving(self, key: int) -> bool:
        """Return whether a key is being transferred."""
        return self.moving_range(key) is not None

    def moving_range(self, key: int) -> KeyRange | None:
        """Return the range that is being transferred with a key, if any."""
        return next((keys for keys in self.moving if key in keys), None)

    def expect_handover(self, token: Token) -> None:
        """Use a handover token with the first grant of its range."""
        self._token_by_keys[token.keys] = token.token

    def on_new_incarnation(self) -> None:
        """Discard tokens of the earlier incarnation; connect to the new one."""
        self._token_by_keys.clear()
        self.opener.on_new_incarnation()

    def find_refence_reason(self) -> RefenceReason:
        """Return why new fences are needed before all keys can be granted."""
        if self._is_superseded:
            return RefenceReason.OUTRANKED
        lowest = self._registry.epochs.lowest_fence
        if any(assignment.fence < lowest for assignment in self._owned()):
            return RefenceReason.EPOCH
        session = self._orders.session
        if session and any(
            not self._fences.may_send(assignment.fence, session)
            for assignment in self._owned()
            if self._ranges_to_grant(assignment.keys)
        ):
            return RefenceReason.SESSION
        return RefenceReason.NONE

    def on_fences_renewed(self) -> None:
        """Record that all own keys got new fences since the last refusal."""
        self._is_superseded = False

    def start_grants(self) -> None:
        """Send a grant for each owned range, unless one is in flight.

        The hold that ends first is renewed first, since not all orders may be
        sent within a period.
        """
        session = self._orders.session
        if not session:
            return
        for assignment in sorted(self._owned(), key=self._held_until):
            if self._hold_s() <= MIN_HOLD_LEFT_S:
                return
            if not self._may_send(assignment.fence, session):
                continue
            for keys in self._ranges_to_grant(assignment.keys):
                if keys not in self._grants_by_keys:
                    self._start(keys, assignment.fence, session)

    async def async_wait_for_grants(self, keys: KeyRange) -> None:
        """Wait until no grant on these keys is in flight."""
        tasks = [
            task
            for granted, task in self._grants_by_keys.items()
            if granted.overlap(keys)
        ]
        if tasks:
            await asyncio.wait(tasks)

    async def async_release(self, assignment: Assignment) -> str | None:
        """Release a range; return the token, or ``None`` if not confirmed."""
        order = Release(assignment.keys, assignment.fence)
        outcome = await self._orders.async_release(order, RELEASE_TIMEOUT_S)
        self._log.write(
            'keys-released',
            first=assignment.keys.first,
            last=assignment.keys.last,
            fence=assignment.fence,
            outcome=type(outcome).__name__,
        )
        if isinstance(outcome, Accepted):
            return outcome.handover
        return None

    async def async_stop(self) -> None:
        """Cancel all grants that are in flight."""
        tasks = list(self._grants_by_keys.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _ranges_to_grant(self, keys: KeyRange) -> list[KeyRange]:
        """Return the parts of a range that are granted separately.

        Parts that are being transferred are left out. A part with a handover
        token is granted alone, since the token is valid for that range only.
        """
        parts = [keys]
        for moving in self.moving:
            parts = [rest for part in parts for rest in part.without(moving)]
        tokens = [
            token
            for token in self._token_by_keys
            if any(part.overlap(token) == token for part in parts)
        ]
        for token in tokens:
            parts = [rest for part in parts for rest in part.without(token)]
        return parts + tokens

    def _may_send(self, fence: int, session: int) -> bool:
        if fence < self._registry.epochs.lowest_fence:
            return False
        return self._fences.may_send(fence, session)

    def _owned(self) -> list[Assignment]:
        return self._registry.key_map.owned_by(self._registry.member.name)

    def _held_until(self, assignment: Assignment) -> float:
        return self.ledger.held_until(assignment.keys.first, assignment.fence)

    def _hold_s(self) -> float:
        """Return the duration of a hold that ends before this member's lease.

        The order may arrive late, and the server's clock may run slow.
        """
        left_s = self._registry.lease_until - self._clock.now()
        return min(HOLD_S, (left_s - ARRIVAL_SLACK_S) / CLOCK_RATE_MARGIN)

    def _start(self, keys: KeyRange, fence: int, session: int) -> None:
        lowest = min(each.fence for each in self._owned())
        self._fences.bind(fence, session, lowest)
        grant = start_job('grant', self._async_grant(keys, fence, session))
        self._grants_by_keys[keys] = grant
        # A task that is cancelled before it begins runs no ``finally``.
        grant.add_done_callback(
            partial(_remove_task, self._grants_by_keys, keys)
        )

    async def _async_grant(
        self, keys: KeyRange, fence: int, session: int
    ) -> None:
        try:
            async with asyncio.timeout(CONNECTION_WAIT_S) as wait_limit:
                async with self._orders.turn(session) as turn:
                    wait_limit.reschedule(None)
                    await self._async_send(turn, keys, fence)
        except (NoSessionError, TimeoutError):
            self._log_grant(Grant(keys, fence, 0.0), Unsent(), session)
        finally:
            self._grants_by_keys.pop(keys, None)

    async def _async_send(
        self, turn: GrantTurn, keys: KeyRange, fence: int
    ) -> None:
        """Create and send a grant once a connection is available.

        A grant made earlier could wait for the connection, and its hold would
        then last longer than recorded.
        """
        hold_s = self._hold_s()
        if hold_s <= MIN_HOLD_LEFT_S:
            return
        grant = Grant(keys, fence, hold_s, self._token_by_keys.get(keys, ''))
        sent_at = self._clock.now()
        first = not self.ledger.is_confirmed(keys, fence)
        self.ledger.on_sent(grant, sent_at)
        try:
            outcome = await turn.async_grant(grant, ORDER_TIMEOUT_S)
        except BaseException:
            # Cancelled or failed, the order may still be executed.
            self.ledger.on_unanswered(grant, sent_at)
            raise
        self._apply_outcome(grant, outcome, sent_at, is_first=first)
        if first or not isinstance(outcome, Accepted):
            self._log_grant(grant, outcome, self._fences.session_of(fence))

    def _apply_outcome(
        self,
        grant: Grant,
        outcome: OrderOutcome,
        sent_at: float,
        *,
        is_first: bool,
    ) -> None:
        match outcome:
            case Accepted():
                self.opener.on_answer()
                self.ledger.on_confirmed(grant, sent_at)
                self._token_by_keys.pop(grant.keys, None)
                if is_first:
                    self._on_change()
            case Unanswered():
                self.ledger.on_unanswered(grant, sent_at)
                self._schedule_retry()
            case Rejected():
                # Retried with the next renewals. An immediate retry would be
                # rejected at once, some thousand times a second.
                self.ledger.on_unanswered(grant, sent_at)
            case Outranked():
                self._is_superseded = True

    def _schedule_retry(self) -> None:
        """Check the grants again soon, once for all unanswered ones."""
        if self._retry is not None and not self._retry.cancelled():
            return
        loop = asyncio.get_running_loop()
        self._retry = loop.call_later(RETRY_ORDER_S, self._retry_now)

    def _retry_now(self) -> None:
        self._retry = None
        self._on_retry()

    def _log_grant(
        self, grant: Grant, outcome: OrderOutcome, session: int | None
    ) -> None:
        self._log.write(
            'keys-granted',
            first=grant.keys.first,
            last=grant.keys.last,
            fence=grant.fence,
            hold_s=round(grant.hold_s, 3),
            warm=bool(grant.handover),
            session=session,
            outcome=type(outcome).__name__,
        )


def _remove_task(
    task_by_keys: dict[KeyRange, asyncio.Task[None]],
    keys: KeyRange,
    task: asyncio.Task[None],
) -> None:
    if task_by_keys.get(keys) is task:
        task_by_keys.pop(keys)
