"""Serve the requests that callers send to this instance."""

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from plantaingrade.admission.service_retries import ServiceRetryBudget
from plantaingrade.clock import Clock
from plantaingrade.config.coordinator import ConfigFollower
from plantaingrade.config.entity import Route
from plantaingrade.const import MS_PER_S
from plantaingrade.eventlog import EventLog
from plantaingrade.http.messages import Request
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
from plantaingrade.requests.recent_durations import RecentDurations
from plantaingrade.requests.server_path import ServerPath
from plantaingrade.requests.targets import TargetChooser
from plantaingrade.requests.usual_deadlines import UsualDeadlines

# Refusals by a process before the request reached a server. They cost the
# server nothing, so retries after them do not use the retry budget.
UNBUDGETED_REASONS = frozenset(
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
# Refusals after which a server accepts no work for a while.
UNAVAILABLE_REASONS = frozenset(
    (
        NotRunReason.SERVER_DOWN,
        NotRunReason.DRAINING,
        NotRunReason.LEAVING,
        NotRunReason.OTHER_SERVICE,
    )
)
# Refusals because a server has no free capacity. Nothing was sent to it, and
# for a service without keys another server may have free capacity.
OVERLOAD_REASONS = frozenset(
    (
        NotRunReason.QUEUE_FULL,
        NotRunReason.TOO_LATE,
        NotRunReason.RATE_LIMITED,
        NotRunReason.LINK_FULL,
    )
)
# Other servers tried after one was full. Each try costs a hop, and if the whole
# service is overloaded, no server has free capacity.
MAX_SPILLOVERS = 1
# Refusals after which a retry at another or the same process may succeed.
RETRYABLE_REASONS = UNBUDGETED_REASONS | {NotRunReason.SERVER_REFUSED}


class NoRoute(Struct, frozen=True):
    """The active configuration has no route for the request."""


class RequestProgress(Struct):
    """Attempts made so far for one request.

    ``reached`` names the members whose servers may have received it.
    """

    routed: RoutedRequest
    tries: int = 0
    sent: int = 0
    tried: set[str] = field(default_factory=set)
    reached: set[str] = field(default_factory=set)
    hint: str = ''
    path: list[str] = field(default_factory=list)
    last_asked: str = ''
    map_version: int = 0
    spillovers: int = 0
    unknown: Unknown | None = None
    next_member: Member | None = None

    @property
    def may_reach_more_servers(self) -> bool:
        """Return whether the route allows one that was not reached before."""
        return len(self.reached) < self.routed.max_servers


class RequestCoordinator:
    """Routes requests, retries them where it is safe, and reports outcomes."""

    __slots__ = (
        '_budget',
        '_clock',
        '_config',
        '_durations',
        '_log',
        '_on_done',
        '_own',
        '_usual_deadlines',
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
        budget: ServiceRetryBudget,
        clock: Clock,
        log: EventLog,
        on_done: Callable[[RoutedRequest, Outcome, float], None],
    ) -> None:
        """Combine the request paths of one process."""
        self._own = own
        self._config = config
        self._targets = targets
        self._server = server
        self._peers = peers
        self._budget = budget
        self._usual_deadlines = UsualDeadlines()
        self._durations = RecentDurations()
        self._clock = clock
        self._log = log
        self._on_done = on_done

    async def async_serve(self, caller: CallerRequest) -> Outcome | NoRoute:
        """Serve a request that a caller sent to this instance."""
        if self._config.routes is None:
            return NotRun(NotRunReason.NO_CONFIG, DEFAULT_RETRY_AFTER_S)
        routed = self._route(caller)
        if routed is None:
            return self._refuse_unrouted(caller)
        self._budget.on_request(
            routed.service, self._targets.count_members(), caller.arrived
        )
        progress = RequestProgress(routed)
        outcome = await self._async_serve_with_retries(progress)
        self._report(progress, outcome)
        return outcome

    def _refuse_unrouted(self, caller: CallerRequest) -> NotRun | NoRoute:
        """Refuse a request without a route.

        A newer configuration that others have told of may have one.
        """
        is_behind = self._config.is_behind
        request_id = caller.request_id.decode()
        self._log.write('no-route', id=request_id, is_behind=is_behind)
        if is_behind:
            return NotRun(NotRunReason.OLD_CONFIG, DEFAULT_RETRY_AFTER_S)
        return NoRoute()

    def may_repeat(self, raw: Request) -> bool:
        """Return whether a request is idempotent by its route."""
        host = dict(raw.headers).get(b'host', b'')
        route = self._find_route(host, raw.target)
        return route is not None and route.is_idempotent

    def _find_route(self, raw_host: bytes, target: bytes) -> Route | None:
        routes = self._config.routes
        host = raw_host.decode('ascii', 'replace')
        path = target.split(b'?', 1)[0].decode('ascii', 'replace')
        return routes.find(host, path) if routes else None

    def _route(self, caller: CallerRequest) -> RoutedRequest | None:
        routes = self._config.routes
        route = self._find_route(caller.host, caller.target)
        if route is None:
            return None
        deadline_ms = round((caller.deadline - caller.arrived) * MS_PER_S)
        spent_s = self._usual_deadlines.waited_s(route.name, deadline_ms)
        spent_s += CALLER_NETWORK_S
        return RoutedRequest(
            caller=caller,
            caller_service=self._own.service,
            service=routes.next_service(route),
            is_idempotent=route.is_idempotent,
            priority=route.priority,
            until=min(caller.deadline, caller.arrived + route.timeout_s),
            due=caller.arrived + route.objective_s - spent_s,
            max_servers=route.max_servers,
        )

    async def _async_serve_with_retries(
        self, progress: RequestProgress
    ) -> Outcome:
        while True:
            outcome = await self._async_try(progress)
            if isinstance(outcome, Answered):
                return outcome
            progress.path.append(outcome.reason.value)
            if isinstance(outcome, Unknown):
                progress.unknown = outcome
            if not await self._async_should_retry(progress, outcome):
                # An attempt with an unknown outcome makes the whole request's
                # outcome unknown, whatever the outcome of its retries.
                return progress.unknown or outcome
            if isinstance(outcome, NotRun) and outcome.owner:
                progress.hint = outcome.owner
                self._request_newer_map(progress, outcome)
            else:
                progress.hint = ''
                await self._async_pause_before_retry(progress)

    def _request_newer_map(
        self, progress: RequestProgress, refusal: NotRun
    ) -> None:
        """Request a newer map if a redirect refers to one."""
        known = self._targets.map_version(progress.routed.service)
        progress.map_version = max(known, refusal.map_version)
        if refusal.map_version > known:
            self._targets.request_map(
                progress.routed.service, progress.last_asked
            )

    async def _async_pause_before_retry(
        self, progress: RequestProgress
    ) -> None:
        """Pause before a retry at the same process, but not at another one."""
        if self._targets.is_keyed(progress.routed.service):
            await asyncio.sleep(RETRY_PAUSE_S)

    async def _async_try(self, progress: RequestProgress) -> Outcome:
        routed = progress.routed
        if routed.until - self._clock.now() < MIN_TRY_S:
            return NotRun(NotRunReason.EXPIRED, DEFAULT_RETRY_AFTER_S)
        member = progress.next_member or await self._targets.async_choose(
            routed, progress.tried, progress.hint
        )
        progress.next_member = None
        if member is None:
            return NotRun(NotRunReason.NO_SERVER, DEFAULT_RETRY_AFTER_S)
        if not _may_reach(progress, member):
            return NotRun(NotRunReason.TRIES_USED_UP, DEFAULT_RETRY_AFTER_S)
        if not self._may_end_in_time(routed):
            return self._refuse_leaving()
        if not self._targets.may_ask(member):
            progress.path.append(member.name)
            return NotRun(NotRunReason.UNREACHABLE, UNREACHABLE_RETRY_AFTER_S)
        progress.tries += 1
        progress.path.append(member.name)
        if not self._targets.is_keyed(routed.service):
            progress.tried.add(member.name)
        progress.last_asked = member.name
        began = self._clock.now()
        outcome = await self._async_send(progress, member)
        if not isinstance(outcome, NotRun):
            took_s = self._clock.now() - began
            self._durations.observe(_work_class(routed), took_s)
        self._targets.record_outcome(member, outcome)
        if _has_reached_server(outcome):
            progress.reached.add(member.name)
        if (
            isinstance(outcome, NotRun)
            and outcome.reason in UNAVAILABLE_REASONS
        ):
            self._targets.avoid(member)
        return outcome

    def _may_end_in_time(self, routed: RoutedRequest) -> bool:
        """Return whether a request ends before this process, if that stops."""
        end = self._server.end
        if not end.is_planned:
            return True
        longest_s = self._durations.longest_s(_work_class(routed))
        return end.has_time_for(routed, longest_s, self._clock.now())

    def _refuse_leaving(self) -> NotRun:
        """Refuse a request because this process stops; others may serve it."""
        after_s = self._server.end.closes_in_s(self._clock.now())
        return NotRun(NotRunReason.LEAVING, max(DEFAULT_RETRY_AFTER_S, after_s))

    async def _async_send(
        self, progress: RequestProgress, member: Member
    ) -> Outcome:
        routed = progress.routed
        if (
            member.name == self._own.name
            and routed.service == self._own.service
        ):
            return await self._server.async_serve(routed, progress.map_version)
        return await self._peers.async_serve(
            routed, member, progress.map_version
        )

    async def _async_should_retry(
        self, progress: RequestProgress, outcome: NotRun | Unknown
    ) -> bool:
        left_s = progress.routed.until - self._clock.now()
        if progress.tries >= MAX_TRIES or left_s < MIN_TRY_S + RETRY_PAUSE_S:
            return False
        if not self._may_reach_another(progress):
            return False
        match outcome:
            case NotRun(reason=NotRunReason.LEAVING, retry_after_s=after_s):
                # An owner that tells a time keeps its keys until then.
                return not after_s
            case NotRun(reason=reason):
                if reason in OVERLOAD_REASONS:
                    return await self._async_choose_spillover(progress)
                if reason not in RETRYABLE_REASONS:
                    return False
                return reason in UNBUDGETED_REASONS or self._try_spend(progress)
            case Unknown():
                if not progress.routed.is_idempotent:
                    return False
                return self._try_spend(progress)

    def _may_reach_another(self, progress: RequestProgress) -> bool:
        """Return whether the next try may be at a server of the route's limit.

        The owner of a key may be a server that was reached before.
        """
        service = progress.routed.service
        return progress.may_reach_more_servers or self._targets.is_keyed(
            service
        )

    async def _async_choose_spillover(self, progress: RequestProgress) -> bool:
        """Choose another server; return whether there is a candidate."""
        service = progress.routed.service
        if progress.spillovers >= MAX_SPILLOVERS or self._targets.is_keyed(
            service
        ):
            return False
        progress.spillovers += 1
        progress.next_member = await self._targets.async_choose_other(
            progress.routed, progress.tried
        )
        return progress.next_member is not None

    def _try_spend(self, progress: RequestProgress) -> bool:
        routed = progress.routed
        return self._budget.try_spend(routed.service, routed.priority)

    def _report(self, progress: RequestProgress, outcome: Outcome) -> None:
        routed = progress.routed
        took_s = self._clock.now() - routed.caller.arrived
        self._on_done(routed, outcome, took_s)
        status = None
        reason = None
        if isinstance(outcome, Answered):
            status = outcome.answer.status
        else:
            reason = outcome.reason.value
        ahead = routed.caller.ahead
        pipelined = {'ahead': ahead} if ahead else {}
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
            **pipelined,
        )


def _may_reach(progress: RequestProgress, member: Member) -> bool:
    """Return whether the route allows the server of a member for a request."""
    return progress.may_reach_more_servers or member.name in progress.reached


def _work_class(routed: RoutedRequest) -> str:
    """Return the class of work of a request among those of all services."""
    return f'{routed.service} {routed.kind}'


def _has_reached_server(outcome: Outcome) -> bool:
    """Return whether a server may have received the request."""
    if isinstance(outcome, NotRun):
        return outcome.reason is NotRunReason.SERVER_REFUSED
    return True
