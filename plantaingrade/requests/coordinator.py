"""Serve the requests that begin on this instance."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from plantaingrade.admission.repeats import RepeatBudget
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.peers.entity import Member
from plantaingrade.requests.const import (
    CALLER_NETWORK_S,
    DEFAULT_RETRY_AFTER_S,
    MAX_TRIES,
    MIN_TRY_S,
    RETRY_PAUSE_S,
    UNREACHABLE_RETRY_AFTER_S,
)
from plantaingrade.requests.entity import (
    Answered,
    CallerRequest,
    NotRun,
    NotRunReason,
    Outcome,
    RoutedRequest,
    Unknown,
)
from plantaingrade.requests.peer_path import PeerPath
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.requests.targets import TargetChooser
from plantaingrade.requests.usual_deadlines import Patience

# Refusals of a process that never reached a server: they cost the server
# nothing, so they draw on no budget.
FREE_REASONS = frozenset(
    (
        NotRunReason.NOT_OWNER,
        NotRunReason.OTHER_SERVICE,
        NotRunReason.PEER_DOWN,
        NotRunReason.MOVING,
        NotRunReason.SERVER_DOWN,
        NotRunReason.DRAINING,
        NotRunReason.LEAVING,
        NotRunReason.CONNECT_FAILED,
    )
)
# Refusals that tell that a server takes no work for a while.
AWAY_REASONS = frozenset(
    (
        NotRunReason.SERVER_DOWN,
        NotRunReason.DRAINING,
        NotRunReason.LEAVING,
        NotRunReason.OTHER_SERVICE,
    )
)
# Refusals of a server that has no room; nothing was sent to it, and another
# server of a service without keys may have room.
FULL_REASONS = frozenset((NotRunReason.QUEUE_FULL, NotRunReason.TOO_LATE))
# Other servers that are asked after one was full. Each costs a hop, and in an
# overload of the whole service nobody has room.
MAX_SPILLOVERS = 1
# Refusals after which another process, or the same one, may do better.
RETRY_REASONS = FREE_REASONS | {NotRunReason.SERVER_REFUSED}


class NoRoute(Struct, frozen=True):
    """The configuration in force has no route for the request."""


class Progress(Struct):
    """What has been tried for one request."""

    routed: RoutedRequest
    tries: int = 0
    sent: int = 0
    tried: set[str] = field(default_factory=set)
    hint: str = ''
    path: list[str] = field(default_factory=list)
    asked: str = ''
    map_version: int = 0
    spills: int = 0
    unknown: Unknown | None = None
    next_member: Member | None = None


class RequestCoordinator:
    """Route requests, try again what may be, and say what came of them."""

    __slots__ = (
        '_budget',
        '_clock',
        '_config',
        '_log',
        '_on_done',
        '_own',
        '_patience',
        '_peers',
        '_server',
        '_service',
        '_targets',
    )

    def __init__(
        self,
        own: Member,
        config: ConfigFollower,
        targets: TargetChooser,
        server: ServerPath,
        peers: PeerPath,
        budget: RepeatBudget,
        clock: Clock,
        log: EventLog,
        on_done: Callable[[RoutedRequest, Outcome, float], None],
    ) -> None:
        """Join the paths of one process."""
        self._own = own
        self._config = config
        self._targets = targets
        self._server = server
        self._peers = peers
        self._budget = budget
        self._patience = Patience()
        self._clock = clock
        self._log = log
        self._on_done = on_done

    async def async_serve(self, caller: CallerRequest) -> Outcome | NoRoute:
        """Return what became of a request of a caller on this instance."""
        if self._config.routes is None:
            return NotRun(NotRunReason.NO_CONFIG, DEFAULT_RETRY_AFTER_S)
        routed = self._route(caller)
        if routed is None:
            self._log.write('no-route', id=caller.request_id.decode())
            return NoRoute()
        self._budget.on_request(
            routed.service, self._targets.count(), caller.arrived
        )
        progress = Progress(routed)
        outcome = await self._async_try_all(progress)
        self._report(progress, outcome)
        return outcome

    def _route(self, caller: CallerRequest) -> RoutedRequest | None:
        routes = self._config.routes
        host = caller.host.decode('ascii', 'replace')
        path = caller.target.split(b'?', 1)[0].decode('ascii', 'replace')
        route = routes.find(host, path) if routes else None
        if route is None:
            return None
        deadline_ms = round((caller.deadline - caller.arrived) * MS_PER_S)
        spent_s = self._patience.waited_s(route.name, deadline_ms)
        spent_s += CALLER_NETWORK_S
        return RoutedRequest(
            caller=caller,
            caller_service=self._own.service,
            service=routes.next_service(route),
            is_idempotent=route.is_idempotent,
            priority=route.priority,
            until=min(caller.deadline, caller.arrived + route.timeout_s),
            due=caller.arrived + route.objective_s - spent_s,
        )

    async def _async_try_all(self, progress: Progress) -> Outcome:
        while True:
            outcome = await self._async_try(progress)
            if isinstance(outcome, Answered):
                return outcome
            progress.path.append(outcome.reason.value)
            if isinstance(outcome, Unknown):
                progress.unknown = outcome
            if not await self._async_may_try_again(progress, outcome):
                # One open try leaves the whole request open: it may have run
                # there, whatever came of its repeat.
                return progress.unknown or outcome
            if isinstance(outcome, NotRun) and outcome.owner:
                progress.hint = outcome.owner
                self._learn(progress, outcome)
            else:
                progress.hint = ''
                await self._async_pause(progress)

    def _learn(self, progress: Progress, refusal: NotRun) -> None:
        """Ask for a newer map where a redirect shows that there is one."""
        known = self._targets.map_version(progress.routed.service)
        progress.map_version = max(known, refusal.map_version)
        if refusal.map_version > known:
            self._targets.learn_from(progress.routed.service, progress.asked)

    async def _async_pause(self, progress: Progress) -> None:
        """Wait before the same process is asked again, not before another."""
        if self._targets.is_keyed(progress.routed.service):
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _async_try(self, progress: Progress) -> Outcome:
        routed = progress.routed
        if routed.until - self._clock.now() < MIN_TRY_S:
            return NotRun(NotRunReason.EXPIRED, DEFAULT_RETRY_AFTER_S)
        member = progress.next_member or await self._targets.async_choose(
            routed, progress.tried, progress.hint
        )
        progress.next_member = None
        if member is None:
            return NotRun(NotRunReason.NO_SERVER, DEFAULT_RETRY_AFTER_S)
        if not self._targets.may_ask(member):
            progress.path.append(member.name)
            return NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_S)
        progress.tries += 1
        progress.path.append(member.name)
        if not self._targets.is_keyed(routed.service):
            progress.tried.add(member.name)
        progress.asked = member.name
        outcome = await self._async_ask(progress, member)
        self._targets.note_outcome(member, outcome)
        if isinstance(outcome, NotRun) and outcome.reason in AWAY_REASONS:
            self._targets.avoid(member)
        return outcome

    async def _async_ask(self, progress: Progress, member: Member) -> Outcome:
        routed = progress.routed
        if (
            member.name == self._own.name
            and routed.service == self._own.service
        ):
            return await self._server.async_serve(routed, progress.map_version)
        return await self._peers.async_serve(
            routed, member, progress.map_version
        )

    async def _async_may_try_again(
        self, progress: Progress, outcome: NotRun | Unknown
    ) -> bool:
        left_s = progress.routed.until - self._clock.now()
        if progress.tries >= MAX_TRIES or left_s < MIN_TRY_S + RETRY_PAUSE_S:
            return False
        match outcome:
            case NotRun(reason=reason):
                if reason in FULL_REASONS:
                    return await self._async_may_spill(progress)
                if reason not in RETRY_REASONS:
                    return False
                return reason in FREE_REASONS or self._may_spend(progress)
            case Unknown():
                if not progress.routed.is_idempotent:
                    return False
                return self._may_spend(progress)

    async def _async_may_spill(self, progress: Progress) -> bool:
        """Tell whether another server may have room, and choose it."""
        service = progress.routed.service
        if progress.spills >= MAX_SPILLOVERS or self._targets.is_keyed(service):
            return False
        progress.spills += 1
        progress.next_member = await self._targets.async_choose_other(
            progress.routed, progress.tried
        )
        return progress.next_member is not None

    def _may_spend(self, progress: Progress) -> bool:
        routed = progress.routed
        return self._budget.try_spend(routed.service, routed.priority)

    def _report(self, progress: Progress, outcome: Outcome) -> None:
        routed = progress.routed
        took_s = self._clock.now() - routed.caller.arrived
        self._on_done(routed, outcome, took_s)
        status = None
        reason = None
        if isinstance(outcome, Answered):
            status = outcome.answer.status
        else:
            reason = outcome.reason.value
        self._log.write(
            'request',
            id=routed.caller.request_id.decode('ascii', 'replace'),
            service=routed.service,
            key=routed.caller.key,
            kind=routed.kind,
            outcome=type(outcome).__name__,
            status=status,
            why=reason,
            path=progress.path,
            ms=round(took_s * MS_PER_S, 1),
            config=self._config.version,
            map=self._targets.map_version(routed.service),
        )
