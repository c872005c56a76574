"""Grant the keys that this member owns to the backend server, and renew."""

import asyncio
from collections.abc import Callable

from plantaingrade.clock import Clock
from plantaingrade.eventlog import EventLog
from plantaingrade.holds.const import (
    ARRIVAL_SLACK_S,
    CLOCK_RATE_MARGIN,
    HOLD_S,
    MIN_HOLD_LEFT_S,
    ORDER_TIMEOUT_S,
    RELEASE_TIMEOUT_S,
)
from plantaingrade.holds.entity import (
    Accepted,
    Grant,
    Outranked,
    Release,
    Unanswered,
    Unsent,
)
from plantaingrade.holds.ledger import GrantLedger
from plantaingrade.holds.orders import ServerOrders
from plantaingrade.holds.registry import Registry
from plantaingrade.keyspace.entity import Assignment, KeyRange
from plantaingrade.peers.entity import Token


class Granter:
    """Keep the server's grants in step with what this member owns."""

    __slots__ = (
        '_clock',
        '_grants_by_keys',
        '_log',
        '_on_change',
        '_orders',
        '_registry',
        '_token_by_keys',
        'ledger',
        'moving',
        'must_outrank',
    )

    def __init__(
        self,
        registry: Registry,
        orders: ServerOrders,
        clock: Clock,
        log: EventLog,
        on_change: Callable[[], None],
    ) -> None:
        """Grant nothing yet; ``on_change`` is called when a hold begins."""
        self._registry = registry
        self._orders = orders
        self._clock = clock
        self._log = log
        self._on_change = on_change
        self._grants_by_keys: dict[KeyRange, asyncio.Task[None]] = {}
        self._token_by_keys: dict[KeyRange, str] = {}
        self.ledger = GrantLedger()
        self.moving: set[KeyRange] = set()
        self.must_outrank = False

    def is_held(self, assignment: Assignment, key: int, now: float) -> bool:
        """Tell whether work on a key may begin now."""
        ends = self.ledger.held_until(key, assignment.fence)
        return ends - now > MIN_HOLD_LEFT_S

    def is_moving(self, key: int) -> bool:
        """Tell whether a key is being given away."""
        return self.moving_range(key) is not None

    def moving_range(self, key: int) -> KeyRange | None:
        """Return the range that is being given away with a key, if any."""
        return next((keys for keys in self.moving if key in keys), None)

    def expect_handover(self, token: Token) -> None:
        """Use a token with the first grant of its range."""
        self._token_by_keys[token.keys] = token.token

    def on_new_life(self) -> None:
        """Forget what an earlier life of the server was granted."""
        self.ledger.clear()
        self._token_by_keys.clear()

    def doubt_if_closed(self) -> None:
        """Take new fences if the server closed a connection that was in use.

        Failure: a server crashes and starts again between two renewals, so
        that none of them fails. It shows as described at ``_doubt``. A life
        never outlasts its connections.
        """
        if self._orders.has_lost_connection():
            self.must_outrank = True

    def start_grants(self) -> None:
        """Send a grant for each range owned, unless one is under way."""
        member = self._registry.member.name
        for assignment in self._registry.key_map.owned_by(member):
            hold_s = self._hold_s()
            if hold_s <= MIN_HOLD_LEFT_S:
                return
            for keys in self._parts(assignment.keys):
                if keys not in self._grants_by_keys:
                    self._start(keys, assignment.fence, hold_s)

    async def async_settle(self, keys: KeyRange) -> None:
        """Wait until no grant on these keys is under way."""
        tasks = [
            task
            for granted, task in self._grants_by_keys.items()
            if granted.overlap(keys)
        ]
        if tasks:
            await asyncio.wait(tasks)

    async def async_release(self, assignment: Assignment) -> str | None:
        """Take a range back; return the token, or nothing if unanswered."""
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
        """Cancel what is under way."""
        tasks = list(self._grants_by_keys.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _parts(self, keys: KeyRange) -> list[KeyRange]:
        """Return the parts of a range that are granted by themselves.

        What is being given away is left out. What came with a token is
        granted alone, since the token is of that range.
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

    def _hold_s(self) -> float:
        """Return a hold that ends before this member's lease does.

        The order may arrive late, and the server's clock may run slow.
        """
        left_s = self._registry.lease_until - self._clock.now()
        return min(HOLD_S, (left_s - ARRIVAL_SLACK_S) / CLOCK_RATE_MARGIN)

    def _start(self, keys: KeyRange, fence: int, hold_s: float) -> None:
        token = self._token_by_keys.get(keys, '')
        grant = Grant(keys, fence, hold_s, token)
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._async_grant(grant))
        self._grants_by_keys[keys] = task

    async def _async_grant(self, grant: Grant) -> None:
        try:
            await self._async_send(grant)
        finally:
            self._grants_by_keys.pop(grant.keys, None)

    async def _async_send(self, grant: Grant) -> None:
        sent_at = self._clock.now()
        first = not self.ledger.is_confirmed(grant.keys, grant.fence)
        self.ledger.on_sent(grant, sent_at)
        try:
            outcome = await self._orders.async_grant(grant, ORDER_TIMEOUT_S)
        except asyncio.CancelledError:
            self.ledger.on_unanswered(grant, sent_at)
            raise
        match outcome:
            case Accepted():
                self.ledger.on_confirmed(grant, sent_at)
                self._token_by_keys.pop(grant.keys, None)
                if first:
                    self._on_change()
            case Unanswered():
                self.ledger.on_unanswered(grant, sent_at)
                self.must_outrank = True
            case Unsent():
                self._doubt(grant)
            case Outranked():
                self.must_outrank = True
        if first or not isinstance(outcome, Accepted):
            self._log_grant(grant, outcome)

    def _doubt(self, grant: Grant) -> None:
        """Use a new fence with whatever answers next at the server's address.

        Failure: a server crashes, and its next life starts before its first
        heartbeat is here. A renewal reaches it, and it takes keys under the
        fence under which the life before had them. It shows as two lives that
        cannot be told apart by their fences. An order that failed, or a
        connection that was closed, is the first sign of a changed life; a
        fence that no server has seen need not be replaced.
        """
        if self.ledger.may_be_known(grant.keys, grant.fence):
            self.must_outrank = True

    def _log_grant(
        self, grant: Grant, outcome: Accepted | Outranked | Unanswered | Unsent
    ) -> None:
        self._log.write(
            'keys-granted',
            first=grant.keys.first,
            last=grant.keys.last,
            fence=grant.fence,
            hold_s=round(grant.hold_s, 3),
            warm=bool(grant.handover),
            outcome=type(outcome).__name__,
        )
